#include "include/freshness/PeerKnowledge.h"

namespace onyx {

uint64_t PeerKnowledge::ask(MonoTime now) {
    m_asked[++m_round] = now;
    if (m_asked.size() > kMaxRounds) {
        m_asked.erase(m_asked.begin());
    }
    return m_round;
}

std::optional<MonoTime> PeerKnowledge::answered(uint64_t round, Millis age) const {
    const auto it = m_asked.find(round);
    if (it == m_asked.end() || age < 0) {
        return std::nullopt;
    }
    return it->second - age;
}

std::vector<std::string> PeerKnowledge::nextAsked(const std::vector<std::string>& peers) {
    if (peers.size() <= kMaxAsked) {
        return peers;
    }
    std::vector<std::string> asked;
    for (size_t i = 0; i < kMaxAsked; ++i) {
        asked.push_back(peers[(m_turn + i) % peers.size()]);
    }
    m_turn = (m_turn + kMaxAsked) % peers.size();
    return asked;
}

std::optional<uint64_t> PeerKnowledge::startFetch(MonoTime now) {
    const auto underWay = m_fetch ? m_asked.find(*m_fetch) : m_asked.end();
    if (underWay != m_asked.end() && now - underWay->second < kFetchTimeout) {
        return std::nullopt;
    }
    m_fetch = ask(now);
    return m_fetch;
}

bool PeerKnowledge::endFetch(uint64_t round) {
    if (m_fetch != round) {
        return false;
    }
    m_fetch.reset();
    return true;
}

}  // namespace onyx
