#include "include/health/RequestQuarantine.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <tuple>
#include <utility>

namespace onyx {

namespace {

// An upstream that crashes within this time after it got the request crashed immediately.
constexpr Millis kImmediateCrashMs = 10;
// Minimum time between two crashes of one upstream, since it has to restart in between.
constexpr Millis kMinRestartMs = 500;
// An answer has outlived the crashes when it has gone on for this much longer than their attempts
// ran, in milliseconds.
constexpr Millis kOutliveMarginMs = 100;
// Crashes from which on a fingerprint explains those of another one.
constexpr size_t kExplainingCrashes = 2;
// By how much a report may come later than another one of the same crash, which shifts its times.
constexpr Millis kMaxReportDelayMs = 1500;

bool CrashedBefore(const CrashObservation& a, const CrashObservation& b) {
    return std::tie(a.crashed, a.id) < std::tie(b.crashed, b.id);
}

// Returns the time at which the attempt is taken to have begun when it is compared with an earlier
// crash: the middle of its run. Boxes' times of the same event differ by the transmission time of a
// frame; the middle lies well after the crash if the attempt began after it, and well before if the
// attempt was already running. If the request always crashes its upstream immediately, the run is
// too short for this, and the time of the crash is returned.
MonoTime EstimatedStart(const CrashObservation& observation, bool alwaysAtOnce) {
    const Millis ran = observation.crashed - observation.sent;
    return alwaysAtOnce ? observation.crashed : observation.sent + ran / 2;
}

// Attempts that ended together at one upstream are one crash, whose reports may be late.
bool IsSameCrash(const CrashObservation& a, const CrashObservation& b) {
    return a.upstream == b.upstream &&
           std::abs(a.crashed - b.crashed) < kMinRestartMs + kMaxReportDelayMs;
}

}  // namespace

bool RequestQuarantine::Crash::isSame(const CrashObservation& observation) const {
    return IsSameCrash(seen, observation) ||
           std::find(ids.begin(), ids.end(), observation.id) != ids.end();
}

// Reports arrive late, and the attempt that was sent last says the most about the cause.
void RequestQuarantine::Crash::merge(const CrashObservation& observation) {
    const Millis shortest = std::min(ran(), observation.crashed - observation.sent);
    seen.crashed = std::min(seen.crashed, observation.crashed);
    seen.sent = seen.crashed - shortest;
    if (std::find(ids.begin(), ids.end(), observation.id) == ids.end()) {
        ids.push_back(observation.id);
    }
}

void RequestQuarantine::Crash::clearBy(MonoTime sent) {
    clearRuns(std::max<Millis>(seen.crashed - sent, 0));
}

void RequestQuarantine::Crash::clearRuns(Millis run) {
    clearedRun = std::min(run, clearedRun.value_or(run));
}

// The crashes of a record that no running answer outweighs either.
RequestQuarantine::Standing RequestQuarantine::standingOf(uint64_t fingerprint,
                                                          const Record& record,
                                                          MonoTime now) const {
    Standing standing;
    standing.outweighedUpTo =
        m_running.newestSince(fingerprint, record.medianRun() + kOutliveMarginMs, now);
    standing.counted =
        standing.outweighedUpTo ? record.sequence(*standing.outweighedUpTo) : record.crashCount;
    standing.isQuarantined =
        standing.counted >= kCrashThreshold && now - record.lastCrash < kRetentionMs;
    return standing;
}

RequestQuarantine::CrashEffect RequestQuarantine::noteCrash(const CrashObservation& observation,
                                                            MonoTime now) {
    if (now - observation.crashed >= kRetentionMs) {
        return CrashEffect::kUnchanged;
    }
    Record& record = recordOf(observation, now);
    const size_t before = record.crashCount;
    const auto [crash, isNew] = record.add(observation, now);
    if (crash == nullptr || crash->isCleared()) {
        return CrashEffect::kUnchanged;
    }
    record.lastCrash = std::max(record.lastCrash, crash->seen.crashed);
    if (before < kCrashThreshold && record.crashCount >= kCrashThreshold) {
        return CrashEffect::kQuarantined;
    }
    return isNew || record.crashCount > before ? CrashEffect::kRecorded : CrashEffect::kUnchanged;
}

RequestQuarantine::Record& RequestQuarantine::recordOf(const CrashObservation& observation,
                                                       MonoTime now) {
    if (!m_records.contains(observation.request)) {
        if (m_records.size() >= kMaxRequests) {
            evictOne(now);
        }
        const std::optional<MonoTime> answered = answerOf(observation.request);
        m_records[observation.request].answered = answered;
    }
    Record& record = m_records[observation.request];
    record.lastReport = std::max(record.lastReport, observation.crashed);
    return record;
}

// Crashes from before those that this record has forgotten cannot be compared, and the report of
// one may be lost.
bool RequestQuarantine::Record::covers(const Record& other, MonoTime since) const {
    constexpr size_t kMaxUncovered = 1;
    size_t common = 0;
    size_t uncovered = 0;
    for (const Crash& theirs : other.crashes) {
        if (theirs.isCleared() || theirs.seen.sent <= since) {
            continue;
        }
        const bool isCommon = std::any_of(crashes.begin(), crashes.end(), [&](const Crash& ours) {
            return !ours.isCleared() && IsSameCrash(ours.seen, theirs.seen);
        });
        common += isCommon ? 1 : 0;
        uncovered += !isCommon && theirs.seen.crashed > forgottenUpTo ? 1 : 0;
    }
    return common >= kExplainingCrashes && uncovered <= kMaxUncovered;
}

// Marks the longest sequence in which each attempt began after the previous crash.
void RequestQuarantine::Record::count() {
    const Crash* last = nullptr;
    crashCount = 0;
    for (Crash& crash : crashes) {
        crash.isCounted = !crash.isCleared() && follows(crash, last);
        crashCount += crash.isCounted ? 1 : 0;
        last = crash.isCounted ? &crash : last;
    }
    hadTwoCrashes = hadTwoCrashes || crashCount > 1;
}

bool RequestQuarantine::Record::follows(const Crash& crash, const Crash* last) const {
    return last == nullptr || EstimatedStart(crash.seen, !hasDelayedCrash) >= last->seen.crashed;
}

// In milliseconds; of a few reports of a crash, the one with the cause may be missing.
Millis RequestQuarantine::Record::medianRun() const {
    std::vector<Millis> runs;
    for (const Crash& crash : crashes) {
        if (!crash.isCleared()) {
            runs.push_back(crash.ran());
        }
    }
    if (runs.empty()) {
        return 0;
    }
    const auto middle = runs.begin() + static_cast<std::ptrdiff_t>(runs.size() / 2);
    std::nth_element(runs.begin(), middle, runs.end());
    return *middle;
}

// The length of the longest sequence among the crashes of attempts that were sent after `since`.
size_t RequestQuarantine::Record::sequence(MonoTime since) const {
    const Crash* last = nullptr;
    size_t length = 0;
    for (const Crash& crash : crashes) {
        if (!crash.isCleared() && crash.seen.sent > since && follows(crash, last)) {
            last = &crash;
            ++length;
        }
    }
    return length;
}

void RequestQuarantine::Record::dropSurplus() {
    auto surplus = std::find_if(crashes.begin(), crashes.end(),
                                [](const Crash& crash) { return crash.isCleared(); });
    if (surplus == crashes.end()) {
        surplus = std::find_if(crashes.begin(), crashes.end(),
                               [](const Crash& crash) { return !crash.isCounted; });
    }
    surplus = surplus == crashes.end() ? crashes.begin() : surplus;
    if (!surplus->isCleared()) {
        forgottenUpTo = std::max(forgottenUpTo, surplus->seen.crashed);
    }
    crashes.erase(surplus);
}

size_t RequestQuarantine::Record::countCleared() const {
    return static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(),
                                             [](const Crash& crash) { return crash.isCleared(); }));
}

std::pair<RequestQuarantine::Crash*, bool> RequestQuarantine::Record::add(
    const CrashObservation& observation, MonoTime now) {
    std::erase_if(crashes,
                  [&](const Crash& old) { return now - old.seen.crashed >= kRetentionMs; });
    const auto isSame = [&](const Crash& crash) { return crash.isSame(observation); };
    hasDelayedCrash = hasDelayedCrash || observation.crashed - observation.sent > kImmediateCrashMs;
    auto known = std::find_if(crashes.begin(), crashes.end(), isSame);
    const bool isNew = known == crashes.end();
    if (isNew) {
        known = crashes.insert(crashes.end(), {observation, {observation.id}});
    } else {
        known->merge(observation);
    }
    if (answered) {
        known->clearBy(*answered);
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const Crash& a, const Crash& b) { return CrashedBefore(a.seen, b.seen); });
    count();
    if (crashes.size() > kMaxObservations) {
        dropSurplus();
        count();
    }
    known = std::find_if(crashes.begin(), crashes.end(), isSame);
    return {known == crashes.end() ? nullptr : &*known, isNew};
}

bool RequestQuarantine::noteAnswer(uint64_t request, MonoTime sent, MonoTime now) {
    const MonoTime proved = std::min(sent, now);
    const auto it = m_records.find(request);
    if (it == m_records.end()) {
        rememberAnswer(request, proved, now);
        return false;
    }
    Record& record = it->second;
    if (record.answered && *record.answered >= proved) {
        return false;
    }
    record.answered = proved;
    const size_t before = record.countCleared();
    for (Crash& crash : record.crashes) {
        crash.clearBy(proved);
    }
    record.count();
    return record.countCleared() > before;
}

bool RequestQuarantine::noteOutweighed(const CrashObservation& crash, MonoTime now) {
    if (now - crash.crashed >= kRetentionMs) {
        return false;
    }
    Record& record = recordOf(crash, now);
    // The longest run, which changes nothing of a known crash.
    CrashObservation cleared = crash;
    cleared.sent = MonoTime{std::numeric_limits<Millis>::min() / 2};
    const auto [known, isNew] = record.add(cleared, now);
    if (known == nullptr) {
        return false;
    }
    const bool was = !isNew && known->isCleared();
    known->clearRuns(crash.crashed - crash.sent);
    const bool isCleared = known->isCleared();
    // By this box's times, which may be late, when the answered attempt was sent at the earliest.
    const MonoTime sent = known->seen.crashed - (crash.crashed - crash.sent) - kMaxReportDelayMs;
    for (Crash& other : record.crashes) {
        if (other.seen.sent <= sent) {
            other.clearBy(sent);
        }
    }
    record.count();
    return !was && isCleared;
}

void RequestQuarantine::noteReportedAnswer(uint64_t request, MonoTime sent, MonoTime now) {
    const auto it = m_records.find(request);
    if (it == m_records.end()) {
        return;
    }
    std::optional<MonoTime>& reported = it->second.reported;
    reported = std::max(reported.value_or(sent), std::min(sent, now));
}

bool RequestQuarantine::notePartAnswer(uint64_t part, MonoTime sent, MonoTime now) {
    m_answeredParts.note(part, sent, now);
    return noteAnswer(part, sent, now);
}

bool RequestQuarantine::wasSuspected(uint64_t request) const {
    const auto it = m_records.find(request);
    return it != m_records.end() && it->second.hadTwoCrashes;
}

bool RequestQuarantine::isCleared(const CrashObservation& crash) const {
    const auto it = m_records.find(crash.request);
    if (it == m_records.end()) {
        const std::optional<MonoTime> answered = answerOf(crash.request);
        return answered && crash.sent <= *answered;
    }
    const auto& crashes = it->second.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& known) {
        return known.isSame(crash) && known.isCleared();
    });
}

bool RequestQuarantine::isOutweighed(const CrashObservation& crash, MonoTime now) const {
    const auto it = m_records.find(crash.request);
    if (it == m_records.end()) {
        return isCleared(crash);
    }
    const auto upTo = standingOf(crash.request, it->second, now).outweighedUpTo;
    return (upTo && crash.sent <= *upTo) || isCleared(crash);
}

std::optional<MonoTime> RequestQuarantine::answerOf(uint64_t request) const {
    const auto record = m_records.find(request);
    std::optional<MonoTime> answered = m_answeredParts.answered(request);
    if (record != m_records.end()) {
        answered = std::max({answered, record->second.answered, record->second.reported});
    }
    for (const auto* answers : {&m_answers, &m_olderAnswers}) {
        const auto it = answers->find(request);
        if (it != answers->end()) {
            answered = std::max(answered.value_or(it->second), it->second);
        }
    }
    return answered;
}

void RequestQuarantine::rememberAnswer(uint64_t request, MonoTime sent, MonoTime now) {
    if (m_answers.size() >= kMaxAnswers || now - m_answersSince >= kMinAnswerRetentionMs) {
        m_olderAnswers = std::exchange(m_answers, {});
        m_answersSince = now;
    }
    MonoTime& last = m_answers[request];
    last = std::max(last, sent);
}

std::optional<Millis> RequestQuarantine::remainingTime(uint64_t request, MonoTime now) const {
    const auto it = m_records.find(request);
    if (it == m_records.end() || !standingOf(request, it->second, now).isQuarantined) {
        return std::nullopt;
    }
    return kRetentionMs - (now - it->second.lastCrash);
}

// Returns a fingerprint that the request lacks and that accounts for the crashes of one that it
// has. Of the two, the one that was last proved sound longer ago is to blame.
std::optional<uint64_t> RequestQuarantine::explanationOf(uint64_t fingerprint,
                                                         std::span<const uint64_t> fingerprints,
                                                         MonoTime now) const {
    const Record& record = m_records.at(fingerprint);
    const MonoTime since =
        standingOf(fingerprint, record, now)
            .outweighedUpTo.value_or(MonoTime{std::numeric_limits<Millis>::min()});
    const std::optional<MonoTime> answered = answerOf(fingerprint);
    const auto explains = [&](const auto& entry) {
        const auto& [other, otherRecord] = entry;
        const bool isLacking =
            std::find(fingerprints.begin(), fingerprints.end(), other) == fingerprints.end();
        if (!isLacking || otherRecord.crashCount < kExplainingCrashes ||
            !otherRecord.covers(record, since)) {
            return false;
        }
        const Standing standing = standingOf(other, otherRecord, now);
        const MonoTime otherSince = standing.outweighedUpTo.value_or(since);
        return standing.counted >= kExplainingCrashes &&
               (answerOf(other) <= answered || !record.covers(otherRecord, otherSince));
    };
    const auto it = std::find_if(m_records.begin(), m_records.end(), explains);
    return it == m_records.end() ? std::nullopt : std::optional<uint64_t>(it->first);
}

std::optional<QuarantineCause> RequestQuarantine::causeOf(std::span<const uint64_t> fingerprints,
                                                          MonoTime now) const {
    std::optional<QuarantineCause> cause;
    for (const uint64_t fingerprint : fingerprints) {
        const std::optional<Millis> left = remainingTime(fingerprint, now);
        const bool isPart = fingerprint != fingerprints.front();
        const bool isWeak =
            isPart && left && answerOf(fingerprint) &&
            standingOf(fingerprint, m_records.at(fingerprint), now).counted < kAnsweredThreshold;
        const bool isLonger = left && (!cause || *left > cause->left);
        if (isLonger && !isWeak && !explanationOf(fingerprint, fingerprints, now)) {
            cause = QuarantineCause{fingerprint, *left};
        }
    }
    return cause;
}

CrashEvidence RequestQuarantine::evidenceOf(uint64_t fingerprint,
                                            std::span<const uint64_t> fingerprints,
                                            MonoTime now) const {
    CrashEvidence evidence;
    evidence.fingerprint = fingerprint;
    if (const std::optional<MonoTime> answered = answerOf(fingerprint)) {
        evidence.answeredAgo = now - *answered;
    }
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end()) {
        evidence.dropped = it->second.countCleared();
        evidence.known = it->second.crashes.size() - evidence.dropped;
        const Standing standing = standingOf(fingerprint, it->second, now);
        evidence.counted = standing.counted;
        if (standing.isQuarantined) {
            evidence.explainedBy = explanationOf(fingerprint, fingerprints, now);
        }
    }
    return evidence;
}

std::vector<uint64_t> RequestQuarantine::inQuarantine(MonoTime now) const {
    std::vector<uint64_t> out;
    for (const auto& [fingerprint, record] : m_records) {
        if (record.crashCount >= kCrashThreshold &&
            standingOf(fingerprint, record, now).isQuarantined) {
            out.push_back(fingerprint);
        }
    }
    return out;
}

size_t RequestQuarantine::crashCount(uint64_t request) const {
    const auto it = m_records.find(request);
    return it == m_records.end() ? 0 : it->second.crashCount;
}

std::vector<CrashObservation> RequestQuarantine::observationsOf(uint64_t request,
                                                                MonoTime now) const {
    const auto it = m_records.find(request);
    std::vector<CrashObservation> out;
    if (it == m_records.end()) {
        return out;
    }
    for (const Crash& crash : it->second.crashes) {
        if (!crash.isCleared() && now - crash.seen.crashed < kRetentionMs) {
            out.push_back(crash.seen);
        }
    }
    return out;
}

std::vector<CrashObservation> RequestQuarantine::outweighedOf(uint64_t request, size_t most) const {
    const auto it = m_records.find(request);
    std::vector<CrashObservation> out;
    if (it == m_records.end()) {
        return out;
    }
    const auto& crashes = it->second.crashes;
    for (auto crash = crashes.rbegin(); crash != crashes.rend() && out.size() < most; ++crash) {
        if (crash->isCleared()) {
            out.push_back(crash->seen);
            out.back().sent = crash->seen.crashed - *crash->clearedRun;
        }
    }
    return out;
}

std::vector<CrashObservation> RequestQuarantine::observations(size_t most, MonoTime now) const {
    std::vector<std::pair<size_t, CrashObservation>> ranked;
    for (const auto& [request, record] : m_records) {
        for (const Crash& crash : record.crashes) {
            if (!crash.isCleared() && now - crash.seen.crashed < kRetentionMs) {
                ranked.emplace_back(record.crashCount, crash.seen);
            }
        }
    }
    const auto moreTelling = [](const auto& a, const auto& b) {
        return std::tie(b.first, b.second.crashed, b.second.id) <
               std::tie(a.first, a.second.crashed, a.second.id);
    };
    std::sort(ranked.begin(), ranked.end(), moreTelling);
    ranked.resize(std::min(most, ranked.size()));
    std::vector<CrashObservation> out;
    out.reserve(ranked.size());
    for (const auto& [crashCount, observation] : ranked) {
        out.push_back(observation);
    }
    return out;
}

void RequestQuarantine::expire(MonoTime now) {
    std::erase_if(m_records, [&](const auto& entry) {
        const Record& record = entry.second;
        const MonoTime last = std::max(record.lastReport, record.answered.value_or(MonoTime{}));
        return now - last >= kRetentionMs;
    });
}

void RequestQuarantine::evictOne(MonoTime now) {
    expire(now);
    if (m_records.size() < kMaxRequests) {
        return;
    }
    const auto least =
        std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
            return std::tie(a.second.crashCount, a.second.lastCrash) <
                   std::tie(b.second.crashCount, b.second.lastCrash);
        });
    m_records.erase(least);
}

}  // namespace onyx
