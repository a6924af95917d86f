// Which boxes are live, as this box sees it, and which of them is the home of an engine. Soft
// state: boxes may disagree for a moment, which only loosens the load bound. A pure state machine.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace onyx {

// A box as its greeting described it.
struct PeerInfo {
    MemberId member;
    ZoneId zone;
    std::string address;  // ip:port of its frames.
};

// Not thread safe: one task owns it.
class PeerTable {
public:
    // `timeout`: least silence after which a peer that promised heartbeats is not live.
    // Preconditions: timeout > 0.
    PeerTable(PeerInfo self, Millis timeout);

    // A peer greeted us. A new incarnation at the same address replaces the old. Preconditions:
    // none.
    void greeted(const PeerInfo& peer, MonoTime now);

    // A heartbeat came, and the next is due within `next`; 0: the peer promises none, and is live
    // as long as its link stands and nobody suspects it. One from a member that never greeted is
    // ignored. Preconditions: none.
    void heard(const MemberId& member, bool draining, Millis next, MonoTime now);

    // The peer did not answer in time: it is not live until it is heard again or greets anew.
    // Preconditions: none.
    void suspect(const MemberId& member);

    // The link to the peer broke: it is not live until it greets again. Preconditions: none.
    void lost(const MemberId& member);

    // This box itself starts or stops to drain. Preconditions: none.
    void setSelfDraining(bool draining) { m_selfDraining = draining; }

    // Live boxes of `zone` that take work, by name; this box among them unless it drains.
    // Preconditions: none.
    std::vector<MemberId> live(const ZoneId& zone, MonoTime now) const;

    // All live boxes, draining ones included, without this one. Preconditions: none.
    std::vector<PeerInfo> reachable(MonoTime now) const;

    // Whether `member` was heard lately (or is this box). Preconditions: none.
    bool isLive(const MemberId& member, MonoTime now) const;

    // The box that admits work to `engine`: rendezvous over the live boxes of its zone; nothing
    // if there is none. Preconditions: none.
    std::optional<MemberId> homeOf(const EngineId& engine, const ZoneId& zone, MonoTime now) const;

    // Changes whenever the answer of homeOf may have changed. Preconditions: none.
    uint64_t version(MonoTime now);

    // This box. Preconditions: none.
    const PeerInfo& self() const { return m_self; }

private:
    struct Peer {
        PeerInfo info;
        MonoTime heardAt;
        bool draining = false;
        bool suspected = false;
        Millis next = 0;
    };

    bool fresh(const Peer& peer, MonoTime now) const;

    PeerInfo m_self;
    Millis m_timeout;
    bool m_selfDraining = false;
    std::map<MemberId, Peer> m_peers;
    std::vector<MemberId> m_lastLive;
    uint64_t m_version = 1;
};

}  // namespace onyx
