#include "modules/standalone/include/membership/PeerTable.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

PeerTable::PeerTable(PeerInfo self, Millis timeout) : m_self(std::move(self)), m_timeout(timeout) {}

void PeerTable::greeted(const PeerInfo& peer, MonoTime now) {
    std::erase_if(m_peers, [&](const auto& entry) {
        return entry.second.info.address == peer.address && entry.first != peer.member;
    });
    Peer& entry = m_peers[peer.member];
    entry.info = peer;
    entry.heardAt = now;
    entry.suspected = false;
    entry.next = 0;
}

void PeerTable::suspect(const MemberId& member) {
    const auto it = m_peers.find(member);
    if (it != m_peers.end()) {
        it->second.suspected = true;
    }
}

void PeerTable::heard(const MemberId& member, bool draining, Millis next, MonoTime now) {
    const auto it = m_peers.find(member);
    if (it == m_peers.end()) {
        return;
    }
    it->second.heardAt = now;
    it->second.draining = draining;
    it->second.suspected = false;
    it->second.next = next;
}

void PeerTable::lost(const MemberId& member) {
    m_peers.erase(member);
}

bool PeerTable::fresh(const Peer& peer, MonoTime now) const {
    constexpr Millis kMissedHeartbeats = 3;
    const Millis patience = std::max(m_timeout, kMissedHeartbeats * peer.next);
    const bool silent = peer.next > 0 && now - peer.heardAt > patience;
    return !peer.suspected && !silent;
}

std::vector<MemberId> PeerTable::live(const ZoneId& zone, MonoTime now) const {
    std::vector<MemberId> members;
    if (zone == m_self.zone && !m_selfDraining) {
        members.push_back(m_self.member);
    }
    for (const auto& [member, peer] : m_peers) {
        if (peer.info.zone == zone && fresh(peer, now) && !peer.draining) {
            members.push_back(member);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

std::vector<PeerInfo> PeerTable::reachable(MonoTime now) const {
    std::vector<PeerInfo> peers;
    for (const auto& [member, peer] : m_peers) {
        if (fresh(peer, now)) {
            peers.push_back(peer.info);
        }
    }
    return peers;
}

bool PeerTable::isLive(const MemberId& member, MonoTime now) const {
    if (member == m_self.member) {
        return true;
    }
    const auto it = m_peers.find(member);
    return it != m_peers.end() && fresh(it->second, now);
}

std::optional<MemberId> PeerTable::homeOf(const EngineId& engine, const ZoneId& zone,
                                          MonoTime now) const {
    const std::vector<MemberId> boxes = live(zone, now);
    const int winner = RendezvousWinner<MemberId>(engine.value, boxes);
    return winner < 0 ? std::nullopt : std::optional(boxes[static_cast<size_t>(winner)]);
}

uint64_t PeerTable::version(MonoTime now) {
    std::vector<MemberId> all;
    if (!m_selfDraining) {
        all.push_back(m_self.member);
    }
    for (const auto& [member, peer] : m_peers) {
        if (fresh(peer, now) && !peer.draining) {
            all.push_back(member);
        }
    }
    if (all != m_lastLive) {
        m_lastLive = std::move(all);
        ++m_version;
    }
    return m_version;
}

}  // namespace onyx
