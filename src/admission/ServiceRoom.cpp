#include "include/admission/ServiceRoom.h"

#include "include/admission/FairShares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace onyx {

namespace {

// Part of the slots up to which requests do not wait, so that their time is the usual one.
constexpr double kFreeFraction = 0.7;
// Part of the difference by which the usual time follows a longer measured one.
constexpr double kUsualRise = 0.1;
constexpr double kUsualFall = 0.5;

// Part of the time left until the objective that a request may wait at an upstream.
constexpr double kWaitFraction = 0.33;
// Part of the requests that a priority has to have for its objective to count.
constexpr double kNotablePart = 0.05;

// A shortage: the part of the arrivals that upstreams turn away, and of the answers that are late,
// and the least number of them per second.
constexpr double kDeclinedPart = 0.01;
constexpr double kLatePart = 0.05;
// The part of the arrivals that upstreams turn away when they have less room than they list.
constexpr double kMostDeclinedPart = 0.3;
constexpr double kMinSigns = 3;
// Standard deviations by which requests in flight or the demand of a calm service may exceed the
// room by chance, and the time in milliseconds for which they do not.
constexpr double kChance = 2;
constexpr Millis kChanceTime = 400;
// Parts of the room: the mean demand below which there is no shortage, and the demand below which
// one has ended.
constexpr double kHighDemand = 0.8;
constexpr double kAmpleDemand = 0.95;
constexpr double kMeanDemandSmoothing = 0.2;
constexpr Millis kAmpleTime = 500;  // In milliseconds, until nothing is limited any more.

constexpr Millis kMaxSilence = 2000;   // In milliseconds, between counts that follow each other.
constexpr double kArrivalsSpan = 0.3;  // In seconds; the time that the counts of arrivals cover.
// In milliseconds. The time that the other counts cover; they tell the speed only if all slots were
// busy throughout.
constexpr Millis kCountsSpan = 600;
constexpr double kSpeedSmoothing = 0.5;
constexpr double kSpeedRecovery = 0.4;
// In seconds, within which the requests in flight are brought to the limit. Too long a queue makes
// all requests late, so it is shortened faster than a short one is filled.
constexpr double kFillTime = 0.5;
constexpr double kDrainTime = 0.2;
constexpr Millis kMaxCountsAge = 1000;  // In milliseconds; older counts are not expected.
// Part of the difference by which the mean demand of a class follows the counts.
constexpr double kDemandSmoothing = 0.3;
constexpr double kMinAdmitted = 0.02;  // Of the slots; finds out when upstreams finish work again.

// The depth: 1 is the queue that the objectives allow, 0 none, and less than that leaves slots
// free. It is cut at most once in the time that it takes to see what a cut does, in milliseconds.
constexpr Millis kCutInterval = 600;
constexpr double kDepthCut = 0.15;
constexpr double kDepthRaise = 0.02;
constexpr double kMinDepth = -0.7;

// In milliseconds. Bounds of the time after which a refused caller may return.
constexpr double kMinRetryAfter = 300;
constexpr double kMaxRetryAfter = 10000;

double Covered(const RoomCounts& counts, const RoomSupply& supply) {
    if (supply.boxes == 0) {
        return 1;
    }
    return std::min(1.0, static_cast<double>(counts.boxes) / static_cast<double>(supply.boxes));
}

double Follow(double value, double measured) {
    return value + (measured < value ? kUsualFall : kUsualRise) * (measured - value);
}

}  // namespace

RoomShares ServiceRoom::update(const RoomCounts& counts, const RoomSupply& supply, MonoTime now) {
    const double slots = supply.slots * Covered(counts, supply);
    if (slots <= 0) {
        return {};
    }
    if (m_lastUpdate && now - *m_lastUpdate > kMaxSilence) {
        forgetState();
    }
    learnUsual(counts, slots);
    const Totals totals = totalsOf(counts, slots);
    noteDemand(totals);
    m_lastUpdate = now;
    measureSpeed(totals, now);
    adjustDepth(totals, now);
    const double limit = inFlightLimit(counts, totals);
    updateLimited(totals, limit, now);
    if (!m_limited) {
        noteAdmitted(std::numeric_limits<double>::infinity(), now);
        return {};
    }
    const double room = admittedWork(totals, limit, supply.age, now);
    noteAdmitted(room, now);
    return sharesOf(counts, totals, room);
}

// Requests take as long as before, but nothing is known of the queues and the load.
void ServiceRoom::forgetState() {
    std::map<int, Usual> usual = std::move(m_usual);
    *this = ServiceRoom();
    m_usual = std::move(usual);
}

void ServiceRoom::noteDemand(const Totals& totals) {
    const double before = m_lastUpdate ? m_meanDemand : totals.demand;
    m_meanDemand = before + kMeanDemandSmoothing * (totals.demand - before);
}

void ServiceRoom::learnUsual(const RoomCounts& counts, double slots) {
    double busy = 0;  // Requests at upstreams while those that finished were there.
    for (const PriorityCounts& entry : counts.priorities) {
        busy += entry.busyMs / 1000;
    }
    // With all slots busy, the rest of the time was spent waiting for one.
    const double working = busy > slots ? slots / busy : 1;
    const bool isFree = counts.inFlight < kFreeFraction * slots;
    for (const PriorityCounts& entry : counts.priorities) {
        if (entry.finished > 0) {
            learnUsual(entry, working, isFree);
        }
    }
}

void ServiceRoom::learnUsual(const PriorityCounts& counts, double working, bool isFree) {
    const double measured = counts.busyMs / counts.finished / 1000;
    const auto known = m_usual.find(counts.priority);
    if (known == m_usual.end()) {
        m_usual[counts.priority] = {measured * working, counts.firstByteMs * working};
        return;
    }
    Usual& usual = known->second;
    if (isFree || measured < usual.work) {
        usual.work = Follow(usual.work, measured);
    }
    if (isFree || counts.firstByteMs < usual.firstByteMs) {
        usual.firstByteMs = Follow(usual.firstByteMs, counts.firstByteMs);
    }
}

// A priority of which nothing has finished yet is taken to be like the others.
double ServiceRoom::workOf(int priority) const {
    const auto known = m_usual.find(priority);
    if (known != m_usual.end()) {
        return known->second.work;
    }
    double sum = 0;
    for (const auto& [other, usual] : m_usual) {
        sum += usual.work;
    }
    return m_usual.empty() ? 0 : sum / static_cast<double>(m_usual.size());
}

ServiceRoom::Totals ServiceRoom::totalsOf(const RoomCounts& counts, double slots) const {
    Totals totals;
    totals.slots = slots;
    totals.inFlight = counts.inFlight;
    totals.declined = counts.declined;
    for (const ClassCounts& entry : counts.classes) {
        totals.arrived += entry.arrived;
        totals.demand += entry.arrived * workOf(entry.of.priority);
    }
    for (const PriorityCounts& entry : counts.priorities) {
        totals.finished += entry.finished;
        totals.late += entry.late;
        totals.carried += entry.finished * workOf(entry.priority);
    }
    if (totals.finished > 0) {
        totals.meanWork = totals.carried / totals.finished;
    } else if (totals.arrived > 0) {
        totals.meanWork = totals.demand / totals.arrived;
    }
    return totals;
}

void ServiceRoom::measureSpeed(const Totals& totals, MonoTime now) {
    if (m_speed <= 0) {
        m_speed = totals.slots;
    }
    if (totals.inFlight < totals.slots) {
        m_busySince.reset();
        if (totals.inFlight < kFreeFraction * totals.slots) {
            m_speed += kSpeedRecovery * (totals.slots - m_speed);
        }
        return;
    }
    m_busySince = m_busySince.value_or(now);
    if (now - *m_busySince >= kCountsSpan) {
        m_speed += kSpeedSmoothing * (totals.carried - m_speed);
    }
}

// The wait after which an answer is still within the objectives.
double ServiceRoom::allowedWaitMs(const RoomCounts& counts, const Totals& totals) const {
    const double slowness = totals.slots / std::max(m_speed, kMinAdmitted * totals.slots);
    std::optional<double> allowed;
    for (const PriorityCounts& entry : counts.priorities) {
        const auto usual = m_usual.find(entry.priority);
        if (entry.objective <= 0 || usual == m_usual.end() ||
            entry.finished < kNotablePart * totals.finished) {
            continue;
        }
        const double left =
            static_cast<double>(entry.objective) - slowness * usual->second.firstByteMs;
        const double wait = std::max(0.0, kWaitFraction * left);
        allowed = std::min(allowed.value_or(wait), wait);
    }
    return allowed.value_or(0);
}

double ServiceRoom::inFlightLimit(const RoomCounts& counts, const Totals& totals) const {
    const double perSecond = totals.meanWork > 0 ? m_speed / totals.meanWork : 0;
    const double waiting = perSecond * allowedWaitMs(counts, totals) / 1000;
    return totals.slots + m_depth * (m_depth > 0 ? waiting : totals.slots);
}

bool ServiceRoom::isShort(const Totals& totals, double limit, MonoTime now) {
    if (totals.inFlight > limit + kChance * std::sqrt(limit)) {
        m_crowdedSince = m_crowdedSince.value_or(now);
    } else {
        m_crowdedSince.reset();
    }
    if (totals.declined > std::max(kMinSigns, kDeclinedPart * totals.arrived)) {
        // With free slots, some upstreams turn requests away for other reasons.
        return totals.inFlight >= kFreeFraction * totals.slots ||
               totals.declined > kMostDeclinedPart * totals.arrived;
    }
    // A queue that formed by chance ends by itself.
    if (m_meanDemand < kHighDemand * m_speed || totals.inFlight < totals.slots) {
        return false;
    }
    const double chance = kChance * totals.meanWork * std::sqrt(totals.arrived / kArrivalsSpan);
    return totals.late > std::max(kMinSigns, kLatePart * totals.finished) ||
           (m_crowdedSince && now - *m_crowdedSince >= kChanceTime) ||
           (totals.inFlight > limit && totals.demand > m_speed + chance);
}

void ServiceRoom::updateLimited(const Totals& totals, double limit, MonoTime now) {
    if (isShort(totals, limit, now)) {
        m_amplySince.reset();
        if (!m_limited) {
            m_limited = true;
            m_limitedSince = now;
        }
        return;
    }
    const bool isAmple = totals.demand < kAmpleDemand * m_speed && totals.inFlight < totals.slots;
    if (!m_limited || !isAmple) {
        m_amplySince.reset();
        return;
    }
    m_amplySince = m_amplySince.value_or(now);
    if (now - *m_amplySince >= kAmpleTime) {
        m_limited = false;
    }
}

void ServiceRoom::adjustDepth(const Totals& totals, MonoTime now) {
    const bool isDeclined = totals.declined > kDeclinedPart * totals.arrived;
    const bool isLate = totals.late > kLatePart * totals.finished;
    if (!m_limited || (!isDeclined && !isLate)) {
        m_depth = std::min(1.0, m_depth + kDepthRaise);
        return;
    }
    const MonoTime last = std::max(m_limitedSince, m_lastCut.value_or(m_limitedSince));
    if (now - last >= kCutInterval) {
        // Answers that are late without a queue would not be earlier with free slots.
        const double least = isDeclined ? kMinDepth : std::min(m_depth, 0.0);
        m_depth = std::max(least, m_depth - kDepthCut);
        m_lastCut = now;
    }
}

// The work in flight when the shares are used. The counts do not show yet what the last shares
// admitted: without this the requests in flight would swing about the limit.
double ServiceRoom::expectedInFlight(const Totals& totals, Millis age, MonoTime now) {
    // Upstreams that turn requests away are full.
    const bool isFull = totals.declined > kDeclinedPart * totals.arrived;
    const double most = isFull ? m_speed : totals.demand;
    double work = totals.inFlight * totals.meanWork;
    MonoTime until = now;
    for (auto step = m_admitted.rbegin(); step != m_admitted.rend() && until > now - age; ++step) {
        const MonoTime from = std::max(step->from, now - age);
        const double admitted = std::min(step->work, most);
        work += (admitted - m_speed) * static_cast<double>(until - from) / 1000;
        until = from;
    }
    return std::max(0.0, work);
}

// Returns the work to admit per second, so that the requests in flight come to the limit.
double ServiceRoom::admittedWork(const Totals& totals, double limit, Millis age, MonoTime now) {
    const double missing = limit * totals.meanWork - expectedInFlight(totals, age, now);
    const double room = m_speed + missing / (missing > 0 ? kFillTime : kDrainTime);
    return std::max(kMinAdmitted * totals.slots, room);
}

void ServiceRoom::noteAdmitted(double work, MonoTime now) {
    m_admitted.push_back({now, work});
    std::erase_if(m_admitted,
                  [&](const Admitted& step) { return now - step.from > kMaxCountsAge; });
}

// The mean demand of each class, in proportion so that all together have the present demand: the
// counts of one class vary by chance, and those of all together far less.
std::vector<ClassDemand> ServiceRoom::demandsOf(const RoomCounts& counts, const Totals& totals) {
    std::map<DemandClass, double> mean;
    double sum = 0;
    for (const ClassCounts& entry : counts.classes) {
        const double demand = entry.arrived * workOf(entry.of.priority);
        const auto known = m_demand.find(entry.of);
        const double before = known == m_demand.end() ? demand : known->second;
        mean[entry.of] = before + kDemandSmoothing * (demand - before);
        sum += mean[entry.of];
    }
    m_demand = std::move(mean);
    // Teams that are counted together ask for no more each than the least one that is listed.
    std::map<int, double> least;
    for (const auto& [of, demand] : m_demand) {
        if (of.team != 0 && demand > 0) {
            double& known = least.try_emplace(of.priority, demand).first->second;
            known = std::min(known, demand);
        }
    }
    const bool isBounded =
        counts.classes.size() + RoomCounts::kMaxPriorities > RoomCounts::kMaxClasses;
    std::vector<ClassDemand> demands;
    for (const ClassCounts& entry : counts.classes) {
        const double part = sum > 0 ? m_demand[entry.of] / sum : 0;
        const auto listed = least.find(entry.of.priority);
        const bool isMerged = isBounded && entry.of.team == 0 && listed != least.end();
        const double teams = isMerged ? std::max(1.0, m_demand[entry.of] / listed->second) : 1;
        demands.push_back({entry.of, part * totals.demand, teams});
    }
    return demands;
}

RoomShares ServiceRoom::sharesOf(const RoomCounts& counts, const Totals& totals, double room) {
    const std::vector<ClassDemand> demands = demandsOf(counts, totals);
    RoomShares shares;
    shares.limited = true;
    const std::vector<double> fractions = FairShares(demands, room);
    double refused = 0;
    for (size_t i = 0; i < demands.size(); ++i) {
        if (fractions[i] < 1) {
            shares.classes.push_back({demands[i].of, fractions[i]});
            refused += counts.classes[i].arrived * (1 - fractions[i]);
        }
    }
    // As long as it takes to serve as many requests as are refused in a second.
    const double seconds = totals.finished > 0 ? refused / totals.finished : 1;
    shares.retryAfter =
        static_cast<Millis>(std::clamp(1000 * seconds, kMinRetryAfter, kMaxRetryAfter));
    return shares;
}

}  // namespace onyx
