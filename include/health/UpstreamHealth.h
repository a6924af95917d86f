// Which upstreams are ejected for a while, from what requests saw of them. Nothing is probed:
// after a growing pause an upstream gets requests again, and one good answer clears it.
#pragma once

#include "include/base/Time.h"

#include <map>
#include <string>

namespace onyx {

// What a request saw of an upstream.
enum class UpstreamSign : uint8_t {
    kAnswered,     // A whole answer that is not a failure.
    kFailed,       // A whole answer that is a failure of the upstream.
    kUnreachable,  // It refused the connection, or did not take it in time.
    kSilent,       // It took a request and gave no answer in time, or broke off.
};

// All times in milliseconds.
struct HealthSettings {
    Millis firstEjection = 1000;
    Millis maxEjection = 8000;
    Millis memory = 5000;        // Answers older than this fade out of the failure share.
    double failedShare = 0.4;    // Above this share of failures an upstream is ejected,
    double leastFailures = 4.0;  // once it has shown about so many.
    int leastSilent = 2;         // Silent answers in a row that have the same effect.
};

// Not thread safe: one task owns it.
class UpstreamHealth {
public:
    explicit UpstreamHealth(const HealthSettings& settings) : m_settings(settings) {}

    // Takes in what a request saw that was sent at `sent`; true if the upstream is ejected from
    // now on. Silence proves nothing while the upstream answered others since.
    // Preconditions: sent <= now, which does not fall.
    bool note(const std::string& upstream, UpstreamSign sign, MonoTime sent, MonoTime now);

    // Whether the upstream gets no work at `now`. Preconditions: as above.
    bool isEjected(const std::string& upstream, MonoTime now) const;

    // Forgets an upstream that is gone. Preconditions: none.
    void forget(const std::string& upstream) { m_records.erase(upstream); }

private:
    struct Record {
        double answered = 0;
        double failed = 0;
        int silentInARow = 0;
        Millis pause = 0;
        MonoTime until;
        MonoTime seen;
        MonoTime answeredAt;
    };

    void fade(Record& record, MonoTime now) const;
    bool eject(Record& record, MonoTime now) const;

    HealthSettings m_settings;
    std::map<std::string, Record> m_records;
};

}  // namespace onyx
