// Simulates a site for replays: many boxes, each with the gateway's own records, placement and load
// exchange, in front of upstreams that process requests, queue them and report their load. The
// simulation uses virtual time, one seed and no sockets, so every run is identical. The boxes learn
// of each other's requests only through the frames of LoadExchange.
#pragma once

#include "include/peers/LoadExchange.h"
#include "include/request/PlaceAttempt.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace onyx {

// One kind of request: its rate, its prompts and its duration.
struct FleetTraffic {
    double perSecond = 0;    // Requests of this kind.
    size_t prompts = 0;      // Number of shared parts; the first ones are the most popular.
    Millis firstAnswer = 0;  // From the start of processing to the head of the answer.
    Millis work = 0;         // Mean time from the head of the answer to its end.
};

struct FleetSize {
    size_t boxes = 0;
    size_t upstreams = 0;
    int slots = 0;
};

// Counts over the time of one runFor() call.
struct FleetStats {
    size_t arrivals = 0;
    size_t overLimit = 0;    // At an upstream that held more than twice the mean + 3 requests.
    size_t preferred = 0;    // Placed on the first choice of their prompt.
    size_t copies = 0;       // Placed on an upstream that had not received their prompt before.
    uint64_t bytesSent = 0;  // All boxes' frames.

    double preferredShare() const {
        return arrivals == 0 ? 0 : static_cast<double>(preferred) / static_cast<double>(arrivals);
    }
    double overLimitShare() const {
        return arrivals == 0 ? 0 : static_cast<double>(overLimit) / static_cast<double>(arrivals);
    }
};

// Not thread safe.
class Fleet {
public:
    Fleet(FleetSize size, std::vector<FleetTraffic> traffic, uint64_t seed);
    ~Fleet();

    // Simulates `time` milliseconds and returns the counts of that time.
    FleetStats runFor(Millis time);
    // Multiplies the rate of all traffic by `factor` from now on.
    void setRateFactor(double factor) { m_rateFactor = factor; }
    // From now on, a `share` of the requests of the first kind asks for one and the same prompt.
    void setHotShare(double share) { m_hotShare = share; }
    // Evacuates the zone of a third of the upstreams: no box sends to them from now on.
    void evacuateThird() { m_evacuations.apply({true, 1, {"y"}, {}}, false, "test", m_now); }
    // Restarts the first `share` of the boxes: their requests end and their state is lost.
    void restart(double share);

private:
    struct Box;
    struct Server;
    struct Work;
    using Action = std::function<void()>;

    void at(MonoTime time, Action action);
    void startBox(size_t i);
    void announce(size_t i, uint64_t generation);
    void scheduleArrival();
    void arrive();
    void begin(const std::shared_ptr<Work>& work);
    void end(const std::shared_ptr<Work>& work);
    void admitWaiting(size_t server);
    std::string nextPrompt(const FleetTraffic& traffic, size_t kind);
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    struct Event {
        MonoTime time;
        uint64_t order = 0;
        Action action;
        bool operator>(const Event& other) const {
            return std::make_pair(time.ms, order) > std::make_pair(other.time.ms, other.order);
        }
    };

    FleetSize m_size;
    std::vector<FleetTraffic> m_traffic;
    std::mt19937_64 m_random;
    asio::io_context m_io{1};  // Never run; the records need one for connections.
    GatewaySettings m_settings;
    Metrics m_metrics;
    EvacuationList m_evacuations{m_metrics};  // Empty until evacuateThird().
    ServiceSpec m_spec;
    ServiceId m_service{"models"};
    UpstreamChanges m_listed;
    std::vector<std::unique_ptr<Box>> m_boxes;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<std::string, size_t> m_serverByName;
    std::map<std::string, size_t> m_boxByAddress;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    MonoTime m_now{1000};
    uint64_t m_order = 0;
    double m_nextArrival = 1000;  // Virtual milliseconds.
    double m_perSecond = 0;       // All traffic, at a rate factor of 1.
    double m_rateFactor = 1;
    double m_hotShare = 0;
    size_t m_totalHeld = 0;  // Requests held by all upstreams.
    uint64_t m_requestCount = 0;
    std::map<uint64_t, std::shared_ptr<Work>> m_running;  // In process, not queued; by number.
    std::set<std::pair<std::string, size_t>> m_copies;    // Prompts and their upstreams so far.
    FleetStats m_stats;
};

}  // namespace onyx
