// Which software versions of each service's upstreams were listed lately, and whether that proves
// that a stream can only have been begun by one of them.
//
// A stream goes on only at the version that began it. Where the history shows one version for as
// long as a stream can last, that is the version, and no record of the stream is needed. The list
// of another box may be newer than this one's, so a version that appears beside another one gets no
// new streams and is not put on record for kHoldMs, and a proof counts only if it is not older than
// that.
//
// Inputs: the versions listed at each moment and the age of the list, in milliseconds.
#pragma once

#include "include/routing/UpstreamTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace onyx {

// That a service had one version, as one box knows it.
struct OnlyVersionProof {
    std::string version;
    Millis span = 0;  // How long no other version was listed, in milliseconds.
    Millis age = 0;   // As of how long ago.
};

// Not thread safe: one task owns it.
class VersionHistory {
public:
    // Time in milliseconds for which a new version gets no new streams while another one serves.
    static constexpr Millis kHoldMs = 1500;
    // Time in milliseconds for which streams can be taken up again at least.
    static constexpr Millis kMinStreamMs = 30000;
    // A list of this age, in milliseconds, may have missed a version that came and went.
    static constexpr Millis kMaxGapMs = 6000;
    // How long versions that are no longer listed are remembered, in milliseconds.
    static constexpr Millis kRetentionMs = Millis{10} * 60 * 1000;

    // Takes in the versions that `table` lists; `age`: of the list, empty before the first one.
    // Preconditions: `now` does not decrease between calls.
    void update(const UpstreamTable& table, std::optional<Millis> age, MonoTime now);

    // Returns the only version of `service` that was listed during the last `span` milliseconds of
    // the list, or nullopt if there were several, the history is shorter, or the version is not
    // known. Preconditions: as for update().
    std::optional<OnlyVersionProof> onlyVersion(const ServiceId& service, Millis span) const;

    // Returns whether several versions of `service` were listed during the last `span` milliseconds
    // of the list. Preconditions: as for update().
    bool hadSeveral(const ServiceId& service, Millis span) const;

    // Returns the versions of `service` that get no new streams yet. Preconditions: as for
    // update().
    std::set<std::string> heldBack(const ServiceId& service) const;

    // Returns whether `version` has not yet been listed for kHoldMs without a break, so that other
    // boxes may not list it. Preconditions: as for update().
    bool isNew(const ServiceId& service, const std::string& version) const;

private:
    struct Listed {
        MonoTime first;  // Since then it has been listed without a break, until `last`.
        MonoTime last;
        bool isNew(MonoTime now) const { return now - first < kHoldMs; }
    };
    using Versions = std::map<std::string, Listed>;

    const Versions* versionsOf(const ServiceId& service) const;

    std::map<ServiceId, Versions> m_services;
    std::optional<MonoTime> m_completeSince;  // Since then, no version can have been missed.
    std::optional<Millis> m_age;              // Of the list, at the last update.
    MonoTime m_now;                           // Of the last update.
};

// Combines what several boxes can prove: the version that is named by each proof which covers
// `span` milliseconds and is not older than VersionHistory::kHoldMs, or nullopt if there is none or
// two of them name different versions. Preconditions: none. Thread safety: any thread.
std::optional<std::string> ProvedVersion(const std::vector<OnlyVersionProof>& proofs, Millis span);

}  // namespace onyx
