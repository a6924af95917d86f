// Decides what this box tells which of its neighbours about upstreams, and when; takes in what they
// tell. A state machine over frames: no socket, clock or thread, so that a whole site of them can
// be replayed.
//
// Inputs: UpstreamRecords (this box's requests, what it has learned of caches), the boxes that are
// linked, the budget of control bytes. Relies on BoxDirectory for who is a neighbour and on
// DigestPeriod for how often the budget allows.
#pragma once

#include "include/gateway/OutgoingFrame.h"
#include "include/gateway/UpstreamRecords.h"
#include "include/membership/BoxDirectory.h"
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
    // `budget`: bytes a second for all that it tells. Preconditions: budget > 0; the records
    // outlive it.
    LoadExchange(UpstreamRecords& records, int64_t budget) : m_records(records), m_budget(budget) {}

    // The frames that are due at `now`, for boxes among `linked`. `boxes`: those of the site.
    // Preconditions: times do not fall.
    std::vector<OutgoingFrame> makeDueFrames(BoxDirectory& boxes,
                                             std::span<const std::string> linked, MonoTime now);

    // Takes in what a digest says of which boxes live. Preconditions: as above.
    static void ApplySightings(BoxDirectory& boxes, const wire::DigestT& digest, MonoTime now);

    // How long until something may be due again, in milliseconds. Preconditions: none.
    Millis nextDelay() const;

    // Whether the box at `address` knows frames of load reports; all do that are not noted here.
    // Preconditions: none.
    void setLoadReportSupport(const std::string& address, bool takesLoadReports);

    // Takes in what the box at `from` tells; other messages are left alone.
    // Preconditions: times do not fall.
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
    PeerCounts::Counts m_announcedLoads;  // In the last digest.
    Millis m_digestPeriod = 100;
    uint64_t m_sequence = 0;
    std::set<std::string> m_withoutLoadReports;  // Boxes that know no load reports.
    bool m_isPartialMesh = false;                // Not all boxes are neighbours.
    double m_reportAllowance = 0;                // Bytes that may be spent on reports now.
    MonoTime m_allowanceUpdatedAt;               // When that was.
    uint64_t m_reportRound = 0;
    std::optional<uint64_t> m_directoryVersion;  // Of the boxes that the records know.
};

}  // namespace onyx
