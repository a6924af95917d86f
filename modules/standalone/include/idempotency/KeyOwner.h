// The owner's side of requests that may not be repeated: runs each key at most once, answers
// repeats from its ledger, and says "not run" only of keys that it closes. A pure state machine.
#pragma once

#include "modules/standalone/include/base/Outcome.h"
#include "modules/standalone/include/idempotency/KeyLedger.h"
#include "modules/standalone/include/membership/RosterKeeper.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace onyx {

// Events.
struct KeyAsk {            // A request with a key arrived.
    uint64_t request = 0;  // Chosen by the caller of step(); unique.
    std::string key;
    WallTime mintedAt;
    uint64_t digest = 0;
    MonoTime deadline;
};
struct KeyDone {  // The run that an action started is over.
    uint64_t request = 0;
    KeyState state = KeyState::kUnknown;  // Not kInFlight.
    uint16_t status = 0;
    std::string contentType;
    std::string body;
};
struct LedgerReceived {  // An earlier owner hands over the keys that `epoch` moves here.
    MemberId from;
    uint64_t epoch = 0;
    Handover handover;
    std::vector<KeyEntry> entries;
};
using KeyEvent = std::variant<KeyAsk, KeyDone, LedgerReceived, KeeperEvent>;

// Actions.
struct RunKey {  // Run it now, but ask mayDispatch() right before a byte is written.
    uint64_t request = 0;
    std::string key;
    uint64_t epoch = 0;  // Fencing token.
};
struct KeyRan {  // The answer, fresh or from the ledger.
    uint64_t request = 0;
    bool replayed = false;
    bool bodyKept = true;
    uint16_t status = 0;
    std::string contentType;
    std::string body;
};
struct KeyRefused {
    uint64_t request = 0;
    Refusal refusal;
};
struct KeyElsewhere {  // Another member owns the key.
    uint64_t request = 0;
    MemberId owner;
};
struct SendLedger {
    MemberId to;
    uint64_t epoch = 0;
    Handover handover;
    std::vector<KeyEntry> entries;
};
using KeyAction = std::variant<RunKey, KeyRan, KeyRefused, KeyElsewhere, SendLedger, KeeperAction>;

// Not thread safe: one task owns it. Copyable: tests explore from copies.
class KeyOwner {
public:
    // Refusals with this much to wait are worth another try within the deadline: the key is on
    // its way to another member.
    static constexpr Millis kMovingRetry = 150;
    static constexpr Millis kAwayRetry = 1000;

    // Preconditions: as for RosterKeeper and KeyLedger.
    KeyOwner(MemberId member, const KeeperSettings& keeper, const LedgerSettings& ledger);

    // Takes an event and returns what to do. Preconditions: `now` never goes back on the
    // monotonic clock.
    std::vector<KeyAction> step(const KeyEvent& event, const Now& now);

    // Whether the run of `request` may still write to an upstream. Ask right before the write; if
    // not, end the run as kNotRun. Preconditions: none.
    bool mayDispatch(uint64_t request, const Now& now) const;

    // Who owns keys, and by what right. Preconditions: none.
    const RosterKeeper& keeper() const { return m_keeper; }
    // What is known of keys. Preconditions: none.
    const KeyLedger& ledger() const { return m_ledger; }
    // Runs that are not over. Preconditions: none.
    size_t inFlight() const { return m_runs.size(); }

private:
    using Actions = std::vector<KeyAction>;
    struct Run {
        std::string key;
        WallTime mintedAt;
        std::vector<uint64_t> waiting;  // Requests that get the answer.
    };
    // A change that this member consented to, until the moved keys are handed over.
    struct Move {
        uint64_t epoch = 0;
        WallTime since;  // When this member's knowledge of its keys began.
        std::vector<MemberId> before;
        std::vector<MemberId> after;
    };

    void onEvent(const KeyAsk& ask, const Now& now, Actions& out);
    void onEvent(const KeyDone& done, const Now& now, Actions& out);
    void onEvent(const LedgerReceived& received, const Now& now, Actions& out);
    void onEvent(const KeeperEvent& event, const Now& now, Actions& out);

    void answerFromLedger(const KeyAsk& ask, const KeyEntry& entry, Actions& out);
    void startRun(const KeyAsk& ask, const Now& now, Actions& out);
    void refuse(uint64_t request, RefusalReason reason, RunOutcome outcome, Millis retryAfter,
                const char* detail, Actions& out);
    void takeKeeperActions(std::vector<KeeperAction> actions, Actions& out);
    void handOver(Actions& out);
    bool moves(const std::string& key) const;

    RosterKeeper m_keeper;
    KeyLedger m_ledger;
    std::map<uint64_t, Run> m_runs;  // By the request that started it.
    std::map<std::string, uint64_t> m_runOfKey;
    std::optional<Move> m_move;
};

}  // namespace onyx
