#include "modules/standalone/include/idempotency/KeyOwner.h"

#include <algorithm>

namespace onyx {

KeyOwner::KeyOwner(MemberId member, const KeeperSettings& keeper, const LedgerSettings& ledger)
    : m_keeper(std::move(member), keeper), m_ledger(ledger) {}

std::vector<KeyAction> KeyOwner::step(const KeyEvent& event, const Now& now) {
    Actions out;
    std::visit([&](const auto& e) { onEvent(e, now, out); }, event);
    return out;
}

void KeyOwner::refuse(uint64_t request, RefusalReason reason, RunOutcome outcome, Millis retryAfter,
                      const char* detail, Actions& out) {
    out.emplace_back(KeyRefused{request, {reason, outcome, retryAfter, detail}});
}

void KeyOwner::onEvent(const KeyAsk& ask, const Now& now, Actions& out) {
    if (const KeyEntry* entry = m_ledger.find(ask.key)) {
        answerFromLedger(ask, *entry, out);
        return;
    }
    using enum RunOutcome;
    switch (m_keeper.right(ask.key, ask.mintedAt, now)) {
        case KeyRight::kMayRun:
            startRun(ask, now, out);
            return;
        case KeyRight::kNotOwner: {
            const auto owner = m_keeper.ownerOf(ask.key);
            if (owner && *owner != m_keeper.self()) {
                out.emplace_back(KeyElsewhere{ask.request, *owner});
            } else {
                refuse(ask.request, RefusalReason::kOwnerAway, kUnknown, kAwayRetry,
                       "the zone has no owners yet", out);
            }
            return;
        }
        case KeyRight::kMoving:
            refuse(ask.request, RefusalReason::kOwnerAway, kUnknown, kMovingRetry,
                   "the key moves to another box", out);
            return;
        case KeyRight::kNoLease:
            refuse(ask.request, RefusalReason::kOwnerAway, kUnknown, kAwayRetry,
                   "the owner's lease is over", out);
            return;
        case KeyRight::kTooOld:
            refuse(ask.request, RefusalReason::kKeyTooOld, kUnknown, 0,
                   "minted before its owner took over", out);
            return;
        case KeyRight::kInFuture:
            refuse(ask.request, RefusalReason::kKeyInFuture, kUnknown, 0,
                   "minted later than the clocks allow", out);
            return;
    }
}

void KeyOwner::answerFromLedger(const KeyAsk& ask, const KeyEntry& entry, Actions& out) {
    if (entry.digest != ask.digest) {
        refuse(ask.request, RefusalReason::kKeyReused, RunOutcome::kUnknown, 0,
               "this key came with another request", out);
        return;
    }
    switch (entry.state) {
        case KeyState::kInFlight:
            m_runs.at(m_runOfKey.at(ask.key)).waiting.push_back(ask.request);
            return;
        case KeyState::kRan:
            out.emplace_back(KeyRan{ask.request, true, entry.bodyKept, entry.status,
                                    entry.contentType, entry.body});
            return;
        case KeyState::kNotRun:
            refuse(ask.request, RefusalReason::kUpstreamFailed, RunOutcome::kNotRun, 0,
                   "this key is closed: start over with a fresh one", out);
            return;
        case KeyState::kUnknown:
            refuse(ask.request, RefusalReason::kUpstreamFailed, RunOutcome::kUnknown, 0,
                   "it was sent and no answer came", out);
            return;
    }
}

void KeyOwner::startRun(const KeyAsk& ask, const Now& now, Actions& out) {
    if (m_ledger.beforeHorizon(ask.mintedAt, now.wall)) {
        refuse(ask.request, RefusalReason::kKeyTooOld, RunOutcome::kUnknown, 0,
               "minted before the ledger's horizon", out);
        return;
    }
    if (m_ledger.full()) {
        // Closing the key would need a place in the ledger, too.
        refuse(ask.request, RefusalReason::kOverloaded, RunOutcome::kUnknown, kAwayRetry,
               "the ledger is full", out);
        return;
    }
    KeyEntry entry;
    entry.key = ask.key;
    entry.mintedAt = ask.mintedAt;
    entry.digest = ask.digest;
    if (ask.deadline <= now.mono) {
        entry.state = KeyState::kNotRun;
        m_ledger.put(entry);
        refuse(ask.request, RefusalReason::kDeadline, RunOutcome::kNotRun, 0, "deadline passed",
               out);
        return;
    }
    m_ledger.put(entry);
    m_runs[ask.request] = {ask.key, ask.mintedAt, {ask.request}};
    m_runOfKey[ask.key] = ask.request;
    out.emplace_back(RunKey{ask.request, ask.key, m_keeper.roster().epoch});
}

bool KeyOwner::mayDispatch(uint64_t request, const Now& now) const {
    const auto run = m_runs.find(request);
    return run != m_runs.end() &&
           m_keeper.right(run->second.key, run->second.mintedAt, now) == KeyRight::kMayRun;
}

void KeyOwner::onEvent(const KeyDone& done, const Now&, Actions& out) {
    const auto it = m_runs.find(done.request);
    if (it == m_runs.end()) {
        return;
    }
    const Run run = std::move(it->second);
    m_runs.erase(it);
    m_runOfKey.erase(run.key);
    const KeyEntry* held = m_ledger.find(run.key);
    KeyEntry entry = held != nullptr ? *held : KeyEntry{};
    entry.key = run.key;
    entry.mintedAt = run.mintedAt;
    entry.state = done.state;
    entry.status = done.status;
    entry.contentType = done.contentType;
    entry.body = done.body;
    m_ledger.put(std::move(entry));
    for (const uint64_t request : run.waiting) {
        const bool first = request == done.request;
        if (done.state == KeyState::kRan) {
            out.emplace_back(
                KeyRan{request, !first, true, done.status, done.contentType, done.body});
        } else if (done.state == KeyState::kNotRun) {
            refuse(request, RefusalReason::kUpstreamFailed, RunOutcome::kNotRun, 0,
                   "no upstream took it; the key is closed", out);
        } else {
            refuse(request, RefusalReason::kUpstreamFailed, RunOutcome::kUnknown, kAwayRetry,
                   "it was sent and no answer came", out);
        }
    }
    handOver(out);
}

void KeyOwner::onEvent(const LedgerReceived& received, const Now& now, Actions& out) {
    for (const KeyEntry& entry : received.entries) {
        if (entry.state != KeyState::kInFlight) {
            m_ledger.merge(entry);
        }
    }
    const KeeperEvent taken = HandoverTaken{received.from, received.epoch, received.handover};
    takeKeeperActions(m_keeper.step(taken, now), out);
}

void KeyOwner::onEvent(const KeeperEvent& event, const Now& now, Actions& out) {
    if (std::holds_alternative<KeeperTick>(event)) {
        m_ledger.expire(now.wall);
    }
    takeKeeperActions(m_keeper.step(event, now), out);
    handOver(out);
}

void KeyOwner::takeKeeperActions(std::vector<KeeperAction> actions, Actions& out) {
    for (KeeperAction& action : actions) {
        if (const auto* consented = std::get_if<Consented>(&action)) {
            m_move = Move{consented->epoch, m_keeper.knownSince(), m_keeper.roster().members,
                          consented->members};
            continue;
        }
        if (std::holds_alternative<Rejoined>(action)) {
            // What still runs was started under the old membership and stays closed by its
            // mint time; nothing of the old ledger may speak for the new member.
            m_ledger.clear();
            m_move.reset();
        }
        out.emplace_back(std::move(action));
    }
}

bool KeyOwner::moves(const std::string& key) const {
    return OwnerAmong(key, m_move->before) == m_keeper.self() &&
           OwnerAmong(key, m_move->after) != m_keeper.self();
}

// Once none of the moving keys is in flight, their history is complete and goes to the members
// that will own them. A handover that gets lost costs answers, not safety.
void KeyOwner::handOver(Actions& out) {
    if (!m_move) {
        return;
    }
    const bool busy = std::any_of(m_runs.begin(), m_runs.end(),
                                  [&](const auto& run) { return moves(run.second.key); });
    if (busy) {
        return;
    }
    std::map<MemberId, std::vector<KeyEntry>> entries;
    for (const MemberId& member : m_move->after) {
        if (member != m_keeper.self()) {
            entries[member];
        }
    }
    for (const auto& [key, entry] : m_ledger.entries()) {
        const auto next = OwnerAmong(key, m_move->after);  // Nobody, when the last member leaves.
        if (next && moves(key)) {
            entries[*next].push_back(entry);
        }
    }
    for (auto& [member, moved] : entries) {
        out.emplace_back(SendLedger{member,
                                    m_move->epoch,
                                    {m_move->since, m_move->before, m_move->after},
                                    std::move(moved)});
    }
    m_move.reset();
}

}  // namespace onyx
