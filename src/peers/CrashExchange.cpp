#include "include/peers/CrashExchange.h"

#include "include/membership/RingRoute.h"
#include "include/membership/SampleBoxes.h"
#include "include/wire/FrameCodec.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>
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
constexpr size_t kMaxInitialObservations = 48;
constexpr size_t kMaxInitialPerRequest = 8;
constexpr size_t kMaxInitialSingles = 8;
constexpr size_t kMaxInitialAnswers = 8;
// Requests in quarantine are compared with other boxes this often and for this long after the last
// news, in milliseconds.
constexpr Millis kReviewPeriod = 500;
constexpr Millis kReviewTime = 20000;
constexpr size_t kReviewedRequests = 6;
constexpr size_t kReviewedCrashes = 2;
constexpr double kMinReviewBytes = 1500;  // Left in the budget.
// How long an observation waits for the answers that are running, in milliseconds.
constexpr Millis kAnswerWait = 600;
constexpr size_t kMaxOutweighed = 6;  // Crashes that are named with an answer.
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

wire::CrashEntry EntryOf(const CrashObservation& observation, MonoTime now) {
    return {observation.request, observation.id, observation.upstream,
            WireMillis(now - observation.crashed),
            WireMillis(observation.crashed - observation.sent)};
}

void AddCrash(const CrashObservation& observation, MonoTime now, wire::CrashReportsT& reports) {
    reports.crashes.push_back(EntryOf(observation, now));
}

// Adds the answer with the crashes that it clears the request of.
void AddAnswer(const RequestQuarantine& quarantine, uint64_t request, MonoTime at, MonoTime now,
               wire::CrashReportsT& reports) {
    reports.names_outweighed = true;
    reports.answered.emplace_back(request, WireMillis(now - at));
    for (const CrashObservation& crash : quarantine.outweighedOf(request, kMaxOutweighed)) {
        reports.outweighed.push_back(EntryOf(crash, now));
    }
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

// What this box saw of a request that is being answered here waits for those answers first.
bool CrashExchange::recordCrash(const CrashObservation& observation, Origin origin, MonoTime now) {
    using CrashEffect = RequestQuarantine::CrashEffect;
    const bool wasSuspected = isSuspect(observation.request);
    const CrashEffect learned = m_quarantine.noteCrash(observation, now);
    if (learned == CrashEffect::kUnchanged) {
        return false;
    }
    m_reviewUntil = now + kReviewTime;
    const bool isQuarantinedNow = learned == CrashEffect::kQuarantined;
    if (origin == Origin::kLocal && m_quarantine.isBeingAnswered(observation.request, now)) {
        AppendBounded(m_heldCrashes, {observation, now + kAnswerWait});
    } else {
        spread({observation, origin}, wasSuspected, isQuarantinedNow, now);
    }
    return isQuarantinedNow;
}

// A request becomes a suspect with its second crash, if that follows the first; both crashes are
// then sent to all boxes.
void CrashExchange::spread(const SingleCrash& crash, bool wasSuspected, bool isNewInQuarantine,
                           MonoTime now) {
    const uint64_t request = crash.observation.request;
    // The box where all crashes of a request meet is the first to learn of the third.
    if (crash.origin == Origin::kLocal || !isSuspect(request)) {
        AppendBounded(m_singleCrashes, crash);
    }
    if (isNewInQuarantine) {
        queueObservations(request, kQuarantineRounds, now);
    } else if (wasSuspected) {
        const bool isFurther = isQuarantined(request, now) && crash.origin == Origin::kPeer;
        AppendBounded(m_suspectCrashes, {crash.observation, isFurther ? 1 : kSuspectRounds});
    } else if (isSuspect(request)) {
        queueObservations(request, kSuspectRounds, now);
    }
}

void CrashExchange::spreadHeld(MonoTime now) {
    const auto firstLater = std::find_if(m_heldCrashes.begin(), m_heldCrashes.end(),
                                         [&](const HeldCrash& held) { return held.until > now; });
    const std::vector<HeldCrash> due(m_heldCrashes.begin(), firstLater);
    m_heldCrashes.erase(m_heldCrashes.begin(), firstLater);
    for (const HeldCrash& held : due) {
        if (m_quarantine.isCleared(held.observation)) {
            continue;
        }
        // The running answer may still end in a crash.
        if (m_quarantine.isOutweighed(held.observation, now)) {
            AppendBounded(m_heldCrashes, {held.observation, now + kAnswerWait});
        } else {
            const bool isKnown = isQuarantined(held.observation.request, now);
            spread({held.observation, Origin::kLocal}, false, isKnown, now);
        }
    }
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

void CrashExchange::noteAnswer(uint64_t request, MonoTime sent, MonoTime now) {
    recordAnswer(request, sent, now);
}

// Crashes that an answer clears are no longer sent. If none of them has been sent to another box,
// the answer is not sent either.
void CrashExchange::recordAnswer(uint64_t request, MonoTime sent, MonoTime now) {
    const bool wasSuspected = m_quarantine.wasSuspected(request);
    if (m_quarantine.noteAnswer(request, sent, now)) {
        passAnswerOn(request, sent, wasSuspected);
    }
}

void CrashExchange::notePartAnswer(uint64_t part, MonoTime sent, MonoTime now) {
    const bool wasSuspected = m_quarantine.wasSuspected(part);
    if (m_quarantine.notePartAnswer(part, sent, now)) {
        passAnswerOn(part, sent, wasSuspected);
    }
}

void CrashExchange::passAnswerOn(uint64_t request, MonoTime at, bool wasSuspected) {
    const auto isCleared = [&](const auto& pending) {
        return pending.observation.request == request &&
               m_quarantine.isCleared(pending.observation);
    };
    const size_t unreported = std::erase_if(m_singleCrashes, [&](const SingleCrash& pending) {
        return pending.origin == Origin::kLocal && isCleared(pending);
    });
    std::erase_if(m_singleCrashes, isCleared);
    std::erase_if(m_suspectCrashes, isCleared);
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

CrashObservation CrashExchange::ObservationOf(const wire::CrashEntry& entry, MonoTime now) {
    const MonoTime crashed = now - Millis{entry.age_ms()};
    return {entry.request(), entry.id(), entry.upstream(), crashed - Millis{entry.ran_ms()},
            crashed};
}

// The time of an answer is that of the frame's sending, so it is used only for boxes that do not
// say which crashes the answer outweighs.
void CrashExchange::handleAnswers(const wire::CrashReportsT& reports, MonoTime now) {
    std::map<uint64_t, bool> isNews;
    for (const wire::CrashEntry& entry : reports.outweighed) {
        const bool wasSuspected = m_quarantine.wasSuspected(entry.request());
        const bool news = m_quarantine.noteOutweighed(ObservationOf(entry, now), now);
        isNews[entry.request()] |= news && wasSuspected;
    }
    for (const wire::AnsweredEntry& entry : reports.answered) {
        const MonoTime sent = now - Millis{entry.age_ms()};
        if (!reports.names_outweighed) {
            recordAnswer(entry.request(), sent, now);
            continue;
        }
        m_quarantine.noteReportedAnswer(entry.request(), sent, now);
        if (isNews[entry.request()]) {
            passAnswerOn(entry.request(), sent, true);
        }
    }
}

// A box that reports a crash which an answer has cleared, or only one crash of a request that is in
// quarantine here, lacks data that this box has; a correction is queued for it.
std::vector<uint64_t> CrashExchange::handleReports(const std::string& from,
                                                   const wire::CrashReportsT& reports,
                                                   MonoTime now) {
    handleAnswers(reports, now);
    std::vector<uint64_t> quarantined;
    for (const wire::CrashEntry& entry : reports.crashes) {
        const CrashObservation observation = ObservationOf(entry, now);
        noteRedundantReport(observation);
        if (recordCrash(observation, Origin::kPeer, now)) {
            quarantined.push_back(entry.request());
        }
        if (m_quarantine.isCleared(observation) ||
            (isQuarantined(entry.request(), now) && CrashesOf(entry.request(), reports) == 1)) {
            m_corrections[from].insert(entry.request());
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
    // Those that were answered longest ago first: the cause of the crashes is among them.
    const auto urgency = [&](const PendingCrash& pending) {
        const auto answered = m_quarantine.answerOf(pending.observation.request);
        return std::make_tuple(isInQuarantine(pending),
                               answered ? now - *answered : std::numeric_limits<Millis>::max(),
                               pending.observation.crashed);
    };
    std::stable_sort(
        m_suspectCrashes.begin(), m_suspectCrashes.end(),
        [&](const PendingCrash& a, const PendingCrash& b) { return urgency(a) > urgency(b); });
    wire::CrashReportsT reports;
    double bytesLeft = m_suspectBudget.bytesLeft() / static_cast<double>(to.size()) - kFrameBytes;
    const double reserve = kQuarantineReserveBytes / static_cast<double>(to.size());
    const auto reserveEntry = [&](double reservedBytes) {
        const bool enough = bytesLeft - kEntryBytes >= reservedBytes;
        bytesLeft -= enough ? kEntryBytes : 0;
        return enough;
    };
    for (PendingAnswer& pending : m_suspectAnswers) {
        if (reserveEntry(reserve + kMaxOutweighed * kEntryBytes)) {
            AddAnswer(m_quarantine, pending.request, pending.at, now, reports);
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
    addCompanions(reports, now);
    if (reports.crashes.empty() && reports.answered.empty()) {
        return {};
    }
    std::vector<OutgoingFrame> frames;
    frames.push_back({std::move(to), EncodeMessage(std::move(reports))});
    return frames;
}

// Adds an earlier crash to the only report of a request in quarantine, so that receivers see that
// this box knows more than the one and send no correction.
void CrashExchange::addCompanions(wire::CrashReportsT& reports, MonoTime now) const {
    std::vector<CrashObservation> companions;
    for (const wire::CrashEntry& entry : reports.crashes) {
        if (!isQuarantined(entry.request(), now) || CrashesOf(entry.request(), reports) > 1) {
            continue;
        }
        const auto known = m_quarantine.observationsOf(entry.request(), now);
        const auto other = std::find_if(known.begin(), known.end(), [&](const auto& observation) {
            return observation.id != entry.id();
        });
        if (other != known.end()) {
            companions.push_back(*other);
        }
    }
    for (const CrashObservation& companion : companions) {
        AddCrash(companion, now, reports);
    }
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
        routeEntry(pending.request, kRelayFanOut, [&](auto& reports) {
            AddAnswer(m_quarantine, pending.request, pending.at, now, reports);
        });
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
    double bytesLeft = m_suspectBudget.bytesLeft() - kMinReviewBytes;
    for (const auto& [box, requests] : m_corrections) {
        wire::CrashReportsT reports;
        for (const uint64_t request : requests) {
            if (const auto answered = m_quarantine.answerOf(request)) {
                AddAnswer(m_quarantine, request, *answered, now, reports);
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
    spreadHeld(now);
    m_suspectBudget.refill(now);
    m_singleBudget.refill(now);
    std::vector<OutgoingFrame> frames;
    const auto send = [&](std::vector<OutgoingFrame> more, ByteBudget& budget) {
        budget.spend(more);
        std::move(more.begin(), more.end(), std::back_inserter(frames));
    };
    if (now - m_lastSuspectRound >= kSuspectPeriod) {
        send(makeSuspectFrames(self, linked, now), m_suspectBudget);
        send(makeCorrectionFrames(now), m_suspectBudget);
        m_lastSuspectRound = now;
    }
    if (now - m_lastReview >= kReviewPeriod && now < m_reviewUntil) {
        send(makeReviewFrames(self, linked, now), m_suspectBudget);
        m_lastReview = now;
    }
    if (now - m_lastRouting >= kRoutingPeriod) {
        send(makeRoutedFrames(self, linked, now), m_singleBudget);
        m_lastRouting = now;
    }
    return frames;
}

// Sends what this box has against a few requests in quarantine to one box. A box that has more, or
// an answer that clears them, sends it back as a correction: reports get lost, and a box that
// refuses a request gets no answer of its own to it.
std::vector<OutgoingFrame> CrashExchange::makeReviewFrames(const std::string& self,
                                                           std::span<const std::string> linked,
                                                           MonoTime now) {
    const std::vector<uint64_t> inQuarantine = m_quarantine.inQuarantine(now);
    if (inQuarantine.empty() || m_suspectBudget.bytesLeft() < kMinReviewBytes) {
        return {};
    }
    wire::CrashReportsT reports;
    for (size_t i = 0; i < std::min(kReviewedRequests, inQuarantine.size()); ++i) {
        const uint64_t request = inQuarantine[m_reviewed++ % inQuarantine.size()];
        const auto known = m_quarantine.observationsOf(request, now);
        const size_t first = known.size() - std::min(known.size(), kReviewedCrashes);
        for (const CrashObservation& observation : std::span(known).subspan(first)) {
            AddCrash(observation, now, reports);
        }
    }
    std::vector<OutgoingFrame> frames;
    frames.push_back({SampleBoxes({linked.begin(), linked.end()}, 1, self, ++m_round),
                      EncodeMessage(std::move(reports))});
    return frames;
}

void CrashExchange::clearPending() {
    m_suspectCrashes.clear();
    m_suspectAnswers.clear();
    m_singleCrashes.clear();
    m_heldCrashes.clear();
    m_singleAnswers.clear();
    m_corrections.clear();
    m_reviewUntil = {};
}

std::optional<std::string> CrashExchange::makeInitialFrame(MonoTime now) const {
    wire::CrashReportsT reports;
    size_t singles = 0;
    std::map<uint64_t, size_t> perRequest;
    for (const CrashObservation& observation :
         m_quarantine.observations(std::numeric_limits<size_t>::max(), now)) {
        const bool isWanted = isSuspect(observation.request)
                                  ? perRequest[observation.request]++ < kMaxInitialPerRequest
                                  : singles++ < kMaxInitialSingles;
        if (isWanted && reports.crashes.size() < kMaxInitialObservations) {
            AddCrash(observation, now, reports);
        }
    }
    for (const auto& [request, count] : perRequest) {
        const auto answered = m_quarantine.answerOf(request);
        if (answered && reports.answered.size() < kMaxInitialAnswers) {
            AddAnswer(m_quarantine, request, *answered, now, reports);
        }
    }
    if (reports.crashes.empty()) {
        return std::nullopt;
    }
    return EncodeMessage(std::move(reports));
}

}  // namespace onyx
