#include "include/peers/RoomReports.h"

#include <utility>

namespace onyx {

void RoomReports::put(const std::string& from, RoomCounts counts, MonoTime now) {
    if (m_entries.size() >= m_maxSenders && !contains(from)) {
        dropOld(now);
    }
    if (m_entries.size() < m_maxSenders || contains(from)) {
        m_entries[from] = {std::move(counts), now};
    }
}

std::optional<RoomCounts> RoomReports::sum(MonoTime now) {
    dropOld(now);
    if (m_entries.empty()) {
        return std::nullopt;
    }
    RoomCounts sum;
    sum.boxes = 0;
    for (const auto& [from, entry] : m_entries) {
        sum.add(entry.counts);
    }
    return sum;
}

void RoomReports::dropOld(MonoTime now) {
    std::erase_if(m_entries,
                  [&](const auto& known) { return now - known.second.at > kMaxRoomAge; });
}

}  // namespace onyx
