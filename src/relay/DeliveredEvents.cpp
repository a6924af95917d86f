#include "include/relay/DeliveredEvents.h"

namespace onyx {

EventUse DeliveredEvents::take(const StreamEvent& event) {
    if (!event.isWhole || (!event.id && event.hasData)) {
        m_placeKnown = false;
    }
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
