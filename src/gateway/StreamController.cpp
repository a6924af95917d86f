#include "include/gateway/StreamController.h"

#include "include/wire/FrameCodec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kStepPeriod = 100;
constexpr Millis kAskAgain = 40;      // A query or its reply may be lost; it is sent once more.
constexpr Millis kReceivePause = 20;  // After an error of the socket.
constexpr size_t kMaxDatagram = 2048;

}  // namespace

StreamController::StreamController(asio::io_context& io, const GatewaySettings& settings,
                                   const UpstreamList& upstreams, PeerMesh& mesh, Metrics& metrics)
    : m_io(io),
      m_upstreams(upstreams),
      m_mesh(mesh),
      m_metrics(metrics),
      m_zone(settings.zone),
      m_socket(io) {}

Result<bool> StreamController::start() {
    const Endpoint address = m_mesh.endpoint();
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
    m_exchange.emplace(m_mesh.address(), m_zone);
    Spawn(m_io.get_executor(), receive());
    Spawn(m_io.get_executor(), run());
    return true;
}

// Follows the lists of versions and boxes, and sends what is due.
Task<> StreamController::run() {
    while (true) {
        const MonoTime now = ReadClocks().mono;
        // A part of the list does not show all versions of a service.
        const auto age = m_upstreams.hasList() ? m_upstreams.age(now) : std::nullopt;
        m_exchange->versions().update(m_upstreams.table(), age, now);
        if (m_directoryVersion != m_mesh.boxesVersion()) {
            m_directoryVersion = m_mesh.boxesVersion();
            m_exchange->setBoxes(m_mesh.boxes());
        }
        sendAll(m_exchange->makeDueFrames(now));
        m_metrics.set("onyx_stream_records", {}, static_cast<double>(m_exchange->recordCount()));
        co_await SleepFor(kStepPeriod);
    }
}

Task<> StreamController::receive() {
    // The content of a frame follows its header and has to be aligned for the frame's numbers.
    constexpr size_t kAlignment = alignof(uint64_t);
    constexpr size_t kOffset = kAlignment - kFrameHeaderSize;
    alignas(kAlignment) std::array<char, kOffset + kMaxDatagram> buffer{};
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

void StreamController::handle(const Udp::endpoint& from, std::span<const char> datagram) {
    const std::string box = EndpointText({from.address(), from.port()});
    const auto body =
        datagram.size() > kFrameHeaderSize
            ? DecodeFrame(datagram.subspan(kFrameHeaderSize))
            : Result<wire::BodyUnion>(Error{ErrorCode::kProtocol, "datagram", box, ""});
    if (body.has_error()) {
        m_metrics.count("onyx_stream_datagrams_bad_total");
        return;
    }
    const MonoTime now = ReadClocks().mono;
    if (const auto* origins = body.value().AsStreamOrigins()) {
        m_exchange->handleOrigins(*origins, now);
    } else if (const auto* ask = body.value().AsStreamOriginAsk()) {
        send(box, EncodeMessage(m_exchange->reply(*ask, now)));
    } else if (const auto* reply = body.value().AsStreamOriginReply()) {
        const auto open = m_queries.find(reply->stream);
        if (open == m_queries.end()) {
            return;
        }
        for (const auto& query : open->second) {
            query->query.handleReply(box, *reply);
            if (query->query.isComplete()) {
                query->done.cancel();
            }
        }
    }
}

// A datagram that cannot be sent is lost like any other.
void StreamController::send(const std::string& box, const std::string& frame) {
    const Result<Endpoint> endpoint = ParseEndpoint(box);
    if (endpoint.has_error()) {
        return;
    }
    const Endpoint& peer = endpoint.value();
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(frame), {peer.address(), peer.port()}, 0, ec);
    m_metrics.count(ec ? "onyx_stream_datagrams_lost_total" : "onyx_stream_datagrams_sent_total");
}

void StreamController::sendAll(std::span<const OutgoingFrame> frames) {
    for (const OutgoingFrame& outgoing : frames) {
        sendTo({outgoing.to.begin(), outgoing.to.end()}, outgoing.frame);
    }
}

void StreamController::sendTo(const std::set<std::string>& boxes, const std::string& frame) {
    for (const std::string& box : boxes) {
        send(box, frame);
    }
}

void StreamController::begin(const StreamKey& stream, const StreamOrigin& origin, Millis span,
                             MonoTime until) {
    sendAll(m_exchange->begin(stream.hash, origin, span, until, ReadClocks().mono));
}

Task<StreamOriginReport> StreamController::find(StreamKey stream, std::string service,
                                                Millis span) {
    const MonoTime start = ReadClocks().mono;
    StreamOriginReport report;
    const auto open = std::make_shared<OpenQuery>(
        OpenQuery{m_exchange->query(stream, service, span, start), asio::steady_timer(m_io)});
    report.asked = open->query.open().size();
    m_queries[stream.hash].push_back(open);
    wire::StreamOriginAskT question;
    question.stream = stream.hash;
    question.service = service;
    question.span_ms = static_cast<uint32_t>(span);
    const std::string frame = EncodeMessage(std::move(question));
    for (const Millis wait : {kAskAgain, kQueryTimeout - kAskAgain}) {
        if (open->query.isComplete()) {
            break;
        }
        sendTo(open->query.open(), frame);
        open->done.expires_after(std::chrono::milliseconds(wait));
        boost::system::error_code ec;
        co_await open->done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    std::erase(m_queries[stream.hash], open);
    if (m_queries[stream.hash].empty()) {
        m_queries.erase(stream.hash);
    }
    report.found = open->query.result();
    report.replied = report.asked - open->query.open().size();
    report.took = ReadClocks().mono - start;
    co_return report;
}

}  // namespace onyx
