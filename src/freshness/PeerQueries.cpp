#include "include/freshness/PeerQueries.h"

namespace onyx {

uint64_t PeerQueries::ask(MonoTime now) {
    m_sentAt[++m_round] = now;
    if (m_sentAt.size() > kMaxOpenQueries) {
        m_sentAt.erase(m_sentAt.begin());
    }
    return m_round;
}

std::optional<MonoTime> PeerQueries::stateAsOf(uint64_t round, Millis age) const {
    const auto it = m_sentAt.find(round);
    if (it == m_sentAt.end() || age < 0) {
        return std::nullopt;
    }
    return it->second - age;
}

std::vector<std::string> PeerQueries::nextPeers(const std::vector<std::string>& peers) {
    if (peers.size() <= kPeersPerRound) {
        return peers;
    }
    std::vector<std::string> asked;
    for (size_t i = 0; i < kPeersPerRound; ++i) {
        asked.push_back(peers[(m_nextPeer + i) % peers.size()]);
    }
    m_nextPeer = (m_nextPeer + kPeersPerRound) % peers.size();
    return asked;
}

std::optional<uint64_t> PeerQueries::startFetch(MonoTime now, Millis timeout) {
    const auto underWay = m_fetchRound ? m_sentAt.find(*m_fetchRound) : m_sentAt.end();
    if (underWay != m_sentAt.end() && now - underWay->second < m_fetchTimeout) {
        return std::nullopt;
    }
    m_fetchRound = ask(now);
    m_fetchTimeout = timeout;
    return m_fetchRound;
}

bool PeerQueries::endFetch(uint64_t round) {
    if (m_fetchRound != round) {
        return false;
    }
    m_fetchRound.reset();
    return true;
}

}  // namespace onyx
