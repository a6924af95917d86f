// Cuts a stream of server-sent events into whole events, so that a broken one is never passed on
// and each event goes to the caller once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// One whole event, its closing blank line included.
struct StreamEvent {
    std::string bytes;
    std::optional<uint64_t> id;
};

// Not thread safe: one task owns it.
class EventStream {
public:
    // An event longer than this is passed on in pieces without an id.
    static constexpr size_t kMaxEventBytes = size_t{1} << 20;

    // Takes in bytes and returns the events that they complete. Preconditions: none.
    std::vector<StreamEvent> feed(std::string_view bytes);

    // Bytes of an event that is not complete. Preconditions: none.
    std::string_view incomplete() const { return m_incomplete; }

    // Drops what is left of an event that broke off. Preconditions: none.
    void reset() { m_incomplete.clear(); }

private:
    std::string m_incomplete;
};

}  // namespace onyx
