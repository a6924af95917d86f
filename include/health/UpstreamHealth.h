// Decides which upstreams are ejected for a while, from the results of attempts. There are no
// health probes: after an ejection an upstream gets requests again. Each further ejection is longer
// than the one before, until a successful answer resets the duration.
//
// Inputs: the health signals of attempts (AttemptHealthSignal) with the times at which the attempts
// began and ended. ChooseUpstream skips ejected upstreams as long as there is another one.
#pragma once

#include "include/base/Time.h"

#include <map>
#include <string>

namespace onyx {

// What the result of an attempt shows about the health of its upstream.
enum class HealthSignal : uint8_t {
    kAnswered,     // A complete answer that is not a failure.
    kFailed,       // A complete answer that is a failure of the upstream.
    kUnreachable,  // It refused the connection, or did not accept it in time.
    kSilent,       // It took a request, but did not answer in time or broke off.
};

// All times in milliseconds.
struct HealthSettings {
    // Duration of the first ejection and the longest one; each is twice as long as the one before.
    Millis firstEjection = 1000;
    Millis maxEjection = 8000;
    // Time constant of the exponential decay of the counts of answers and failures.
    Millis decayTime = 5000;
    // An upstream is ejected if more than this share of its answers are failures: one that fails
    // half of its requests is worse than the others.
    double maxFailureShare = 0.4;
    // The share counts only from about this many failures on, so that a single failure does not
    // eject an upstream.
    double minFailures = 4.0;
    // Silent attempts in a row that eject an upstream whatever the share of failures.
    int minConsecutiveSilent = 2;
};

// Thread safety: none; one task owns it.
class UpstreamHealth {
public:
    explicit UpstreamHealth(const HealthSettings& settings) : m_settings(settings) {}

    // Records the signal of an attempt that began at `sent` and ended at `now`. Returns whether the
    // upstream is ejected from now on. A silent attempt is ignored if the upstream has answered
    // another one since `sent`.
    // Preconditions: sent <= now; `now` never decreases between calls.
    bool note(const std::string& upstream, HealthSignal signal, MonoTime sent, MonoTime now);

    // Returns whether the upstream is ejected at `now`.
    // Preconditions: `now` never decreases between calls.
    bool isEjected(const std::string& upstream, MonoTime now) const;

    // Ends the ejection of an upstream that was out of reach, because it was this box's network
    // that had failed. Preconditions: none.
    void endUnreachable(const std::string& upstream);

    // Removes the record of an upstream that no longer exists. Preconditions: none.
    void forget(const std::string& upstream) { m_records.erase(upstream); }

private:
    struct Record {
        double answered = 0;
        double failed = 0;
        int consecutiveSilent = 0;
        Millis lastEjection = 0;
        bool ejectedAsUnreachable = false;  // The last ejection followed kUnreachable.
        MonoTime ejectedUntil;
        MonoTime decayedAt;
        MonoTime lastAnswerAt;
    };

    void decay(Record& record, MonoTime now) const;
    void eject(Record& record, MonoTime now) const;
    static void noteAnswer(Record& record, MonoTime now);
    bool warrantsEjection(Record& record, HealthSignal signal) const;

    HealthSettings m_settings;
    std::map<std::string, Record> m_records;
};

}  // namespace onyx
