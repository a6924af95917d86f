#include "modules/standalone/include/router/ConfigController.h"

#include "include/observe/Events.h"

#include <set>

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
    auto shards = shardsOf(offered);
    auto snapshot = shards.has_error() ? Result<std::shared_ptr<const Snapshot>>(shards.error())
                                       : Snapshot::Make(offered.revision, shards.value());
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

// The offered shards, those that the sender left out taken from the configuration in force.
Result<std::vector<ConfigShard>> ConfigController::shardsOf(
    const wire::ConfigSnapshotT& offered) const {
    std::vector<ConfigShard> shards;
    shards.reserve(offered.shards.size());
    for (const auto& shard : offered.shards) {
        if (!shard->same) {
            shards.push_back({shard->name, shard->content});
            continue;
        }
        const ConfigShard* held = m_current ? m_current->shard(shard->name) : nullptr;
        if (held == nullptr) {
            return Error{ErrorCode::kProtocol, "config.offer", shard->name, "not held here"};
        }
        shards.push_back(*held);
    }
    return shards;
}

namespace {

std::string KnownName(const ConfigShard& shard) {
    return shard.name + "-" + ShardDigest(shard.content);
}

}  // namespace

wire::ConfigAskT ConfigController::makeAsk() const {
    wire::ConfigAskT ask;
    ask.have = revision();
    if (m_current) {
        for (const ConfigShard& shard : m_current->shards()) {
            ask.known.push_back(KnownName(shard));
        }
    }
    return ask;
}

wire::ConfigSnapshotT ConfigController::answerTo(const wire::ConfigAskT& ask) const {
    wire::ConfigSnapshotT message;
    message.revision = revision();
    if (!m_current) {
        return message;
    }
    const std::set<std::string> known(ask.known.begin(), ask.known.end());
    for (const ConfigShard& shard : m_current->shards()) {
        auto entry = std::make_unique<wire::ConfigShardT>();
        entry->name = shard.name;
        entry->same = known.contains(KnownName(shard));
        if (!entry->same) {
            entry->content = shard.content;
        }
        message.shards.push_back(std::move(entry));
    }
    return message;
}

}  // namespace onyx
