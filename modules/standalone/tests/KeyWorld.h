// A few key owners, a platform and a clock, small enough to copy: what the exploration walks over.
// Every box is asked for every key again and again; faults are put in from outside.
#pragma once

#include "modules/standalone/include/idempotency/KeyOwner.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace onyx {

class KeyWorld {
public:
    static constexpr Millis kStep = 10;
    static constexpr size_t kKeysAsked = 5;  // Latest keys that are asked for in each step.

    enum class Fault : uint8_t {
        kCrash,         // The box is replaced by a fresh life.
        kPause,         // It stops for longer than its lease and wakes.
        kPauseAtWrite,  // It stops between its last check and the write to the upstream.
        kCut,           // It hears no other box for a while.
        kCutPlatform,   // It cannot reach the platform for a while.
        kCutBoth,       // Both.
        kLoseAnswer,    // Its next write takes effect and the answer is lost.
        kLateWrite,     // Its next write takes effect much later; the answer is lost.
        kOutage,        // The platform is down for all.
        kLeave,         // A planned stop.
        kCount
    };

    explicit KeyWorld(size_t boxes, KeeperSettings settings);

    static KeeperSettings settings();

    void inject(Fault fault, size_t box);
    void step();

    // The first broken promise, or nothing.
    const std::string& broken() const { return m_broken; }
    uint64_t fingerprint() const;
    size_t executions() const { return m_executions; }
    size_t unknowns() const { return m_unknowns; }
    size_t epochs() const { return static_cast<size_t>(m_roster.epoch); }

private:
    struct Box {
        std::optional<KeyOwner> owner;
        std::string name;
        int life = 0;
        Millis pausedUntil = 0;
        Millis cutUntil = 0;
        Millis platformCutUntil = 0;
        Millis skew = 0;
        bool loseAnswer = false;
        bool lateWrite = false;
        bool pauseAtWrite = false;
        bool left = false;
    };
    struct Message {
        size_t to = 0;
        int life = 0;
        Millis at = 0;
        KeyEvent event;
    };
    struct UpstreamWrite {
        size_t box = 0;
        int life = 0;
        uint64_t request = 0;
        std::string key;
        Millis at = 0;
    };
    struct LateCall {
        Millis at = 0;
        KeeperAction action;
    };

    Now nowOf(const Box& box) const;
    void startLife(size_t box);
    void feed(size_t box, const KeyEvent& event);
    void perform(size_t box, const std::vector<KeyAction>& actions);
    void performKeeper(size_t box, const KeeperAction& action);
    void sendTo(const MemberId& member, size_t from, KeyEvent event);
    void callPlatform(size_t box, const KeeperAction& action);
    KeyEvent applyCall(const KeeperAction& action);
    KeyEvent failedReply(const KeeperAction& action, CallStatus status) const;
    void deliver();
    void dispatch(size_t box, uint64_t request, const std::string& key);
    void writeUpstream(const UpstreamWrite& write);
    void askAll();
    void fail(const std::string& what);

    KeeperSettings m_settings;
    Millis m_time = 1000;
    std::vector<Box> m_boxes;
    std::deque<Message> m_messages;
    std::vector<UpstreamWrite> m_writes;
    std::vector<LateCall> m_lateCalls;
    uint64_t m_version = 0;
    uint64_t m_rosterVersion = 0;
    Roster m_roster;
    std::map<std::string, std::pair<uint64_t, LeaseRecord>> m_leases;
    Millis m_outageUntil = 0;
    std::deque<std::pair<std::string, WallTime>> m_keys;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_notRun;
    std::map<uint64_t, std::string> m_requests;
    uint64_t m_lastRequest = 0;
    uint64_t m_lastKey = 0;
    size_t m_executions = 0;
    size_t m_unknowns = 0;
    std::string m_broken;
};

}  // namespace onyx
