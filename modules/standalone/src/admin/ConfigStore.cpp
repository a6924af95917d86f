#include "modules/standalone/include/admin/ConfigStore.h"

#include "modules/standalone/include/agent/Agent.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr int kSettleTries = 5;
constexpr Millis kSettlePause = 200;

}  // namespace

Task<Result<StoredConfig>> ConfigStore::read() {
    auto object = co_await m_platform.get(std::string(kHeadPath));
    if (object.has_error()) {
        co_return std::move(object).error();
    }
    auto head = ConfigHead::Parse(object.value().value);
    if (head.has_error()) {
        co_return std::move(head).error();
    }
    StoredConfig stored;
    stored.headVersion = object.value().version;
    stored.head = std::move(head).value();
    for (const auto& [name, digest] : stored.head.shards) {
        auto shard = co_await m_platform.get(ShardPath(name, digest));
        if (shard.has_error()) {
            co_return std::move(shard).error();
        }
        stored.shards.push_back({name, shard.value().value});
    }
    co_return stored;
}

// A shard's path names its content, so writing it again does no harm, and one that is there
// already is the right one.
Task<Result<bool>> ConfigStore::writeShard(std::string path, std::string content) {
    for (int i = 0; i < kSettleTries; ++i) {
        const auto written = co_await m_platform.put(path, 0, content);
        if (written.has_value() || written.error().code == ErrorCode::kConflict) {
            co_return true;
        }
        if (i + 1 == kSettleTries || written.error().code == ErrorCode::kUnavailable) {
            co_return written.error();
        }
    }
    co_return true;
}

Task<Result<bool>> ConfigStore::writeShards(const ConfigHead& old,
                                            const std::vector<ConfigShard>& shards) {
    for (const ConfigShard& shard : shards) {
        const std::string digest = ShardDigest(shard.content);
        const auto held = old.shards.find(shard.name);
        if (held != old.shards.end() && held->second == digest) {
            continue;
        }
        const auto written = co_await writeShard(ShardPath(shard.name, digest), shard.content);
        if (written.has_error()) {
            co_return written.error();
        }
    }
    co_return true;
}

Task<Result<uint64_t>> ConfigStore::commit(StoredConfig base, std::vector<ConfigShard> shards,
                                           std::string changeId) {
    const auto written = co_await writeShards(base.head, shards);
    if (written.has_error()) {
        // The head was not touched: nothing is in force of this change.
        co_return Error{ErrorCode::kUnavailable, "config.shards", written.error().peer,
                        written.error().text()};
    }
    ConfigHead next = base.head;
    ++next.revision;
    next.shards.clear();
    for (const ConfigShard& shard : shards) {
        next.shards[shard.name] = ShardDigest(shard.content);
    }
    next.recentChanges.emplace_back(changeId, next.revision);
    if (next.recentChanges.size() > ConfigHead::kRecentChanges) {
        next.recentChanges.erase(next.recentChanges.begin());
    }
    const auto put =
        co_await m_platform.put(std::string(kHeadPath), base.headVersion, next.toText());
    if (put.has_error()) {
        co_return co_await settle(changeId, put.error());
    }
    co_return next.revision;
}

Task<Result<uint64_t>> ConfigStore::settle(std::string changeId, Error error) {
    if (error.code == ErrorCode::kUnavailable) {
        co_return error;
    }
    for (int i = 0; i < kSettleTries; ++i) {
        auto object = co_await m_platform.get(std::string(kHeadPath));
        if (object.has_error()) {
            co_await SleepFor(kSettlePause);
            continue;
        }
        const auto head = ConfigHead::Parse(object.value().value);
        if (head.has_error()) {
            co_return head.error();
        }
        const uint64_t made = head.value().revisionOfChange(changeId);
        if (made > 0) {
            co_return made;
        }
        co_return Error{ErrorCode::kConflict, "config.commit", error.peer,
                        "current revision is " + std::to_string(head.value().revision)};
    }
    co_return Error{ErrorCode::kUnknown, "config.commit", error.peer,
                    "the change may be in force; ask again with the same change id"};
}

}  // namespace onyx
