// Tracks the load of each upstream, an input of ChooseUpstream: this box's own requests, and the
// load of all boxes that the upstream reports in its answers. A report comes either with an answer
// to this box or from another box that forwarded it. Also decides which reports are worth
// forwarding.
//
// A report covers all boxes and contains no estimate, and an upstream that receives more requests
// reports more often. Of two reports, the newer one counts, so a report's path and the number of
// times it arrives do not matter.
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

// The load that an upstream reported in an answer: its number of requests from all boxes.
struct LoadReport {
    uint32_t upstream = 0;  // ShortHash of its id.
    int load = 0;           // Requests running or queued there.
    MonoTime asOf;          // On this box's clock.
    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Not thread safe: one task owns it.
class UpstreamLoads {
public:
    // How long a reported load is used as the current load, in milliseconds.
    static constexpr Millis kReportAge = 1000;
    // How long a report is kept, in milliseconds. A report older than kReportAge still indicates
    // the rate of requests at its upstream (see LoadEstimate).
    static constexpr Millis kReportRetention = 4000;

    // Counts a request sent to `upstream`. Preconditions: none.
    void addRequest(const std::string& upstream);

    // Removes an ended request from the count. Preconditions: addRequest() counted it.
    void removeRequest(const std::string& upstream);

    // Records the load reported in an answer to this box. Preconditions: times do not decrease.
    void noteReportedLoad(const std::string& upstream, int load, MonoTime now);

    // Records a report forwarded by another box. Ignored if it is not newer than the known one or
    // is older than kReportAge. Preconditions: as for noteReportedLoad().
    void noteForwardedReport(const LoadReport& report, MonoTime now);

    // Returns true if there is a report to forward. Preconditions: as for noteReportedLoad().
    bool hasDueReports(MonoTime now) const;

    // Returns the reports to forward, highest load first, at most `maxCount` of them. Each report
    // is returned once, and an upstream whose load has barely changed is not reported too often.
    // Preconditions: as for noteReportedLoad().
    std::vector<LoadReport> takeDueReports(size_t maxCount, MonoTime now);

    // Returns the number of requests in flight from this box. Preconditions: none.
    int own(const std::string& upstream) const;

    // Returns the requests of all boxes according to the newest report, adjusted for changes in
    // this box's own requests since; nothing if no report is at most kReportAge old. Preconditions:
    // none.
    std::optional<int> reported(const std::string& upstream, MonoTime now) const;

    // Returns the newest report, adjusted for changes in this box's own requests since; nothing if
    // no report is at most kReportRetention old. Preconditions: as for noteReportedLoad().
    std::optional<AgedReport> lastReport(const std::string& upstream, MonoTime now) const;

    // Returns the age of the newest report of `upstream`, in milliseconds; nothing if there is
    // none. Preconditions: none.
    std::optional<Millis> reportAge(const std::string& upstream, MonoTime now) const;

    // Returns the requests of all boxes, or only those of this box if there is no report of the
    // last kReportAge. Preconditions: none.
    int total(const std::string& upstream, MonoTime now) const;

    // Returns this box's requests at each upstream that has any, as pairs of ShortHash(id) and
    // count. Preconditions: none.
    PeerCounts::Counts counts() const;

    // Removes the record of an upstream that is no longer listed, unless requests of this box are
    // still in flight there. Preconditions: none.
    void forget(const std::string& upstream);

    // Removes the request count and reports of an upstream that has restarted, since those requests
    // ended with its previous incarnation. removeRequest() must not be called for them.
    // Preconditions: none.
    void reset(const std::string& upstream) { m_records.erase(ShortHash(upstream)); }

private:
    struct Report {
        int load = 0;
        int otherBoxes = 0;  // Requests of the other boxes.
        MonoTime asOf;
    };
    struct Forwarded {
        int load = 0;
        MonoTime at;
    };
    struct Record {
        int own = 0;
        std::optional<Report> report;
        bool unforwarded = false;  // The report has not been forwarded yet.
        std::optional<Forwarded> lastForwarded;
    };

    const Record* find(const std::string& upstream) const;
    void store(const LoadReport& report);
    bool isDue(const Record& record, MonoTime now) const;
    void dropExpired(MonoTime now);

    bool isHighLoad(int load) const;

    std::unordered_map<uint32_t, Record> m_records;  // By ShortHash of the upstream id.
    double m_typicalLoad = 0;  // Moving mean of loads in answers to this box, in requests.
};

}  // namespace onyx
