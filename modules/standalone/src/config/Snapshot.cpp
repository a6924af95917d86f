#include "modules/standalone/include/config/Snapshot.h"

#include "include/base/Hash.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace onyx {

using nlohmann::json;

std::string TeamShardName(const TeamId& team) {
    return fmt::format("teams-{:03}", HashText(team.value) % kTeamShards);
}

std::string ShardDigest(std::string_view content) {
    return fmt::format("{:016x}", HashText(content));
}

std::string TokenDigest(std::string_view token) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes;
    unsigned size = 0;
    EVP_Digest(token.data(), token.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    hex.reserve(size_t{2} * size);
    for (unsigned i = 0; i < size; ++i) {
        fmt::format_to(std::back_inserter(hex), "{:02x}", bytes[i]);
    }
    return hex;
}

std::optional<Priority> ParsePriority(std::string_view text) {
    for (const Priority priority : {Priority::kUrgent, Priority::kNormal, Priority::kDeferrable}) {
        if (text == PriorityName(priority)) {
            return priority;
        }
    }
    return std::nullopt;
}

std::string_view PriorityName(Priority priority) {
    switch (priority) {
        case Priority::kUrgent:
            return "urgent";
        case Priority::kNormal:
            return "normal";
        case Priority::kDeferrable:
            return "deferrable";
    }
    return "normal";
}

// Builds a Snapshot shard by shard. The JSON library's exceptions end at parse().
class SnapshotParser {
public:
    explicit SnapshotParser(Snapshot& snapshot) : m_snapshot(snapshot) {}

    // The first problem, or nothing.
    std::optional<Error> parse(const ConfigShard& shard) {
        try {
            const json document = json::parse(shard.content);
            if (shard.name == "services") {
                parseServices(document);
            } else if (shard.name == "engines") {
                parseEngines(document);
            } else if (shard.name == "migration") {
                parseMigration(document);
            } else if (shard.name.starts_with("teams-")) {
                parseTeams(document);
            } else {
                fail("no such shard");
            }
        } catch (const std::exception& e) {
            return Error{ErrorCode::kBadInput, "config." + shard.name + "." + m_field, "",
                         e.what()};
        }
        return std::nullopt;
    }

    // What only the whole can show.
    std::optional<Error> finish() {
        for (const auto& [id, engine] : m_snapshot.m_engines) {
            if (!m_snapshot.m_services.contains(engine.service)) {
                return Error{ErrorCode::kBadInput, "config.engines." + id.value + ".service", "",
                             "no service " + engine.service.value};
            }
        }
        std::stable_sort(m_snapshot.m_steps.begin(), m_snapshot.m_steps.end(),
                         [](const auto& a, const auto& b) { return a.from < b.from; });
        return std::nullopt;
    }

private:
    [[noreturn]] static void fail(const std::string& why) { throw std::invalid_argument(why); }

    template <class T>
    T field(const json& object, const char* name) {
        m_field = name;
        return object.at(name).get<T>();
    }
    template <class T>
    T field(const json& object, const char* name, T otherwise) {
        m_field = name;
        return object.value(name, std::move(otherwise));
    }

    void parseServices(const json& document) {
        for (const json& item : document) {
            ServiceConfig service;
            service.service = ServiceId(field<std::string>(item, "name"));
            service.chat = field<std::string>(item, "kind") == "chat";
            service.repeatable = field<bool>(item, "repeatable", true);
            service.checksFence = field<bool>(item, "checks_fence", false);
            service.bound.multiple = field<double>(item, "multiple", 1.25);
            service.bound.floor = field<int>(item, "floor", 2);
            service.bound.capacity = field<int>(item, "capacity", 32);
            if (!(service.bound.multiple >= 1.0)) {
                fail("multiple must be at least 1");
            }
            for (const auto& zone : field<std::vector<std::string>>(item, "zones", {})) {
                service.zones.emplace_back(zone);
            }
            service.objectiveMs = field<Millis>(item, "objective_ms", 1800);
            service.objectiveShare = field<double>(item, "objective_share", 0.95);
            const auto priority =
                ParsePriority(field<std::string>(item, "default_priority", "normal"));
            if (!priority) {
                fail("no such priority");
            }
            service.defaultPriority = *priority;
            if (!service.repeatable && service.zones.empty()) {
                m_field = "zones";
                fail("a service that may not be repeated needs home zones");
            }
            if (!m_snapshot.m_services.emplace(service.service, service).second) {
                fail("service twice: " + service.service.value);
            }
        }
    }

    void parseEngines(const json& document) {
        for (const json& item : document) {
            EngineConfig engine;
            engine.engine = EngineId(field<std::string>(item, "name"));
            engine.service = ServiceId(field<std::string>(item, "service"));
            engine.zone = ZoneId(field<std::string>(item, "zone"));
            const auto address = ParseEndpoint(field<std::string>(item, "address"));
            if (address.has_error()) {
                fail(address.error().text());
            }
            engine.address = address.value();
            engine.leaving = field<bool>(item, "leaving", false);
            if (!m_snapshot.m_engines.emplace(engine.engine, engine).second) {
                fail("engine twice: " + engine.engine.value);
            }
        }
    }

    void parseTeams(const json& document) {
        for (const json& item : document) {
            TeamConfig team;
            team.team = TeamId(field<std::string>(item, "name"));
            team.tokenSha256 = field<std::string>(item, "token_sha256");
            team.weight = field<double>(item, "weight", 1.0);
            team.maxInFlight = field<int>(item, "max_in_flight", 0);
            if (!(team.weight > 0)) {
                fail("weight must be above 0");
            }
            if (!m_snapshot.m_byToken.emplace(team.tokenSha256, m_snapshot.m_teams.size()).second) {
                fail("two teams with one token: " + team.team.value);
            }
            m_snapshot.m_teams.push_back(std::move(team));
        }
    }

    void parseMigration(const json& document) {
        m_snapshot.m_otherSite = field<std::string>(document, "other_site", "");
        for (const json& item : document.at("steps")) {
            const MigrationStep step{{field<int64_t>(item, "from_ms")},
                                     field<double>(item, "share")};
            if (!(step.share >= 0 && step.share <= 1)) {
                fail("share must be from 0 to 1");
            }
            m_snapshot.m_steps.push_back(step);
        }
    }

    Snapshot& m_snapshot;
    std::string m_field;
};

Result<std::shared_ptr<const Snapshot>> Snapshot::Make(uint64_t revision,
                                                       std::span<const ConfigShard> shards) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->m_revision = revision;
    snapshot->m_shards.assign(shards.begin(), shards.end());
    SnapshotParser parser(*snapshot);
    for (const ConfigShard& shard : shards) {
        if (auto problem = parser.parse(shard)) {
            return std::move(*problem);
        }
    }
    if (auto problem = parser.finish()) {
        return std::move(*problem);
    }
    return std::shared_ptr<const Snapshot>(std::move(snapshot));
}

const ConfigShard* Snapshot::shard(std::string_view name) const {
    const auto it = std::find_if(m_shards.begin(), m_shards.end(),
                                 [&](const ConfigShard& shard) { return shard.name == name; });
    return it == m_shards.end() ? nullptr : &*it;
}

const TeamConfig* Snapshot::teamByToken(std::string_view tokenSha256) const {
    const auto it = m_byToken.find(std::string(tokenSha256));
    return it == m_byToken.end() ? nullptr : &m_teams[it->second];
}

const ServiceConfig* Snapshot::service(const ServiceId& id) const {
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

const EngineConfig* Snapshot::engine(const EngineId& id) const {
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : &it->second;
}

bool KeyIsOurs(std::span<const MigrationStep> steps, std::string_view key, WallTime mintedAt) {
    double share = 1.0;
    for (const MigrationStep& step : steps) {
        if (step.from <= mintedAt) {
            share = step.share;
        } else if (&step == steps.data()) {
            share = 0.0;  // Before the first step all keys are the other site's.
        }
    }
    const double position =
        std::ldexp(static_cast<double>(HashText(key) >> 11), -53);  // Uniform in [0, 1).
    return position < share;
}

}  // namespace onyx
