// Reads and changes the configuration in the platform: one conditional update of the head, and a
// lost answer is settled by reading back.
#pragma once

#include "modules/standalone/include/admin/ConfigEditor.h"
#include "modules/standalone/include/store/ObjectClient.h"

#include <string>
#include <vector>

namespace onyx {

// The configuration as it stands in the platform.
struct StoredConfig {
    uint64_t headVersion = 0;
    ConfigHead head;
    std::vector<ConfigShard> shards;
};

// Not thread safe: one io_context.
class ConfigStore {
public:
    // Preconditions: the client outlives the store.
    explicit ConfigStore(ObjectClient& platform) : m_platform(platform) {}

    // Reads the head and all shards. Errors: kUnavailable, kTimeout, kBadInput.
    Task<Result<StoredConfig>> read();

    // Makes the shards of `editor` the next revision, against `base`; returns the new revision.
    // Errors: kConflict if the head has moved (the message tells its revision), kUnknown if the
    // platform cannot be asked whether the change took effect. Preconditions: changeId not empty.
    Task<Result<uint64_t>> commit(StoredConfig base, std::vector<ConfigShard> shards,
                                  std::string changeId);

private:
    Task<Result<bool>> writeShard(std::string path, std::string content);
    Task<Result<bool>> writeShards(const ConfigHead& old, const std::vector<ConfigShard>& shards);
    Task<Result<uint64_t>> settle(std::string changeId, Error error);

    ObjectClient& m_platform;
};

}  // namespace onyx
