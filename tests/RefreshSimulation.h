// A site in miniature for replays of who calls the store: many boxes in zones, each with the
// gateway's own RefreshPlanner and StorePacing, and a store that answers, refuses or is silent.
// Virtual time, one seed, no socket: the same run every time. What a box knows is one number here,
// the time as of which it knows everything; how changes travel is not replayed.
#pragma once

#include "include/freshness/PeerQueries.h"
#include "include/freshness/RefreshPlanner.h"
#include "include/freshness/StorePacing.h"
#include "include/membership/BoxDirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace onyx {

// How the site is made. Times in milliseconds.
struct RefreshSimulationSettings {
    size_t boxes = 295;
    size_t zones = 5;
    Millis drainBound = 4000;
    Millis freshLimit = 3600;
};

// Not thread safe.
class RefreshSimulation {
public:
    RefreshSimulation(RefreshSimulationSettings size, uint64_t seed);
    ~RefreshSimulation();

    // Plays for `time`.
    void run(Millis time);

    // Calls that reached the store, or would have: all but those of boxes that are cut off from it.
    size_t calls() const { return m_calls; }
    // Reads of copyReads, which cost a tenth of a call.
    size_t copyReads() const { return m_copyReads; }
    // Boxes that run and whose knowledge is older than `limit`, or missing, now.
    size_t olderThan(Millis limit) const;
    // The oldest knowledge that a running box had at any time since the last call of this, of those
    // that had some; in milliseconds.
    Millis takeMaxAge();

    // Boxes whose calls the store refuses from now on.
    void refuse(const std::function<bool(size_t box)>& refused);
    void refuseNone() { m_refused.clear(); }
    // Kills boxes; they start again after `down`, knowing nothing.
    void kill(const std::vector<size_t>& boxes, Millis down);
    // Boxes that watch for their zone now.
    std::vector<size_t> watchers() const;
    size_t zoneOf(size_t box) const { return box % m_size.zones; }

private:
    struct Box;
    using Action = std::function<void()>;

    void at(Millis delay, Action action);
    void start(size_t i);
    void step(size_t i);
    void ask(size_t from, size_t to, bool follows);
    void callStore(size_t i, int kind);
    StorePacingInputs factsOf(const Box& box) const;
    std::optional<Millis> ageOf(const Box& box) const;
    Millis randomBetween(Millis least, Millis most);

    struct Event {
        MonoTime time;
        uint64_t order = 0;
        Action action;
        bool operator>(const Event& other) const {
            return std::make_pair(time.ms, order) > std::make_pair(other.time.ms, other.order);
        }
    };

    RefreshSimulationSettings m_size;
    std::mt19937_64 m_random;
    RefreshPlannerSettings m_settings;
    StorePacingSettings m_pacing;
    std::vector<std::string> m_names;
    std::map<std::string, size_t> m_byName;
    std::vector<std::vector<std::string>> m_zoneOrders;  // By zone.
    std::vector<std::vector<std::string>> m_neighbours;  // By box.
    std::vector<std::unique_ptr<Box>> m_boxes;
    std::set<size_t> m_refused;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    MonoTime m_now{100000};
    uint64_t m_order = 0;
    size_t m_calls = 0;
    size_t m_copyReads = 0;
    Millis m_maxAge = 0;
};

}  // namespace onyx
