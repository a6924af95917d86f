#include "include/request/RelayAttempt.h"

#include "include/base/HttpStatus.h"
#include "include/request/HttpText.h"
#include "include/request/RelayHeaders.h"

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds. The other box answers by the request's deadline; its answer needs this long to
// arrive.
constexpr Millis kAnswerGrace = 100;

// The box stands in for an upstream in what the log says of the connection.
Upstream AsUpstream(const std::string& box) {
    Upstream upstream;
    upstream.id = "box " + box;
    upstream.address = box;
    return upstream;
}

}  // namespace

RelayAttempt::RelayAttempt(RequestContext& context, CallerConnection& caller, AnswerRelay& relay,
                           const AttemptRequest& request, std::string box)
    : m_context(context),
      m_caller(caller),
      m_relay(relay),
      m_request(request),
      m_box(std::move(box)),
      m_exchange(std::make_shared<UpstreamExchange>(context, AsUpstream(m_box), request.facts.id)) {
}

Task<RelayReport> RelayAttempt::run() {
    const MonoTime start = ReadClocks().mono;
    m_context.relays.recordStart(m_box);
    m_caller.watch([exchange = m_exchange] { exchange->cancel(); });
    RelayReport report = co_await exchange();
    m_caller.unwatch();
    m_exchange->finish();
    m_context.relays.recordEnd(m_box);
    report.box = m_box;
    report.took = ReadClocks().mono - start;
    co_return report;
}

Task<RelayReport> RelayAttempt::exchange() {
    RelayReport report;
    std::string box = m_box;
    auto socket = co_await m_context.mesh.openRelay(std::move(box));
    if (socket.has_error() || m_caller.gone()) {
        report.unavailable = true;
        co_return report;
    }
    const ConnectionBounds bounds = ConnectionBounds::ForObjective(
        m_request.admission.route->objective, m_context.settings.connectTimeout);
    if (m_exchange->adopt(std::move(socket.value()), bounds).has_error()) {
        report.unavailable = true;
        co_return report;
    }
    OutgoingRequest message{requestHead(), m_request.body};
    const AnswerRead head = co_await m_exchange->send(std::move(message), {deadline(), deadline()});
    if (head != AnswerRead::kPart) {
        report.end = AttemptEnd::kUnclear;
        report.timedOut = head == AnswerRead::kTimeout;
        co_return report;
    }
    co_return co_await readAnswer();
}

Task<RelayReport> RelayAttempt::readAnswer() {
    RelayReport report;
    const std::string_view outcome = m_exchange->head()[kRelayHeader];
    if (!outcome.empty()) {
        report.end = AttemptEnd::kDeclined;
        report.unavailable = outcome == kRelayUnavailable;
        report.retryAfter = m_exchange->facts().backoff;
        co_return report;
    }
    // The other box passes large answers on without their length; they are not collected here.
    const RelayRules rules{m_request.admission.route->stream || !m_exchange->length(), true};
    const ReadDeadlines deadlines{deadline(), [this] { return deadline(); },
                                  [this] { return deadline(); }};
    const RelayEnd end = co_await m_relay.relay(*m_exchange, rules, deadline(), deadlines);
    report.end = end.end;
    report.timedOut =
        end.timedOut || m_exchange->head().result_int() == HttpStatus::kGatewayTimeout;
    co_return report;
}

std::string RelayAttempt::requestHead() const {
    HttpFields fields(m_request.message.base());
    DropConnectionHeaders(fields);
    m_context.dialect.setTimeLeft(fields, m_request.admission.deadline - ReadClocks().mono);
    fields.set(kRelayHeader, std::to_string(m_request.admission.catalog->version()));
    return RequestHeadText(m_request.message, fields, m_request.body->size());
}

MonoTime RelayAttempt::deadline() const {
    return m_request.admission.deadline + kAnswerGrace;
}

}  // namespace onyx
