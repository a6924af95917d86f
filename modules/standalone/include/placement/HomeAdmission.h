// Admission at an engine's home: the one place that counts an engine's requests exactly and so
// enforces the bound. A pure state machine: the caller passes events and time, and carries out
// the actions that come back.
#pragma once

#include "include/base/Ids.h"
#include "modules/standalone/include/admission/FairQueue.h"
#include "modules/standalone/include/base/Outcome.h"
#include "modules/standalone/include/placement/ChatIndex.h"
#include "modules/standalone/include/placement/CountHistory.h"
#include "modules/standalone/include/placement/LoadBound.h"
#include "modules/standalone/include/placement/ZoneLoads.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace onyx {

// An engine that this box is the home of.
struct HomedEngine {
    EngineId engine;
    ServiceId service;
    BoundSettings bound;
};

// A router asks to run one request on one engine.
struct AdmitAsk {
    Ticket ticket = 0;  // Chosen by the asker; unique at this home.
    EngineId engine;
    ServiceId service;
    ChatId chat;
    TeamId team;
    double weight = 1.0;
    Priority priority = Priority::kNormal;
    MonoTime deadline;
    bool followNote = true;  // The home may point to where the chat went before.
    bool mayQueue = false;   // All other engines were full: wait here.
    double meanHint = 0;     // Mean load of the engines that were full; 0: none was asked.
};

// An engine's own report: what it had in flight, `age` before it arrived here.
struct EngineReport {
    EngineId engine;
    int inFlight = 0;
    Millis age = 0;
};

// What the home says to an ask, or later about a queued one.
struct Admitted {
    Ticket ticket;
    EngineId engine;
};
struct Full {  // Try the next engine in the order.
    Ticket ticket;
    int load = 0;  // The engine's.
};
struct GoTo {  // The chat's prefix is on this engine: ask its home, without followNote.
    Ticket ticket;
    EngineId engine;
};
struct Queued {
    Ticket ticket;
};
struct Refused {
    Ticket ticket;
    Refusal refusal;
};
struct Preempt {  // Cancel this deferrable run; it resumes elsewhere from its offset.
    Ticket ticket;
};
using HomeAction = std::variant<Admitted, Full, GoTo, Queued, Refused, Preempt>;

// Settings of a home.
struct HomeSettings {
    QueueLimits queue;
    size_t mostNotes = 20000;
    Millis noteAge = Millis{4} * 3600 * 1000;
    Millis digestAge = 2000;
    int gainStep = 2;          // Room on a newly gained engine until its first report...
    Millis gainSettle = 3000;  // ...or until this much time has passed.
};

// Not thread safe: one task owns it.
class HomeAdmission {
public:
    // Preconditions: the settings' limits are > 0.
    explicit HomeAdmission(const HomeSettings& settings);

    // Replaces the set of engines homed here. Running requests of an engine that went away stay
    // counted until they are done. Preconditions: no engine twice.
    std::vector<HomeAction> setEngines(std::span<const HomedEngine> engines, MonoTime now);

    // An engine starts to leave: nothing new is admitted to it. Preconditions: none.
    void setLeaving(const EngineId& engine, bool leaving);

    // Answers an ask with exactly one action about its ticket, and perhaps a Preempt.
    // Preconditions: the ticket is neither running nor queued here.
    std::vector<HomeAction> ask(const AdmitAsk& ask, MonoTime now);

    // A running request ended, or a queued one's caller went away. Preconditions: none; an
    // unknown ticket is ignored.
    std::vector<HomeAction> done(Ticket ticket, MonoTime now);

    // The chat was served by `engine` after all. Preconditions: none.
    void note(const ChatId& chat, const EngineId& engine, MonoTime now);

    // An engine reported its load. Preconditions: none.
    std::vector<HomeAction> report(const EngineReport& report, MonoTime now);

    // Another box's digest. Preconditions: none.
    std::vector<HomeAction> digest(const MemberId& box, uint64_t sequence,
                                   std::span<const EngineLoad> loads, MonoTime now);

    // Time passed: refuses what waited past its deadline. Preconditions: none.
    std::vector<HomeAction> tick(MonoTime now);

    // The loads of the engines homed here, for the digest. Preconditions: none.
    std::vector<EngineLoad> loads(MonoTime now) const;

    // Load over the engines as known here, this box's and those of fresh digests. Preconditions:
    // none.
    ZoneTotal total(MonoTime now) const { return m_zone.total(counts(), now); }

    // What the zone's digests say; for skipping full engines. Preconditions: none.
    const ZoneLoads& zone() const { return m_zone; }

    // Requests waiting here. Preconditions: none.
    size_t queued() const;

    // Requests running on `engine` that this home admitted. Preconditions: none.
    int inFlight(const EngineId& engine) const;

    // How long until one more request could start, from the rate of ends seen lately: what a
    // refused caller is told. At least kLeastRetryAfter. Preconditions: none.
    Millis retryAfter(MonoTime now) const;
    static constexpr Millis kLeastRetryAfter = 200;
    static constexpr Millis kMostRetryAfter = 30000;

private:
    struct Engine {
        HomedEngine info;
        int inFlight = 0;
        int foreign = 0;  // Load that is not ours, from the engine's report.
        bool leaving = false;
        bool reported = false;
        MonoTime gainedAt;
        CountHistory history;
    };
    struct Running {
        EngineId engine;
        Priority priority;
        bool preempted = false;
    };

    std::vector<EngineLoad> counts() const;
    int allowed(const Engine& engine, double mean, MonoTime now) const;
    bool hasRoom(const Engine& engine, double mean, MonoTime now) const;
    Admitted admit(Engine& engine, Ticket ticket, Priority priority, MonoTime now);
    std::vector<HomeAction> drainQueue(MonoTime now);
    void sendAwayQueued(std::vector<HomeAction>& actions);
    std::optional<Preempt> preemptFor(const AdmitAsk& ask);
    bool mustWaitBehindOthers(const AdmitAsk& ask) const;
    FairQueue& queueOf(const ServiceId& service);
    HomeAction queueOrRefuse(const AdmitAsk& ask, MonoTime now);
    Engine* roomFor(const ServiceId& service, double mean, MonoTime now);

    HomeSettings m_settings;
    std::map<EngineId, Engine> m_engines;
    std::unordered_map<Ticket, Running> m_running;
    std::map<ServiceId, FairQueue> m_queues;
    ChatIndex m_notes;
    ZoneLoads m_zone;
    double m_endsPerMilli = 0;  // Smoothed.
    MonoTime m_lastEnd;
};

}  // namespace onyx
