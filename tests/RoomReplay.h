// A model of a service for replays of admission by room: boxes with a RoomGate each, callers, and
// upstreams that have slots and waiting places. Time advances in steps of one millisecond.
#pragma once

#include "include/admission/RoomGate.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace onyx {

// The upstreams of one service.
struct ReplayUpstreams {
    size_t upstreams = 4;
    size_t slots = 6;    // Each; requests that it works on at once.
    size_t places = 24;  // Each; requests that wait there. Further ones are turned away.
    double slowness = 1;

    double allSlots() const { return static_cast<double>(upstreams * slots); }
};

// Requests of one kind, by one team.
struct ReplayLoad {
    DemandClass of;
    double perSecond = 0;
    Millis work = 60;          // Mean time in a slot, in milliseconds.
    double firstPart = 1;      // Part of it until the first byte.
    Millis objective = 250;    // For the first byte, in milliseconds.
    bool isRepeated = false;   // Refused callers repeat at once, up to three times,
    bool isReturning = false;  // or return when they were told to, up to three times.
};

enum class ReplayOutcome : uint8_t { kPending, kRefused, kTurnedAway, kInTime, kLate };

// A request, or one of its repeats.
struct ReplayRequest {
    DemandClass of;
    MonoTime arrived;
    uint64_t fingerprint = 0;
    size_t box = 0;
    size_t repeats = 0;  // Before it.
    const ReplayLoad* load = nullptr;
    Millis work = 0;        // In milliseconds.
    Millis retryAfter = 0;  // That it was told, if it was refused.
    ReplayOutcome outcome = ReplayOutcome::kPending;

    bool isAdmitted() const { return outcome != ReplayOutcome::kRefused; }
};

class RoomReplay {
public:
    // Called every millisecond, before the arrivals.
    using Step = std::function<void(std::vector<RoomGate>& gates, MonoTime now)>;
    // Times the usual rate of a load.
    using Factor = std::function<double(const ReplayLoad& load, MonoTime now)>;

    RoomReplay(size_t boxes, ReplayUpstreams upstreams, std::vector<ReplayLoad> loads,
               uint64_t seed)
        : m_upstreams(upstreams), m_loads(std::move(loads)), m_random(seed) {
        for (size_t i = 0; i < boxes; ++i) {
            m_gates.emplace_back(seed + i);
        }
        m_servers.resize(upstreams.upstreams);
    }

    void play(Millis until, const Factor& factor, const Step& step) {
        for (; m_now.ms < until; m_now.ms += 1) {
            finish();
            step(m_gates, m_now);
            arrive(factor);
        }
    }

    // Callers of a box that is stopped go to the others.
    void stop(size_t box) { m_stopped.insert(box); }

    ReplayUpstreams& upstreams() { return m_upstreams; }
    const ReplayUpstreams& upstreams() const { return m_upstreams; }
    std::vector<RoomGate>& gates() { return m_gates; }
    const std::deque<ReplayRequest>& requests() const { return m_requests; }

private:
    struct Server {
        size_t working = 0;
        std::deque<size_t> waiting;  // Indices of requests.
        size_t load() const { return working + waiting.size(); }
    };
    struct Event {
        size_t request = 0;
        size_t server = 0;
        bool isEnd = false;  // Otherwise the first byte.
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    size_t below(size_t count) {
        return static_cast<size_t>(uniform() * static_cast<double>(count));
    }

    void arrive(const Factor& factor) {
        const auto due = m_repeats.extract(m_now.ms);
        if (!due.empty()) {
            for (const ReplayRequest& request : due.mapped()) {
                admit(request);
            }
        }
        for (const ReplayLoad& load : m_loads) {
            std::poisson_distribution<int> count(load.perSecond * factor(load, m_now) / 1000);
            for (int i = count(m_random); i > 0; --i) {
                ReplayRequest request{load.of, m_now, m_random()};
                request.load = &load;
                request.work =
                    static_cast<Millis>((0.5 + uniform()) * static_cast<double>(load.work));
                admit(request);
            }
        }
    }

    void admit(ReplayRequest request) {
        request.arrived = m_now;
        do {
            request.box = below(m_gates.size());
        } while (m_stopped.contains(request.box));
        RoomGate& gate = m_gates[request.box];
        const RoomDecision decision = gate.decide(request.of, request.fingerprint, m_now);
        if (const auto* refusal = std::get_if<NoRoom>(&decision)) {
            request.outcome = ReplayOutcome::kRefused;
            request.retryAfter = refusal->retryAfter;
            m_requests.push_back(request);
            sendAgain(request);
            return;
        }
        m_requests.push_back(request);
        send(m_requests.size() - 1);
    }

    void sendAgain(ReplayRequest request) {
        if (request.repeats++ == 3) {
            return;
        }
        if (request.load->isRepeated) {
            m_repeats[m_now.ms + 1 + static_cast<Millis>(below(20))].push_back(request);
        } else if (request.load->isReturning) {
            m_repeats[m_now.ms + request.retryAfter].push_back(request);
        }
    }

    // To the less loaded one of two.
    void send(size_t index) {
        ReplayRequest& request = m_requests[index];
        m_gates[request.box].noteSent(m_now);
        size_t chosen = below(m_servers.size());
        const size_t other = below(m_servers.size());
        if (m_servers[other].load() < m_servers[chosen].load()) {
            chosen = other;
        }
        Server& server = m_servers[chosen];
        if (server.waiting.size() >= m_upstreams.places) {
            request.outcome = ReplayOutcome::kTurnedAway;
            RoomEnd end{request.of.priority, request.load->objective};
            end.declined = true;
            m_gates[request.box].noteEnded(end, m_now);
            return;
        }
        server.waiting.push_back(index);
        begin(chosen);
    }

    void begin(size_t index) {
        Server& server = m_servers[index];
        while (server.working < m_upstreams.slots && !server.waiting.empty()) {
            const ReplayRequest& request = m_requests[server.waiting.front()];
            const double work = static_cast<double>(request.work) * m_upstreams.slowness;
            m_events[m_now.ms + std::max<Millis>(1, static_cast<Millis>(work))].push_back(
                {server.waiting.front(), index, true});
            m_firstBytes[server.waiting.front()] =
                m_now + static_cast<Millis>(work * request.load->firstPart);
            server.waiting.pop_front();
            ++server.working;
        }
    }

    void finish() {
        const auto due = m_events.extract(m_now.ms);
        if (due.empty()) {
            return;
        }
        for (const Event& event : due.mapped()) {
            ReplayRequest& request = m_requests[event.request];
            const Millis firstByte = m_firstBytes[event.request] - request.arrived;
            m_firstBytes.erase(event.request);
            request.outcome = firstByte <= request.load->objective ? ReplayOutcome::kInTime
                                                                   : ReplayOutcome::kLate;
            m_gates[request.box].noteEnded(
                {request.of.priority, request.load->objective, m_now - request.arrived, firstByte},
                m_now);
            --m_servers[event.server].working;
            begin(event.server);
        }
    }

    ReplayUpstreams m_upstreams;
    std::vector<ReplayLoad> m_loads;
    std::mt19937_64 m_random;
    std::vector<RoomGate> m_gates;
    std::set<size_t> m_stopped;  // Boxes.
    std::vector<Server> m_servers;
    std::deque<ReplayRequest> m_requests;
    std::map<Millis, std::vector<Event>> m_events;
    std::map<Millis, std::vector<ReplayRequest>> m_repeats;
    std::map<size_t, MonoTime> m_firstBytes;  // By index of the request.
    MonoTime m_now{1000};
};

// The same load for `teams` teams, numbered from 1.
inline std::vector<ReplayLoad> EqualTeams(uint32_t teams, ReplayLoad load) {
    std::vector<ReplayLoad> loads;
    for (load.of.team = 1; load.of.team <= teams; ++load.of.team) {
        loads.push_back(load);
    }
    return loads;
}

inline std::vector<DemandClass> EqualClasses(uint32_t first, uint32_t last) {
    std::vector<DemandClass> classes;
    for (uint32_t team = first; team <= last; ++team) {
        classes.push_back({5, team});
    }
    return classes;
}

// `times` the usual from `from` until `to`, of one class `hotTimes` that.
inline RoomReplay::Factor BurstOf(Millis from, Millis to, double times, DemandClass hot,
                                  double hotTimes) {
    return [=](const ReplayLoad& load, MonoTime now) {
        if (now.ms < from || now.ms >= to) {
            return 1.0;
        }
        return load.of == hot ? times * hotTimes : times;
    };
}

// What became of the requests that arrived within a time.
struct ReplayTally {
    size_t arrived = 0;
    size_t refused = 0;
    size_t turnedAway = 0;
    size_t inTime = 0;
    size_t late = 0;
    double admittedWork = 0;  // Seconds in slots.
    double inTimeWork = 0;
    std::map<DemandClass, double> inTimeByClass;
    std::map<DemandClass, double> arrivedByClass;

    ReplayTally(const RoomReplay& replay, Millis from, Millis to) {
        for (const ReplayRequest& request : replay.requests()) {
            if (request.arrived.ms >= from && request.arrived.ms < to) {
                count(request);
            }
        }
    }

    double turnedAwayPart() const {
        return arrived == 0 ? 0 : static_cast<double>(turnedAway) / static_cast<double>(arrived);
    }

    double inTimeOf(int priority) const {
        double sum = 0;
        for (const auto& [of, count] : inTimeByClass) {
            sum += of.priority == priority ? count : 0;
        }
        return sum;
    }

    // `room` in seconds of slots.
    std::string describe(double room, const std::vector<DemandClass>& equals) const {
        std::ostringstream out;
        out << arrived << " arrived, " << refused << " refused, " << turnedAway << " turned away ("
            << turnedAwayPart() << "), " << inTime << " in time, " << late << " late; admitted "
            << admittedWork / room << " of the room, in time " << inTimeWork / room << ", Jain "
            << jain(equals);
        return out.str();
    }

    // Jain's index of the answers in time of `classes`: 1 if all have the same.
    double jain(const std::vector<DemandClass>& classes) const {
        double sum = 0;
        double squares = 0;
        for (const DemandClass& of : classes) {
            const auto known = inTimeByClass.find(of);
            const double value = known == inTimeByClass.end() ? 0 : known->second;
            sum += value;
            squares += value * value;
        }
        return squares > 0 ? sum * sum / (static_cast<double>(classes.size()) * squares) : 0;
    }

private:
    void count(const ReplayRequest& request) {
        ++arrived;
        arrivedByClass[request.of] += 1;
        const double work = static_cast<double>(request.work) / 1000;
        refused += request.outcome == ReplayOutcome::kRefused ? 1 : 0;
        turnedAway += request.outcome == ReplayOutcome::kTurnedAway ? 1 : 0;
        late += request.outcome == ReplayOutcome::kLate ? 1 : 0;
        admittedWork += request.isAdmitted() ? work : 0;
        if (request.outcome == ReplayOutcome::kInTime) {
            ++inTime;
            inTimeWork += work;
            inTimeByClass[request.of] += 1;
        }
    }
};

}  // namespace onyx
