// Decides how many requests for a service all boxes together admit: about as many as its upstreams
// can finish in time. Run by the box that collects the counts of all boxes (RoomExchange).
//
// The load that it answers: arrivals beyond what the upstreams finish, so that every request waits
// behind a queue, is late when it is answered, and many are turned away by full upstreams. Callers
// need an answer within the objective or a refusal at once; so the queue is kept as short as the
// objectives allow and the rest is refused on arrival.
//
// Inputs: the counts of the boxes (RoomCounts), the slots of the service's upstreams and the number
// of boxes of the site. The work of a request is its mean time at an upstream while there is no
// queue, by priority. What the upstreams finish per second while all slots are busy tells their
// speed, so that a slow service is told from a full one: slow upstreams finish less, and fewer
// requests are admitted; with free slots nothing is refused.
#pragma once

#include "include/admission/FairShares.h"
#include "include/admission/RoomCounts.h"

#include <map>
#include <optional>
#include <vector>

namespace onyx {

// What a service could carry.
struct RoomSupply {
    double slots = 0;  // Of all its upstreams that take requests.
    size_t boxes = 1;  // Boxes of the site; those that do not report use their part of the room.
    Millis age = 300;  // Mean time from the counts to the use of the shares, in milliseconds.
};

// Not thread safe: one task owns it.
class ServiceRoom {
public:
    // Takes in the newest counts of all boxes and returns which requests are admitted from now on.
    // Preconditions: called every few hundred milliseconds; `now` does not decrease.
    RoomShares update(const RoomCounts& counts, const RoomSupply& supply, MonoTime now);

private:
    // A priority's requests while there is no queue.
    struct Usual {
        double work = 0;         // Seconds at an upstream.
        double firstByteMs = 0;  // Milliseconds to the first byte.
    };
    // The counts of all classes and priorities together.
    struct Totals {
        double slots = 0;     // Part of the boxes that the counts cover.
        double inFlight = 0;  // Requests.
        double declined = 0;  // Requests per second, as the following.
        double arrived = 0;
        double finished = 0;
        double late = 0;
        double demand = 0;    // Slots that the arrivals would keep busy.
        double carried = 0;   // Work finished per second.
        double meanWork = 0;  // Seconds at an upstream.
    };

    // Work admitted per second from a time on.
    struct Admitted {
        MonoTime from;
        double work = 0;
    };

    void forgetState();
    void noteDemand(const Totals& totals);
    void learnUsual(const RoomCounts& counts, double slots);
    void learnUsual(const PriorityCounts& counts, double working, bool isFree);
    double workOf(int priority) const;
    Totals totalsOf(const RoomCounts& counts, double slots) const;
    void measureSpeed(const Totals& totals, MonoTime now);
    double allowedWaitMs(const RoomCounts& counts, const Totals& totals) const;
    double inFlightLimit(const RoomCounts& counts, const Totals& totals) const;
    bool isShort(const Totals& totals, double limit, MonoTime now);
    void updateLimited(const Totals& totals, double limit, MonoTime now);
    void adjustDepth(const Totals& totals, MonoTime now);
    std::vector<ClassDemand> demandsOf(const RoomCounts& counts, const Totals& totals);
    double expectedInFlight(const Totals& totals, Millis age, MonoTime now);
    double admittedWork(const Totals& totals, double limit, Millis age, MonoTime now);
    void noteAdmitted(double work, MonoTime now);
    RoomShares sharesOf(const RoomCounts& counts, const Totals& totals, double room);

    std::optional<MonoTime> m_lastUpdate;
    std::map<int, Usual> m_usual;            // By priority.
    std::map<DemandClass, double> m_demand;  // Mean of the last counts.
    double m_meanDemand = 0;                 // Of all classes together.
    double m_speed = 0;                      // Work that the upstreams finish per second.
    double m_depth = 1;  // Part of the limit on requests in flight, as corrected.
    bool m_limited = false;
    std::vector<Admitted> m_admitted;  // The latest one last.
    MonoTime m_limitedSince;
    std::optional<MonoTime> m_busySince;     // All slots are busy.
    std::optional<MonoTime> m_crowdedSince;  // More in flight than the limit.
    std::optional<MonoTime> m_amplySince;    // There is room for all.
    std::optional<MonoTime> m_lastCut;
};

}  // namespace onyx
