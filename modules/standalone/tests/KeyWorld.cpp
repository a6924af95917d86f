#include "modules/standalone/tests/KeyWorld.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kLongPause = 110;  // More than a lease and its margin.
constexpr Millis kCutTime = 90;
constexpr Millis kOutageTime = 160;

}  // namespace

KeeperSettings KeyWorld::settings() {
    KeeperSettings settings;
    settings.lease = 60;
    settings.renew = 20;
    settings.drift = 10;
    settings.skew = 5;
    settings.promise = 40;
    settings.takeoverAfter = 30;
    settings.retry = 10;
    settings.handoverWait = 30;
    settings.stuck = 200;
    return settings;
}

KeyWorld::KeyWorld(size_t boxes, KeeperSettings settings)
    : m_settings(std::move(settings)), m_boxes(boxes) {
    for (size_t i = 0; i < boxes; ++i) {
        m_boxes[i].name = "box" + std::to_string(i);
        // The clocks are apart by the skew limit.
        m_boxes[i].skew = i == 0 ? m_settings.skew : 0;
        startLife(i);
    }
}

Now KeyWorld::nowOf(const Box& box) const {
    return {{m_time}, {m_time + box.skew}};
}

void KeyWorld::startLife(size_t index) {
    Box& box = m_boxes[index];
    ++box.life;
    const MemberId member(box.name + "#" + std::to_string(box.life));
    box.owner.emplace(member, m_settings, LedgerSettings{});
    box.pausedUntil = 0;
    box.left = false;
    box.loseAnswer = false;
    box.lateWrite = false;
    box.pauseAtWrite = false;
}

void KeyWorld::inject(Fault fault, size_t index) {
    Box& box = m_boxes[index];
    switch (fault) {
        case Fault::kCrash:
            startLife(index);
            break;
        case Fault::kPause:
            box.pausedUntil = m_time + kLongPause;
            break;
        case Fault::kPauseAtWrite:
            box.pauseAtWrite = true;
            break;
        case Fault::kCut:
            box.cutUntil = m_time + kCutTime;
            break;
        case Fault::kCutPlatform:
            box.platformCutUntil = m_time + kCutTime;
            break;
        case Fault::kCutBoth:
            box.cutUntil = m_time + kCutTime;
            box.platformCutUntil = m_time + kCutTime;
            break;
        case Fault::kLoseAnswer:
            box.loseAnswer = true;
            break;
        case Fault::kLateWrite:
            box.lateWrite = true;
            break;
        case Fault::kOutage:
            m_outageUntil = m_time + kOutageTime;
            break;
        case Fault::kLeave:
            feed(index, KeeperEvent(LeaveRoster{}));
            break;
        case Fault::kCount:
            break;
    }
}

void KeyWorld::feed(size_t index, const KeyEvent& event) {
    Box& box = m_boxes[index];
    perform(index, box.owner->step(event, nowOf(box)));
}

void KeyWorld::step() {
    m_time += kStep;
    for (auto it = m_lateCalls.begin(); it != m_lateCalls.end();) {
        if (it->at <= m_time) {
            applyCall(it->action);
            it = m_lateCalls.erase(it);
        } else {
            ++it;
        }
    }
    const auto due = std::stable_partition(m_writes.begin(), m_writes.end(),
                                           [&](const auto& write) { return write.at > m_time; });
    const std::vector<UpstreamWrite> ready(due, m_writes.end());
    m_writes.erase(due, m_writes.end());
    for (const UpstreamWrite& write : ready) {
        writeUpstream(write);
    }
    std::set<std::string> names;
    for (const Box& box : m_boxes) {
        names.insert(box.name);
    }
    for (size_t i = 0; i < m_boxes.size(); ++i) {
        if (m_boxes[i].pausedUntil > m_time) {
            continue;
        }
        MembersLive live;
        const bool cut = m_boxes[i].cutUntil > m_time;
        for (size_t j = 0; j < m_boxes.size() && !cut; ++j) {
            const Box& other = m_boxes[j];
            if (j != i && other.cutUntil <= m_time && other.pausedUntil <= m_time) {
                live.members.push_back({other.owner->keeper().self(), other.left});
            }
        }
        std::sort(live.members.begin(), live.members.end(),
                  [](const auto& a, const auto& b) { return a.member < b.member; });
        feed(i, KeeperEvent(live));
        feed(i, KeeperEvent(BoxesListed{names}));
        feed(i, KeeperEvent(KeeperTick{}));
    }
    deliver();
    askAll();
    deliver();
}

void KeyWorld::askAll() {
    const std::string fresh = "key" + std::to_string(++m_lastKey);
    m_keys.emplace_back(fresh, WallTime{m_time});
    if (m_keys.size() > kKeysAsked) {
        m_keys.pop_front();
    }
    const auto keys = m_keys;
    for (const auto& [key, minted] : keys) {
        for (size_t i = 0; i < m_boxes.size(); ++i) {
            if (m_boxes[i].pausedUntil > m_time) {
                continue;
            }
            const uint64_t request = ++m_lastRequest;
            m_requests[request] = key;
            feed(i, KeyAsk{request, key, minted, 0, {m_time + 1000}});
        }
    }
}

void KeyWorld::perform(size_t index, const std::vector<KeyAction>& actions) {
    for (const KeyAction& action : actions) {
        if (const auto* run = std::get_if<RunKey>(&action)) {
            dispatch(index, run->request, run->key);
        } else if (const auto* refused = std::get_if<KeyRefused>(&action)) {
            const std::string& key = m_requests[refused->request];
            m_unknowns += refused->refusal.outcome == RunOutcome::kUnknown ? 1 : 0;
            if (refused->refusal.outcome == RunOutcome::kNotRun) {
                m_notRun.insert(key);
                if (m_runs[key] > 0) {
                    fail("not-run was said of " + key + ", which ran");
                }
            }
        } else if (const auto* ledger = std::get_if<SendLedger>(&action)) {
            const LedgerReceived received{m_boxes[index].owner->keeper().self(), ledger->epoch,
                                          ledger->handover, ledger->entries};
            sendTo(ledger->to, index, received);
        } else if (const auto* keeper = std::get_if<KeeperAction>(&action)) {
            performKeeper(index, *keeper);
        }
    }
}

void KeyWorld::performKeeper(size_t index, const KeeperAction& action) {
    const MemberId self = m_boxes[index].owner->keeper().self();
    if (const auto* ask = std::get_if<AskConsent>(&action)) {
        sendTo(ask->to, index, KeeperEvent(ConsentAsked{self, ask->epoch, ask->members}));
    } else if (const auto* answer = std::get_if<AnswerConsent>(&action)) {
        sendTo(answer->to, index,
               KeeperEvent(ConsentAnswered{self, answer->epoch, answer->granted}));
    } else if (const auto* promise = std::get_if<AskPromise>(&action)) {
        sendTo(promise->to, index, KeeperEvent(PromiseAsked{self, promise->round, promise->epoch}));
    } else if (const auto* given = std::get_if<AnswerPromise>(&action)) {
        sendTo(given->to, index,
               KeeperEvent(PromiseAnswered{self, given->round, given->epoch, given->granted}));
    } else if (std::holds_alternative<LeftRoster>(action)) {
        m_boxes[index].left = true;
    } else if (!std::holds_alternative<EpochTaken>(action) &&
               !std::holds_alternative<Rejoined>(action)) {
        callPlatform(index, action);
    }
}

void KeyWorld::sendTo(const MemberId& member, size_t from, KeyEvent event) {
    if (m_boxes[from].cutUntil > m_time) {
        return;
    }
    for (size_t i = 0; i < m_boxes.size(); ++i) {
        if (m_boxes[i].owner->keeper().self() == member && m_boxes[i].cutUntil <= m_time) {
            m_messages.push_back({i, m_boxes[i].life, m_time, std::move(event)});
            return;
        }
    }
}

void KeyWorld::callPlatform(size_t index, const KeeperAction& action) {
    Box& box = m_boxes[index];
    const bool writes =
        std::holds_alternative<WriteLease>(action) || std::holds_alternative<WriteRoster>(action);
    const bool down = m_outageUntil > m_time || box.platformCutUntil > m_time;
    KeyEvent reply;
    if (down) {
        reply = failedReply(action, CallStatus::kUnavailable);
    } else if (writes && box.lateWrite) {
        box.lateWrite = false;
        m_lateCalls.push_back({m_time + kCutTime, action});
        reply = failedReply(action, CallStatus::kUnknown);
    } else if (writes && box.loseAnswer) {
        box.loseAnswer = false;
        applyCall(action);
        reply = failedReply(action, CallStatus::kUnknown);
    } else {
        reply = applyCall(action);
    }
    m_messages.push_back({index, box.life, m_time, std::move(reply)});
}

KeyEvent KeyWorld::failedReply(const KeeperAction& action, CallStatus status) const {
    if (const auto* read = std::get_if<ReadRoster>(&action)) {
        return KeeperEvent(RosterReply{read->call, status, 0, {}});
    }
    if (const auto* write = std::get_if<WriteRoster>(&action)) {
        return KeeperEvent(RosterReply{write->call, status, 0, {}});
    }
    if (const auto* read = std::get_if<ReadLease>(&action)) {
        return KeeperEvent(LeaseReply{read->call, status, 0, {}});
    }
    return KeeperEvent(LeaseReply{std::get<WriteLease>(action).call, status, 0, {}});
}

KeyEvent KeyWorld::applyCall(const KeeperAction& action) {
    if (const auto* read = std::get_if<ReadRoster>(&action)) {
        const auto status = m_rosterVersion == 0 ? CallStatus::kMissing : CallStatus::kOk;
        return KeeperEvent(RosterReply{read->call, status, m_rosterVersion, m_roster});
    }
    if (const auto* write = std::get_if<WriteRoster>(&action)) {
        if (write->expect != m_rosterVersion) {
            return KeeperEvent(RosterReply{write->call, CallStatus::kConflict, 0, {}});
        }
        m_rosterVersion = ++m_version;
        m_roster = write->roster;
        return KeeperEvent(RosterReply{write->call, CallStatus::kOk, m_rosterVersion, {}});
    }
    if (const auto* read = std::get_if<ReadLease>(&action)) {
        const auto it = m_leases.find(read->box);
        if (it == m_leases.end()) {
            return KeeperEvent(LeaseReply{read->call, CallStatus::kMissing, 0, {}});
        }
        return KeeperEvent(
            LeaseReply{read->call, CallStatus::kOk, it->second.first, it->second.second});
    }
    const auto& write = std::get<WriteLease>(action);
    const auto it = m_leases.find(write.box);
    const uint64_t held = it == m_leases.end() ? 0 : it->second.first;
    if (write.expect != held) {
        return KeeperEvent(LeaseReply{write.call, CallStatus::kConflict, 0, {}});
    }
    m_leases[write.box] = {++m_version, write.record};
    return KeeperEvent(LeaseReply{write.call, CallStatus::kOk, m_version, {}});
}

void KeyWorld::deliver() {
    // Messages to a box that stands still wait; those to an earlier life are gone.
    for (size_t rounds = 0; rounds < 200 && !m_messages.empty(); ++rounds) {
        std::deque<Message> now;
        now.swap(m_messages);
        bool any = false;
        for (Message& message : now) {
            const Box& box = m_boxes[message.to];
            if (box.life != message.life) {
                continue;
            }
            if (box.pausedUntil > m_time) {
                m_messages.push_back(std::move(message));
                continue;
            }
            any = true;
            feed(message.to, message.event);
        }
        if (!any) {
            return;
        }
    }
}

void KeyWorld::dispatch(size_t index, uint64_t request, const std::string& key) {
    Box& box = m_boxes[index];
    if (!box.owner->mayDispatch(request, nowOf(box))) {
        feed(index, KeyDone{request, KeyState::kNotRun, 0, "", ""});
        return;
    }
    const UpstreamWrite write{index, box.life, request, key, m_time + kLongPause};
    if (box.pauseAtWrite) {
        box.pauseAtWrite = false;
        box.pausedUntil = m_time + kLongPause;
        m_writes.push_back(write);
        return;
    }
    writeUpstream(write);
}

void KeyWorld::writeUpstream(const UpstreamWrite& write) {
    Box& box = m_boxes[write.box];
    if (box.life != write.life) {
        return;
    }
    ++m_executions;
    if (++m_runs[write.key] > 1) {
        fail(write.key + " ran twice");
    }
    if (m_notRun.contains(write.key)) {
        fail(write.key + " ran after not-run was said of it");
    }
    m_messages.push_back(
        {write.box, box.life, m_time, KeyDone{write.request, KeyState::kRan, 200, "", ""}});
}

void KeyWorld::fail(const std::string& what) {
    if (m_broken.empty()) {
        m_broken = what + " at " + std::to_string(m_time);
    }
}

uint64_t KeyWorld::fingerprint() const {
    std::string text;
    for (const Box& box : m_boxes) {
        text += box.owner->keeper().describe(nowOf(box));
        text += std::to_string(box.owner->ledger().size()) + "/" +
                std::to_string(box.pausedUntil > m_time) + std::to_string(box.cutUntil > m_time) +
                std::to_string(box.platformCutUntil > m_time) + ";";
    }
    text += std::to_string(m_version) + "," + std::to_string(m_messages.size()) + "," +
            std::to_string(m_writes.size());
    return HashText(text);
}

}  // namespace onyx
