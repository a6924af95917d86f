#include "include/wire/FrameLink.h"

#include "include/observe/Events.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <variant>

namespace onyx {

namespace {

using boost::system::error_code;

constexpr Millis kConnectTimeout = 1000;  // A lost packet is sent again within it.

// What counts of a frame, or of a queue: all but the link's own part.
size_t CountedBytes(size_t bytes) {
    return bytes - std::min(bytes, FrameLink::kFramePart);
}

}  // namespace

FrameLink::FrameLink(Tcp::socket socket)
    : m_socket(std::move(socket)), m_wake(m_socket.get_executor()) {
    error_code ec;
    m_socket.set_option(Tcp::no_delay(true), ec);
    const auto remote = m_socket.remote_endpoint(ec);
    m_address = ec ? "gone" : EndpointText(remote);
    m_wake.expires_at(asio::steady_timer::time_point::max());
}

Task<Result<std::shared_ptr<FrameLink>>> FrameLink::Connect(Endpoint peer, wire::HelloT hello,
                                                            Millis timeout) {
    using namespace asio::experimental::awaitable_operators;
    Tcp::socket socket(co_await asio::this_coro::executor);
    error_code ec;
    const auto raced =
        co_await (socket.async_connect(peer, asio::redirect_error(asio::use_awaitable, ec)) ||
                  SleepFor(std::min(kConnectTimeout, timeout)));
    if (raced.index() == 1 || ec) {
        const std::string why = ec ? ec.message() : "no answer";
        co_return Error{ErrorCode::kUnavailable, "peer.connect", EndpointText(peer), why};
    }
    co_return co_await Accept(std::move(socket), std::move(hello), timeout);
}

Task<Result<std::shared_ptr<FrameLink>>> FrameLink::Accept(Tcp::socket socket, wire::HelloT hello,
                                                           Millis timeout) {
    using namespace asio::experimental::awaitable_operators;
    std::shared_ptr<FrameLink> link(new FrameLink(std::move(socket)));
    auto raced = co_await (link->greet(std::move(hello)) || SleepFor(timeout));
    if (raced.index() == 1) {
        co_return Error{ErrorCode::kTimeout, "peer.greeting", link->m_address, "no greeting"};
    }
    auto greeted = std::get<0>(std::move(raced));
    if (greeted.has_error()) {
        co_return std::move(greeted).error();
    }
    co_return link;
}

Task<Result<bool>> FrameLink::greet(wire::HelloT hello) {
    hello.version = kWireVersion;
    const std::string frame = EncodeMessage(std::move(hello));
    error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(frame),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Error{ErrorCode::kUnavailable, "peer.greeting", m_address, ec.message()};
    }
    auto answer = co_await readFrame(kMaxGreetingBytes);
    if (answer.has_error()) {
        co_return std::move(answer).error();
    }
    const wire::HelloT* theirs = answer.value().AsHello();
    if (theirs == nullptr || theirs->version != kWireVersion) {
        const std::string found =
            theirs == nullptr ? "no greeting" : "version " + std::to_string(theirs->version);
        logEvent(Event::kPeerVersion, {{"peer", m_address}, {"found", found}});
        co_return Error{ErrorCode::kProtocol, "peer.greeting", m_address, found};
    }
    m_peer = *theirs;
    co_return true;
}

Task<Result<wire::BodyUnion>> FrameLink::readFrame(size_t maxSize) {
    std::array<char, kFrameHeaderSize> header;
    error_code ec;
    co_await asio::async_read(m_socket, asio::buffer(header),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Error{ErrorCode::kUnavailable, "frame.read", m_address, ec.message()};
    }
    const auto size = DecodeFrameSize(header);
    if (size.has_error()) {
        co_return size.error();
    }
    if (size.value() > maxSize) {
        co_return Error{ErrorCode::kProtocol, "frame.size", m_address,
                        std::to_string(size.value())};
    }
    const Result<std::string> content = co_await readContent(size.value());
    if (content.has_error()) {
        co_return content.error();
    }
    m_bytesReceived += kFrameHeaderSize + content.value().size();
    co_return DecodeFrame(content.value());
}

// A length that is announced takes no memory: the content grows with what has arrived.
Task<Result<std::string>> FrameLink::readContent(size_t size) {
    FrameShare share(m_memory);
    std::string content;
    while (content.size() < size) {
        const size_t held = content.size();
        const size_t part = std::min(size - held, std::max(held, kFramePart));
        if (!share.hold(CountedBytes(held + part))) {
            co_return Error{ErrorCode::kProtocol, "frame.memory", m_address, std::to_string(size)};
        }
        content.resize(held + part);
        error_code ec;
        co_await asio::async_read(m_socket, asio::buffer(content.data() + held, part),
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return Error{ErrorCode::kUnavailable, "frame.read", m_address, ec.message()};
        }
    }
    co_return content;
}

void FrameLink::start(OnFrame onFrame, OnClosed onClosed, std::shared_ptr<FrameMemory> memory) {
    m_memory = std::move(memory);
    m_unsent.emplace(m_memory);
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
    Spawn(m_socket.get_executor(), readLoop(shared_from_this()));
    Spawn(m_socket.get_executor(), writeLoop(shared_from_this()));
}

Task<> FrameLink::readLoop([[maybe_unused]] std::shared_ptr<FrameLink> self) {
    while (m_open) {
        auto frame = co_await readFrame(kMaxFrameSize);
        if (frame.has_error()) {
            if (frame.error().code == ErrorCode::kProtocol) {
                logEvent(Event::kFrameBad, {{"peer", m_address}, {"error", frame.error().text()}});
            }
            break;
        }
        if (m_open) {
            m_onFrame(*this, frame.value());
        }
    }
    close();
}

Task<> FrameLink::writeLoop([[maybe_unused]] std::shared_ptr<FrameLink> self) {
    error_code ec;
    while (m_open) {
        if (m_queue.empty()) {
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        // One write for all that waits: a token stream makes many small frames.
        std::string batch;
        batch.swap(m_queue.front());
        m_queue.pop_front();
        while (!m_queue.empty()) {
            batch += m_queue.front();
            m_queue.pop_front();
        }
        co_await asio::async_write(m_socket, asio::buffer(batch),
                                   asio::redirect_error(asio::use_awaitable, ec));
        m_queuedBytes -= batch.size();
        m_unsent->hold(CountedBytes(m_queuedBytes));
        m_bytesSent += batch.size();
        if (ec) {
            break;
        }
    }
    close();
}

void FrameLink::sendEncoded(std::string frame) {
    if (!m_open) {
        return;
    }
    m_queuedBytes += frame.size();
    const bool hasMemory = !m_unsent || m_unsent->hold(CountedBytes(m_queuedBytes));
    if (m_queuedBytes > kMaxQueuedBytes || !hasMemory) {
        close();
        return;
    }
    m_queue.push_back(std::move(frame));
    m_wake.cancel();
}

void FrameLink::close() {
    if (!m_open) {
        return;
    }
    m_open = false;
    error_code ec;
    m_socket.close(ec);
    m_wake.cancel();
    if (m_onClosed) {
        m_onClosed(*this);
    }
}

}  // namespace onyx
