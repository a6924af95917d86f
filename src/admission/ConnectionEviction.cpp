#include "include/admission/ConnectionEviction.h"

#include <tuple>

namespace onyx {

namespace {

bool MayClose(const CallerActivity& connection, MonoTime now) {
    switch (connection.phase) {
        case CallerPhase::kWorking:
            return false;
        case CallerPhase::kWriting:
            return now - connection.since >= kMaxUntakenMs;
        default:
            return true;
    }
}

// Whether closing it may cost a caller that behaves: it keeps the connection for its next request.
bool IsKept(const CallerActivity& connection) {
    return connection.phase == CallerPhase::kReading && connection.wasServed;
}

}  // namespace

std::optional<size_t> ChooseConnectionToClose(std::span<const CallerActivity> connections,
                                              MonoTime now) {
    std::optional<size_t> chosen;
    const auto rank = [&](size_t i) {
        return std::make_tuple(IsKept(connections[i]), connections[i].since.ms);
    };
    for (size_t i = 0; i < connections.size(); ++i) {
        if (MayClose(connections[i], now) && (!chosen || rank(i) < rank(*chosen))) {
            chosen = i;
        }
    }
    return chosen;
}

}  // namespace onyx
