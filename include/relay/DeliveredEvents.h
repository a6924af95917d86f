// Decides which events of a stream go to the caller, over all the upstreams that the stream comes
// from, and whether its place is known, so that another upstream may continue it.
//
// The ids of a stream's events rise. An upstream that continues the stream may send events that the
// caller has already; they are dropped. An id that does not rise within one upstream's stream shows
// that this id or an earlier one is wrong: an event may be missing, and which events the caller has
// is unknown.
#pragma once

#include "include/relay/EventStream.h"

#include <cstdint>
#include <optional>

namespace onyx {

// What becomes of an event.
enum class EventUse : uint8_t {
    kDeliver,
    kDuplicate,   // The caller has it.
    kOutOfOrder,  // Nothing from here on may be passed on.
};

// The events of one stream. Deterministic. Not thread safe: one task owns it.
class DeliveredEvents {
public:
    // `lastEvent`: the caller has the events up to this one. Preconditions: none.
    explicit DeliveredEvents(std::optional<uint64_t> lastEvent) : m_lastEvent(lastEvent) {}

    // The events that follow come from another upstream. Preconditions: none.
    void beginAttempt() { m_lastOfAttempt.reset(); }

    // Decides about the next event, which goes to the caller if the result is `kDeliver`.
    // Preconditions: beginAttempt() was called.
    EventUse take(const StreamEvent& event);

    // Returns the id of the last event that the caller has, if any has an id. Preconditions: none.
    std::optional<uint64_t> lastEvent() const { return m_lastEvent; }

    // Returns whether lastEvent() names everything that the caller has. Preconditions: none.
    bool isPlaceKnown() const { return m_placeKnown; }

private:
    EventUse judge(const StreamEvent& event);

    std::optional<uint64_t> m_lastEvent;
    std::optional<uint64_t> m_lastOfAttempt;  // The last id of the current upstream's stream.
    EventUse m_use = EventUse::kDeliver;      // Of the last event.
    bool m_placeKnown = true;
};

}  // namespace onyx
