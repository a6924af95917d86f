#include "include/peers/PeerDatagrams.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace onyx {

namespace {

constexpr Millis kReceivePause = 20;  // In milliseconds, after an error of the socket.

}  // namespace

PeerDatagrams::PeerDatagrams(asio::io_context& io, Metrics& metrics)
    : m_io(io), m_metrics(metrics), m_socket(io) {}

Result<bool> PeerDatagrams::start(const Endpoint& address) {
    boost::system::error_code ec;
    m_socket.open(address.address().is_v4() ? Udp::v4() : Udp::v6(), ec);
    if (!ec) {
        m_socket.bind({address.address(), address.port()}, ec);
    }
    if (!ec) {
        m_socket.non_blocking(true, ec);
    }
    if (ec) {
        return Error{ErrorCode::kUnavailable, "peers.datagrams", EndpointText(address),
                     ec.message()};
    }
    Spawn(m_io.get_executor(), receive());
    return true;
}

Task<> PeerDatagrams::receive() {
    // The content of a frame follows its header and has to be aligned for the frame's numbers.
    constexpr size_t kAlignment = alignof(uint64_t);
    constexpr size_t kOffset = kAlignment - kFrameHeaderSize;
    alignas(kAlignment) std::array<char, kOffset + kMaxSize> buffer{};
    const std::span<char> datagram = std::span(buffer).subspan(kOffset);
    while (true) {
        Udp::endpoint from;
        boost::system::error_code ec;
        const size_t size = co_await m_socket.async_receive_from(
            asio::buffer(datagram.data(), datagram.size()), from,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            co_await SleepFor(kReceivePause);
            continue;
        }
        handle(from, datagram.first(size));
    }
}

void PeerDatagrams::handle(const Udp::endpoint& from, std::span<const char> datagram) {
    const std::string box = EndpointText({from.address(), from.port()});
    const auto body =
        datagram.size() > kFrameHeaderSize
            ? DecodeFrame(datagram.subspan(kFrameHeaderSize))
            : Result<wire::BodyUnion>(Error{ErrorCode::kProtocol, "datagram", box, ""});
    if (body.has_error()) {
        m_metrics.count("onyx_stream_datagrams_bad_total");
        return;
    }
    // A type of a later build has no value.
    const auto handler = m_handlers.find(body.value().type);
    if (handler != m_handlers.end() && body.value().value != nullptr) {
        handler->second(box, body.value());
    }
}

void PeerDatagrams::send(const std::string& box, const std::string& frame) {
    const Result<Endpoint> endpoint = ParseEndpoint(box);
    if (endpoint.has_error()) {
        return;
    }
    const Endpoint& peer = endpoint.value();
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(frame), {peer.address(), peer.port()}, 0, ec);
    m_metrics.count(ec ? "onyx_stream_datagrams_lost_total" : "onyx_stream_datagrams_sent_total");
}

void PeerDatagrams::sendAll(std::span<const OutgoingFrame> frames) {
    for (const OutgoingFrame& outgoing : frames) {
        for (const std::string& box : outgoing.to) {
            send(box, outgoing.frame);
        }
    }
}

}  // namespace onyx
