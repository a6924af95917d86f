#include "include/peers/CrashExchange.h"

#include "include/membership/RingRoute.h"
#include "include/membership/SampleBoxes.h"
#include "include/wire/FrameCodec.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace onyx {

namespace {

constexpr size_t kSuspectFanOut = 4;  // Boxes that receive the reports on suspects in one round.
// Boxes to which a single crash is routed: by the box that saw it, and by each box on the route.
constexpr size_t kOriginFanOut = 2;
constexpr size_t kRelayFanOut = 1;
// Rounds in which a box sends a crash of a suspect that is new to it, and all crashes of a request
// that has just entered quarantine. When the byte budget is low, each report of the same crash that
// arrives from another box in the meantime takes one round off.
constexpr int kSuspectRounds = 2;
constexpr int kQuarantineRounds = 4;
// Reports are collected for this long, in milliseconds, before they are sent: a frame with one
// entry costs four times as many bytes as the entry itself.
constexpr Millis kSuspectPeriod = 200;
constexpr Millis kRoutingPeriod = 200;
constexpr size_t kMaxPending = 512;  // Entries per queue; when it is full, the oldest is dropped.
// Crash observations that a newly linked box receives: in all, and single crashes among them.
constexpr size_t kMaxInitialObservations = 512;
constexpr size_t kMaxInitialSingles = 8;
// Bytes per second that a box may send for suspects and for single crashes. The budgets are
// separate so that after the loss of many upstreams neither kind waits for the other. Unspent bytes
// accumulate for up to kMaxSavedSeconds.
constexpr double kSuspectBytesPerSecond = 600;
constexpr double kSingleBytesPerSecond = 400;
constexpr double kMaxSavedSeconds = 16;
// Bytes of the suspects' budget that are reserved for requests in quarantine. Without the reserve,
// requests that did not cause the loss of their upstreams could use up the budget: many are retried
// at an upstream that ends at the same moment, and become suspects.
constexpr double kQuarantineReserveBytes = 5000;
constexpr Millis kMaxSuspectAge = 5000;   // Crashes of suspects older than this are not passed on.
constexpr double kLowBudgetShare = 0.75;  // A budget is low when less than this share is left.
// Bytes of a frame without its entries, and of an entry.
constexpr double kFrameBytes = 80;
constexpr double kEntryBytes = sizeof(wire::CrashEntry);

uint32_t WireMillis(Millis span) {
    return static_cast<uint32_t>(std::clamp<Millis>(span, 0, std::numeric_limits<uint32_t>::max()));
}

void AddCrash(const CrashObservation& observation, MonoTime now, wire::CrashReportsT& reports) {
    reports.crashes.emplace_back(observation.request, observation.id, observation.upstream,
                                 WireMillis(now - observation.crashed),
                                 WireMillis(observation.crashed - observation.sent));
}

void AddAnswer(uint64_t request, MonoTime at, MonoTime now, wire::CrashReportsT& reports) {
    reports.answered.emplace_back(request, WireMillis(now - at));
}

template <class Entry>
void AppendBounded(std::vector<Entry>& queue, const Entry& entry) {
    if (queue.size() >= kMaxPending) {
        queue.erase(queue.begin());
    }
    queue.push_back(entry);
}

size_t CrashesOf(uint64_t request, const wire::CrashReportsT& reports) {
    return static_cast<size_t>(
        std::count_if(reports.crashes.begin(), reports.crashes.end(),
                      [&](const wire::CrashEntry& entry) { return entry.request() == request; }));
}

template <class Entry>
void EraseCompleted(std::vector<Entry>& queue) {
    std::erase_if(queue, [](const Entry& entry) { return entry.roundsLeft <= 0; });
}

}  // namespace

bool CrashExchange::noteCrash(const CrashObservation& observation, MonoTime now) {
    return recordCrash(observation, Origin::kLocal, now);
}

// A request becomes a suspect with its second crash, if that follows the first; both crashes are
// then sent to all boxes.
bool CrashExchange::recordCrash(const CrashObservation& observation, Origin origin, MonoTime now) {
    using CrashEffect = RequestQuarantine::CrashEffect;
    const bool wasSuspected = isSuspect(observation.request);
    const bool wasQuarantined = isQuarantined(observation.request, now);
    const CrashEffect learned = m_quarantine.noteCrash(observation, now);
    if (learned == CrashEffect::kUnchanged || (wasQuarantined && origin == Origin::kPeer)) {
        return false;
    }
    // The box where all crashes of a request meet is the first to learn of the third.
    if (origin == Origin::kLocal || !isSuspect(observation.request)) {
        AppendBounded(m_singleCrashes, {observation, origin});
    }
    if (learned == CrashEffect::kQuarantined) {
        queueObservations(observation.request, kQuarantineRounds, now);
    } else if (wasSuspected) {
        AppendBounded(m_suspectCrashes, {observation, kSuspectRounds});
    } else if (isSuspect(observation.request)) {
        queueObservations(observation.request, kSuspectRounds, now);
    }
    return learned == CrashEffect::kQuarantined;
}

// Queues all observed crashes of the request, not only the latest: a box that missed one of them
// receives it from each box that learns of the next.
void CrashExchange::queueObservations(uint64_t request, int roundsLeft, MonoTime now) {
    std::erase_if(m_suspectCrashes, [&](const PendingCrash& pending) {
        return pending.observation.request == request;
    });
    for (const CrashObservation& observation : m_quarantine.observationsOf(request, now)) {
        AppendBounded(m_suspectCrashes, {observation, roundsLeft});
    }
}

void CrashExchange::noteAnswer(uint64_t request, MonoTime now) {
    recordAnswer(request, now, Origin::kLocal, now);
}

// Crashes that an answer clears are no longer sent. If none of them has been sent to another box,
// the answer is not sent either. An answer to a suspect is passed on even if it clears nothing
// here, because other boxes may still need it.
void CrashExchange::recordAnswer(uint64_t request, MonoTime at, Origin origin, MonoTime now) {
    const bool wasSuspected = isSuspect(request);
    const bool isLater = !m_quarantine.answerAfter(request, at);
    const bool cleared = m_quarantine.noteAnswer(request, at, now);
    if (!cleared) {
        if (origin == Origin::kPeer && isLater && m_quarantine.wasSuspected(request)) {
            queueAnswer({request, at, kSuspectRounds});
        }
        return;
    }
    passAnswerOn(request, at, wasSuspected);
}

void CrashExchange::notePartAnswer(uint64_t part, MonoTime sent, MonoTime now) {
    const bool wasSuspected = isSuspect(part);
    if (m_quarantine.notePartAnswer(part, sent, now)) {
        passAnswerOn(part, sent, wasSuspected);
    }
}

void CrashExchange::passAnswerOn(uint64_t request, MonoTime at, bool wasSuspected) {
    const size_t unreported = std::erase_if(m_singleCrashes, [&](const SingleCrash& pending) {
        return pending.observation.request == request && pending.origin == Origin::kLocal;
    });
    std::erase_if(m_singleCrashes, [&](const SingleCrash& pending) {
        return pending.observation.request == request;
    });
    std::erase_if(m_suspectCrashes, [&](const PendingCrash& pending) {
        return pending.observation.request == request && pending.observation.crashed <= at;
    });
    if (wasSuspected) {
        queueAnswer({request, at, kSuspectRounds});
    } else if (unreported == 0) {
        AppendBounded(m_singleAnswers, {request, at, 1});
    }
}

void CrashExchange::queueAnswer(const PendingAnswer& pending) {
    const auto same =
        std::find_if(m_suspectAnswers.begin(), m_suspectAnswers.end(),
                     [&](const PendingAnswer& other) { return other.request == pending.request; });
    if (same == m_suspectAnswers.end()) {
        AppendBounded(m_suspectAnswers, pending);
    } else {
        same->at = std::max(same->at, pending.at);
    }
}

// A box that reports a crash which an answer has cleared, or only one crash of a request that is in
// quarantine here, lacks data that this box has; a correction is queued for it.
std::vector<uint64_t> CrashExchange::handleReports(const std::string& from,
                                                   const wire::CrashReportsT& reports,
                                                   MonoTime now) {
    for (const wire::AnsweredEntry& entry : reports.answered) {
        recordAnswer(entry.request(), now - Millis{entry.age_ms()}, Origin::kPeer, now);
    }
    std::vector<uint64_t> quarantined;
    for (const wire::CrashEntry& entry : reports.crashes) {
        const MonoTime crashed = now - Millis{entry.age_ms()};
        const MonoTime sent = crashed - Millis{entry.ran_ms()};
        const CrashObservation observation{entry.request(), entry.id(), entry.upstream(), sent,
                                           crashed};
        if (m_quarantine.answerAfter(entry.request(), crashed) ||
            (isQuarantined(entry.request(), now) && CrashesOf(entry.request(), reports) == 1)) {
            m_corrections[from].insert(entry.request());
        }
        noteRedundantReport(observation);
        if (recordCrash(observation, Origin::kPeer, now)) {
            quarantined.push_back(entry.request());
        }
    }
    return quarantined;
}

// A crash that other boxes report too spreads without this box, so it is sent in fewer rounds when
// the budget is low.
void CrashExchange::noteRedundantReport(const CrashObservation& observation) {
    const auto same = std::find_if(m_suspectCrashes.begin(), m_suspectCrashes.end(),
                                   [&](const PendingCrash& pending) {
                                       return pending.observation.request == observation.request &&
                                              pending.observation.id == observation.id;
                                   });
    if (same != m_suspectCrashes.end() && m_suspectBudget.isLow() && --same->roundsLeft <= 0) {
        m_suspectCrashes.erase(same);
    }
}

CrashExchange::CrashExchange(RequestQuarantine& quarantine)
    : m_quarantine(quarantine),
      m_suspectBudget(kSuspectBytesPerSecond),
      m_singleBudget(kSingleBytesPerSecond) {}

CrashExchange::ByteBudget::ByteBudget(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond), m_bytesLeft(bytesPerSecond * kMaxSavedSeconds) {}

void CrashExchange::ByteBudget::refill(MonoTime now) {
    const Millis elapsed = m_refilledAt ? now - *m_refilledAt : 0;
    const double earned = m_bytesPerSecond * static_cast<double>(elapsed) / 1000;
    m_bytesLeft = std::min(m_bytesLeft + earned, m_bytesPerSecond * kMaxSavedSeconds);
    m_refilledAt = now;
}

bool CrashExchange::ByteBudget::isLow() const {
    return m_bytesLeft < m_bytesPerSecond * kMaxSavedSeconds * kLowBudgetShare;
}

void CrashExchange::ByteBudget::spend(std::span<const OutgoingFrame> frames) {
    for (const OutgoingFrame& outgoing : frames) {
        m_bytesLeft -= static_cast<double>(outgoing.frame.size() * outgoing.to.size());
    }
}

// Builds the frames that spread suspects to all boxes: answers first, then crashes of requests in
// quarantine, then those of other suspects, the latest crashes first.
std::vector<OutgoingFrame> CrashExchange::makeSuspectFrames(const std::string& self,
                                                            std::span<const std::string> linked,
                                                            MonoTime now) {
    std::vector<std::string> to =
        SampleBoxes({linked.begin(), linked.end()}, kSuspectFanOut, self, ++m_round);
    const auto isInQuarantine = [&](const PendingCrash& pending) {
        return isQuarantined(pending.observation.request, now);
    };
    std::erase_if(m_suspectCrashes, [&](const PendingCrash& pending) {
        return !isInQuarantine(pending) && now - pending.observation.crashed > kMaxSuspectAge;
    });
    std::stable_sort(m_suspectCrashes.begin(), m_suspectCrashes.end(),
                     [&](const PendingCrash& a, const PendingCrash& b) {
                         return std::make_pair(isInQuarantine(a), a.observation.crashed) >
                                std::make_pair(isInQuarantine(b), b.observation.crashed);
                     });
    wire::CrashReportsT reports;
    double bytesLeft = m_suspectBudget.bytesLeft() / static_cast<double>(to.size()) - kFrameBytes;
    const double reserve = kQuarantineReserveBytes / static_cast<double>(to.size());
    const auto reserveEntry = [&](double reservedBytes) {
        const bool enough = bytesLeft - kEntryBytes >= reservedBytes;
        bytesLeft -= enough ? kEntryBytes : 0;
        return enough;
    };
    for (PendingAnswer& pending : m_suspectAnswers) {
        if (reserveEntry(reserve)) {
            AddAnswer(pending.request, pending.at, now, reports);
            --pending.roundsLeft;
        }
    }
    for (PendingCrash& pending : m_suspectCrashes) {
        if (reserveEntry(isInQuarantine(pending) ? 0 : reserve)) {
            AddCrash(pending.observation, now, reports);
            --pending.roundsLeft;
        }
    }
    EraseCompleted(m_suspectAnswers);
    EraseCompleted(m_suspectCrashes);
    if (reports.crashes.empty() && reports.answered.empty()) {
        return {};
    }
    std::vector<OutgoingFrame> frames;
    frames.push_back({std::move(to), EncodeMessage(std::move(reports))});
    return frames;
}

// Builds the frames that route single crashes, and answers to their requests, to boxes that are
// closer to the one where all reports on their request meet; the latest crashes first. Reports that
// have reached that box are not sent any further.
std::vector<OutgoingFrame> CrashExchange::makeRoutedFrames(const std::string& self,
                                                           std::span<const std::string> linked,
                                                           MonoTime now) {
    std::map<std::string, wire::CrashReportsT> byBox;
    double bytesLeft = m_singleBudget.bytesLeft();
    const auto routeEntry = [&](uint64_t request, size_t fanOut, const auto& addTo) {
        for (const std::string& box : CloserBoxes(linked, self, request, fanOut)) {
            bytesLeft -= kEntryBytes + (byBox.contains(box) ? 0 : kFrameBytes);
            addTo(byBox[box]);
        }
    };
    std::stable_sort(m_singleCrashes.begin(), m_singleCrashes.end(),
                     [](const SingleCrash& a, const SingleCrash& b) {
                         return a.observation.crashed < b.observation.crashed;
                     });
    while (bytesLeft > 0 && !m_singleCrashes.empty()) {
        const SingleCrash pending = m_singleCrashes.back();
        m_singleCrashes.pop_back();
        const size_t fanOut = pending.origin == Origin::kLocal ? kOriginFanOut : kRelayFanOut;
        routeEntry(pending.observation.request, fanOut,
                   [&](auto& reports) { AddCrash(pending.observation, now, reports); });
    }
    while (bytesLeft > 0 && !m_singleAnswers.empty()) {
        const PendingAnswer pending = m_singleAnswers.back();
        m_singleAnswers.pop_back();
        routeEntry(pending.request, kRelayFanOut,
                   [&](auto& reports) { AddAnswer(pending.request, pending.at, now, reports); });
    }
    std::vector<OutgoingFrame> frames;
    frames.reserve(byBox.size());
    for (auto& [box, reports] : byBox) {
        frames.push_back({{box}, EncodeMessage(std::move(reports))});
    }
    return frames;
}

// Builds the corrections for boxes that lack data, as far as the budget allows. A correction that
// is dropped is queued again when the box reports the next crash.
std::vector<OutgoingFrame> CrashExchange::makeCorrectionFrames(MonoTime now) {
    std::vector<OutgoingFrame> frames;
    double bytesLeft = m_suspectBudget.bytesLeft();
    for (const auto& [box, requests] : m_corrections) {
        wire::CrashReportsT reports;
        for (const uint64_t request : requests) {
            if (const auto answered = m_quarantine.answerAfter(request, MonoTime{})) {
                AddAnswer(request, *answered, now, reports);
            }
            for (const CrashObservation& observation : m_quarantine.observationsOf(request, now)) {
                AddCrash(observation, now, reports);
            }
        }
        OutgoingFrame outgoing{{box}, EncodeMessage(std::move(reports))};
        bytesLeft -= static_cast<double>(outgoing.frame.size());
        if (bytesLeft < 0) {
            break;
        }
        frames.push_back(std::move(outgoing));
    }
    m_corrections.clear();
    return frames;
}

std::vector<OutgoingFrame> CrashExchange::makeRoundFrames(const std::string& self,
                                                          std::span<const std::string> linked,
                                                          MonoTime now) {
    if (linked.empty()) {
        // A box that is linked later receives the crashes that matter in its initial frame.
        clearPending();
        return {};
    }
    m_suspectBudget.refill(now);
    m_singleBudget.refill(now);
    std::vector<OutgoingFrame> frames;
    const auto send = [&](std::vector<OutgoingFrame> more, ByteBudget& budget) {
        budget.spend(more);
        std::move(more.begin(), more.end(), std::back_inserter(frames));
    };
    if (now - m_lastSuspectRound >= kSuspectPeriod) {
        send(makeCorrectionFrames(now), m_suspectBudget);
        send(makeSuspectFrames(self, linked, now), m_suspectBudget);
        m_lastSuspectRound = now;
    }
    if (now - m_lastRouting >= kRoutingPeriod) {
        send(makeRoutedFrames(self, linked, now), m_singleBudget);
        m_lastRouting = now;
    }
    return frames;
}

void CrashExchange::clearPending() {
    m_suspectCrashes.clear();
    m_suspectAnswers.clear();
    m_singleCrashes.clear();
    m_singleAnswers.clear();
    m_corrections.clear();
}

std::optional<std::string> CrashExchange::makeInitialFrame(MonoTime now) const {
    wire::CrashReportsT reports;
    size_t singles = 0;
    for (const CrashObservation& observation :
         m_quarantine.observations(kMaxInitialObservations, now)) {
        if (isSuspect(observation.request) || singles++ < kMaxInitialSingles) {
            AddCrash(observation, now, reports);
        }
    }
    if (reports.crashes.empty()) {
        return std::nullopt;
    }
    return EncodeMessage(std::move(reports));
}

}  // namespace onyx
