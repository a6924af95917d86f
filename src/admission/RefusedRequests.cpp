#include "include/admission/RefusedRequests.h"

namespace onyx {

void RefusedRequests::note(uint64_t fingerprint, MonoTime until) {
    m_until[fingerprint] = until;
    m_entries.push_back({fingerprint, until});
    if (m_entries.size() <= kMaxRequests) {
        return;
    }
    const Entry oldest = m_entries.front();
    m_entries.pop_front();
    // The request may have been refused again since.
    const auto known = m_until.find(oldest.fingerprint);
    if (known != m_until.end() && known->second == oldest.until) {
        m_until.erase(known);
    }
}

std::optional<Millis> RefusedRequests::remaining(uint64_t fingerprint, MonoTime now) const {
    const auto known = m_until.find(fingerprint);
    if (known == m_until.end() || known->second <= now) {
        return std::nullopt;
    }
    return known->second - now;
}

}  // namespace onyx
