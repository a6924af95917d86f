// Turns operators' typed changes into new shards. Works on the shards' JSON only; who reads and
// writes them is the caller's matter.
#pragma once

#include "include/base/Result.h"
#include "modules/standalone/include/config/Snapshot.h"

#include <map>
#include <string>
#include <vector>

namespace onyx::admin::v1 {
class Change;
class GetReply;
}  // namespace onyx::admin::v1

namespace onyx {

// The head object: names the revision, the shards by digest, and the latest changes by id.
struct ConfigHead {
    uint64_t revision = 0;
    std::map<std::string, std::string> shards;                    // Name to digest.
    std::vector<std::pair<std::string, uint64_t>> recentChanges;  // Change id, revision.

    static constexpr size_t kRecentChanges = 64;

    // Parses the object's value; an empty one is revision 0. Errors: kBadInput.
    static Result<ConfigHead> Parse(const std::string& value);
    // The object's value. Preconditions: none.
    std::string toText() const;
    // The revision that change `id` made; 0 if it is not among the latest. Preconditions: none.
    uint64_t revisionOfChange(const std::string& id) const;
};

// Shards by name. Not thread safe.
class ConfigEditor {
public:
    // Preconditions: none.
    explicit ConfigEditor(std::vector<ConfigShard> shards);

    // Applies one change. Errors: kBadInput naming the field, kNotFound for a deletion of
    // something that is not there.
    Result<bool> apply(const admin::v1::Change& change);

    // Checks the whole. Errors: kBadInput naming shard and field.
    Result<bool> check() const;

    // All shards, by name. Preconditions: none.
    std::vector<ConfigShard> shards() const;

    // Fills the reply with what the shards hold, tokens left out. Errors: kBadInput if a shard
    // cannot be read.
    Result<bool> describe(uint64_t revision, admin::v1::GetReply& reply) const;

private:
    std::map<std::string, std::string> m_shards;
};

}  // namespace onyx
