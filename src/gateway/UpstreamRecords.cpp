#include "include/gateway/UpstreamRecords.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

void UpstreamRecords::forget(const std::string& id) {
    m_pool.drop(id);
    m_health.forget(id);
    m_loads.forget(id);
}

KnownLoad UpstreamRecords::load(const std::string& id, MonoTime now) const {
    const int counted = m_loads.own(id) + m_peerCounts.at(id);
    if (!m_peerCounts.isSample()) {
        return {std::max(m_loads.total(id, now), counted), false};
    }
    // A sample of the boxes, told a second ago, is no measure of one upstream: it was given too
    // much where a few boxes had told little, and left alone where they had told much. What the
    // upstream itself reported goes first; without a report the count is a guess, and a guess is
    // not believed where a report would have come.
    if (const std::optional<int> reported = m_loads.reported(id, now)) {
        return {*reported, true};
    }
    const int guess = std::min(counted, m_loads.mostUnreported(id, now).value_or(counted));
    return {std::max(m_loads.own(id), guess), false};
}

void UpstreamRecords::notePrompt(std::span<const std::string> sharedParts, const std::string& id,
                                 MonoTime now) {
    m_caches.recordAnswer(sharedParts, id, now);
    if (!sharedParts.empty()) {
        m_prompts.note(ShortHash(sharedParts.back()), now);
    }
}

double UpstreamRecords::promptShare(std::span<const std::string> sharedParts, MonoTime now) const {
    return sharedParts.empty() ? 0 : m_prompts.share(ShortHash(sharedParts.back()), now);
}

bool UpstreamRecords::noteSign(const std::string& id, UpstreamSign sign, MonoTime sent,
                               MonoTime now) {
    if (!m_health.note(id, sign, sent, now)) {
        return false;
    }
    // Bytes sent on a kept connection may have arrived, those of a connection that does not open
    // have not: the request that tries this upstream next can still go elsewhere.
    m_pool.drop(id);
    return true;
}

}  // namespace onyx
