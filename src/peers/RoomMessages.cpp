#include "include/peers/RoomMessages.h"

#include "include/wire/FrameCodec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace onyx {

namespace {

constexpr double kMaxRate = 1e7;             // Per second, and of requests at once.
constexpr double kMaxMs = 1e10;              // Milliseconds per second of all requests.
constexpr Millis kMaxRetryAfterMs = 600000;  // Milliseconds.

// The sum of `values` is not finite, or one is negative.
bool IsMalformed(std::initializer_list<float> values) {
    return std::any_of(values.begin(), values.end(),
                       [](float value) { return !std::isfinite(value) || value < 0; });
}

double Bounded(float value, double most) {
    return std::min(static_cast<double>(value), most);
}

template <class Unsigned>
Unsigned WireNumber(int64_t value) {
    constexpr int64_t kMost = std::numeric_limits<Unsigned>::max();
    return static_cast<Unsigned>(std::clamp<int64_t>(value, 0, kMost));
}

template <class Entry>
std::span<const Entry> First(const std::vector<Entry>& entries, size_t most) {
    return std::span(entries).first(std::min(entries.size(), most));
}

wire::RoomPriority EncodePriority(const PriorityCounts& counts) {
    return {WireNumber<uint8_t>(counts.priority), WireNumber<uint32_t>(counts.objective),
            static_cast<float>(counts.finished),  static_cast<float>(counts.late),
            static_cast<float>(counts.busyMs),    static_cast<float>(counts.firstByteMs)};
}

std::optional<ClassCounts> DecodeClass(const wire::RoomClass& entry) {
    if (IsMalformed({entry.arrived(), entry.admitted()})) {
        return std::nullopt;
    }
    return ClassCounts{{entry.priority(), entry.team()},
                       Bounded(entry.arrived(), kMaxRate),
                       Bounded(entry.admitted(), kMaxRate)};
}

std::optional<PriorityCounts> DecodePriority(const wire::RoomPriority& entry) {
    if (IsMalformed({entry.finished(), entry.late(), entry.busy_ms(), entry.first_byte_ms()})) {
        return std::nullopt;
    }
    return PriorityCounts{entry.priority(),
                          Millis{entry.objective_ms()},
                          Bounded(entry.finished(), kMaxRate),
                          Bounded(entry.late(), kMaxRate),
                          Bounded(entry.busy_ms(), kMaxMs),
                          Bounded(entry.first_byte_ms(), kMaxMs)};
}

}  // namespace

std::string EncodeRoomReport(const std::string& service, const RoomCounts& counts, bool isSummed) {
    wire::RoomReportT report;
    report.service = service;
    report.boxes = WireNumber<uint16_t>(static_cast<int64_t>(counts.boxes));
    report.summed = isSummed;
    report.pressed = counts.pressed;
    report.in_flight = static_cast<float>(counts.inFlight);
    report.declined = static_cast<float>(counts.declined);
    for (const ClassCounts& entry : First(counts.classes, RoomCounts::kMaxClasses)) {
        report.classes.emplace_back(entry.of.team, WireNumber<uint8_t>(entry.of.priority),
                                    static_cast<float>(entry.arrived),
                                    static_cast<float>(entry.admitted));
    }
    for (const PriorityCounts& entry : First(counts.priorities, RoomCounts::kMaxPriorities)) {
        report.priorities.push_back(EncodePriority(entry));
    }
    return EncodeMessage(std::move(report));
}

std::optional<RoomCounts> DecodeRoomReport(const wire::RoomReportT& report) {
    if (IsMalformed({report.in_flight, report.declined})) {
        return std::nullopt;
    }
    RoomCounts counts;
    counts.boxes = report.summed ? std::max<size_t>(report.boxes, 1) : 1;
    counts.pressed = report.pressed;
    counts.inFlight = Bounded(report.in_flight, kMaxRate);
    counts.declined = Bounded(report.declined, kMaxRate);
    for (const wire::RoomClass& entry : First(report.classes, RoomCounts::kMaxClasses)) {
        const auto decoded = DecodeClass(entry);
        if (!decoded) {
            return std::nullopt;
        }
        counts.classes.push_back(*decoded);
    }
    for (const wire::RoomPriority& entry : First(report.priorities, RoomCounts::kMaxPriorities)) {
        const auto decoded = DecodePriority(entry);
        if (!decoded) {
            return std::nullopt;
        }
        counts.priorities.push_back(*decoded);
    }
    return counts;
}

std::string EncodeRoomShares(const std::string& service, const SharesMessage& message,
                             bool isRoot) {
    wire::RoomSharesT shares;
    shares.service = service;
    shares.round = message.round;
    shares.rank = isRoot ? uint8_t{0} : WireNumber<uint8_t>(static_cast<int64_t>(message.rank) + 1);
    shares.limited = message.shares.limited;
    shares.report = message.report;
    shares.age_ms = WireNumber<uint16_t>(message.age);
    shares.retry_after_ms = WireNumber<uint32_t>(message.shares.retryAfter);
    for (const ClassShare& entry : First(message.shares.classes, RoomCounts::kMaxClasses)) {
        shares.shares.emplace_back(entry.of.team, WireNumber<uint8_t>(entry.of.priority),
                                   static_cast<float>(entry.fraction));
    }
    return EncodeMessage(std::move(shares));
}

std::optional<SharesMessage> DecodeRoomShares(const wire::RoomSharesT& shares) {
    SharesMessage message;
    message.round = shares.round;
    message.rank = shares.rank == 0 ? 0 : size_t{shares.rank} - 1;
    message.report = shares.report;
    message.age = shares.age_ms;
    message.shares.limited = shares.limited;
    message.shares.retryAfter = std::min(Millis{shares.retry_after_ms}, kMaxRetryAfterMs);
    for (const wire::RoomShare& entry : First(shares.shares, RoomCounts::kMaxClasses)) {
        if (IsMalformed({entry.fraction()})) {
            return std::nullopt;
        }
        message.shares.classes.push_back(
            {{entry.priority(), entry.team()}, Bounded(entry.fraction(), 1)});
    }
    return message;
}

}  // namespace onyx
