// The configuration as the routers use it: teams, services, engines and migration steps, made
// from the shards that the platform holds.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Result.h"
#include "include/net/Net.h"
#include "modules/standalone/include/admission/FairQueue.h"
#include "modules/standalone/include/placement/LoadBound.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace onyx {

// A team that may send requests.
struct TeamConfig {
    TeamId team;
    std::string tokenSha256;  // Lower-case hex.
    double weight = 1.0;
    int maxInFlight = 0;  // 0: no limit of its own.
};

// What callers address.
struct ServiceConfig {
    ServiceId service;
    bool chat = true;
    bool repeatable = true;
    bool checksFence = false;
    BoundSettings bound;
    std::vector<ZoneId> zones;  // Home zones of keys.
    Millis objectiveMs = 1800;
    double objectiveShare = 0.95;
    Priority defaultPriority = Priority::kNormal;
};

// An upstream of a service.
struct EngineConfig {
    EngineId engine;
    ServiceId service;
    ZoneId zone;
    Endpoint address;
    bool leaving = false;
};

// From `from` on, `share` of the keys are this site's.
struct MigrationStep {
    WallTime from;
    double share = 1.0;
};

// One shard as it stands in the platform.
struct ConfigShard {
    std::string name;     // services, engines, migration, or teams-NNN.
    std::string content;  // JSON.
};

// So many that one team's change is a small object at 16,000 teams (docs/CAPACITY.md).
inline constexpr int kTeamShards = 128;

// Name of the shard that holds `team`. Thread safety: any thread.
std::string TeamShardName(const TeamId& team);

// Content digest of a shard, as the head names it. Thread safety: any thread.
std::string ShardDigest(std::string_view content);

// SHA-256 of a caller's token, in hex. Thread safety: any thread.
std::string TokenDigest(std::string_view token);

// Parses "urgent", "normal" or "deferrable". Thread safety: any thread.
std::optional<Priority> ParsePriority(std::string_view text);
// The priority's name. Thread safety: any thread.
std::string_view PriorityName(Priority priority);

// An accepted configuration. Immutable, so any thread may read it.
class Snapshot {
public:
    // Parses and checks all shards. Errors: kBadInput; the step names the shard and the field.
    // Preconditions: none.
    static Result<std::shared_ptr<const Snapshot>> Make(uint64_t revision,
                                                        std::span<const ConfigShard> shards);

    // The revision. Preconditions: none.
    uint64_t revision() const { return m_revision; }
    // The shards it was made from, to hand on to peers. Preconditions: none.
    std::span<const ConfigShard> shards() const { return m_shards; }
    // A shard by name; null if none. Preconditions: none.
    const ConfigShard* shard(std::string_view name) const;
    // The team that a token's digest stands for; null if none. Preconditions: none.
    const TeamConfig* teamByToken(std::string_view tokenSha256) const;
    // A service by name; null if none. Preconditions: none.
    const ServiceConfig* service(const ServiceId& id) const;
    // An engine by name; null if none. Preconditions: none.
    const EngineConfig* engine(const EngineId& id) const;
    // All engines, by name. Preconditions: none.
    const std::map<EngineId, EngineConfig>& engines() const { return m_engines; }
    // All services, by name. Preconditions: none.
    const std::map<ServiceId, ServiceConfig>& services() const { return m_services; }
    // All teams. Preconditions: none.
    std::span<const TeamConfig> teams() const { return m_teams; }
    // Migration steps in order of time. Preconditions: none.
    std::span<const MigrationStep> steps() const { return m_steps; }
    // Address of the other site, as callers know it. Preconditions: none.
    const std::string& otherSite() const { return m_otherSite; }

private:
    friend class SnapshotParser;
    uint64_t m_revision = 0;
    std::vector<ConfigShard> m_shards;
    std::vector<TeamConfig> m_teams;
    std::unordered_map<std::string, size_t> m_byToken;
    std::map<ServiceId, ServiceConfig> m_services;
    std::map<EngineId, EngineConfig> m_engines;
    std::vector<MigrationStep> m_steps;
    std::string m_otherSite;
};

// Whether `key`, minted at `mintedAt`, is this site's. Without steps all keys are.
// Preconditions: the steps are in order of time. Thread safety: any thread.
bool KeyIsOurs(std::span<const MigrationStep> steps, std::string_view key, WallTime mintedAt);

}  // namespace onyx
