#include "include/gateway/LoadExchange.h"

#include "include/base/Hash.h"
#include "include/membership/DigestPeriod.h"
#include "include/membership/DrawBoxes.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
// At most one digest in this time, and only on changes: loads this old keep the bound on an
// upstream's load (AffinityPolicy) in sites whose boxes all announce theirs.
constexpr Millis kDigestPeriod = 100;
constexpr Millis kDigestRenewal =
    500;  // A digest without changes, which shows that this box lives.
// Digests of a box are believed for this many of the periods that it announces, and for a while at
// least: one may be lost or late.
constexpr Millis kPeriodsBelieved = 3;
constexpr Millis kMinBelieved = 1200;
constexpr int kMaxCount = 65535;  // That a frame can carry.
// Reported loads go out at most once in this time: a full upstream is known to most boxes after
// some four hops.
constexpr Millis kReportPeriod = 50;
constexpr size_t kReportFanOut = 4;   // Neighbours that get them each time.
constexpr double kReportShare = 0.5;  // Of the budget of control bytes.
constexpr double kMaxSaved = 1000;    // Milliseconds for which unspent budget is saved, for bursts.
// Bytes of a frame of reports without its entries, and of an entry.
constexpr double kReportFrameBytes = 64;
constexpr double kReportBytes = 9;

// The StartTag of a frame's entry; frames of earlier versions have none.
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

std::vector<OutgoingFrame> LoadExchange::due(BoxDirectory& boxes,
                                             std::span<const std::string> linked, MonoTime now) {
    const double share = boxes.neighbourShare();
    m_records.setSite(boxes.size(), share);
    m_sampled = share < 1;
    noteBoxes(boxes, now);
    m_records.coldShare().setLinked(linked.size());
    std::vector<OutgoingFrame> frames;
    // Digests go out on changes, as often as the budget of control bytes allows.
    const PeerCounts::Counts counts = m_records.ownLoads();
    const Millis renewal = std::max(kDigestRenewal, m_digestPeriod);
    const bool changed = counts != m_announced || m_records.hasAnnouncements();
    if (now - m_lastDigest >= (changed ? m_digestPeriod : renewal)) {
        wire::DigestT digest = digestOf(counts);
        AddSightings(boxes.takeSightings(now), digest);
        frames.push_back(frameOf(NeighboursOf(boxes, linked), std::move(digest)));
        m_announced = counts;
        m_lastDigest = now;
    }
    const size_t reports = reportsAllowed(now);
    if (reports > 0 && m_records.hasDueReports(now)) {
        std::vector<std::string> targets = reportTargets(boxes.self(), NeighboursOf(boxes, linked));
        if (!targets.empty()) {
            frames.push_back(reportsFor(std::move(targets), reports, now));
        }
    }
    return frames;
}

void LoadExchange::noteBoxes(const BoxDirectory& boxes, MonoTime now) {
    if (m_boxesVersion == boxes.version()) {
        return;
    }
    m_boxesVersion = boxes.version();
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

Millis LoadExchange::pause() const {
    return m_sampled ? kReportPeriod : m_digestPeriod;
}

int64_t LoadExchange::digestBudget() const {
    return m_sampled ? static_cast<int64_t>((1 - kReportShare) * static_cast<double>(m_budget))
                     : m_budget;
}

// How many reports the budget allows now, in a frame for each of kReportFanOut boxes.
size_t LoadExchange::reportsAllowed(MonoTime now) {
    const double rate = kReportShare * static_cast<double>(m_budget) / 1000;  // A millisecond.
    const double earned = rate * static_cast<double>(now - m_allowedAt);
    m_reportAllowance = std::min(m_reportAllowance + earned, rate * kMaxSaved);
    m_allowedAt = now;
    const double room = m_reportAllowance / static_cast<double>(kReportFanOut) - kReportFrameBytes;
    return m_sampled && room > 0 ? static_cast<size_t>(room / kReportBytes) : 0;
}

// Reports go on to a few neighbours, drawn anew each time, and from there to others.
std::vector<std::string> LoadExchange::reportTargets(const std::string& self,
                                                     std::vector<std::string> neighbours) {
    std::erase_if(neighbours,
                  [&](const std::string& address) { return m_older.contains(address); });
    return DrawBoxes(std::move(neighbours), kReportFanOut, self, ++m_reportRound);
}

OutgoingFrame LoadExchange::reportsFor(std::vector<std::string> targets, size_t most,
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

void LoadExchange::noteVersion(const std::string& address, bool takesLoadReports) {
    if (takesLoadReports) {
        m_older.erase(address);
    } else {
        m_older.insert(address);
    }
}

wire::DigestT LoadExchange::digestOf(const PeerCounts::Counts& counts) {
    wire::DigestT digest;
    digest.sequence = ++m_sequence;
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

OutgoingFrame LoadExchange::frameOf(std::span<const std::string> neighbours, wire::DigestT digest) {
    // The period is part of the frame whose size it depends on, so the size is taken with any.
    digest.next_ms = static_cast<uint32_t>(kDigestPeriod);
    const size_t size = EncodeMessage(digest).size();
    m_digestPeriod = DigestPeriod(kDigestPeriod, neighbours.size(), size, digestBudget());
    digest.next_ms = static_cast<uint32_t>(m_digestPeriod);
    return {{neighbours.begin(), neighbours.end()}, EncodeMessage(std::move(digest))};
}

void LoadExchange::take(const std::string& from, const wire::BodyUnion& body, MonoTime now) {
    if (const auto* digest = body.AsDigest()) {
        takeDigest(from, *digest, now);
    } else if (const auto* reports = body.AsLoadReports()) {
        takeReports(*reports, now);
    }
}

void LoadExchange::TakeSightings(BoxDirectory& boxes, const wire::DigestT& digest, MonoTime now) {
    const size_t count = std::min(digest.sighted.size(), digest.sighted_s.size());
    for (size_t i = 0; i < count; ++i) {
        // Rounded up: each hop may have cut off most of a second.
        const Millis age = (Millis{digest.sighted_s[i]} + 1) * 1000;
        boxes.sighted({digest.sighted[i], age}, now);
    }
}

void LoadExchange::takeReports(const wire::LoadReportsT& reports, MonoTime now) {
    for (size_t i = 0; i < reports.reports.size(); ++i) {
        const auto& entry = reports.reports[i];
        // The way here counts as nothing: some milliseconds.
        if (m_records.isCurrent(entry.upstream(), TagAt(reports.starts, i))) {
            m_records.notePassedReport({entry.upstream(), entry.load(), now - entry.age_ms()}, now);
        }
    }
}

void LoadExchange::takeDigest(const std::string& from, const wire::DigestT& digest, MonoTime now) {
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
    const Millis believed = std::max(kMinBelieved, kPeriodsBelieved * period);
    m_records.recordPeerLoads(from, std::move(counts), now, believed);
}

}  // namespace onyx
