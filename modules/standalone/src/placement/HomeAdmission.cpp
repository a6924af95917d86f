#include "modules/standalone/include/placement/HomeAdmission.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace onyx {

namespace {

constexpr double kEndRateSmoothing = 0.1;

}  // namespace

HomeAdmission::HomeAdmission(const HomeSettings& settings)
    : m_settings(settings),
      m_notes(settings.mostNotes, settings.noteAge),
      m_zone(settings.digestAge) {}

std::vector<HomeAction> HomeAdmission::setEngines(std::span<const HomedEngine> engines,
                                                  MonoTime now) {
    std::set<EngineId> kept;
    for (const HomedEngine& info : engines) {
        kept.insert(info.engine);
        const auto [it, added] = m_engines.try_emplace(info.engine);
        it->second.info = info;
        if (added) {
            it->second.gainedAt = now;
        }
    }
    std::erase_if(m_engines, [&](const auto& entry) { return !kept.contains(entry.first); });
    std::vector<HomeAction> actions = drainQueue(now);
    sendAwayQueued(actions);
    return actions;
}

// What waits for a service that has no engine here any more must wait elsewhere.
void HomeAdmission::sendAwayQueued(std::vector<HomeAction>& actions) {
    for (auto& [service, queue] : m_queues) {
        const bool served = std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& entry) {
            return entry.second.info.service == service;
        });
        while (!served && queue.size() > 0) {
            actions.emplace_back(Full{queue.pop()->ticket});
        }
    }
}

void HomeAdmission::setLeaving(const EngineId& engine, bool leaving) {
    const auto it = m_engines.find(engine);
    if (it != m_engines.end()) {
        it->second.leaving = leaving;
    }
}

int HomeAdmission::allowed(const Engine& engine, double mean, MonoTime now) const {
    const int bound = AdmittedInFlight(engine.info.bound, mean);
    const bool settling = !engine.reported && now - engine.gainedAt < m_settings.gainSettle;
    // Another home may still be admitting to a newly gained engine, so the first steps are small.
    return settling ? std::min(bound, m_settings.gainStep) : bound;
}

bool HomeAdmission::hasRoom(const Engine& engine, double mean, MonoTime now) const {
    return !engine.leaving && engine.inFlight + engine.foreign < allowed(engine, mean, now);
}

std::vector<EngineLoad> HomeAdmission::counts() const {
    std::vector<EngineLoad> loads;
    loads.reserve(m_engines.size());
    for (const auto& [id, engine] : m_engines) {
        if (!engine.leaving) {
            loads.push_back({id, engine.inFlight + engine.foreign, false});
        }
    }
    return loads;
}

std::vector<EngineLoad> HomeAdmission::loads(MonoTime now) const {
    std::vector<EngineLoad> loads = counts();
    const double mean = m_zone.total(loads, now).mean(1);
    for (EngineLoad& load : loads) {
        load.full = !hasRoom(m_engines.at(load.engine), mean, now);
    }
    return loads;
}

int HomeAdmission::inFlight(const EngineId& engine) const {
    const auto it = m_engines.find(engine);
    return it == m_engines.end() ? 0 : it->second.inFlight;
}

Admitted HomeAdmission::admit(Engine& engine, Ticket ticket, Priority priority, MonoTime now) {
    ++engine.inFlight;
    engine.history.record(engine.inFlight, now);
    m_running[ticket] = {engine.info.engine, priority};
    return {ticket, engine.info.engine};
}

std::vector<HomeAction> HomeAdmission::ask(const AdmitAsk& ask, MonoTime now) {
    if (ask.followNote) {
        const auto noted = m_notes.find(ask.chat, now);
        if (noted && *noted != ask.engine) {
            return {GoTo{ask.ticket, *noted}};
        }
    }
    const auto it = m_engines.find(ask.engine);
    const bool known = it != m_engines.end() && it->second.info.service == ask.service;
    if (!known || it->second.leaving) {
        return {Full{ask.ticket}};
    }
    Engine& engine = it->second;
    if (!mustWaitBehindOthers(ask)) {
        // The arriving request counts in the mean: without it an idle site would admit nothing.
        // What the asker saw on its way is fresher than the digests when the load rises.
        const double mean = std::max(total(now).mean(1), ask.meanHint);
        if (hasRoom(engine, mean, now)) {
            return {admit(engine, ask.ticket, ask.priority, now)};
        }
    }
    if (!ask.mayQueue) {
        return {Full{ask.ticket, engine.inFlight + engine.foreign}};
    }
    std::vector<HomeAction> actions = {queueOrRefuse(ask, now)};
    if (std::holds_alternative<Queued>(actions.front())) {
        if (const auto preempt = preemptFor(ask)) {
            actions.emplace_back(*preempt);
        }
    }
    return actions;
}

bool HomeAdmission::mustWaitBehindOthers(const AdmitAsk& ask) const {
    const auto queue = m_queues.find(ask.service);
    if (queue == m_queues.end()) {
        return false;
    }
    const auto first = queue->second.nextPriority();
    return first && *first <= ask.priority;
}

FairQueue& HomeAdmission::queueOf(const ServiceId& service) {
    return m_queues.try_emplace(service, m_settings.queue).first->second;
}

size_t HomeAdmission::queued() const {
    size_t count = 0;
    for (const auto& [service, queue] : m_queues) {
        count += queue.size();
    }
    return count;
}

HomeAction HomeAdmission::queueOrRefuse(const AdmitAsk& ask, MonoTime now) {
    const Millis wait = retryAfter(now);
    if (ask.deadline <= now) {
        return Refused{ask.ticket,
                       {RefusalReason::kDeadline, RunOutcome::kNotRun, wait, "deadline passed"}};
    }
    const bool queued = queueOf(ask.service)
                            .push({.ticket = ask.ticket,
                                   .team = ask.team,
                                   .priority = ask.priority,
                                   .weight = ask.weight,
                                   .deadline = ask.deadline,
                                   .queuedAt = now});
    if (!queued) {
        return Refused{ask.ticket,
                       {RefusalReason::kOverloaded, RunOutcome::kNotRun, wait, "queue is full"}};
    }
    return Queued{ask.ticket};
}

std::optional<Preempt> HomeAdmission::preemptFor(const AdmitAsk& ask) {
    if (ask.priority != Priority::kUrgent) {
        return std::nullopt;
    }
    for (auto& [ticket, running] : m_running) {
        const auto engine = m_engines.find(running.engine);
        const bool helps = engine != m_engines.end() && !engine->second.leaving &&
                           engine->second.info.service == ask.service;
        if (helps && running.priority == Priority::kDeferrable && !running.preempted) {
            running.preempted = true;
            return Preempt{ticket};
        }
    }
    return std::nullopt;
}

HomeAdmission::Engine* HomeAdmission::roomFor(const ServiceId& service, double mean, MonoTime now) {
    Engine* best = nullptr;
    for (auto& [id, engine] : m_engines) {
        const bool fits = engine.info.service == service && hasRoom(engine, mean, now);
        if (fits && (best == nullptr ||
                     engine.inFlight + engine.foreign < best->inFlight + best->foreign)) {
            best = &engine;
        }
    }
    return best;
}

std::vector<HomeAction> HomeAdmission::drainQueue(MonoTime now) {
    std::vector<HomeAction> actions;
    for (auto& [service, queue] : m_queues) {
        while (queue.size() > 0) {
            Engine* engine = roomFor(service, total(now).mean(1), now);
            if (engine == nullptr) {
                break;
            }
            const std::optional<QueuedRequest> next = queue.pop();
            actions.emplace_back(admit(*engine, next->ticket, next->priority, now));
        }
    }
    return actions;
}

std::vector<HomeAction> HomeAdmission::done(Ticket ticket, MonoTime now) {
    for (auto& [service, queue] : m_queues) {
        if (queue.erase(ticket)) {
            return {};
        }
    }
    const auto running = m_running.find(ticket);
    if (running == m_running.end()) {
        return {};
    }
    const auto engine = m_engines.find(running->second.engine);
    m_running.erase(running);
    const Millis gap = std::max<Millis>(1, now - m_lastEnd);
    m_endsPerMilli += kEndRateSmoothing * (1.0 / static_cast<double>(gap) - m_endsPerMilli);
    m_lastEnd = now;
    if (engine == m_engines.end()) {
        return {};
    }
    engine->second.inFlight = std::max(0, engine->second.inFlight - 1);
    engine->second.history.record(engine->second.inFlight, now);
    return drainQueue(now);
}

void HomeAdmission::note(const ChatId& chat, const EngineId& engine, MonoTime now) {
    m_notes.put(chat, engine, now);
}

std::vector<HomeAction> HomeAdmission::report(const EngineReport& report, MonoTime now) {
    const auto it = m_engines.find(report.engine);
    if (it == m_engines.end()) {
        return {};
    }
    Engine& engine = it->second;
    const int ownThen = engine.history.around(now - report.age);
    engine.foreign = std::max(0, report.inFlight - ownThen);
    engine.reported = engine.reported || now - report.age >= engine.gainedAt;
    return drainQueue(now);
}

std::vector<HomeAction> HomeAdmission::digest(const MemberId& box, uint64_t sequence,
                                              std::span<const EngineLoad> loads, MonoTime now) {
    m_zone.put(box, sequence, loads, now);
    return drainQueue(now);
}

std::vector<HomeAction> HomeAdmission::tick(MonoTime now) {
    std::vector<HomeAction> actions = drainQueue(now);
    for (auto& [service, queue] : m_queues) {
        for (const QueuedRequest& late : queue.takeExpired(now)) {
            actions.emplace_back(Refused{late.ticket,
                                         {RefusalReason::kOverloaded, RunOutcome::kNotRun,
                                          retryAfter(now), "waited to its deadline"}});
        }
    }
    return actions;
}

Millis HomeAdmission::retryAfter(MonoTime) const {
    if (m_endsPerMilli <= 0) {
        return 1000;
    }
    const double wait = static_cast<double>(queued() + 1) / m_endsPerMilli;
    return std::clamp(static_cast<Millis>(wait), kLeastRetryAfter, kMostRetryAfter);
}

}  // namespace onyx
