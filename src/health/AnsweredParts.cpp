#include "include/health/AnsweredParts.h"

#include <utility>

namespace onyx {

void AnsweredParts::note(uint64_t part, MonoTime now) {
    if (m_recent.size() >= kMaxParts || now - m_since >= kRetentionMs) {
        m_older = std::exchange(m_recent, {});
        m_since = now;
    }
    m_recent[part] = now;
}

bool AnsweredParts::isSound(uint64_t part, MonoTime now) const {
    for (const Times* times : {&m_recent, &m_older}) {
        const auto it = times->find(part);
        if (it != times->end()) {
            return now - it->second <= kSoundMs;
        }
    }
    return false;
}

bool AnsweredParts::wasAnswered(uint64_t part) const {
    return m_recent.contains(part) || m_older.contains(part);
}

}  // namespace onyx
