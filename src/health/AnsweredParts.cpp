#include "include/health/AnsweredParts.h"

#include <algorithm>
#include <utility>

namespace onyx {

void AnsweredParts::note(uint64_t part, MonoTime sent, MonoTime now) {
    const MonoTime newest = std::max(sent, answered(part).value_or(sent));
    if (m_recent.size() >= kMaxParts || now - m_since >= kRetentionMs) {
        m_older = std::exchange(m_recent, {});
        m_since = now;
    }
    m_recent[part] = newest;
}

std::optional<MonoTime> AnsweredParts::answered(uint64_t part) const {
    for (const Times* times : {&m_recent, &m_older}) {
        const auto it = times->find(part);
        if (it != times->end()) {
            return it->second;
        }
    }
    return std::nullopt;
}

}  // namespace onyx
