// LoadExchange decides which data about upstreams this box sends to which of its neighbours, and
// when, and applies what they send. It is a state machine over frames without socket, clock or
// thread, so that a test can replay a whole site.
//
// Inputs: UpstreamRecords (this box's requests, and the caches that it has on record), the linked
// boxes, and the budget of control bytes. Relies on BoxDirectory for which boxes are neighbours,
// and on DigestPeriod for how often the budget allows a digest.
#pragma once

#include "include/membership/BoxDirectory.h"
#include "include/peers/OutgoingFrame.h"
#include "include/state/UpstreamRecords.h"
#include "include/wire/FrameCodec.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class LoadExchange {
public:
    // `budget`: bytes per second for everything that this box sends through the exchange.
    // Preconditions: budget > 0; `records` outlives the exchange.
    LoadExchange(UpstreamRecords& records, int64_t budget) : m_records(records), m_budget(budget) {}

    // Returns the frames that are due at `now`, addressed to boxes among `linked`. `boxes`: the
    // boxes of the site. Preconditions: `now` does not decrease between calls.
    std::vector<OutgoingFrame> makeDueFrames(BoxDirectory& boxes,
                                             std::span<const std::string> linked, MonoTime now);

    // Passes the sightings of live boxes in `digest` on to `boxes`. Preconditions: as above.
    static void ApplySightings(BoxDirectory& boxes, const wire::DigestT& digest, MonoTime now);

    // Returns the time until a frame may be due again, in milliseconds. Preconditions: none.
    Millis nextDelay() const;

    // Sets whether the box at `address` supports LoadReports frames; the default is that it does.
    // Preconditions: none.
    void setLoadReportSupport(const std::string& address, bool takesLoadReports);

    // Sets the services of which this box reaches no upstream, as ShortHash of their names. They
    // are announced with the next digest, which is due at once. Preconditions: none.
    void setLostServices(std::vector<uint32_t> services);

    // Applies a digest or load reports from the box at `from`; ignores other messages.
    // Preconditions: `now` does not decrease between calls.
    void handleMessage(const std::string& from, const wire::BodyUnion& body, MonoTime now);

private:
    void updateBoxes(const BoxDirectory& boxes, MonoTime now);
    wire::DigestT makeDigest(const PeerCounts::Counts& counts);
    OutgoingFrame makeDigestFrame(std::span<const std::string> neighbours, wire::DigestT digest);
    size_t maxReports(MonoTime now);
    std::vector<std::string> selectReportTargets(const std::string& self,
                                                 std::vector<std::string> neighbours);
    OutgoingFrame makeReportFrame(std::vector<std::string> targets, size_t most, MonoTime now);
    int64_t digestBudget() const;
    void handleReports(const wire::LoadReportsT& reports, MonoTime now);
    void handleDigest(const std::string& from, const wire::DigestT& digest, MonoTime now);

    UpstreamRecords& m_records;
    int64_t m_budget;
    MonoTime m_lastDigestAt;
    PeerCounts::Counts m_announcedLoads;  // The loads in the last digest.
    std::vector<uint32_t> m_lostServices;
    bool m_lostServicesChanged = false;  // Since the last digest.
    Millis m_digestPeriod = 100;
    uint64_t m_sequence = 0;
    std::set<std::string> m_withoutLoadReports;  // Boxes that do not support LoadReports frames.
    bool m_isPartialMesh = false;                // Whether some boxes are not neighbours.
    double m_reportAllowance = 0;                // Bytes available for reports.
    MonoTime m_allowanceUpdatedAt;               // When m_reportAllowance was last computed.
    uint64_t m_reportRound = 0;
    std::optional<uint64_t> m_directoryVersion;  // Of the boxes last passed to the records.
};

}  // namespace onyx
