// Replays how boxes that start together get the list of upstreams, without network: each box with
// the gateway's own FirstListPolicy, ListSendLimit, PeerQueries and UpstreamList. Virtual time, one
// seed. Pages and lists take the time that lines of 10 Mbit/s (box) and 1 Gbit/s (store) need for
// 170 KB a page; a page of the replay has few upstreams, so that many boxes fit into a test.
#pragma once

#include "include/freshness/FirstListPolicy.h"
#include "include/freshness/PeerQueries.h"
#include "include/state/UpstreamList.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace onyx {

struct ListReplaySettings {
    size_t boxes = 300;
    size_t zones = 5;
    size_t pages = 6;
    bool oneZoneOnly = false;      // Only the boxes of one zone start; the others have the list.
    bool appliesFirstPage = true;  // False: as before UpstreamList knew partial lists.
};

class ListAtStartReplay {
public:
    ListAtStartReplay(const ListReplaySettings& settings, uint32_t seed)
        : m_settings(settings), m_random(seed) {
        for (size_t i = 0; i < settings.boxes; ++i) {
            m_boxes.push_back(std::make_unique<Box>(m_io, m_random()));
            Box& box = *m_boxes.back();
            box.starts = !settings.oneZoneOnly || zoneOf(i) == 0;
            if (!box.starts) {
                box.list.apply(list(settings.pages, true), "store", kStart);
                box.list.confirm(kStart);
            }
            for (size_t k = 0; k < kLinks; ++k) {
                box.links.push_back(m_random() % settings.boxes);
            }
        }
    }

    // Runs until each box can serve and has the whole list, or for a minute.
    void run() {
        for (Millis time = 0; time < 60000 && m_haveList < m_boxes.size(); time += kStepMs) {
            m_haveList = 0;
            for (size_t i = 0; i < m_boxes.size(); ++i) {
                step(i, kStart + time);
            }
        }
    }

    Millis lastServes() const { return m_lastServes; }
    Millis lastHasList() const { return m_lastHasList; }
    bool allHaveList() const { return m_haveList == m_boxes.size(); }
    // Pages of copies and watches; a page costs a tenth of a call.
    size_t pages() const { return m_pages; }
    size_t confirmations() const { return m_confirmations; }
    size_t queries() const { return m_queries; }
    size_t lists() const { return m_lists; }
    size_t mostRounds() const { return m_mostRounds; }

private:
    static constexpr MonoTime kStart{50000};
    static constexpr Millis kStepMs = 100;        // As in PeerSync.
    static constexpr Millis kLinksAfterMs = 500;  // The dialing period of PeerMesh.
    static constexpr size_t kLinks = 32;
    static constexpr double kPageMs = 140;       // On the line of a box.
    static constexpr double kStorePageMs = 1.4;  // On the line of the store.
    static constexpr Millis kConfirmMs = 30;
    static constexpr size_t kPerPage = 3;

    struct Box {
        Box(asio::io_context& io, uint64_t seed)
            : records(io.get_executor(), HealthSettings()), list(records), policy(seed) {}
        UpstreamRecords records;
        UpstreamList list;
        FirstListPolicy policy;
        ListSendLimit limit;
        PeerQueries queries;
        std::vector<size_t> links;
        bool starts = true;
        bool asked = false;  // Whether the rest of the list is left to peers.
        bool hadWait = false;
        size_t pagesRead = 0;
        size_t rounds = 0;
        MonoTime readUntil = kStart;  // The page under way is read by then.
        bool reads = false;
        std::optional<MonoTime> confirmedAt;
        std::optional<MonoTime> listAt;  // A list from a peer is here by then.
        MonoTime lineFree = kStart;      // Lists that the box sends share its line.
        std::optional<MonoTime> servesAt;
    };

    size_t zoneOf(size_t i) const { return i % m_settings.zones; }

    // The first `pages` pages. All services have upstreams on each page.
    static UpstreamChanges list(size_t pages, bool whole) {
        UpstreamChanges changes;
        changes.whole = whole;
        changes.revision = 9;
        for (size_t i = 0; i < pages * kPerPage; ++i) {
            const ServiceId service(i % kPerPage == 0 ? "plain" : "model");
            changes.changed.push_back(
                {std::to_string(1000 + i), service, "10.0.0.1:1", ZoneId("z"), false, 4});
        }
        return changes;
    }

    void step(size_t i, MonoTime now) {
        Box& box = *m_boxes[i];
        if (box.starts) {
            readPages(box, now);
            takeList(box, now);
            confirm(box, now);
            if (!box.list.hasList()) {
                queryPeers(i, now);
            }
            const std::vector<ServiceSpec> services{{ServiceId("plain")}, {ServiceId("model")}};
            if (!box.servesAt && box.list.age(now) && box.list.covers(services)) {
                box.servesAt = now;
                m_lastServes = std::max(m_lastServes, now - kStart);
            }
        }
        if (box.list.hasList()) {
            ++m_haveList;
        } else {
            m_lastHasList = now - kStart + kStepMs;
        }
    }

    void startPage(Box& box, MonoTime now) {
        ++m_pages;
        m_storeFree = std::max(m_storeFree, static_cast<double>(now.ms)) + kStorePageMs;
        box.reads = true;
        box.readUntil = {static_cast<int64_t>(m_storeFree + kPageMs)};
    }

    void readPages(Box& box, MonoTime now) {
        const bool waits = box.asked && box.policy.isWaiting(kLinks, box.list.hasList(), now);
        if (!box.reads) {
            if (box.pagesRead == 0 || (box.hadWait && !waits && !box.list.hasList())) {
                box.hadWait = false;
                box.pagesRead = 0;
                startPage(box, now);
            }
            return;
        }
        if (box.readUntil > now) {
            return;
        }
        box.reads = false;
        ++box.pagesRead;
        if (box.pagesRead == m_settings.pages) {
            box.list.apply(list(m_settings.pages, true), "store", now);
            m_confirmations += box.confirmedAt ? 1 : 0;
            return;
        }
        if (box.pagesRead == 1) {
            const bool leavesRest = box.policy.leavesRestToPeers(false, now);
            if (m_settings.appliesFirstPage && !box.list.isPartial()) {
                box.list.apply(list(1, false), "store", now);
            }
            if (leavesRest) {
                box.asked = box.hadWait = true;
                return;
            }
        }
        startPage(box, now);
    }

    void takeList(Box& box, MonoTime now) {
        if (box.listAt && *box.listAt <= now && !box.list.hasList()) {
            box.list.apply(list(m_settings.pages, true), "peer", now);
        }
    }

    // One watch confirms what the box has.
    void confirm(Box& box, MonoTime now) {
        if (box.confirmedAt) {
            if (*box.confirmedAt <= now) {
                box.list.confirm(*box.confirmedAt);
            }
        } else if (box.list.hasList() || box.list.isPartial()) {
            ++m_confirmations;
            box.confirmedAt = now + kConfirmMs;
        }
    }

    // Fetches the list from a linked box of the own zone, one at a time.
    void queryPeers(size_t i, MonoTime now) {
        Box& box = *m_boxes[i];
        const bool waits = box.asked && box.policy.isWaiting(kLinks, false, now);
        if (!waits || now - kStart < kLinksAfterMs) {
            return;
        }
        ++box.rounds;
        m_mostRounds = std::max(m_mostRounds, box.rounds);
        for (size_t k = 0; k < PeerQueries::kPeersPerRound; ++k) {
            ++m_queries;
            const size_t peer = box.links[(box.rounds * PeerQueries::kPeersPerRound + k) % kLinks];
            Box& other = *m_boxes[peer];
            if (zoneOf(peer) != zoneOf(i) || !other.list.hasChangesSince(0)) {
                continue;
            }
            const auto fetch = box.queries.startFetch(now, PeerQueries::kListFetchTimeoutMs);
            if (!fetch) {
                return;
            }
            if (!other.limit.tryTake(now)) {
                box.queries.endFetch(*fetch);
                continue;
            }
            ++m_lists;
            const auto onLine =
                static_cast<Millis>(kPageMs * static_cast<double>(m_settings.pages) / 2);
            other.lineFree = std::max(other.lineFree, now) + onLine;
            box.listAt = other.lineFree;
        }
    }

    ListReplaySettings m_settings;
    std::mt19937 m_random;
    asio::io_context m_io;
    std::vector<std::unique_ptr<Box>> m_boxes;
    double m_storeFree = static_cast<double>(kStart.ms);
    size_t m_haveList = 0;
    size_t m_pages = 0;
    size_t m_confirmations = 0;
    size_t m_queries = 0;
    size_t m_lists = 0;
    size_t m_mostRounds = 0;
    Millis m_lastServes = 0;
    Millis m_lastHasList = 0;
};

}  // namespace onyx
