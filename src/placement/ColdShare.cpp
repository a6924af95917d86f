#include "include/placement/ColdShare.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace onyx {

namespace {

constexpr size_t kMaxDraws = 4096;  // Remembered; beyond it they are drawn anew.
// Of what is allowed: the rest is for boxes that know other boxes than most, and for requests that
// were placed some time apart and arrive together.
constexpr double kPlannedPart = 0.5;

}  // namespace

void ColdShare::setBoxes(const std::string& self, std::vector<std::string> others, MonoTime now) {
    if (!std::exchange(m_knowsSelf, true)) {
        m_since = now;
    }
    if (self == m_self && others == m_others) {
        return;
    }
    m_self = self;
    m_others = std::move(others);
    m_drawn.clear();
}

bool ColdShare::isDrawn(const std::string& upstream) const {
    const uint64_t key = HashText(upstream);
    const uint64_t own = RendezvousScore(key, m_self);
    const auto ahead = std::count_if(m_others.begin(), m_others.end(), [&](const std::string& box) {
        return RendezvousScore(key, box) > own;
    });
    return static_cast<size_t>(ahead) < kSharers;
}

bool ColdShare::takesPart(const std::string& upstream, MonoTime now) const {
    if (!m_knowsSelf || now - m_since < kDiscoveryTime || (m_linked == 0 && !m_others.empty())) {
        return false;
    }
    if (m_drawn.size() >= kMaxDraws) {
        m_drawn.clear();
    }
    const auto [it, isNew] = m_drawn.try_emplace(upstream, false);
    if (isNew) {
        it->second = isDrawn(upstream);
    }
    return it->second;
}

Millis ColdShare::spacing(const ColdLimit& limit) const {
    const double allowed = limit.perSecond * limit.overshoot + limit.tolerance;
    const double planned = std::min(limit.perSecond, kPlannedPart * allowed);
    const double sharers = static_cast<double>(std::min(kSharers, m_others.size() + 1));
    return static_cast<Millis>(std::ceil(1000 * sharers / planned));
}

}  // namespace onyx
