#include "include/peers/CollectorChoice.h"

#include "include/peers/RoomReports.h"

namespace onyx {

size_t CollectorChoice::choose(size_t count, MonoTime now) {
    if (!m_reportedAt || now - *m_reportedAt > kPause) {
        m_index = 0;
        m_unansweredSince.reset();
    }
    m_reportedAt = now;
    if (m_unansweredSince && now - *m_unansweredSince >= kMaxRoomAge) {
        ++m_index;
        m_unansweredSince.reset();
    }
    if (!m_unansweredSince) {
        m_unansweredSince = now;
    }
    m_index %= count;
    return m_index;
}

// Roots always send to the first collector, which passes the shares on whether or not this box
// reports to it; so a better one that works again is heard of.
void CollectorChoice::noteShares(size_t collector) {
    if (collector <= m_index) {
        m_index = collector;
        m_unansweredSince.reset();
    }
}

}  // namespace onyx
