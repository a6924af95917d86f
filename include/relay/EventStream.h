// Splits a stream of server-sent events into complete events, so that a truncated event is never
// forwarded and each event reaches the caller once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// One event, or a piece of one that is too long to be buffered.
struct StreamEvent {
    std::string bytes;           // Includes the terminating blank line, if the event is whole.
    std::optional<uint64_t> id;  // Absent if the event has no numeric id.
    bool hasData = false;        // It has a data field; comments alone are no event for callers.
    bool isWhole = true;
    bool isContinuation = false;  // Of the event that the piece before it belongs to.
};

// Incremental parser of one stream. Not thread safe: one task owns it.
class EventStream {
public:
    // Maximum size of a buffered event, in bytes. A longer event is returned in pieces, which
    // bounds the memory for an event that never ends. A piece has an id only if it contains an id
    // line.
    static constexpr size_t kMaxEventBytes = size_t{64} * 1024;

    // Appends `bytes` to the stream and returns the events that they complete, in order.
    // Preconditions: none.
    std::vector<StreamEvent> feed(std::string_view bytes);

    // Returns the bytes of the event that is not complete yet. The view is valid until the next
    // call of feed() or reset(). Preconditions: none.
    std::string_view incomplete() const { return m_incomplete; }

    // Returns whether the stream could end here: no event has begun. Preconditions: none.
    bool isBetweenEvents() const { return m_incomplete.empty() && !m_inLongEvent; }

    // Discards the bytes of an incomplete event, after its stream broke off. Preconditions: none.
    void reset() {
        m_incomplete.clear();
        m_inLongEvent = false;
    }

private:
    std::string m_incomplete;
    bool m_inLongEvent = false;  // A piece of an event was returned, and its end was not.
};

}  // namespace onyx
