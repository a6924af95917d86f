#include "include/peers/RoomRounds.h"

#include "include/peers/RoomReports.h"

namespace onyx {

// A root that starts again begins with round 1, which applies once its former messages are old.
bool RoomRounds::accept(size_t rank, uint64_t round, MonoTime now) {
    if (rank >= m_heard.size() || (isRecent(rank, now) && round <= m_heard[rank]->round)) {
        return false;
    }
    m_heard[rank] = {round, now};
    for (size_t better = 0; better < rank; ++better) {
        if (isRecent(better, now)) {
            return false;
        }
    }
    return true;
}

bool RoomRounds::isRecent(size_t rank, MonoTime now) const {
    return m_heard[rank] && now - m_heard[rank]->at <= kMaxRoomAge;
}

}  // namespace onyx
