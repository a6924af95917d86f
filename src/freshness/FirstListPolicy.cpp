#include "include/freshness/FirstListPolicy.h"

#include "include/base/Hash.h"

namespace onyx {

namespace {

// Keep the two random choices of a box independent of each other.
constexpr uint64_t kReaderSalt = 1;
constexpr uint64_t kWaitSalt = 2;

}  // namespace

bool FirstListPolicy::leavesRestToPeers(bool isSeed, MonoTime now) {
    const bool readsOn = isSeed || HashPair(m_seed, kReaderSalt) % kBoxesPerReader == 0;
    if (readsOn || m_waitsSince) {
        m_readsOnSince = now;
        return false;
    }
    m_waitsSince = now;
    return true;
}

bool FirstListPolicy::isWaiting(size_t links, bool hasList, MonoTime now) const {
    if (!m_waitsSince || hasList) {
        return false;
    }
    const Millis waited = now - *m_waitsSince;
    if (links == 0) {
        return waited < kLinkWait;
    }
    const auto spread = static_cast<uint64_t>(kMaxWait - kMinWait);
    return waited < kMinWait + static_cast<Millis>(HashPair(m_seed, kWaitSalt) % spread);
}

bool FirstListPolicy::isReadingOn(bool hasList, MonoTime now) const {
    return m_readsOnSince && !hasList && now - *m_readsOnSince < kMaxReadTime;
}

bool ListSendLimit::tryTake(MonoTime now) {
    while (!m_sent.empty() && now - m_sent.front() >= kPeriod) {
        m_sent.pop_front();
    }
    if (m_sent.size() >= kListsPerPeriod) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

}  // namespace onyx
