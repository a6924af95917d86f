// Decides which upstreams are ejected for a while, from what attempts saw of them. Nothing is
// probed: after a growing lastEjection an upstream gets requests again, and one good answer clears
// it.
//
// Inputs: the signs of attempts (AttemptHealthSignal) with the times at which they began and ended.
// Ejected upstreams are passed over by ChooseUpstream as long as there is another one.
#pragma once

#include "include/base/Time.h"

#include <map>
#include <string>

namespace onyx {

// What an attempt saw of its upstream.
enum class HealthSignal : uint8_t {
    kAnswered,     // A whole answer that is not a failure.
    kFailed,       // A whole answer that is a failure of the upstream.
    kUnreachable,  // It refused the connection, or did not take it in time.
    kSilent,       // It took a request and gave no answer in time, or broke off.
};

// All times in milliseconds.
struct HealthSettings {
    // The first lastEjection and the longest; each is twice the one before.
    Millis firstEjection = 1000;
    Millis maxEjection = 8000;
    Millis decayTime = 5000;       // Answers older than this decay out of the failure share.
    double maxFailureShare = 0.4;  // Above this share of failures an upstream is ejected: some that
                                   // fail half of what they run are worse than the others,
    double minFailures =
        4.0;  // once it has shown about so many, so that one failure proves nothing.
    int minConsecutiveSilent = 2;  // Silent answers in a row that have the same effect.
};

// Not thread safe: one task owns it.
class UpstreamHealth {
public:
    explicit UpstreamHealth(const HealthSettings& settings) : m_settings(settings) {}

    // Takes in what an attempt saw that began at `sent`; true if the upstream is ejected from
    // now on. Silence proves nothing while the upstream answered others since.
    // Preconditions: sent <= now, which does not fall.
    bool note(const std::string& upstream, HealthSignal sign, MonoTime sent, MonoTime now);

    // Whether the upstream gets no work at `now`. Preconditions: as above.
    bool isEjected(const std::string& upstream, MonoTime now) const;

    // Forgets an upstream that is gone. Preconditions: none.
    void forget(const std::string& upstream) { m_records.erase(upstream); }

private:
    struct Record {
        double answered = 0;
        double failed = 0;
        int consecutiveSilent = 0;
        Millis lastEjection = 0;
        MonoTime ejectedUntil;
        MonoTime decayedAt;
        MonoTime lastAnswerAt;
    };

    void decay(Record& record, MonoTime now) const;
    void eject(Record& record, MonoTime now) const;
    static void noteAnswer(Record& record, MonoTime now);
    bool warrantsEjection(Record& record, HealthSignal sign) const;

    HealthSettings m_settings;
    std::map<std::string, Record> m_records;
};

}  // namespace onyx
