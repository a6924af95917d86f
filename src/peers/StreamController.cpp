#include "include/peers/StreamController.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kStepPeriod = 100;
constexpr Millis kAskAgain = 40;  // A query or its reply may be lost; it is sent once more.

}  // namespace

StreamController::StreamController(asio::io_context& io, const GatewaySettings& settings,
                                   const UpstreamList& upstreams, PeerMesh& mesh,
                                   PeerDatagrams& datagrams, Metrics& metrics)
    : m_io(io),
      m_upstreams(upstreams),
      m_mesh(mesh),
      m_datagrams(datagrams),
      m_metrics(metrics),
      m_zone(settings.zone) {
    m_datagrams.setHandler<wire::StreamOriginsT>(
        [this](const std::string&, const wire::StreamOriginsT& origins) {
            m_exchange->handleOrigins(origins, ReadClocks().mono);
        });
    m_datagrams.setHandler<wire::StreamOriginAskT>(
        [this](const std::string& from, const wire::StreamOriginAskT& ask) {
            m_datagrams.send(from, EncodeMessage(m_exchange->reply(ask, ReadClocks().mono)));
        });
    m_datagrams.setHandler<wire::StreamOriginReplyT>(
        [this](const std::string& from, const wire::StreamOriginReplyT& reply) {
            handleReply(from, reply);
        });
}

void StreamController::start() {
    m_exchange.emplace(m_mesh.address(), m_zone);
    Spawn(m_io.get_executor(), run());
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
        m_datagrams.sendAll(m_exchange->makeDueFrames(now));
        m_metrics.set("onyx_stream_records", {}, static_cast<double>(m_exchange->recordCount()));
        co_await SleepFor(kStepPeriod);
    }
}

void StreamController::handleReply(const std::string& from, const wire::StreamOriginReplyT& reply) {
    const auto open = m_queries.find(reply.stream);
    if (open == m_queries.end()) {
        return;
    }
    for (const auto& query : open->second) {
        query->query.handleReply(from, reply);
        if (query->query.isComplete()) {
            query->done.cancel();
        }
    }
}

void StreamController::sendTo(const std::set<std::string>& boxes, const std::string& frame) {
    for (const std::string& box : boxes) {
        m_datagrams.send(box, frame);
    }
}

void StreamController::begin(const std::string& stream, const StreamOrigin& origin, Millis span,
                             MonoTime until) {
    m_datagrams.sendAll(
        m_exchange->begin(HashText(stream), origin, span, until, ReadClocks().mono));
}

Task<StreamOriginReport> StreamController::find(std::string stream, std::string service,
                                                Millis span) {
    const MonoTime start = ReadClocks().mono;
    const uint64_t hash = HashText(stream);
    StreamOriginReport report;
    const auto open = std::make_shared<OpenQuery>(
        OpenQuery{m_exchange->query(hash, service, span, start), asio::steady_timer(m_io)});
    report.asked = open->query.open().size();
    m_queries[hash].push_back(open);
    wire::StreamOriginAskT question;
    question.stream = hash;
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
    std::erase(m_queries[hash], open);
    if (m_queries[hash].empty()) {
        m_queries.erase(hash);
    }
    report.found = open->query.result();
    report.replied = report.asked - open->query.open().size();
    report.took = ReadClocks().mono - start;
    co_return report;
}

}  // namespace onyx
