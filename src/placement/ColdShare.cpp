#include "include/placement/ColdShare.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace onyx {

namespace {

constexpr size_t kMaxCachedSelections = 4096;  // All are recomputed beyond this number.
// Fraction of the limit that is planned for. The rest is for boxes with a different view of the
// site than most, and for requests that were placed some time apart and arrive together.
constexpr double kPlannedFraction = 0.5;

}  // namespace

void ColdShare::setBoxes(const std::string& self, std::vector<std::string> others, MonoTime now) {
    if (!std::exchange(m_boxesSet, true)) {
        m_firstSetAt = now;
    }
    if (self == m_self && others == m_others) {
        return;
    }
    m_self = self;
    m_others = std::move(others);
    m_selectedByUpstream.clear();
}

bool ColdShare::isSelected(const std::string& upstream) const {
    const uint64_t key = HashText(upstream);
    const uint64_t own = RendezvousScore(key, m_self);
    const auto ahead = std::count_if(m_others.begin(), m_others.end(), [&](const std::string& box) {
        return RendezvousScore(key, box) > own;
    });
    return static_cast<size_t>(ahead) < kSendersPerUpstream;
}

bool ColdShare::maySend(const std::string& upstream, MonoTime now) const {
    if (!m_boxesSet || now - m_firstSetAt < kDiscoveryTime ||
        (m_linked == 0 && !m_others.empty())) {
        return false;
    }
    if (m_selectedByUpstream.size() >= kMaxCachedSelections) {
        m_selectedByUpstream.clear();
    }
    const auto [it, isNew] = m_selectedByUpstream.try_emplace(upstream, false);
    if (isNew) {
        it->second = isSelected(upstream);
    }
    return it->second;
}

Millis ColdShare::spacing(const ColdLimit& limit) const {
    const double allowed = limit.perSecond * limit.overshoot + limit.tolerance;
    const double planned = std::min(limit.perSecond, kPlannedFraction * allowed);
    const double sharers = static_cast<double>(std::min(kSendersPerUpstream, m_others.size() + 1));
    return static_cast<Millis>(std::ceil(1000 * sharers / planned));
}

}  // namespace onyx
