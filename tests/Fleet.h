// A site in miniature for replays: many boxes, each with the gateway's own records, placement and
// exchange of loads, before upstreams that work, queue and report their load. Virtual time, one
// seed, no socket: the same run every time. The boxes learn of each other's requests by nothing but
// the frames of LoadExchange.
#pragma once

#include "include/gateway/LoadExchange.h"
#include "include/gateway/PlaceAttempt.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace onyx {

// One kind of request: how often its prompts come and how long they work.
struct FleetTraffic {
    double perSecond = 0;
    size_t prompts = 0;      // Different shared parts; the first are asked for most.
    Millis firstAnswer = 0;  // From the start of the work to the head of the answer.
    Millis work = 0;         // Mean time that a request holds its upstream.
};

struct FleetSize {
    size_t boxes = 0;
    size_t upstreams = 0;
    int slots = 0;
};

// What was seen in a stretch of time.
struct FleetFigures {
    size_t arrivals = 0;
    size_t overLimit = 0;    // At an upstream that held more than twice the mean + 3.
    size_t preferred = 0;    // At the first choice of their prompt.
    size_t copies = 0;       // At an upstream that had not seen their prompt before.
    uint64_t bytesSent = 0;  // Of all boxes' frames.

    double preferredShare() const {
        return arrivals == 0 ? 0 : static_cast<double>(preferred) / static_cast<double>(arrivals);
    }
    double overShare() const {
        return arrivals == 0 ? 0 : static_cast<double>(overLimit) / static_cast<double>(arrivals);
    }
};

// Not thread safe.
class Fleet {
public:
    Fleet(FleetSize size, std::vector<FleetTraffic> traffic, uint64_t seed);
    ~Fleet();

    // Plays for `time` and tells what was seen in it.
    FleetFigures play(Millis time);
    // All traffic comes `factor` times as often from now on.
    void setRate(double factor) { m_rate = factor; }
    // A share of the first kind of request asks for one prompt from now on.
    void setHotShare(double share) { m_hotShare = share; }
    // No box sends to a third of the upstreams from now on: their zone is evacuated.
    void evacuateThird() { m_evacuations.apply({true, 1, {"y"}, {}}, false, "test", m_now); }
    // The first `share` of the boxes start anew: their requests end, they know nothing.
    void restart(double share);

private:
    struct Box;
    struct Server;
    struct Work;
    using Action = std::function<void()>;

    void at(MonoTime time, Action action);
    void startBox(size_t i);
    void announce(size_t i, uint64_t life);
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
    asio::io_context m_io{1};  // Never run: the records want one for connections.
    GatewaySettings m_settings;
    Metrics m_metrics;
    EvacuationList m_evacuations{m_metrics};  // None.
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
    double m_perSecond = 0;       // Of all traffic, at the ordinary rate.
    double m_rate = 1;
    double m_hotShare = 0;
    size_t m_held = 0;  // By all upstreams.
    uint64_t m_requests = 0;
    std::map<uint64_t, std::shared_ptr<Work>> m_underWay;  // At work, not waiting; by number.
    std::set<std::pair<std::string, size_t>> m_copies;     // Prompts and who has seen them.
    FleetFigures m_figures;
};

}  // namespace onyx
