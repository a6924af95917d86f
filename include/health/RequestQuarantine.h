// Decides which requests are not sent to upstreams because upstreams crashed while running them, or
// while running requests with a part of the same prompt. Requests and parts of prompts are recorded
// alike, each by its fingerprint.
//
// Inputs: the crashes that boxes observed, each with the request that the upstream was running and
// for how long it had been running it; the requests that were answered; the time. A request counts
// as the cause once kCrashThreshold of its attempts, one after the other, ended in a crash of their
// upstream. Attempts that ran at the same time, and attempts that ended together at one upstream,
// count once, so that a popular request is not blamed when several upstreams are lost at the same
// moment.
//
// A whole answer proves its request and its parts sound as of the time at which its attempt began,
// whenever it ends: it clears them of the crashes of attempts that began no later, and of no
// others.
//
// A part that crashes upstreams is in each crash, and so is whatever its requests have in common. A
// request is refused for a fingerprint in quarantine unless another one, which the request lacks,
// explains the same crashes: it was in all but one of them at least, and was last proved sound no
// later.
//
// Each observation carries an id chosen by its box, so boxes may send each other the same
// observation in any order and any number of times.
#pragma once

#include "include/base/Time.h"

#include "include/health/AnsweredParts.h"
#include "include/health/RunningAnswers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace onyx {

// The crash of an upstream while it ran an attempt of a request, as one box observed it.
struct CrashObservation {
    uint64_t request = 0;   // Fingerprint of a request or a part, see RequestFingerprint.
    uint32_t id = 0;        // Random id chosen by the observing box.
    uint32_t upstream = 0;  // Hash of the upstream's incarnation; older builds: of its id.
    MonoTime sent;
    MonoTime crashed;  // Not before `sent`.
};

// Why a request is refused, and for how long.
struct QuarantineCause {
    uint64_t fingerprint = 0;  // In quarantine, see RequestFingerprint.
    Millis left = 0;           // Of its quarantine, in milliseconds.
};

// What this box holds for and against a fingerprint, for the log.
struct CrashEvidence {
    uint64_t fingerprint = 0;
    size_t counted = 0;                   // Crashes, one after the other.
    size_t known = 0;                     // Crashes that no answer clears, whichever of them count.
    size_t dropped = 0;                   // Reports of crashes that an answer outweighed.
    std::optional<Millis> answeredAgo;    // As of when an answer is on record, in milliseconds ago.
    std::optional<uint64_t> explainedBy;  // The fingerprint that is blamed for the crashes instead.
};

// Thread safety: none; one task owns it.
class RequestQuarantine {
public:
    static constexpr size_t kCrashThreshold = 3;  // Crashes that make a request the cause.
    // How long a crash counts, and how long a request stays in quarantine after its last crash.
    static constexpr Millis kRetentionMs = Millis{10} * 60 * 1000;
    // Bound on recorded requests. Beyond it the one with the fewest crashes is evicted first; among
    // equals, the one whose last crash is the oldest.
    static constexpr size_t kMaxRequests = 4096;
    // Bound on recorded crashes per request. Beyond it those that do not count are dropped first,
    // then the oldest ones.
    static constexpr size_t kMaxObservations = 32;
    // Answers to requests without a recorded crash are kept for at least kMinAnswerRetentionMs
    // milliseconds, as long as there are at most kMaxAnswers of them, because the report of an
    // earlier crash may arrive after the answer.
    static constexpr Millis kMinAnswerRetentionMs = 10000;
    static constexpr size_t kMaxAnswers = 4096;
    // Crashes that make a part of prompts the cause of which an answer is on record: as many
    // requests have it, it may be at some upstreams that crash for another reason.
    static constexpr size_t kAnsweredThreshold = 4;

    // What noteCrash() changed, and so what must be sent to other boxes.
    enum class CrashEffect : uint8_t { kUnchanged, kRecorded, kQuarantined };

    // Records a crash that this box observed or another box reported. Returns kUnchanged if the
    // crash is already recorded, too old, or cleared by an answer.
    // Preconditions: `now` never decreases between calls.
    CrashEffect noteCrash(const CrashObservation& observation, MonoTime now);

    // Records a whole answer to a request, whose attempt began at `sent`. Returns whether this
    // clears the request of a recorded crash. Preconditions: as for noteCrash().
    bool noteAnswer(uint64_t request, MonoTime sent, MonoTime now);

    // Records that another box has an answer that clears the request of a crash, if the attempt
    // there had run for `crash.crashed - crash.sent` or longer. Returns whether this is news.
    // Preconditions: as for noteCrash().
    bool noteOutweighed(const CrashObservation& crash, MonoTime now);
    // Records that another box has an answer whose attempt began at about `sent`. It clears nothing
    // by itself. Preconditions: as for noteCrash().
    void noteReportedAnswer(uint64_t request, MonoTime sent, MonoTime now);

    // As noteAnswer(), for a part of the answered request's prompt. Preconditions: as above.
    bool notePartAnswer(uint64_t part, MonoTime sent, MonoTime now);

    // Records that the attempt with these fingerprints that was sent at `sent` has begun to be
    // answered, and that it has ended. While it goes on for longer than the attempts that ended in
    // a crash ran, it outweighs those that were sent no later. Preconditions: as for noteCrash();
    // noteAnswerBegun() is called at most once for an attempt.
    void noteAnswerBegun(std::span<const uint64_t> fingerprints, MonoTime sent, MonoTime now) {
        m_running.noteBegun(fingerprints, sent, now);
    }
    void noteAttemptEnded(std::span<const uint64_t> fingerprints, MonoTime sent) {
        m_running.noteEnded(fingerprints, sent);
    }

    // Returns when the newest answered attempt of the request began, as far as it is known.
    // Preconditions: none.
    std::optional<MonoTime> answerOf(uint64_t request) const;
    // Returns whether the request is cleared of the crash. Preconditions: none.
    bool isCleared(const CrashObservation& crash) const;

    // Returns whether two crashes, one after the other, were ever recorded for a request.
    // Preconditions: none.
    bool wasSuspected(uint64_t request) const;

    // Returns for how long a request stays in quarantine, in milliseconds, or nullopt if it is not
    // in quarantine. Preconditions: `now` never decreases between calls.
    std::optional<Millis> remainingTime(uint64_t request, MonoTime now) const;

    // Returns why a request with these fingerprints, its own and those of the parts of its prompt,
    // is refused, or nullopt if it is not. Of several causes it is the one that lasts longest.
    // Preconditions: `now` never decreases between calls.
    std::optional<QuarantineCause> causeOf(std::span<const uint64_t> fingerprints,
                                           MonoTime now) const;

    // Returns what is on record of one of the fingerprints of a request.
    // Preconditions: `now` never decreases between calls.
    CrashEvidence evidenceOf(uint64_t fingerprint, std::span<const uint64_t> fingerprints,
                             MonoTime now) const;

    // Returns whether no request is recorded. Preconditions: none.
    bool empty() const { return m_records.empty(); }
    // Returns the requests in quarantine. Preconditions: `now` never decreases between calls.
    std::vector<uint64_t> inQuarantine(MonoTime now) const;
    // Returns their number. Preconditions: as above.
    size_t quarantined(MonoTime now) const { return inQuarantine(now).size(); }
    // Returns the number of crashes that a request may have caused. Preconditions: none.
    size_t crashCount(uint64_t request) const;

    // Returns the observations of one request, ordered by the time of the crash.
    // Preconditions: `now` never decreases between calls.
    std::vector<CrashObservation> observationsOf(uint64_t request, MonoTime now) const;
    // Returns whether an answer to an attempt with the fingerprint is running. Preconditions: none.
    bool isBeingAnswered(uint64_t request, MonoTime now) const {
        return m_running.newestSince(request, -1, now).has_value();
    }
    // Returns whether an answer, complete or running, outweighs the crash.
    // Preconditions: `now` never decreases between calls.
    bool isOutweighed(const CrashObservation& crash, MonoTime now) const;
    // Returns the newest crashes of which the request is cleared, at most `most`, as observations
    // of the shortest run that is cleared. Preconditions: none.
    std::vector<CrashObservation> outweighedOf(uint64_t request, size_t most) const;
    // Returns at most `most` observations: those of the requests with the most crashes first, then
    // the latest crashes first. Preconditions: `now` never decreases between calls.
    std::vector<CrashObservation> observations(size_t most, MonoTime now) const;

    // Removes the requests whose last crash and answer are both at least kRetentionMs old.
    // Preconditions: `now` never decreases between calls.
    void expire(MonoTime now);

private:
    // One crash of an upstream, with all that was observed of it.
    struct Crash {
        CrashObservation seen;  // The earliest time reported, and the shortest run.
        std::vector<uint32_t> ids;
        // Attempts that had run for so long or longer are not the cause, since one that was sent
        // no earlier was answered.
        std::optional<Millis> clearedRun;
        bool isCounted = false;

        Millis ran() const { return seen.crashed - seen.sent; }
        bool isCleared() const { return clearedRun && ran() >= *clearedRun; }
        bool isSame(const CrashObservation& observation) const;
        void merge(const CrashObservation& observation);
        // Applies an answer whose attempt began at `sent`, or that clears runs of `run` or longer.
        void clearBy(MonoTime sent);
        void clearRuns(Millis run);
    };
    struct Record {
        // Ordered by their times. Those that are cleared stay, so that late reports of them do not
        // count again.
        std::vector<Crash> crashes;
        size_t crashCount = 0;  // Those one after the other.
        MonoTime lastCrash;
        MonoTime lastReport;               // Counted or dropped.
        MonoTime forgottenUpTo;            // Crashes up to then may be missing.
        std::optional<MonoTime> answered;  // Crashes of attempts up to then do not count.
        std::optional<MonoTime> reported;  // As above, by other boxes, whose reports may be late.

        bool hasDelayedCrash = false;  // Some upstream did not crash immediately.
        bool hadTwoCrashes = false;    // Two crashes counted at some time.

        // Returns the crash that the observation is of, and whether it was not known yet.
        std::pair<Crash*, bool> add(const CrashObservation& observation, MonoTime now);
        size_t countCleared() const;
        // Whether all crashes of `other` whose attempts were sent after `since`, but one at most,
        // were crashes of this record as well, two of them at least.
        bool covers(const Record& other, MonoTime since) const;
        bool follows(const Crash& crash, const Crash* last) const;
        size_t sequence(MonoTime since) const;
        Millis medianRun() const;
        void dropSurplus();
        void count();
    };

    // What a record amounts to beside the answers that are running.
    struct Standing {
        std::optional<MonoTime>
            outweighedUpTo;  // Crashes of attempts sent up to then do not count.
        size_t counted = 0;
        bool isQuarantined = false;
    };

    Standing standingOf(uint64_t fingerprint, const Record& record, MonoTime now) const;
    std::optional<uint64_t> explanationOf(uint64_t fingerprint,
                                          std::span<const uint64_t> fingerprints,
                                          MonoTime now) const;
    Record& recordOf(const CrashObservation& observation, MonoTime now);
    void evictOne(MonoTime now);
    void rememberAnswer(uint64_t request, MonoTime sent, MonoTime now);

    // Answers to requests without a record, in two generations; the older one is dropped as a
    // whole.
    std::unordered_map<uint64_t, MonoTime> m_answers;
    std::unordered_map<uint64_t, MonoTime> m_olderAnswers;
    MonoTime m_answersSince;
    std::unordered_map<uint64_t, Record> m_records;
    AnsweredParts m_answeredParts;
    RunningAnswers m_running;
};

}  // namespace onyx
