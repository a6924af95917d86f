#include "include/router/ConfigController.h"

#include "include/observe/Events.h"

namespace onyx {

bool ConfigController::offer(const wire::ConfigSnapshotT& offered, std::string_view source) {
    const RevisionStep step = m_gate.judge(offered.revision);
    const std::string revision = std::to_string(offered.revision);
    if (step == RevisionStep::kSame) {
        return false;
    }
    if (step == RevisionStep::kStale) {
        logEvent(Event::kConfigStale, {{"offered", revision},
                                       {"in_force", std::to_string(m_gate.inForce())},
                                       {"source", std::string(source)}});
        return false;
    }
    std::vector<ConfigShard> shards;
    shards.reserve(offered.shards.size());
    for (const auto& shard : offered.shards) {
        shards.push_back({shard->name, shard->content});
    }
    auto snapshot = Snapshot::Make(offered.revision, shards);
    if (snapshot.has_error()) {
        logEvent(Event::kConfigCorrupt, {{"revision", revision},
                                         {"source", std::string(source)},
                                         {"error", snapshot.error().text()}});
        return false;
    }
    m_gate.take(offered.revision);
    m_current = std::move(snapshot).value();
    logEvent(Event::kConfigInForce, {{"revision", revision}, {"source", std::string(source)}});
    for (const OnChange& listener : m_listeners) {
        listener(*m_current);
    }
    return true;
}

wire::ConfigSnapshotT ConfigController::toMessage() const {
    wire::ConfigSnapshotT message;
    message.revision = revision();
    if (!m_current) {
        return message;
    }
    for (const ConfigShard& shard : m_current->shards()) {
        auto entry = std::make_unique<wire::ConfigShardT>();
        entry->name = shard.name;
        entry->content = shard.content;
        message.shards.push_back(std::move(entry));
    }
    return message;
}

}  // namespace onyx
