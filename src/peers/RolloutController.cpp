#include "include/peers/RolloutController.h"

#include "include/base/Hash.h"
#include "include/base/HttpStatus.h"
#include "include/observe/Events.h"
#include "include/peers/RolloutMessages.h"

#include <algorithm>
#include <cmath>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kStepPeriod = 100;
// Without an order there is nothing to decide; requests look at new orders themselves.
constexpr Millis kIdlePeriod = 1000;
constexpr Millis kReportPeriod = 300;
// A box waits up to this long before it writes a status, at random, so that mostly one box writes
// it.
constexpr Millis kMaxWriteDelay = 300;
constexpr Millis kRetryDelay = 500;  // After a call that failed.
// Orders of this part of the bound on rollbacks are recent enough to send requests to a version on
// trial: a rollback that another box has decided is known in time.
constexpr double kCurrentShare = 0.8;
// A version is tried on so many upstreams that each gets about the usual load, because some faults
// show under load only; on this many at least, so that one faulty upstream can be told from a
// faulty version.
constexpr size_t kMinCanaries = 4;

double RandomPart(std::minstd_rand& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

// The `count` ids that come first in an order that all boxes agree on.
std::set<std::string> FirstByHash(const std::vector<std::string>& ids, size_t count) {
    std::vector<std::pair<uint64_t, std::string>> order;
    order.reserve(ids.size());
    for (const std::string& id : ids) {
        order.emplace_back(HashText(id), id);
    }
    std::sort(order.begin(), order.end());
    std::set<std::string> first;
    for (size_t i = 0; i < std::min(count, order.size()); ++i) {
        first.insert(std::move(order[i].second));
    }
    return first;
}

}  // namespace

RolloutController::RolloutController(asio::io_context& io, const GatewaySettings& settings,
                                     const Dialect& dialect, const UpstreamList& upstreams,
                                     RolloutList& rollouts, Metrics& metrics, Sink sink)
    : m_io(io),
      m_settings(settings),
      m_dialect(dialect),
      m_upstreams(upstreams),
      m_list(rollouts),
      m_metrics(metrics),
      m_sink(std::move(sink)),
      m_client(io.get_executor()) {}

Task<> RolloutController::run() {
    while (isEnabled()) {
        step(ReadClocks().mono);
        co_await SleepFor(m_list.orders().empty() ? kIdlePeriod : kStepPeriod);
    }
}

bool RolloutController::isCurrent(MonoTime now) const {
    const auto age = m_list.age(now);
    return age && static_cast<double>(*age) <=
                      kCurrentShare * static_cast<double>(m_settings.rollout.bound);
}

// Brings the rollouts and the count of versions up to date with the lists.
void RolloutController::refresh(MonoTime now) {
    std::erase_if(m_rollouts, [this](const auto& entry) {
        const auto it = m_list.orders().find(entry.first);
        const bool isGone = it == m_list.orders().end() ||
                            it->second.targetVersion != entry.second.order().targetVersion;
        if (isGone) {
            m_canaries.erase(entry.first);
        }
        return isGone;
    });
    for (const auto& [service, order] : m_list.orders()) {
        const auto it = m_rollouts.find(service);
        if (it != m_rollouts.end()) {
            it->second.update(order);
        } else {
            m_rollouts.emplace(service, ServiceRollout(order, m_settings.rollout.exposureLimit,
                                                       RandomPart(m_random), 0, now));
        }
    }
    // A part of the list does not show whether a version has upstreams left.
    if (!m_upstreams.hasList() || m_countedRevision == m_upstreams.table().revision()) {
        return;
    }
    m_countedRevision = m_upstreams.table().revision();
    m_census.update(m_upstreams.table(), now);
    m_canaries.clear();
}

RolloutFacts RolloutController::factsFor(const ServiceRollout& rollout, MonoTime now) const {
    RolloutFacts facts;
    facts.current = isCurrent(now);
    facts.judges = m_sink.judges();
    const auto* versions = m_census.versionsOf(rollout.order().service);
    if (versions == nullptr) {
        return facts;
    }
    for (const auto& [name, version] : *versions) {
        const bool isTarget = name == rollout.order().targetVersion;
        (isTarget ? facts.targetReady : facts.baseReady) += version.ready.size();
    }
    return facts;
}

std::set<std::string> RolloutController::canaryIds(const ServiceRollout& rollout) const {
    const auto* versions = m_census.versionsOf(rollout.order().service);
    const auto target = versions == nullptr ? VersionCensus::Versions::const_iterator()
                                            : versions->find(rollout.order().targetVersion);
    if (versions == nullptr || target == versions->end()) {
        return {};
    }
    size_t others = 0;
    for (const auto& [name, version] : *versions) {
        others += name == target->first ? 0 : version.ready.size();
    }
    const double share = m_settings.rollout.exposureLimit * static_cast<double>(others);
    return FirstByHash(target->second.ready,
                       std::max(kMinCanaries, static_cast<size_t>(std::ceil(share))));
}

VersionRule RolloutController::ruleFor(const ServiceId& service, uint64_t promptHash, bool mayTry,
                                       MonoTime now) {
    if (!isEnabled()) {
        return AnyVersion{};
    }
    refresh(now);
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end()) {
        return ruleInRollout(it->second, promptHash, mayTry, now);
    }
    std::set<std::string> held = m_census.heldBack(service, m_list.age(now), now);
    return held.empty() ? VersionRule(AnyVersion{}) : VersionRule(WithoutVersions{std::move(held)});
}

VersionRule RolloutController::ruleInRollout(ServiceRollout& rollout, uint64_t promptHash,
                                             bool mayTry, MonoTime now) {
    const RolloutOrder& order = rollout.order();
    const bool hasOthers = m_census.versionsOf(order.service) != nullptr;
    switch (rollout.stage()) {
        case RolloutStage::kRolledBack:
            return WithoutVersions{{order.targetVersion}};
        case RolloutStage::kPromoting:
        case RolloutStage::kCompleted:
            return hasOthers && mayTry && !rollout.isOver(now)
                       ? VersionRule(OnlyVersion{order.targetVersion})
                       : VersionRule(AnyVersion{});
        case RolloutStage::kCanary:
            break;
    }
    if (!hasOthers) {
        return AnyVersion{};
    }
    auto& canaries = m_canaries[order.service];
    if (!canaries) {
        canaries = std::make_shared<const std::set<std::string>>(canaryIds(rollout));
    }
    const bool tries = mayTry && isCurrent(now) && !canaries->empty() &&
                       rollout.share().admits(order.targetVersion, promptHash);
    return tries ? VersionRule(OnlyUpstreams{canaries})
                 : VersionRule(WithoutVersions{{order.targetVersion}});
}

bool RolloutController::mayContinue(const ServiceId& service, const std::string& version,
                                    MonoTime now) {
    if (!isEnabled()) {
        return true;
    }
    refresh(now);
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() || it->second.stage() != RolloutStage::kRolledBack ||
           it->second.order().targetVersion != version;
}

void RolloutController::recordSend(const Upstream& upstream) {
    const auto it = m_rollouts.find(upstream.service);
    if (it != m_rollouts.end()) {
        it->second.share().record(upstream.version == it->second.order().targetVersion);
    }
}

void RolloutController::recordAnswer(const ObservedAnswer& answer) {
    if (!isEnabled()) {
        return;
    }
    const auto it = m_rollouts.find(answer.upstream.service);
    const bool inProgress =
        it != m_rollouts.end() && it->second.order().state() == RolloutState::kInProgress;
    const bool isTarget = inProgress && answer.upstream.version == it->second.order().targetVersion;
    const auto bad = IsBadAnswer(answer.end, answer.latency, m_latency.usual(answer.route));
    if (inProgress && bad) {
        it->second.recordAnswer(answer.route, ShortHash(answer.upstream.id), isTarget, *bad);
    }
    if (!isTarget && answer.latency && answer.end == AttemptEnd::kAnswered) {
        m_latency.record(answer.route, *answer.latency);
    }
}

void RolloutController::step(MonoTime now) {
    refresh(now);
    for (auto& [service, rollout] : m_rollouts) {
        const RolloutStage before = rollout.stage();
        const auto status = rollout.step(factsFor(rollout, now), now);
        logStage(rollout, before);
        planStatus(rollout, status, now);
    }
    sendReports(now);
}

void RolloutController::logStage(const ServiceRollout& rollout, RolloutStage before) {
    if (rollout.stage() == before) {
        return;
    }
    const VersionTally tally = rollout.pooledTally();
    const AnswerCounts target = tally.targetSum();
    const AnswerCounts base = tally.baseSum();
    logEvent(Event::kRolloutStage, {{"service", rollout.order().service.value},
                                    {"target_version", rollout.order().targetVersion},
                                    {"stage", std::string(RolloutStageName(rollout.stage()))},
                                    {"requests", std::to_string(rollout.share().requests())},
                                    {"exposures", std::to_string(rollout.share().exposures())},
                                    {"target_answers", std::to_string(target.total())},
                                    {"target_bad", std::to_string(target.bad)},
                                    {"base_answers", std::to_string(base.total())},
                                    {"base_bad", std::to_string(base.bad)}});
}

// Another box may write the status first, which ends the plan: the order has that status then.
void RolloutController::planStatus(const ServiceRollout& rollout, std::optional<RolloutState> state,
                                   MonoTime now) {
    const ServiceId& service = rollout.order().service;
    if (!state) {
        m_pending.erase(service);
        return;
    }
    PendingStatus& pending = m_pending[service];
    if (pending.at == MonoTime{} || pending.state != *state) {
        const auto delay = std::uniform_int_distribution<Millis>(0, kMaxWriteDelay)(m_random);
        pending = {*state, now + delay};
    }
    if (pending.at > now || m_writing) {
        return;
    }
    pending.at = now + kRetryDelay;
    m_writing = true;
    Spawn(m_io.get_executor(),
          writeStatus(rollout.order(), {*state, rollout.order().targetVersion}));
}

// The store takes the status only if the order is still at the revision that this box knows, so a
// late call changes nothing once another box has written a status.
Task<> RolloutController::writeStatus(RolloutOrder order, RolloutStatus status) {
    const StoreWrite write = m_dialect.rolloutStatusWrite(order, status);
    HttpOutgoing request;
    request.method = write.method;
    request.target = write.target;
    request.contentType = "application/json";
    request.body = write.body;
    const auto answer =
        co_await m_client.call(m_settings.store, std::move(request), m_settings.storeTimeout);
    m_writing = false;
    const std::string end =
        answer.has_error() ? answer.error().text() : std::to_string(answer.value().status);
    m_metrics.count("onyx_rollout_writes_total", {{"end", answer.has_error() ? "error" : end}});
    logEvent(Event::kRolloutStatus, {{"service", order.service.value},
                                     {"target_version", status.targetVersion},
                                     {"state", std::string(RolloutStateName(status.state))},
                                     {"end", end}});
    const bool hasOrder = answer.has_value() && (answer.value().status == HttpStatus::kOk ||
                                                 answer.value().status == HttpStatus::kConflict);
    if (!hasOrder) {
        co_return;
    }
    const auto current = m_dialect.readRollout(answer.value().body);
    if (current.has_value()) {
        m_list.apply({false, m_list.revision(), {current.value()}, {}}, false, "store");
    }
}

void RolloutController::addTo(wire::KnowledgeReplyT& reply, MonoTime now) const {
    const auto age = m_list.age(now);
    if (!age) {
        return;
    }
    reply.tells_rollouts = true;
    reply.rollouts_age_ms = *age;
    reply.rollouts_revision = m_list.revision();
    for (const auto& [service, order] : m_list.orders()) {
        const auto it = m_rollouts.find(service);
        const bool known = it != m_rollouts.end();
        reply.rollouts.push_back(EncodeRollout(order, known ? it->second.elapsed(now) : 0,
                                               known ? it->second.stage() : RolloutStage::kCanary));
    }
}

void RolloutController::applyReply(const wire::KnowledgeReplyT& reply, std::optional<MonoTime> asOf,
                                   bool followed, MonoTime now) {
    if (!isEnabled() || !reply.tells_rollouts) {
        return;
    }
    RolloutChanges orders;
    orders.whole = true;
    orders.revision = reply.rollouts_revision;
    const bool isBehind = orders.revision < m_list.revision();
    for (const auto& entry : reply.rollouts) {
        if (entry && !entry->service.empty()) {
            orders.changed.push_back(DecodeRollout(*entry));
        }
    }
    m_list.apply(orders, false, "peer");
    if (asOf && !isBehind) {
        m_list.confirm(*asOf);
    }
    refresh(now);
    for (const auto& entry : reply.rollouts) {
        const auto it = entry ? m_rollouts.find(ServiceId(entry->service)) : m_rollouts.end();
        if (it != m_rollouts.end() && it->second.order().targetVersion == entry->target_version) {
            it->second.noteElapsed(entry->elapsed_ms, now);
            it->second.noteStage(DecodeStage(entry->stage), followed);
        }
    }
}

void RolloutController::sendReports(MonoTime now) {
    if (now - m_reportedAt < kReportPeriod) {
        return;
    }
    wire::RolloutReportsT reports;
    for (const auto& [service, rollout] : m_rollouts) {
        if (rollout.order().state() == RolloutState::kInProgress) {
            reports.reports.push_back(EncodeTally(rollout.order(), rollout.ownTally()));
        }
    }
    if (!reports.reports.empty()) {
        m_reportedAt = now;
        m_sink.sendReports(reports);
    }
}

void RolloutController::onReports(const std::string& from, const wire::RolloutReportsT& reports) {
    for (const auto& report : reports.reports) {
        const auto it = report ? m_rollouts.find(ServiceId(report->service)) : m_rollouts.end();
        if (it != m_rollouts.end() && it->second.order().targetVersion == report->target_version) {
            it->second.setPeerTally(from, DecodeTally(*report));
        }
    }
}

}  // namespace onyx
