#include "include/gateway/GatewaySettings.h"

#include <algorithm>
#include <limits>

namespace onyx {

namespace {

constexpr int64_t kDay = 24LL * 3600 * 1000;
// Part of a bound that this box keeps for itself: clocks, timers and calls are late.
constexpr Millis kDeafStore = 1000;  // A watch may hear nothing for this long.
constexpr Millis kSlack = 400;
// Parts of the time within which a leaving upstream gets no more work. News of upstreams may wait
// for this part of it.
constexpr Millis kRestPart = 4;
// A follower's watcher may be cut from the store without knowing. Its knowledge is then as old as
// the watch that it holds, the follower finds out when it is older than allowed, at its next
// question, and still has to list: all of it fits into the bound.
constexpr Millis kFollowedWaitPart = 4;
constexpr double kFollowedAgePart = 0.6;
constexpr Millis kFollowPeriodPart = 6;
// Changes of upstreams that come together, as in a release, cost a watcher one call. Small beside
// the period of followers, who learn of them only then.
constexpr Millis kFollowedRestPart = 16;
constexpr Millis kLeastFollowBound = 600;  // A shorter bound leaves no time for a detour,
constexpr Millis kMostFollowBound = 4000;  // and a longer one is not used up.
constexpr double kRetryCaution = 0.75;     // Part of the shared retry budget that is planned with.

PlacementPolicy ReadPolicy(SettingsReader& reader, std::string_view key,
                           std::string_view otherwise) {
    const std::string name = reader.text(key, otherwise);
    if (name == "random") {
        return RandomPolicy{};
    }
    if (name == "least-in-flight") {
        return LeastInFlightPolicy{};
    }
    if (name == "zone-first") {
        return ZoneFirstPolicy{};
    }
    if (name != "affinity") {
        reader.reject(key, "affinity, zone-first, least-in-flight or random", name);
    }
    AffinityPolicy policy;
    policy.multiple = reader.real("placement.multiple", policy.multiple, 1.0, 100.0);
    policy.margin = reader.real("placement.margin", policy.margin, 1.0, 100000.0);
    return policy;
}

StalenessPolicy ReadStaleness(SettingsReader& reader, Millis freshLimit) {
    const std::string name = reader.text("store.stale_keys", "refuse");
    const Millis mostAge =
        reader.number("store.stale_limit_ms", ServeStale::kDefaultMostAge, freshLimit, kDay);
    if (name == "serve") {
        return ServeStale{mostAge};
    }
    if (name != "refuse") {
        reader.reject("store.stale_keys", "refuse or serve", name);
    }
    return RefuseStale{};
}

void ReadDelegation(SettingsReader& reader, Millis leavingBound, GatewaySettings& settings) {
    WatchDelegationSettings& delegation = settings.delegation;
    delegation.boxesPerWatcher =
        static_cast<size_t>(reader.number("followers.boxes_per_watcher", 32, 1, 100000));
    delegation.leastBoxes =
        static_cast<size_t>(reader.number("followers.least_boxes", 5, 2, 100000));
    delegation.alone = reader.number("followers.alone_ms", delegation.alone, 0, kDay);
    if (leavingBound < kLeastFollowBound) {
        delegation.leastBoxes = std::numeric_limits<size_t>::max();  // Every box watches.
    }
    const Millis bound = std::clamp<Millis>(leavingBound, kLeastFollowBound, kMostFollowBound);
    delegation.mostAge = static_cast<Millis>(static_cast<double>(bound) * kFollowedAgePart);
    settings.followPeriod = bound / kFollowPeriodPart;
    settings.listRest = settings.followPeriod;
    settings.followedRest = bound / kFollowedRestPart;
    settings.followedWait = bound / kFollowedWaitPart;
}

void ReadRetry(SettingsReader& reader, RetryAllowanceSettings& retry) {
    retry.window = reader.number("retry.window_ms", 10000, 100, kDay);
    retry.share = kRetryCaution * reader.real("retry.share", 0.2, 0.0, 1.0);
    retry.slack = kRetryCaution * reader.real("retry.slack", 0.0, 0.0, 1e9);
}

}  // namespace

GatewaySettings GatewaySettings::Read(SettingsReader& reader) {
    GatewaySettings settings;
    settings.box = reader.requiredText("box.name");
    settings.zone = reader.requiredText("box.zone");
    settings.callers = reader.address("listen.callers");
    settings.readiness = reader.address("listen.readiness");
    settings.peers = reader.address("listen.peers");
    settings.metrics = reader.address("listen.metrics");
    settings.store = reader.address("store.address");
    settings.seeds = reader.addresses("peers.seeds");
    settings.digestBudget = reader.number("peers.digest_bytes_per_second", 4000, 50, 100000000);
    settings.logLevel = reader.text("log.level", "info");
    const Millis bound = reader.number("store.key_bound_ms", 5000, 100, kDay);
    settings.keyKnowledge = std::max<Millis>(bound / 2, bound - kDeafStore - kSlack);
    settings.staleness = ReadStaleness(reader, settings.keyKnowledge);
    // Until the next watch ends, what is known is as old as the watch is long; the rest is for a
    // store that stops answering.
    const Millis watchWait = settings.keyKnowledge * 5 / 9;
    settings.watchWait = reader.number("store.watch_ms", watchWait, 10, 30000);
    settings.upstreamWatchWait = reader.number("store.upstream_watch_ms", 4000, 10, 30000);
    const Millis leavingBound = reader.number("store.leaving_bound_ms", 2000, 0, kDay);
    settings.mostUpstreamRest = leavingBound / kRestPart;
    settings.restPerBox = reader.number("store.rest_ms_per_box", 8, 0, 1000);
    ReadDelegation(reader, leavingBound, settings);
    settings.storeTimeout = reader.number("store.timeout_ms", 1500, 10, kDay);
    settings.connectTimeout = reader.number("upstream.connect_ms", 300, 10, kDay);
    settings.stallTimeout = reader.number("upstream.stall_ms", 1500, 10, kDay);
    settings.idleConnection = reader.number("upstream.idle_ms", 10000, 10, kDay);
    settings.onceConnection = reader.number("upstream.idle_unrepeatable_ms", 2000, 0, kDay);
    ReadRetry(reader, settings.retry);
    settings.leastBoxes = static_cast<size_t>(reader.number("retry.boxes", 8, 1, 100000));
    settings.modelPlacement = ReadPolicy(reader, "placement.model", "affinity");
    settings.plainPlacement = ReadPolicy(reader, "placement.plain", "zone-first");
    const Millis grace = reader.number("drain.grace_ms", 8000, 500, kDay);
    settings.drainAccept =
        reader.number("drain.accept_ms", std::min<Millis>(2500, grace / 3), 0, kDay);
    settings.drainLimit = grace - std::max<Millis>(300, grace / 16);
    return settings;
}

}  // namespace onyx
