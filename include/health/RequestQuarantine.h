// Decides which requests are kept from upstreams because upstreams crashed while they ran them.
//
// Inputs: the crashes that boxes saw, each with the request that was under way and the time that it
// had been there; the requests that were answered; the time. A request counts as the cause once
// kCrashThreshold of its attempts ended with their upstream, one after the other: attempts that
// were under way together, and those at one upstream, are counted once, so that a popular request
// is not blamed for the loss of several upstreams at one moment. A good answer clears it of all
// crashes before.
//
// Crashes carry an id of their box's choice, so boxes may tell each other the same one in any order
// and as often as they like.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace onyx {

// An upstream crashed while it ran an attempt of a request.
struct CrashObservation {
    uint64_t request = 0;   // Its fingerprint, see RequestFingerprint.
    uint32_t id = 0;        // Of this observation, drawn by the box that saw it.
    uint32_t upstream = 0;  // Low half of the hash of its id.
    MonoTime sent;
    MonoTime crashed;  // Not before `sent`.
};

// Not thread safe: one task owns it.
class RequestQuarantine {
public:
    static constexpr size_t kCrashThreshold = 3;  // So many make a request the cause.
    // How long a crash counts, and a request stays in quarantine after its last one.
    static constexpr Millis kRetentionMs = Millis{10} * 60 * 1000;
    // Requests remembered; beyond it those with the fewest crashes, then the oldest, go first.
    static constexpr size_t kMaxRequests = 4096;
    // Sightings remembered of each.
    static constexpr size_t kMaxObservations = 8;
    // Answers to requests that no crash is known of are remembered for this long at least, in
    // milliseconds, if they are no more than so many: news of a crash may come later.
    static constexpr Millis kMinAnswerRetentionMs = 10000;
    static constexpr size_t kMaxAnswers = 4096;

    // What is to be made known to other boxes.
    enum class CrashEffect : uint8_t { kUnchanged, kRecorded, kQuarantined };

    // Takes in a crash, seen here or told by another box; kUnchanged if it was known or is too old.
    // Preconditions: times do not fall.
    CrashEffect noteCrash(const CrashObservation& observation, MonoTime now);

    // A request was answered at `at`; true if that clears it of a crash that was known. It also
    // clears it of crashes until then that become known later. Preconditions: as above.
    bool noteAnswer(uint64_t request, MonoTime at, MonoTime now);

    // When a request with a crash at `crashed` was last answered, if that was later and so clears
    // it of the crash. Preconditions: none.
    std::optional<MonoTime> answerAfter(uint64_t request, MonoTime crashed) const;

    // Whether two crashes, one after the other, were ever known of a request.
    // Preconditions: none.
    bool wasSuspected(uint64_t request) const;

    // How long a request is to be kept from upstreams, in milliseconds; nothing if it is not.
    // Preconditions: as above.
    std::optional<Millis> remainingTime(uint64_t request, MonoTime now) const;

    // Whether no request is suspected at all. Preconditions: none.
    bool empty() const { return m_records.empty(); }
    // Requests in quarantine. Preconditions: as above.
    size_t quarantined(MonoTime now) const;
    // Crashes of which a request may be the cause; 0: none. Preconditions: none.
    size_t crashCount(uint64_t request) const;

    // The observations of one request, by the time of the crash. Preconditions: as above.
    std::vector<CrashObservation> observationsOf(uint64_t request, MonoTime now) const;
    // The most telling observations, requests with the most crashes first. Preconditions: as above.
    std::vector<CrashObservation> observations(size_t most, MonoTime now) const;

    // Forgets what is older than kRetentionMs. Preconditions: as above.
    void expire(MonoTime now);

private:
    struct Record {
        std::vector<CrashObservation> observations;  // By the time of the crash.
        size_t crashCount = 0;                       // One after the other, among them.
        MonoTime lastCrash;
        std::optional<MonoTime> answered;  // Crashes before prove nothing.

        bool hasDelayedCrash = false;  // Some upstream did not crash at once.
        bool hadTwoCrashes = false;    // It had two crashes at some time.

        bool add(const CrashObservation& observation, MonoTime now);
        void count();
    };

    static bool IsQuarantined(const Record& record, MonoTime now);
    void evictOne(MonoTime now);
    void rememberAnswer(uint64_t request, MonoTime at, MonoTime now);
    std::optional<MonoTime> answerOf(uint64_t request) const;

    // Answers to requests without a record, in two ages: the older ones go together.
    std::unordered_map<uint64_t, MonoTime> m_answers;
    std::unordered_map<uint64_t, MonoTime> m_olderAnswers;
    MonoTime m_answersSince;
    std::unordered_map<uint64_t, Record> m_records;
};

}  // namespace onyx
