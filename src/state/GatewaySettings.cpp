#include "include/state/GatewaySettings.h"

#include <algorithm>
#include <limits>

namespace onyx {

namespace {

// No time in the settings is longer, in milliseconds.
constexpr int64_t kDay = 24LL * 3600 * 1000;
// Bounds of the operators, in milliseconds, where the settings have none: those of the sites so
// far.
constexpr Millis kDefaultKeyBound = 5000;     // A revoked credential stops working.
constexpr Millis kDefaultChangeBound = 2000;  // A change of the configuration is in force.
constexpr Millis kDefaultDrainBound = 2000;   // A draining upstream gets no more work.
constexpr Millis kDefaultGrace = 8000;        // The process is ended after a stop signal.

// A number of boxes.
size_t ReadCount(SettingsReader& reader, std::string_view key, size_t otherwise, int64_t least) {
    constexpr int64_t kMaxBoxes = 100000;  // Of any site.
    return static_cast<size_t>(
        reader.number(key, static_cast<int64_t>(otherwise), least, kMaxBoxes));
}

PlacementPolicy ReadPolicy(SettingsReader& reader, std::string_view key,
                           std::string_view otherwise) {
    const std::string name = reader.text(key, otherwise);
    if (name == "zone-first") {
        return ZoneFirstPolicy{};
    }
    if (name != "affinity") {
        reader.reject(key, "affinity or zone-first", name);
    }
    AffinityPolicy policy;
    policy.multiple = reader.real("placement.multiple", policy.multiple, 1.0, 100.0);
    policy.margin = reader.real("placement.margin", policy.margin, 1.0, 100000.0);
    return policy;
}

StalenessPolicy ReadStaleness(SettingsReader& reader, Millis freshLimit) {
    const std::string name = reader.text("store.stale_keys", "refuse");
    const Millis maxAge =
        reader.number("store.stale_limit_ms", ServeStale::kDefaultMaxAgeMs, freshLimit, kDay);
    if (name == "serve") {
        return ServeStale{maxAge};
    }
    if (name != "refuse") {
        reader.reject("store.stale_keys", "refuse or serve", name);
    }
    return RefuseStale{};
}

AdmissionRules ReadAdmission(SettingsReader& reader) {
    AdmissionRules rules;
    rules.freshLimit = FreshLimit(reader.number("store.key_bound_ms", kDefaultKeyBound, 100, kDay));
    rules.denialLimit =
        DenialLimit(reader.number("store.configuration_bound_ms", kDefaultChangeBound, 100, kDay));
    rules.staleness = ReadStaleness(reader, rules.freshLimit);
    return rules;
}

// When the store is called, and which boxes call it for others.
void ReadPacing(SettingsReader& reader, GatewaySettings& settings) {
    StorePacingSettings& pacing = settings.pacing;
    WatcherSelectorSettings& watcherSelector = settings.watcherSelector;
    // The configuration has to be young enough for all that it is used for.
    const Millis maxAge = std::min(settings.admission.freshLimit, settings.admission.denialLimit);
    const Millis wait = ConfigurationWait(maxAge);
    pacing.configurationWait = reader.number("store.watch_ms", wait, 10, 30000);
    pacing.upstreamWait = reader.number("store.upstream_watch_ms", pacing.upstreamWait, 10, 30000);
    pacing.pausePerBox = reader.number("store.rest_ms_per_box", pacing.pausePerBox, 0, 1000);
    const Millis drainBound = reader.number("store.leaving_bound_ms", kDefaultDrainBound, 0, kDay);
    const FollowerBounds bounds = FitFollowers(drainBound, maxAge, pacing);
    settings.storeCall.peerQueryAge = watcherSelector.maxFreshAge = bounds.peerQueryAge;
    settings.storeCall.maxAge = bounds.maxAge;
    watcherSelector.boxesPerWatcher =
        ReadCount(reader, "followers.boxes_per_watcher", watcherSelector.boxesPerWatcher, 1);
    watcherSelector.minBoxes =
        ReadCount(reader, "followers.least_boxes", watcherSelector.minBoxes, 2);
    watcherSelector.passOverTime =
        reader.number("followers.alone_ms", watcherSelector.passOverTime, 0, kDay);
    if (!bounds.leavesTime) {
        watcherSelector.minBoxes = std::numeric_limits<size_t>::max();  // Every box watches.
    }
}

LocalRetryBudgetSettings ReadRetry(SettingsReader& reader) {
    const LocalRetryBudgetSettings defaults;
    const Millis window =
        reader.duration("retry.window_ms", "retry.window_s", defaults.window, 100, kDay);
    const double share = reader.real("retry.share", defaults.share, 0.0, 1.0);
    const double slack = reader.real("retry.slack", defaults.slack, 0.0, 1e9);
    const size_t minBoxes = ReadCount(reader, "retry.boxes", defaults.minBoxes, 1);
    return LocalRetryBudgetSettings::FromOperatorBudget(window, share, slack, minBoxes);
}

ColdLimit ReadCold(SettingsReader& reader) {
    ColdLimit limit;
    limit.overshoot = reader.real("cold.overshoot", limit.overshoot, 0.0, 1000.0);
    limit.tolerance = reader.real("cold.tolerance", limit.tolerance, 0.0, 1e6);
    return limit;
}

RolloutSettings ReadRollout(SettingsReader& reader) {
    RolloutSettings rollout;
    rollout.exposureLimit = reader.real("rollout.exposure_share", rollout.exposureLimit, 0.0, 1.0);
    rollout.bound = reader.number("rollout.bound_ms", rollout.bound, 100, kDay);
    return rollout;
}

DrainSettings ReadDrain(SettingsReader& reader) {
    const Millis grace =
        reader.duration("drain.grace_ms", "drain.grace_s", kDefaultGrace, 500, kDay);
    DrainSettings drain;
    drain.accept = reader.number("drain.accept_ms", DrainSettings::DefaultAccept(grace), 0, kDay);
    drain.limit = DrainSettings::DefaultLimit(grace);
    return drain;
}

MachineLimits ReadMachine(SettingsReader& reader) {
    constexpr int64_t kMaxMegabytes = 1 << 20;
    constexpr int64_t kMaxDescriptors = 1 << 24;
    constexpr int64_t kMinDescriptors = 2 * static_cast<int64_t>(MachineShares::kFiles);
    constexpr int kMegabyteBits = 20;
    MachineLimits limits;
    const auto megabytes = static_cast<int64_t>(limits.memory >> kMegabyteBits);
    limits.memory =
        static_cast<size_t>(reader.number("limits.memory_mb", megabytes, 16, kMaxMegabytes))
        << kMegabyteBits;
    limits.descriptors = static_cast<size_t>(reader.number("limits.max_fds",
                                                           static_cast<int64_t>(limits.descriptors),
                                                           kMinDescriptors, kMaxDescriptors));
    return limits;
}

void ReadAddresses(SettingsReader& reader, GatewaySettings& settings) {
    settings.callers = reader.address("listen.callers");
    settings.readiness = reader.address("listen.readiness");
    settings.peers = reader.address("listen.peers");
    settings.metrics = reader.address("listen.metrics");
    settings.store = reader.address("store.address");
    settings.seeds = reader.addresses("peers.seeds");
}

void ReadUpstreamTimes(SettingsReader& reader, GatewaySettings& settings) {
    settings.connectTimeout =
        reader.number("upstream.connect_ms", settings.connectTimeout, 10, kDay);
    settings.stallTimeout = reader.number("upstream.stall_ms", settings.stallTimeout, 10, kDay);
    settings.idleConnection = reader.number("upstream.idle_ms", settings.idleConnection, 10, kDay);
    settings.onceConnection =
        reader.number("upstream.idle_unrepeatable_ms", settings.onceConnection, 0, kDay);
}

}  // namespace

GatewaySettings GatewaySettings::Read(SettingsReader& reader) {
    GatewaySettings settings;
    settings.box = reader.requiredText("box.name");
    settings.zone = reader.requiredText("box.zone");
    settings.regions = reader.textTable("regions");
    ReadAddresses(reader, settings);
    settings.digestBudget =
        reader.number("peers.digest_bytes_per_second", settings.digestBudget, 50, 100000000);
    settings.logLevel = reader.text("log.level", settings.logLevel);
    settings.storeWrites = reader.real("store.writes_per_second", settings.storeWrites, 1.0, 1e6);
    settings.admission = ReadAdmission(reader);
    settings.admitByRoom = reader.flag("admission.by_room", settings.admitByRoom);
    ReadPacing(reader, settings);
    settings.storeTimeout = reader.number("store.timeout_ms", settings.storeTimeout, 10, kDay);
    settings.evacuationBound = reader.number("store.evacuation_bound_ms", 0, 0, kDay);
    ReadUpstreamTimes(reader, settings);
    settings.retry = ReadRetry(reader);
    settings.modelPlacement = ReadPolicy(reader, "placement.model", "affinity");
    settings.plainPlacement = ReadPolicy(reader, "placement.plain", "zone-first");
    settings.cold = ReadCold(reader);
    settings.rollout = ReadRollout(reader);
    settings.drain = ReadDrain(reader);
    settings.machine = ReadMachine(reader);
    return settings;
}

}  // namespace onyx
