#include "include/admission/RoomGate.h"

#include "include/admission/FairShares.h"

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds. Signs of a shortage count for this long.
constexpr Millis kPressedTime = 2000;
// Part of the objective after which an answer shows that there is a queue.
constexpr double kSlowFraction = 0.75;
// Of the last ends: one alone is the slow tail of a calm service, or an upstream that has less room
// than others.
constexpr int64_t kMinSigns = 2;
// In milliseconds. Within this time they make a box decide by itself, if they are that part of the
// ends: fewer are an upstream that fails or has less room than others.
constexpr Millis kOwnSignTime = 4000;
constexpr double kOwnSignPart = 0.3;
// In milliseconds. A class that has had no request for this long is forgotten.
constexpr Millis kClassRetention = 10000;

// The own decision: cuts are as far apart as it takes to see what a cut does, and an answer in time
// raises the room by a part of the arrivals.
constexpr Millis kCutInterval = 300;
constexpr Millis kRaiseInterval = 100;
constexpr double kCut = 0.8;
constexpr double kRaise = 0.01;
// An answer within this part of the objective shows that there is no queue. After a time in
// milliseconds without others the room is raised faster.
constexpr double kFastFraction = 0.4;
constexpr Millis kFastTime = 1000;
constexpr double kFastRaise = 0.25;
constexpr double kMinListed = 1;  // Arrivals per second of a class that has a share of its own.
constexpr double kMinOwnFraction = 0.1;  // Of the arrivals; finds out when there is room again.
constexpr double kAmpleRoom = 1.5;       // Times the arrivals: nothing is limited any more.
constexpr Millis kOwnPeriod = 200;       // In milliseconds, between two divisions of the room.
// In milliseconds. Bounds of the time after which a refused caller may return.
constexpr Millis kMinRetryAfter = 300;
constexpr Millis kMaxRetryAfter = 10000;

}  // namespace

RoomGate::Sign RoomGate::SignOf(const RoomEnd& end) {
    const auto firstByte = static_cast<double>(*end.firstByte);
    const auto objective = static_cast<double>(end.objective);
    if (firstByte > objective) {
        return Sign::kBad;
    }
    if (firstByte > kSlowFraction * objective) {
        return Sign::kSlow;
    }
    return firstByte > kFastFraction * objective ? Sign::kUsual : Sign::kFast;
}

RoomGate::RoomGate(uint64_t seed) : m_random(seed) {}

RoomDecision RoomGate::decide(const DemandClass& of, uint64_t fingerprint, MonoTime now) {
    const double fraction = shares(now).fractionOf(of);
    if (fraction < 1 && m_refused.remaining(fingerprint, now)) {
        return refuse(of, fingerprint, now);
    }
    ClassState& state = classOf(of, now);
    state.arrived.add(1, now);
    state.arrivedLong.add(1, now);
    m_arrivedLong.add(1, now);
    if (fraction < 1) {
        state.credit += fraction;
        if (state.credit < 1) {
            return refuse(of, fingerprint, now);
        }
        state.credit -= 1;
    }
    state.admitted.add(1, now);
    m_admittedLong.add(1, now);
    return RoomGranted{};
}

void RoomGate::noteExempt(const DemandClass& of, MonoTime now) {
    const double fraction = shares(now).fractionOf(of);
    ClassState& state = classOf(of, now);
    state.arrived.add(1, now);
    state.arrivedLong.add(1, now);
    m_arrivedLong.add(1, now);
    state.admitted.add(1, now);
    m_admittedLong.add(1, now);
    // Its class sends one request less, so that it keeps to its part of the room.
    state.credit = std::max(-1.0, state.credit - (1 - fraction));
}

void RoomGate::noteSent(MonoTime) {
    ++m_inFlight;
}

void RoomGate::noteEnded(const RoomEnd& end, MonoTime now) {
    m_inFlight = std::max<int64_t>(0, m_inFlight - 1);
    if (end.declined) {
        m_declined.add(1, now);
        m_lastDeclined = now;
        noteSign(Sign::kBad, now);
    } else if (end.firstByte) {
        PriorityState& state = m_priorities[end.priority];
        state.objective = end.objective;
        state.finished.add(1, now);
        state.late.add(*end.firstByte > end.objective ? 1 : 0, now);
        state.busyMs.add(static_cast<double>(end.took), now);
        state.firstByteMs.add(static_cast<double>(*end.firstByte), now);
        noteSign(SignOf(end), now);
    } else if (end.unanswered) {
        noteSign(Sign::kBad, now);
    }
    adjustOwn(end, now);
}

void RoomGate::setShares(RoomShares shares, MonoTime asOf) {
    m_shares = std::move(shares);
    m_sharesAsOf = asOf;
}

RoomCounts RoomGate::counts(MonoTime now) {
    forgetIdle(now);
    RoomCounts all;
    all.boxes = 0;
    for (auto& [of, state] : m_classes) {
        const double arrived = state.arrived.perSecond(now);
        if (arrived > 0) {
            all.classes.push_back({of, arrived, state.admitted.perSecond(now)});
        }
    }
    for (auto& [priority, state] : m_priorities) {
        const double finished = state.finished.perSecond(now);
        if (finished > 0) {
            all.priorities.push_back({priority, state.objective, finished,
                                      state.late.perSecond(now), state.busyMs.perSecond(now),
                                      state.firstByteMs.perSecond(now) / finished});
        }
    }
    RoomCounts counts;
    counts.pressed = isPressed(now);
    counts.inFlight = static_cast<double>(m_inFlight);
    counts.declined = m_declined.perSecond(now);
    counts.add(all);
    return counts;
}

bool RoomGate::isLimited(MonoTime now) {
    const RoomShares& current = shares(now);
    return current.limited && !current.classes.empty();
}

RoomGate::ClassState& RoomGate::classOf(const DemandClass& of, MonoTime now) {
    auto known = m_classes.find(of);
    if (known == m_classes.end()) {
        const bool full = m_classes.size() >= kMaxClasses;
        const DemandClass counted = full ? DemandClass{of.priority, 0} : of;
        known = m_classes.try_emplace(counted).first;
        // Random, so that boxes with few requests each admit the right number together.
        known->second.credit = nextRandom();
    }
    known->second.lastArrival = now;
    return known->second;
}

// From 0 to 1.
double RoomGate::nextRandom() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Millis RoomGate::spreadRetryAfter(Millis mean) {
    return mean + static_cast<Millis>(nextRandom() * static_cast<double>(mean));
}

NoRoom RoomGate::refuse(const DemandClass& of, uint64_t fingerprint, MonoTime now) {
    const RoomShares& current = shares(now);
    NoRoom refusal{0, current.fractionOf(of), !hasRecentShares(now)};
    if (const auto remaining = m_refused.remaining(fingerprint, now)) {
        refusal.retryAfter = *remaining;
        return refusal;
    }
    refusal.retryAfter = spreadRetryAfter(std::max(current.retryAfter, kMinRetryAfter));
    m_refused.note(fingerprint, now + refusal.retryAfter);
    return refusal;
}

bool RoomGate::hasRecentShares(MonoTime now) const {
    return m_sharesAsOf && now - *m_sharesAsOf <= kMaxSharesAge;
}

const RoomShares& RoomGate::shares(MonoTime now) {
    if (hasRecentShares(now)) {
        m_own.reset();
        return m_shares;
    }
    refreshOwn(now);
    return m_ownShares;
}

// Goes on with the last shares of the site as long as what this box sees does not change them.
void RoomGate::refreshOwn(MonoTime now) {
    if (m_sharesAsOf) {
        m_sharesAsOf.reset();
        if (m_shares.limited) {
            const double least = kMinOwnFraction * arrivalRate(now);
            m_own = OwnRoom{std::max(least, m_admittedLong.perSecond(now)), now, now, false};
        }
        m_ownSharesAt.reset();
    }
    if (m_ownSharesAt && now - *m_ownSharesAt < kOwnPeriod) {
        return;
    }
    m_ownShares = ownShares(now);
    m_ownSharesAt = now;
}

RoomShares RoomGate::ownShares(MonoTime now) {
    const double arrived = arrivalRate(now);
    if (!m_own) {
        return {};
    }
    if (m_own->rate > kAmpleRoom * arrived) {
        m_own.reset();
        return {};
    }
    const std::vector<ClassDemand> demands = ownDemands(now);
    RoomShares shares;
    shares.limited = true;
    const std::vector<double> fractions = FairShares(demands, m_own->rate);
    for (size_t i = 0; i < demands.size(); ++i) {
        if (fractions[i] < 1) {
            shares.classes.push_back({demands[i].of, fractions[i]});
        }
    }
    const double refused = std::max(0.0, arrived - m_own->rate);
    shares.retryAfter = static_cast<Millis>(std::clamp(1000 * refused / m_own->rate,
                                                       static_cast<double>(kMinRetryAfter),
                                                       static_cast<double>(kMaxRetryAfter)));
    return shares;
}

// Classes with few requests count together: a share of what one box saw of them would be chance.
std::vector<ClassDemand> RoomGate::ownDemands(MonoTime now) {
    std::vector<ClassDemand> demands;
    std::map<int, ClassDemand> others;
    for (auto& [of, state] : m_classes) {
        const double demand = state.arrivedLong.perSecond(now);
        if (of.team != 0 && demand >= kMinListed) {
            demands.push_back({of, demand, 1});
            continue;
        }
        ClassDemand& sum =
            others.try_emplace(of.priority, ClassDemand{{of.priority, 0}, 0, 0}).first->second;
        sum.demand += demand;
        sum.weight += 1;
    }
    for (const auto& [priority, sum] : others) {
        demands.push_back(sum);
    }
    return demands;
}

void RoomGate::adjustOwn(const RoomEnd& end, MonoTime now) {
    if (hasRecentShares(now)) {
        return;
    }
    refreshOwn(now);
    if (end.declined || end.unanswered || (end.firstByte && *end.firstByte > end.objective)) {
        cutOwn(now);
    } else if (m_own && end.firstByte && now - m_own->lastRaise >= kRaiseInterval) {
        const bool isFree = now - m_lastUnfast >= kFastTime;
        m_own->rate += (isFree ? kFastRaise : kRaise) * arrivalRate(now);
        m_own->lastRaise = now;
    }
}

void RoomGate::cutOwn(MonoTime now) {
    const double least = kMinOwnFraction * arrivalRate(now);
    if (!m_own) {
        const int64_t signs = countSigns(Sign::kBad, now - kOwnSignTime);
        const int64_t ends = countSigns(Sign::kFast, now - kOwnSignTime);
        if (signs < kMinSigns ||
            static_cast<double>(signs) < kOwnSignPart * static_cast<double>(ends)) {
            return;
        }
        m_own = OwnRoom{std::max(least, kCut * m_admittedLong.perSecond(now)), now, now, true};
        m_ownSharesAt.reset();
    } else if (now - m_own->lastCut >= kCutInterval) {
        m_own = OwnRoom{std::max(least, kCut * m_own->rate), now, now, true};
    }
}

// Not zero, since the rate of a box that has just started is not known.
double RoomGate::arrivalRate(MonoTime now) {
    return std::max(1.0, m_arrivedLong.perSecond(now));
}

void RoomGate::noteSign(Sign sign, MonoTime now) {
    m_ends[m_nextEnd++ % kEnds] = {sign, now};
    if (sign != Sign::kFast) {
        m_lastUnfast = now;
    }
}

// Returns how many of the last ends since `from` were at least that bad.
int64_t RoomGate::countSigns(Sign least, MonoTime from) const {
    return std::count_if(m_ends.begin(), m_ends.end(),
                         [&](const RecentEnd& end) { return end.sign >= least && end.at >= from; });
}

bool RoomGate::isPressed(MonoTime now) const {
    // A box that limits by itself asks for the shares of the site.
    return (m_own && m_own->isCut && now - m_own->lastCut <= kPressedTime) ||
           (m_lastDeclined && now - *m_lastDeclined <= kPressedTime) ||
           countSigns(Sign::kSlow, now - kPressedTime) >= kMinSigns;
}

void RoomGate::forgetIdle(MonoTime now) {
    std::erase_if(m_classes, [&](const auto& entry) {
        return now - entry.second.lastArrival > kClassRetention;
    });
}

}  // namespace onyx
