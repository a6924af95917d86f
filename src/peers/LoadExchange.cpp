#include "include/peers/LoadExchange.h"

#include "include/base/Hash.h"
#include "include/membership/DigestPeriod.h"
#include "include/membership/SampleBoxes.h"
#include "include/placement/LoadEstimate.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
// A box sends at most one digest in this period, and only when something has changed. In sites
// whose boxes all announce their loads, loads of this age are recent enough to keep the bound on an
// upstream's load (AffinityPolicy).
constexpr Millis kDigestPeriod = 100;
// Without changes a digest is still sent after this period; it shows that this box is alive.
constexpr Millis kDigestRenewalPeriod = 500;
// The loads in a digest are valid for this many of the periods that the sending box announces, and
// for kMinValidity at least, because one digest may be lost or late.
constexpr Millis kValidPeriods = 3;
constexpr Millis kMinValidity = 1200;
// Upper bound where only some boxes announce their loads to this one: most of the counted requests
// have ended by then. The box is not counted until its next digest.
constexpr Millis kMaxSampledValidity = 4 * LoadEstimate::kMeanRequestTime;
constexpr int kMaxCount = 65535;  // The largest count that a frame can carry.
// Load reports are sent at most once in this period. They reach most boxes in about four hops, so
// most boxes soon have the load of a full upstream.
constexpr Millis kReportPeriod = 50;
constexpr size_t kReportFanOut = 4;         // Neighbours that receive reports each time.
constexpr double kReportBudgetShare = 0.5;  // Share of the budget of control bytes.
constexpr double kMaxSavedMillis = 1000;    // Unspent budget accumulates for so long, for bursts.
// Bytes of a frame of reports without its entries, and of an entry.
constexpr double kReportFrameBytes = 64;
constexpr double kReportEntryBytes = 9;

// Returns the StartTag of the entry at `i`, or 0: frames of earlier versions have no tags.
uint8_t TagAt(const std::vector<uint8_t>& tags, size_t i) {
    return i < tags.size() ? tags[i] : 0;
}

void AddSightings(std::span<const BoxSighting> sightings, wire::DigestT& digest) {
    for (const BoxSighting& sighting : sightings) {
        const Millis seconds = std::min<Millis>(sighting.age / 1000, kMaxCount);
        digest.sighted.push_back(sighting.box);
        digest.sighted_s.push_back(static_cast<uint16_t>(seconds));
    }
}

std::vector<std::string> NeighboursOf(const BoxDirectory& boxes,
                                      std::span<const std::string> linked) {
    std::vector<std::string> neighbours;
    std::copy_if(linked.begin(), linked.end(), std::back_inserter(neighbours),
                 [&](const std::string& address) { return boxes.isNeighbour(address); });
    return neighbours;
}

}  // namespace

std::vector<OutgoingFrame> LoadExchange::makeDueFrames(BoxDirectory& boxes,
                                                       std::span<const std::string> linked,
                                                       MonoTime now) {
    const double share = boxes.neighbourShare();
    m_records.setSite(boxes.size(), share);
    m_isPartialMesh = share < 1;
    updateBoxes(boxes, now);
    m_records.coldShare().setLinked(linked.size());
    std::vector<OutgoingFrame> frames;
    // On changes, digests are sent as often as the budget of control bytes allows.
    const PeerCounts::Counts counts = m_records.ownLoads();
    const Millis renewal = std::max(kDigestRenewalPeriod, m_digestPeriod);
    const bool changed =
        counts != m_announcedLoads || m_records.hasAnnouncements() || m_lostServicesChanged;
    if (now - m_lastDigestAt >= (changed ? m_digestPeriod : renewal)) {
        wire::DigestT digest = makeDigest(counts);
        AddSightings(boxes.takeSightings(now), digest);
        frames.push_back(makeDigestFrame(NeighboursOf(boxes, linked), std::move(digest)));
        m_announcedLoads = counts;
        m_lastDigestAt = now;
    }
    const size_t reports = maxReports(now);
    if (reports > 0 && m_records.hasDueReports(now)) {
        std::vector<std::string> targets =
            selectReportTargets(boxes.self(), NeighboursOf(boxes, linked));
        if (!targets.empty()) {
            frames.push_back(makeReportFrame(std::move(targets), reports, now));
        }
    }
    return frames;
}

void LoadExchange::updateBoxes(const BoxDirectory& boxes, MonoTime now) {
    if (m_directoryVersion == boxes.version()) {
        return;
    }
    m_directoryVersion = boxes.version();
    std::vector<std::string> others;
    for (const KnownBox& box : boxes.all()) {
        if (box.address != boxes.self()) {
            others.push_back(box.address);
        }
    }
    const uint64_t own = HashText(boxes.self());
    const auto before = std::count_if(others.begin(), others.end(),
                                      [&](const std::string& box) { return HashText(box) < own; });
    m_records.setBoxRank(static_cast<size_t>(before));
    m_records.coldShare().setBoxes(boxes.self(), std::move(others), now);
}

Millis LoadExchange::nextDelay() const {
    return m_isPartialMesh ? kReportPeriod : m_digestPeriod;
}

int64_t LoadExchange::digestBudget() const {
    return m_isPartialMesh
               ? static_cast<int64_t>((1 - kReportBudgetShare) * static_cast<double>(m_budget))
               : m_budget;
}

// Returns how many reports the budget allows now, in one frame to each of kReportFanOut boxes.
size_t LoadExchange::maxReports(MonoTime now) {
    const double rate =
        kReportBudgetShare * static_cast<double>(m_budget) / 1000;  // Bytes per millisecond.
    const double earned = rate * static_cast<double>(now - m_allowanceUpdatedAt);
    m_reportAllowance = std::min(m_reportAllowance + earned, rate * kMaxSavedMillis);
    m_allowanceUpdatedAt = now;
    const double room = m_reportAllowance / static_cast<double>(kReportFanOut) - kReportFrameBytes;
    return m_isPartialMesh && room > 0 ? static_cast<size_t>(room / kReportEntryBytes) : 0;
}

// Samples the few neighbours that receive the next reports, anew each time. They pass the reports
// on to others.
std::vector<std::string> LoadExchange::selectReportTargets(const std::string& self,
                                                           std::vector<std::string> neighbours) {
    std::erase_if(neighbours, [&](const std::string& address) {
        return m_withoutLoadReports.contains(address);
    });
    return SampleBoxes(std::move(neighbours), kReportFanOut, self, ++m_reportRound);
}

OutgoingFrame LoadExchange::makeReportFrame(std::vector<std::string> targets, size_t most,
                                            MonoTime now) {
    wire::LoadReportsT message;
    for (const LoadReport& report : m_records.takeDueReports(most, now)) {
        const auto load = static_cast<uint16_t>(std::min(report.load, kMaxCount));
        const auto age = static_cast<uint16_t>(std::min<Millis>(now - report.asOf, kMaxCount));
        message.reports.emplace_back(report.upstream, load, age);
        message.starts.push_back(m_records.startTagOf(report.upstream));
    }
    OutgoingFrame outgoing{std::move(targets), EncodeMessage(std::move(message))};
    m_reportAllowance -= static_cast<double>(outgoing.frame.size() * outgoing.to.size());
    return outgoing;
}

void LoadExchange::setLostServices(std::vector<uint32_t> services) {
    m_lostServices = std::move(services);
    m_lostServicesChanged = true;
}

void LoadExchange::setLoadReportSupport(const std::string& address, bool takesLoadReports) {
    if (takesLoadReports) {
        m_withoutLoadReports.erase(address);
    } else {
        m_withoutLoadReports.insert(address);
    }
}

wire::DigestT LoadExchange::makeDigest(const PeerCounts::Counts& counts) {
    wire::DigestT digest;
    digest.sequence = ++m_sequence;
    digest.lost_services = m_lostServices;
    m_lostServicesChanged = false;
    for (const auto& [upstream, count] : counts) {
        const auto load = static_cast<uint16_t>(std::min(count, kMaxCount));
        digest.loads.emplace_back(upstream, load, false);
        digest.load_starts.push_back(m_records.startTagOf(upstream));
    }
    for (const CacheHolding& holding : m_records.takeAnnouncements()) {
        digest.cached.emplace_back(holding.part, holding.upstream);
        digest.cached_starts.push_back(m_records.startTagOf(holding.upstream));
    }
    return digest;
}

OutgoingFrame LoadExchange::makeDigestFrame(std::span<const std::string> neighbours,
                                            wire::DigestT digest) {
    // The period depends on the size of the frame, which contains the period. Its value does not
    // change the size, so the size is computed with kDigestPeriod.
    digest.next_ms = static_cast<uint32_t>(kDigestPeriod);
    const size_t size = EncodeMessage(digest).size();
    m_digestPeriod = DigestPeriod(kDigestPeriod, neighbours.size(), size, digestBudget());
    digest.next_ms = static_cast<uint32_t>(m_digestPeriod);
    return {{neighbours.begin(), neighbours.end()}, EncodeMessage(std::move(digest))};
}

void LoadExchange::handleMessage(const std::string& from, const wire::BodyUnion& body,
                                 MonoTime now) {
    if (const auto* digest = body.AsDigest()) {
        handleDigest(from, *digest, now);
    } else if (const auto* reports = body.AsLoadReports()) {
        handleReports(*reports, now);
    }
}

void LoadExchange::ApplySightings(BoxDirectory& boxes, const wire::DigestT& digest, MonoTime now) {
    const size_t count = std::min(digest.sighted.size(), digest.sighted_s.size());
    for (size_t i = 0; i < count; ++i) {
        // Rounded up, because each hop may have truncated the age by almost a second.
        const Millis age = (Millis{digest.sighted_s[i]} + 1) * 1000;
        boxes.noteSighting({digest.sighted[i], age}, now);
    }
}

void LoadExchange::handleReports(const wire::LoadReportsT& reports, MonoTime now) {
    for (size_t i = 0; i < reports.reports.size(); ++i) {
        const auto& entry = reports.reports[i];
        // The transit time of a few milliseconds is neglected.
        if (m_records.isCurrent(entry.upstream(), TagAt(reports.starts, i))) {
            m_records.noteForwardedReport({entry.upstream(), entry.load(), now - entry.age_ms()},
                                          now);
        }
    }
}

void LoadExchange::handleDigest(const std::string& from, const wire::DigestT& digest,
                                MonoTime now) {
    PeerCounts::Counts counts;
    for (size_t i = 0; i < digest.loads.size(); ++i) {
        const auto& load = digest.loads[i];
        if (m_records.isCurrent(load.engine(), TagAt(digest.load_starts, i))) {
            counts.emplace_back(load.engine(), load.load());
        }
    }
    for (size_t i = 0; i < digest.cached.size(); ++i) {
        const auto& cached = digest.cached[i];
        if (m_records.isCurrent(cached.upstream(), TagAt(digest.cached_starts, i))) {
            m_records.recordHolding({cached.part(), cached.upstream()}, now);
        }
    }
    const auto period = static_cast<Millis>(digest.next_ms);
    Millis validity = std::max(kMinValidity, kValidPeriods * period);
    if (m_records.loadsAreSampled()) {
        validity = std::min(validity, kMaxSampledValidity);
    }
    m_records.recordPeerLoads(from, std::move(counts), now, validity);
}

}  // namespace onyx
