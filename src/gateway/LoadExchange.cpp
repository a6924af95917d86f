#include "include/gateway/LoadExchange.h"

#include "include/membership/DigestPeriod.h"

#include <algorithm>

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
constexpr int kMaxCount = 65535;  // That a digest can carry.

std::vector<std::string> NeighboursOf(const BoxDirectory& boxes,
                                      std::span<const std::string> linked) {
    std::vector<std::string> neighbours;
    std::copy_if(linked.begin(), linked.end(), std::back_inserter(neighbours),
                 [&](const std::string& address) { return boxes.isNeighbour(address); });
    return neighbours;
}

}  // namespace

// Digests go out on changes, as often as the budget of control bytes allows.
std::vector<OutgoingFrame> LoadExchange::due(const BoxDirectory& boxes,
                                             std::span<const std::string> linked, MonoTime now) {
    m_records.setPeerShare(boxes.neighbourShare());
    std::vector<OutgoingFrame> frames;
    const PeerCounts::Counts counts = m_records.ownLoads();
    const Millis renewal = std::max(kDigestRenewal, m_digestPeriod);
    const bool changed = counts != m_announced || m_records.hasAnnouncements();
    if (changed || now - m_lastDigest >= renewal) {
        frames.push_back(digestFor(NeighboursOf(boxes, linked), counts));
        m_announced = counts;
        m_lastDigest = now;
    }
    return frames;
}

wire::DigestT LoadExchange::digestOf(const PeerCounts::Counts& counts) {
    wire::DigestT digest;
    digest.sequence = ++m_sequence;
    for (const auto& [upstream, count] : counts) {
        const auto load = static_cast<uint16_t>(std::min(count, kMaxCount));
        digest.loads.emplace_back(upstream, load, false);
    }
    for (const CacheHolding& holding : m_records.takeAnnouncements()) {
        digest.cached.emplace_back(holding.part, holding.upstream);
    }
    return digest;
}

OutgoingFrame LoadExchange::digestFor(std::span<const std::string> neighbours,
                                      const PeerCounts::Counts& counts) {
    wire::DigestT digest = digestOf(counts);
    // The period is part of the frame whose size it depends on, so the size is taken with any.
    digest.next_ms = static_cast<uint32_t>(kDigestPeriod);
    const size_t size = EncodeMessage(digest).size();
    m_digestPeriod = DigestPeriod(kDigestPeriod, neighbours.size(), size, m_budget);
    digest.next_ms = static_cast<uint32_t>(m_digestPeriod);
    return {{neighbours.begin(), neighbours.end()}, EncodeMessage(std::move(digest))};
}

void LoadExchange::take(const std::string& from, const wire::BodyUnion& body, MonoTime now) {
    if (const auto* digest = body.AsDigest()) {
        takeDigest(from, *digest, now);
    }
}

void LoadExchange::takeDigest(const std::string& from, const wire::DigestT& digest, MonoTime now) {
    PeerCounts::Counts counts;
    for (const auto& load : digest.loads) {
        counts.emplace_back(load.engine(), load.load());
    }
    for (const auto& cached : digest.cached) {
        m_records.noteHolding({cached.part(), cached.upstream()}, now);
    }
    const auto period = static_cast<Millis>(digest.next_ms);
    const Millis believed = std::max(kMinBelieved, kPeriodsBelieved * period);
    m_records.notePeerLoads(from, std::move(counts), now, believed);
}

}  // namespace onyx
