// Counts each team's requests in flight on this box against the box's share of the team's limit.
#pragma once

#include "include/base/Ids.h"

#include <unordered_map>

namespace onyx {

// A team's limit is shared by the live boxes of the site, since each sees a sliver of its
// requests. Not thread safe: one task owns it.
class TeamLimiter {
public:
    // Takes a place for `team`; false if its share is full. Preconditions: boxes > 0; a limit of
    // 0 stands for none.
    bool enter(const TeamId& team, int limit, int boxes) {
        int& inFlight = m_inFlight[team];
        const int share = (limit + boxes - 1) / boxes;
        if (limit > 0 && inFlight >= share) {
            return false;
        }
        ++inFlight;
        return true;
    }

    // Gives the place back. Preconditions: enter() gave it.
    void leave(const TeamId& team) {
        const auto it = m_inFlight.find(team);
        if (it != m_inFlight.end() && --it->second <= 0) {
            m_inFlight.erase(it);
        }
    }

    // Gives the place back when it goes out of scope, however the request ended.
    class Place {
    public:
        // Preconditions: enter() gave the place; the limiter outlives it.
        Place(TeamLimiter& limiter, TeamId team) : m_limiter(limiter), m_team(std::move(team)) {}
        Place(const Place&) = delete;
        Place& operator=(const Place&) = delete;
        ~Place() { m_limiter.leave(m_team); }

    private:
        TeamLimiter& m_limiter;
        TeamId m_team;
    };

    // Teams with requests in flight. Preconditions: none.
    size_t teams() const { return m_inFlight.size(); }

private:
    std::unordered_map<TeamId, int> m_inFlight;
};

}  // namespace onyx
