// Owns the data that this box has measured about upstreams or received from other boxes: their
// health, their loads, the contents of their caches, and the idle connections to them. UpstreamList
// owns the list of the upstreams itself.
//
// Relies on the rules in health/ and placement/. Attempts record their observations here, and
// PeerMesh the announcements of other boxes.
#pragma once

#include "include/health/BrittleUpstreams.h"
#include "include/health/ColdUpstreams.h"
#include "include/health/UpstreamAvoidance.h"
#include "include/health/UpstreamHealth.h"
#include "include/placement/CacheDirectory.h"
#include "include/placement/ColdShare.h"
#include "include/placement/PeerCounts.h"
#include "include/placement/PromptShares.h"
#include "include/placement/UpstreamLoads.h"
#include "include/placement/WorkTimes.h"
#include "include/routing/UpstreamTable.h"
#include "include/state/UpstreamPool.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace onyx {

// The load of an upstream, by source, in requests.
struct UpstreamLoad {
    int counted = 0;  // Requests of this box and of the boxes that announce theirs to it.
    int exact = 0;    // Requests of all boxes, valid if all announce theirs to this box.
    std::optional<AgedReport> report;  // The upstream's last load report.
};

// Not thread safe: one io_context.
class UpstreamRecords {
public:
    UpstreamRecords(asio::any_io_executor executor, const HealthSettings& health)
        : m_health(health), m_pool(std::move(executor)) {}

    // Whether an upstream is ejected. Preconditions: `now` never decreases between calls.
    bool isEjected(const std::string& id, MonoTime now) const {
        return m_health.isEjected(id, now);
    }

    // The load of an upstream. Preconditions: `now` never decreases between calls.
    UpstreamLoad load(const std::string& id, MonoTime now) const;

    // The number of this box's requests at an upstream. Preconditions: none.
    int ownLoad(const std::string& id) const { return m_loads.own(id); }

    // The age of the newest load report of an upstream in milliseconds, or nothing if there is
    // none. Preconditions: `now` never decreases between calls.
    std::optional<Millis> reportAge(const std::string& id, MonoTime now) const {
        return m_loads.reportAge(id, now);
    }

    // Whether only some of the other boxes announce their loads to this box. Preconditions: none.
    bool loadsAreSampled() const { return m_peerCounts.isSample(); }

    // The fraction of all boxes whose loads are counted, including this one. Preconditions: none.
    double countedShare() const { return m_peerCounts.countedShare(); }

    // The number of other boxes whose loads are currently counted. Preconditions: none.
    size_t peersWithLoads() const { return m_peerCounts.boxes(); }

    // Which upstreams hold which parts of prompts in their caches. Preconditions: none.
    const CacheDirectory& caches() const { return m_caches; }

    // Counts an attempt at `upstream` and returns its number. `onRestart` is called if the upstream
    // restarts while the attempt runs, and may call endAttempt(). Preconditions: endAttempt() is
    // called once for each attempt.
    uint64_t beginAttempt(const Incarnation& upstream, std::function<void()> onRestart);
    // Ends the attempt with the number that beginAttempt() returned.
    void endAttempt(uint64_t attempt);

    // Records the start time with which the upstream is listed. If it is later than the recorded
    // one, discards all records of the previous incarnation, calls `onRestart` of its active
    // attempts and returns the previous start time (Unix time in milliseconds); otherwise returns
    // nothing. Preconditions: none.
    std::optional<int64_t> recordStart(const Incarnation& upstream);
    // Whether a later incarnation of the upstream is known, so that data about this one is no
    // longer valid. Preconditions: none.
    bool isSuperseded(const Incarnation& upstream) const;
    // The latest known start time of an upstream (Unix time in milliseconds), or 0 if none is
    // known. Preconditions: none.
    int64_t latestStartOf(const std::string& id) const;
    // Whether another box's data about the upstream `number` is about the latest incarnation that
    // this box recorded. `tag`: the StartTag that the other box sent, 0 if that box sends none,
    // whose data then counts unless this box has seen the upstream restart. Preconditions: none.
    bool isCurrent(uint32_t number, uint8_t tag) const;
    // The StartTag that this box sends with the upstream number, or 0 if no start is known.
    // Preconditions: none.
    uint8_t startTagOf(uint32_t number) const;

    // Records the signal that an attempt begun at `sent` observed at its upstream. Returns true if
    // the upstream is ejected because of it. Preconditions: sent <= now; `now` never decreases
    // between calls.
    bool recordSignal(const std::string& id, HealthSignal sign, MonoTime sent, MonoTime now);

    // Ends the ejection of an upstream that was out of reach of this box alone. Preconditions:
    // none.
    void endUnreachable(const std::string& id) { m_health.endUnreachable(id); }

    // The upstreams that asked in their answers to get no requests. Preconditions: none.
    UpstreamAvoidance& avoidance() { return m_avoidance; }
    const UpstreamAvoidance& avoidance() const { return m_avoidance; }

    // Which upstreams end if they have to turn many requests away. Preconditions: none.
    BrittleUpstreams& brittle() { return m_brittle; }
    const BrittleUpstreams& brittle() const { return m_brittle; }

    // How long work takes at upstreams right now. Preconditions: none.
    WorkTimes& workTimes() { return m_workTimes; }
    const WorkTimes& workTimes() const { return m_workTimes; }

    // Which upstreams are cold, and whether this box sends requests to them. Preconditions: none.
    ColdUpstreams& cold() { return m_cold; }
    const ColdUpstreams& cold() const { return m_cold; }
    ColdShare& coldShare() { return m_coldShare; }
    const ColdShare& coldShare() const { return m_coldShare; }

    // Records that an upstream began to answer a prompt with these shared parts, so its cache holds
    // them. Preconditions: `now` never decreases between calls.
    void recordPrompt(std::span<const std::string> sharedParts, const std::string& id,
                      MonoTime now);

    // The share of this box's recent requests that had this prompt, or 0 if the prompt has no
    // shared part. Preconditions: none.
    double promptShare(std::span<const std::string> sharedParts, MonoTime now) const;

    // Records the number of requests that an upstream reported in an answer. Preconditions: `now`
    // never decreases between calls.
    void noteReportedLoad(const std::string& id, int load, MonoTime now) {
        m_loads.noteReportedLoad(id, load, now);
    }

    // Discards the connections, the health and the loads of a removed upstream. Its latest start is
    // kept. Preconditions: none.
    void forget(const std::string& id);
    // Closes the idle connections to a draining upstream. Preconditions: none.
    void dropConnections(const std::string& id) { m_pool.drop(id); }

    // The connections kept open between attempts. Preconditions: none.
    UpstreamPool& pool() { return m_pool; }

    // The requests that this box has in flight, and the cache contents that it has learned since
    // the last call, to be announced to other boxes. Preconditions: none.
    PeerCounts::Counts ownLoads() const { return m_loads.counts(); }
    bool hasAnnouncements() const { return m_caches.hasAnnouncements(); }
    std::vector<CacheHolding> takeAnnouncements() { return m_caches.takeAnnouncements(); }

    // Records the loads that another box announces. They count for `validFor` milliseconds.
    // Preconditions: validFor > 0; `now` never decreases between calls.
    void recordPeerLoads(const std::string& box, PeerCounts::Counts counts, MonoTime now,
                         Millis validFor) {
        m_peerCounts.update(box, std::move(counts), now, validFor);
    }
    // Records load reports of upstreams that other boxes forward, and returns at most `most` of
    // those that are due to be forwarded to them. Preconditions: `now` never decreases between
    // calls.
    void noteForwardedReport(const LoadReport& report, MonoTime now) {
        m_loads.noteForwardedReport(report, now);
    }
    bool hasDueReports(MonoTime now) const { return m_loads.hasDueReports(now); }
    std::vector<LoadReport> takeDueReports(size_t most, MonoTime now) {
        return m_loads.takeDueReports(most, now);
    }
    void recordHolding(const CacheHolding& holding, MonoTime now) {
        m_caches.recordAnnouncement(holding, now);
    }
    // Discards the loads of a box whose link is closed, and those that have expired.
    // Preconditions: none.
    void forgetPeer(const std::string& box) { m_peerCounts.forget(box); }
    void expirePeerLoads(MonoTime now) { m_peerCounts.expire(now); }
    // Sets the number of boxes in the site, and the fraction of the others that announce their
    // loads to this box. Preconditions: as for PeerCounts::setSite().
    void setSite(size_t boxes, double share) { m_peerCounts.setSite(boxes, share); }
    // The index of this box among all boxes, in an order that is the same on all of them.
    // Preconditions: none.
    void setBoxRank(size_t rank) { m_boxRank = rank; }
    size_t boxRank() const { return m_boxRank; }

private:
    // The latest known start of an upstream.
    struct LatestStart {
        int64_t startedMs = 0;
        bool restarted = false;  // This box has seen it restart under the same id.
    };
    struct ActiveAttempt {
        Incarnation upstream;
        std::function<void()> onRestart;
    };

    void endIncarnation(const Incarnation& upstream);

    UpstreamHealth m_health;
    UpstreamAvoidance m_avoidance;
    BrittleUpstreams m_brittle;
    ColdUpstreams m_cold;
    ColdShare m_coldShare;
    UpstreamLoads m_loads;
    WorkTimes m_workTimes;
    PeerCounts m_peerCounts;
    CacheDirectory m_caches;
    PromptShares m_prompts;
    UpstreamPool m_pool;
    // By upstream number. Includes some removed upstreams.
    std::unordered_map<uint32_t, LatestStart> m_latestStarts;
    std::map<uint64_t, ActiveAttempt> m_activeAttempts;  // By attempt number.
    uint64_t m_lastAttempt = 0;                          // Number of the last attempt.
    size_t m_boxRank = 0;
};

}  // namespace onyx
