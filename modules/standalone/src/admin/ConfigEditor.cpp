#include "modules/standalone/include/admin/ConfigEditor.h"

#include "modules/standalone/generated/onyx_admin.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace onyx {

using nlohmann::json;
namespace v1 = admin::v1;

namespace {

constexpr const char* kServices = "services";
constexpr const char* kEngines = "engines";
constexpr const char* kMigration = "migration";

Error BadField(const std::string& field, const std::string& why) {
    return Error{ErrorCode::kBadInput, "change." + field, "", why};
}

// The entry called `name` in a list of objects, or the list's end.
json::iterator Find(json& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(),
                        [&](const json& item) { return item.value("name", "") == name; });
}

void PutEntry(json& list, json entry) {
    const auto it = Find(list, entry["name"].get<std::string>());
    if (it == list.end()) {
        list.push_back(std::move(entry));
    } else {
        *it = std::move(entry);
    }
}

json ParseList(const std::string& text) {
    return text.empty() ? json::array() : json::parse(text);
}

json ParseMigration(const std::string& text) {
    return text.empty() ? json{{"other_site", ""}, {"steps", json::array()}} : json::parse(text);
}

json ToJson(const v1::Service& service) {
    return {{"name", service.name()},
            {"kind", service.kind() == v1::Service::CHAT ? "chat" : "plain"},
            {"repeatable", service.repeatable()},
            {"checks_fence", service.checks_fence()},
            {"multiple", service.multiple() == 0 ? 1.25 : service.multiple()},
            {"floor", service.floor() == 0 ? 2 : service.floor()},
            {"capacity", service.capacity() == 0 ? 32 : service.capacity()},
            {"zones", std::vector<std::string>(service.zones().begin(), service.zones().end())},
            {"objective_ms", service.objective_ms() == 0 ? 1800 : service.objective_ms()},
            {"objective_share", service.objective_share() == 0 ? 0.95 : service.objective_share()},
            {"default_priority",
             service.default_priority().empty() ? "normal" : service.default_priority()}};
}

// Applies a change to the shards; the JSON library's exceptions end at ConfigEditor::apply.
class ChangeVisitor {
public:
    explicit ChangeVisitor(std::map<std::string, std::string>& shards) : m_shards(shards) {}

    Result<bool> putTeam(const v1::Team& team) {
        if (team.name().empty()) {
            return BadField("put_team.name", "expected a name");
        }
        if (team.weight() < 0) {
            return BadField("put_team.weight", "expected 0 or more");
        }
        std::string& shard = m_shards[TeamShardName(TeamId(team.name()))];
        json list = ParseList(shard);
        const auto old = Find(list, team.name());
        std::string digest = old == list.end() ? "" : old->value("token_sha256", "");
        if (!team.token().empty()) {
            digest = TokenDigest(team.token());
        }
        if (digest.empty()) {
            return BadField("put_team.token", "a new team needs a token");
        }
        PutEntry(list, {{"name", team.name()},
                        {"token_sha256", digest},
                        {"weight", team.weight() == 0 ? 1.0 : team.weight()},
                        {"max_in_flight", team.max_in_flight()}});
        shard = list.dump();
        return true;
    }

    Result<bool> putService(const v1::Service& service) {
        if (service.name().empty()) {
            return BadField("put_service.name", "expected a name");
        }
        if (service.multiple() != 0 && !(service.multiple() >= 1)) {
            return BadField("put_service.multiple", "expected 1 or more");
        }
        for (const std::string& zone : service.zones()) {
            if (zone.empty()) {
                return BadField("put_service.zones", "expected names, found an empty one");
            }
        }
        if (const auto problem = zonesMoved(service)) {
            return *problem;
        }
        if (!service.repeatable() && service.zones().empty()) {
            return BadField("put_service.zones",
                            "a service that may not be repeated needs home zones");
        }
        if (!service.default_priority().empty() && !ParsePriority(service.default_priority())) {
            return BadField("put_service.default_priority",
                            "expected urgent, normal or deferrable");
        }
        return put(kServices, ToJson(service));
    }

    Result<bool> putEngine(const v1::Engine& engine) {
        if (engine.name().empty()) {
            return BadField("put_engine.name", "expected a name");
        }
        if (ParseEndpoint(engine.address()).has_error()) {
            return BadField("put_engine.address", "expected ip:port, found " + engine.address());
        }
        return put(kEngines, {{"name", engine.name()},
                              {"service", engine.service()},
                              {"zone", engine.zone()},
                              {"address", engine.address()},
                              {"leaving", engine.leaving()}});
    }

    Result<bool> addStep(const v1::MigrationStep& step) {
        if (!(step.share() >= 0 && step.share() <= 1)) {
            return BadField("add_step.share", "expected 0 to 1");
        }
        json migration = ParseMigration(m_shards[kMigration]);
        for (const json& other : migration["steps"]) {
            // Keys before a step were judged by the steps before it: history stays as it is.
            if (other.at("from_ms").get<int64_t>() >= step.from_ms()) {
                return BadField("add_step.from_ms", "expected a time after the last step");
            }
        }
        migration["steps"].push_back({{"from_ms", step.from_ms()}, {"share", step.share()}});
        m_shards[kMigration] = migration.dump();
        return true;
    }

    Result<bool> setOtherSite(const std::string& site) {
        json migration = ParseMigration(m_shards[kMigration]);
        migration["other_site"] = site;
        m_shards[kMigration] = migration.dump();
        return true;
    }

    Result<bool> erase(const std::string& shardName, const std::string& name) {
        std::string& shard = m_shards[shardName];
        json list = ParseList(shard);
        const auto it = Find(list, name);
        if (it == list.end()) {
            return Error{ErrorCode::kNotFound, "change.delete", "", "no " + name};
        }
        list.erase(it);
        shard = list.dump();
        return true;
    }

private:
    // The home zone of a key follows from the service's zones: changing them would let a key run
    // in two zones.
    std::optional<Error> zonesMoved(const v1::Service& service) {
        json list = ParseList(m_shards[kServices]);
        const auto old = Find(list, service.name());
        if (old == list.end() || old->value("repeatable", true)) {
            return std::nullopt;
        }
        const std::vector<std::string> zones(service.zones().begin(), service.zones().end());
        if (zones == old->value("zones", std::vector<std::string>{})) {
            return std::nullopt;
        }
        return BadField("put_service.zones",
                        "the home zones of a service that may not be repeated cannot change; "
                        "create another service");
    }

    Result<bool> put(const char* shardName, json entry) {
        std::string& shard = m_shards[shardName];
        json list = ParseList(shard);
        PutEntry(list, std::move(entry));
        shard = list.dump();
        return true;
    }

    std::map<std::string, std::string>& m_shards;
};

}  // namespace

Result<ConfigHead> ConfigHead::Parse(const std::string& value) {
    ConfigHead head;
    if (value.empty()) {
        return head;
    }
    try {
        const json document = json::parse(value);
        head.revision = document.at("revision").get<uint64_t>();
        head.shards = document.at("shards").get<std::map<std::string, std::string>>();
        for (const json& change : document.at("changes")) {
            head.recentChanges.emplace_back(change.at(0).get<std::string>(),
                                            change.at(1).get<uint64_t>());
        }
    } catch (const std::exception& e) {
        return Error{ErrorCode::kBadInput, "config.head", "", e.what()};
    }
    return head;
}

std::string ConfigHead::toText() const {
    json changes = json::array();
    for (const auto& [id, made] : recentChanges) {
        changes.push_back({id, made});
    }
    return json{{"revision", revision}, {"shards", shards}, {"changes", changes}}.dump();
}

uint64_t ConfigHead::revisionOfChange(const std::string& id) const {
    for (const auto& [change, made] : recentChanges) {
        if (change == id) {
            return made;
        }
    }
    return 0;
}

ConfigEditor::ConfigEditor(std::vector<ConfigShard> shards) {
    for (ConfigShard& shard : shards) {
        m_shards[shard.name] = std::move(shard.content);
    }
}

Result<bool> ConfigEditor::apply(const v1::Change& change) {
    ChangeVisitor visitor(m_shards);
    try {
        switch (change.what_case()) {
            case v1::Change::kPutTeam:
                return visitor.putTeam(change.put_team());
            case v1::Change::kDeleteTeam:
                return visitor.erase(TeamShardName(TeamId(change.delete_team())),
                                     change.delete_team());
            case v1::Change::kPutService:
                return visitor.putService(change.put_service());
            case v1::Change::kDeleteService:
                return visitor.erase(kServices, change.delete_service());
            case v1::Change::kPutEngine:
                return visitor.putEngine(change.put_engine());
            case v1::Change::kDeleteEngine:
                return visitor.erase(kEngines, change.delete_engine());
            case v1::Change::kAddStep:
                return visitor.addStep(change.add_step());
            case v1::Change::kSetOtherSite:
                return visitor.setOtherSite(change.set_other_site());
            case v1::Change::WHAT_NOT_SET:
                return BadField("what", "expected one change");
        }
    } catch (const std::exception& e) {
        return Error{ErrorCode::kBadInput, "change", "", e.what()};
    }
    return BadField("what", "expected one change");
}

Result<bool> ConfigEditor::check() const {
    const auto snapshot = Snapshot::Make(1, shards());
    if (snapshot.has_error()) {
        return snapshot.error();
    }
    return true;
}

std::vector<ConfigShard> ConfigEditor::shards() const {
    std::vector<ConfigShard> shards;
    for (const auto& [name, content] : m_shards) {
        if (!content.empty()) {
            shards.push_back({name, content});
        }
    }
    return shards;
}

Result<bool> ConfigEditor::describe(uint64_t revision, v1::GetReply& reply) const {
    const auto made = Snapshot::Make(revision, shards());
    if (made.has_error()) {
        return made.error();
    }
    const Snapshot& snapshot = *made.value();
    reply.set_revision(revision);
    for (const TeamConfig& team : snapshot.teams()) {
        v1::Team* out = reply.add_teams();
        out->set_name(team.team.value);
        out->set_weight(team.weight);
        out->set_max_in_flight(static_cast<uint32_t>(team.maxInFlight));
    }
    for (const auto& [id, service] : snapshot.services()) {
        v1::Service* out = reply.add_services();
        out->set_name(id.value);
        out->set_kind(service.chat ? v1::Service::CHAT : v1::Service::PLAIN);
        out->set_repeatable(service.repeatable);
        out->set_checks_fence(service.checksFence);
        out->set_multiple(service.bound.multiple);
        out->set_floor(static_cast<uint32_t>(service.bound.floor));
        out->set_capacity(static_cast<uint32_t>(service.bound.capacity));
        for (const ZoneId& zone : service.zones) {
            out->add_zones(zone.value);
        }
        out->set_objective_ms(static_cast<uint32_t>(service.objectiveMs));
        out->set_objective_share(service.objectiveShare);
        out->set_default_priority(std::string(PriorityName(service.defaultPriority)));
    }
    for (const auto& [id, engine] : snapshot.engines()) {
        v1::Engine* out = reply.add_engines();
        out->set_name(id.value);
        out->set_service(engine.service.value);
        out->set_zone(engine.zone.value);
        out->set_address(EndpointText(engine.address));
        out->set_leaving(engine.leaving);
    }
    for (const MigrationStep& step : snapshot.steps()) {
        v1::MigrationStep* out = reply.add_steps();
        out->set_from_ms(step.from.ms);
        out->set_share(step.share);
    }
    reply.set_other_site(snapshot.otherSite());
    return true;
}

}  // namespace onyx
