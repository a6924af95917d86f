#include "include/relay/StreamRecords.h"

namespace onyx {

void StreamRecords::put(uint64_t stream, const StreamOrigin& origin, MonoTime until, MonoTime now) {
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        dropFirst();
    }
    if (until <= now) {
        return;
    }
    const auto it = m_records.find(stream);
    if (it == m_records.end()) {
        if (m_records.size() >= kMaxRecords) {
            dropFirst();
        }
        m_records.emplace(stream, Record{origin, m_expiry.emplace(until, stream)});
        return;
    }
    if (it->second.origin != origin) {
        it->second.origin.version.clear();
    }
    if (it->second.expiry->first < until) {
        m_expiry.erase(it->second.expiry);
        it->second.expiry = m_expiry.emplace(until, stream);
    }
}

std::optional<StreamOrigin> StreamRecords::find(uint64_t stream, MonoTime now) const {
    const auto it = m_records.find(stream);
    const bool isKept = it != m_records.end() && it->second.expiry->first > now;
    return isKept ? std::optional<StreamOrigin>(it->second.origin) : std::nullopt;
}

void StreamRecords::dropFirst() {
    m_records.erase(m_expiry.begin()->second);
    m_expiry.erase(m_expiry.begin());
}

}  // namespace onyx
