#include "include/relay/DeliveredEvents.h"

namespace onyx {

EventUse DeliveredEvents::take(const StreamEvent& event) {
    if (!event.isContinuation) {
        m_use = judge(event);
    }
    const bool hasNoPlace = !event.isWhole || (!event.id && event.hasData);
    if (m_use == EventUse::kDeliver && hasNoPlace) {
        m_placeKnown = false;
    }
    return m_use;
}

EventUse DeliveredEvents::judge(const StreamEvent& event) {
    if (!event.id) {
        return EventUse::kDeliver;
    }
    if (m_lastOfAttempt && *event.id <= *m_lastOfAttempt) {
        m_placeKnown = false;
        return EventUse::kOutOfOrder;
    }
    m_lastOfAttempt = event.id;
    if (m_lastEvent && *event.id <= *m_lastEvent) {
        return EventUse::kDuplicate;
    }
    m_lastEvent = event.id;
    return EventUse::kDeliver;
}

}  // namespace onyx
