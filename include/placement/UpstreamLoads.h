// How loaded each upstream is, an input of ChooseUpstream: this box's own requests there, and what
// the upstream's answers report of all boxes' requests, whether this box had the answer or another
// box lastForwarded the report on. Decides which reports are worth passing on.
//
// A report holds for all boxes, has no part that was guessed, and comes the more often the more an
// upstream is given. Of two reports the newer one counts, so that it does not matter over which
// boxes they came, or how often.
#pragma once

#include "include/base/Hash.h"
#include "include/base/Time.h"
#include "include/placement/LoadEstimate.h"
#include "include/placement/PeerCounts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace onyx {

// What an upstream's answer told: how many requests it has, of all boxes.
struct LoadReport {
    uint32_t upstream = 0;  // The short hash of its id.
    int load = 0;           // Requests that run or wait there.
    MonoTime asOf;          // On this box's clock.
    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Not thread safe: one task owns it.
class UpstreamLoads {
public:
    // In milliseconds. A reported load counts for this long.
    static constexpr Millis kReportAge = 1000;
    // In milliseconds. An older report still tells how much comes to its upstream (LoadEstimate);
    // it is forgotten after this long.
    static constexpr Millis kReportRetention = 4000;

    // Counts a request that is sent to `upstream`. Preconditions: none.
    void enter(const std::string& upstream);

    // Counts it out. Preconditions: enter() counted it.
    void leave(const std::string& upstream);

    // Takes in the load that an answer reports. Preconditions: times do not fall.
    void noteReportedLoad(const std::string& upstream, int load, MonoTime now);

    // Takes in a report that another box lastForwarded on; one that is not newer changes nothing.
    // Preconditions: as above.
    void noteForwardedReport(const LoadReport& report, MonoTime now);

    // Whether there is a report to be lastForwarded on. Preconditions: as above.
    bool hasDueReports(MonoTime now) const;

    // The reports to be lastForwarded on, the fullest upstreams first, at maxCount `maxCount` of
    // them: each once, and of an upstream whose load hardly changed not too often. Preconditions:
    // as above.
    std::vector<LoadReport> takeDueReports(size_t maxCount, MonoTime now);

    // This box's requests there. Preconditions: none.
    int own(const std::string& upstream) const;

    // All boxes' requests there by the newest report, with this box's changes since; nothing if
    // there is none of the last kReportAge. Preconditions: none.
    std::optional<int> reported(const std::string& upstream, MonoTime now) const;

    // The newest report, with this box's changes since; nothing if there is none of the last
    // kReportRetention. Preconditions: as above.
    std::optional<AgedReport> lastReport(const std::string& upstream, MonoTime now) const;

    // How old the newest report of `upstream` is, in milliseconds; nothing if there is none.
    // Preconditions: none.
    std::optional<Millis> reportAge(const std::string& upstream, MonoTime now) const;

    // All boxes' requests there, or this box's if nothing fresh is known. Preconditions: none.
    int total(const std::string& upstream, MonoTime now) const;

    // This box's requests at each upstream that has any, by upstream number.
    // Preconditions: none.
    PeerCounts::Counts counts() const;

    // Forgets an upstream that is gone and has no request. Preconditions: none.
    void forget(const std::string& upstream);

    // Forgets an upstream's requests and reports: it has started again, and those requests have
    // ended there. leave() is not to be called for them. Preconditions: none.
    void reset(const std::string& upstream) { m_records.erase(ShortHash(upstream)); }

private:
    struct Report {
        int load = 0;
        int otherBoxes = 0;  // Of other boxes.
        MonoTime asOf;
    };
    struct Forwarded {
        int load = 0;
        MonoTime at;
    };
    struct Record {
        int own = 0;
        std::optional<Report> report;
        bool unforwarded = false;                // The report was not lastForwarded on yet.
        std::optional<Forwarded> lastForwarded;  // What was lastForwarded on last.
    };

    const Record* find(const std::string& upstream) const;
    void store(const LoadReport& report);
    bool isDue(const Record& record, MonoTime now) const;
    void dropExpired(MonoTime now);

    bool isHighLoad(int load) const;

    std::unordered_map<uint32_t, Record> m_records;  // By upstream number.
    double m_typicalLoad = 0;  // What this box's own answers report: a moving mean, in requests.
};

}  // namespace onyx
