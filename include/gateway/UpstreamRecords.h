// Owns what this box has seen of upstreams, or heard from other boxes: their health, their loads,
// what their caches hold, and the connections kept to them. Which upstreams there are:
// UpstreamList.
//
// Relies on the rules of health and placement. Attempts bring what they saw, PeerMesh what other
// boxes announce.
#pragma once

#include "include/gateway/UpstreamPool.h"
#include "include/health/ColdUpstreams.h"
#include "include/health/UpstreamAvoidance.h"
#include "include/health/UpstreamHealth.h"
#include "include/placement/CacheDirectory.h"
#include "include/placement/ColdShare.h"
#include "include/placement/PeerCounts.h"
#include "include/placement/PromptShares.h"
#include "include/placement/UpstreamLoads.h"
#include "include/routing/UpstreamTable.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace onyx {

// How loaded an upstream is, and by what.
struct UpstreamLoad {
    int counted = 0;  // Requests of this box and of those that announce theirs here.
    int exact = 0;    // All boxes' requests, where all announce theirs here.
    std::optional<AgedReport> report;  // What the upstream told last.
};

// Not thread safe: one io_context.
class UpstreamRecords {
public:
    UpstreamRecords(asio::any_io_executor executor, const HealthSettings& health)
        : m_health(health), m_pool(std::move(executor)) {}

    // Whether an upstream is ejected. Preconditions: times do not fall.
    bool isEjected(const std::string& id, MonoTime now) const {
        return m_health.isEjected(id, now);
    }

    // What this box knows of the requests at an upstream. Preconditions: as above.
    UpstreamLoad load(const std::string& id, MonoTime now) const;

    // This box's requests at an upstream. Preconditions: none.
    int ownLoad(const std::string& id) const { return m_loads.own(id); }

    // How old the newest report of an upstream's load is, in milliseconds; nothing if none came.
    // Preconditions: as above.
    std::optional<Millis> reportAge(const std::string& id, MonoTime now) const {
        return m_loads.reportAge(id, now);
    }

    // Whether the other boxes' loads are known of some of them only. Preconditions: none.
    bool loadsAreSampled() const { return m_peerCounts.isSample(); }

    // The part of all boxes whose loads are counted, this one included. Preconditions: none.
    double countedShare() const { return m_peerCounts.countedShare(); }

    // Other boxes whose loads count now. Preconditions: none.
    size_t peersWithLoads() const { return m_peerCounts.boxes(); }

    // Who holds which parts of prompts. Preconditions: none.
    const CacheDirectory& caches() const { return m_caches; }

    // Counts an attempt in; `onRestart` is called if the upstream starts again while it runs. It
    // may count the attempt out. Preconditions: each that began is counted out once.
    uint64_t beginAttempt(const Incarnation& upstream, std::function<void()> onRestart);
    // Counts an attempt out, by what beginAttempt() returned.
    void endAttempt(uint64_t attempt);

    // The upstream is listed with this start. A later one than before ends all that is known of it
    // and the attempts under way there, and returns the start before. Preconditions: none.
    std::optional<int64_t> recordStart(const Incarnation& upstream);
    // Whether a later start of it is known: what is said of this one is void. Preconditions: none.
    bool isSuperseded(const Incarnation& upstream) const;
    // The start that is known of an upstream; 0: none. Preconditions: none.
    int64_t latestStartOf(const std::string& id) const;
    // Whether what another box says of an upstream, by its number, is of the incarnation that is
    // known here. `tag`: its StartTag; 0, of a box that does not say: believed unless the upstream
    // was seen to start again. Preconditions: none.
    bool isCurrent(uint32_t number, uint8_t tag) const;
    // The tag that this box sends with a number. Preconditions: none.
    uint8_t startTagOf(uint32_t number) const;

    // Takes in what an attempt that began at `sent` saw of its upstream; true if that is ejected
    // from now on. Preconditions: sent <= now, which does not fall.
    bool recordSign(const std::string& id, UpstreamSign sign, MonoTime sent, MonoTime now);

    // What upstreams ask for in their answers. Preconditions: none.
    UpstreamAvoidance& avoidance() { return m_avoidance; }
    const UpstreamAvoidance& avoidance() const { return m_avoidance; }

    // Which upstreams are cold, and whether this box sends to them. Preconditions: none.
    ColdUpstreams& cold() { return m_cold; }
    const ColdUpstreams& cold() const { return m_cold; }
    ColdShare& coldShare() { return m_coldShare; }
    const ColdShare& coldShare() const { return m_coldShare; }

    // An upstream began to answer a prompt with these shared parts, so it has read them.
    // Preconditions: times do not fall.
    void recordPrompt(std::span<const std::string> sharedParts, const std::string& id,
                      MonoTime now);

    // The share of this box's recent requests that asked for this prompt, 0 if it has no shared
    // part. Preconditions: none.
    double promptShare(std::span<const std::string> sharedParts, MonoTime now) const;

    // An upstream's answer reports how many requests it has. Preconditions: as above.
    void noteReportedLoad(const std::string& id, int load, MonoTime now) {
        m_loads.noteReportedLoad(id, load, now);
    }

    // Forgets an upstream that is gone. Preconditions: none.
    void forget(const std::string& id);
    // Closes the connections kept to an upstream that drains. Preconditions: none.
    void dropConnections(const std::string& id) { m_pool.drop(id); }

    // Connections kept between attempts. Preconditions: none.
    UpstreamPool& pool() { return m_pool; }

    // What this box has in flight, and what it has learned of caches since the last call, to be
    // announced to other boxes. Preconditions: none.
    PeerCounts::Counts ownLoads() const { return m_loads.counts(); }
    bool hasAnnouncements() const { return m_caches.hasAnnouncements(); }
    std::vector<CacheHolding> takeAnnouncements() { return m_caches.takeAnnouncements(); }

    // What another box announces; its loads count for `believed` milliseconds.
    // Preconditions: believed > 0; times do not fall.
    void recordPeerLoads(const std::string& box, PeerCounts::Counts counts, MonoTime now,
                         Millis believed) {
        m_peerCounts.take(box, std::move(counts), now, believed);
    }
    // Loads that upstreams reported, as other boxes pass them on, and what is to be passed on to
    // them. Preconditions: times do not fall.
    void notePassedReport(const LoadReport& report, MonoTime now) {
        m_loads.notePassedReport(report, now);
    }
    bool hasDueReports(MonoTime now) const { return m_loads.hasDueReports(now); }
    std::vector<LoadReport> takeDueReports(size_t most, MonoTime now) {
        return m_loads.takeDueReports(most, now);
    }
    void recordHolding(const CacheHolding& holding, MonoTime now) { m_caches.learn(holding, now); }
    // Forgets the loads of a box whose link is gone, and those that are no longer believed.
    // Preconditions: none.
    void forgetPeer(const std::string& box) { m_peerCounts.forget(box); }
    void expirePeerLoads(MonoTime now) { m_peerCounts.expire(now); }
    // How many boxes there are, and which part of the others announce their loads here.
    // Preconditions: as PeerCounts.
    void setSite(size_t boxes, double share) { m_peerCounts.setSite(boxes, share); }
    // The place of this box among all, in an order that they agree on. Preconditions: none.
    void setBoxRank(size_t rank) { m_boxRank = rank; }
    size_t boxRank() const { return m_boxRank; }

private:
    // The latest start that is known of an upstream.
    struct LatestStart {
        int64_t startedMs = 0;
        bool restarted = false;  // It was seen to start again under its id.
    };
    struct ActiveAttempt {
        Incarnation upstream;
        std::function<void()> onRestart;
    };

    void endIncarnation(const Incarnation& upstream);

    UpstreamHealth m_health;
    UpstreamAvoidance m_avoidance;
    ColdUpstreams m_cold;
    ColdShare m_coldShare;
    UpstreamLoads m_loads;
    PeerCounts m_peerCounts;
    CacheDirectory m_caches;
    PromptShares m_prompts;
    UpstreamPool m_pool;
    std::unordered_map<uint32_t, LatestStart>
        m_latestStarts;  // By upstream number; also of some that are gone.
    std::map<uint64_t, ActiveAttempt> m_activeAttempts;  // Attempts, by number.
    uint64_t m_lastAttempt = 0;
    size_t m_boxRank = 0;
};

}  // namespace onyx
