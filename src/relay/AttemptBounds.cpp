#include "include/relay/AttemptBounds.h"

#include <algorithm>

namespace onyx {

ConnectionBounds ConnectionBounds::ForObjective(Millis objective, Millis maxConnect) {
    ConnectionBounds bounds;
    bounds.connect = std::min(maxConnect, std::max(kMinConnect, objective / 4));
    bounds.unacknowledged = std::clamp(objective / 2, kMinUnacknowledged, kMaxUnacknowledged);
    return bounds;
}

MonoTime FirstByteDeadline(const AttemptWait& wait, Millis objective, bool stream,
                           Millis stallTimeout, MonoTime now) {
    if (!wait.mayRetry) {
        return wait.deadline;
    }
    const Millis half = (wait.deadline - now) / 2;
    const Millis minWait = stream ? stallTimeout : half;
    return std::min(wait.deadline, now + std::max(minWait, 2 * objective));
}

MonoTime NextPieceDeadline(const AttemptWait& wait, Millis stallTimeout, MonoTime now) {
    if (!wait.mayRetry) {
        return wait.deadline;
    }
    return std::min(wait.deadline, now + stallTimeout);
}

bool HasTimeForAttempt(MonoTime deadline, MonoTime now) {
    return deadline - now >= kMinAttemptTime;
}

}  // namespace onyx
