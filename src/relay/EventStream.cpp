#include "include/relay/EventStream.h"

#include <algorithm>
#include <charconv>

namespace onyx {

namespace {

// Returns the last numeric id of an event, if it has one.
std::optional<uint64_t> ParseEventId(std::string_view event) {
    std::optional<uint64_t> id;
    while (!event.empty()) {
        const size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(line.starts_with("id: ") ? 4 : 3);
        uint64_t number = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (parsed.ec == std::errc()) {
            id = number;
        }
    }
    return id;
}

bool HasDataField(std::string_view event) {
    while (!event.empty()) {
        const size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (line.starts_with("data") && (line.size() == 4 || line[4] == ':' || line[4] == '\r')) {
            return true;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return false;
}

// Returns the offset just past the first complete event, or npos if there is none.
size_t FindEventEnd(std::string_view text) {
    const size_t plain = text.find("\n\n");
    const size_t carriage = text.find("\r\n\r\n");
    const size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
    const size_t carriageEnd = carriage == std::string_view::npos ? carriage : carriage + 4;
    return std::min(plainEnd, carriageEnd);
}

}  // namespace

std::vector<StreamEvent> EventStream::feed(std::string_view bytes) {
    m_incomplete += bytes;
    std::vector<StreamEvent> events;
    size_t taken = 0;
    while (true) {
        const std::string_view text = std::string_view(m_incomplete).substr(taken);
        size_t end = FindEventEnd(text);
        const bool isWhole = end != std::string_view::npos;
        if (!isWhole && text.size() > kMaxEventBytes) {
            end = text.size();
        }
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view event = text.substr(0, end);
        events.push_back({std::string(event), ParseEventId(event), HasDataField(event),
                          isWhole && !m_inLongEvent, m_inLongEvent});
        m_inLongEvent = !isWhole;
        taken += end;
    }
    m_incomplete.erase(0, taken);
    return events;
}

}  // namespace onyx
