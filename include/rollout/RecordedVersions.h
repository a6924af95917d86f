// Which software version begins a stream, so that the version of a stream that is taken up follows
// from what its caller asks for and from a record in the store, and not from the memory of boxes.
//
// While several versions of a service serve, each request is assigned to one of them by its
// fingerprint and the weights of the versions. The store keeps the weights in use and, until no
// stream of them can be taken up any more, those that were used before. Where all of them assign a
// fingerprint to one version, no stream with it can have begun at another one.
//
// Inputs: fingerprints, the ready slots of each version, the record, times in milliseconds.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace onyx {

// Slots of each version's upstreams. Empty: any version may begin a stream, by other rules.
using VersionWeights = std::map<std::string, uint32_t>;

// Returns the version that begins the streams with `fingerprint`, or nullopt if `weights` is empty.
// A version that is added or gets more weight takes over fingerprints of the others; the rest stay
// where they are (weighted rendezvous). The result is the same on all boxes and builds.
// Preconditions: no weight is 0. Thread safety: any thread.
std::optional<std::string> AssignedVersion(const VersionWeights& weights, uint64_t fingerprint);

// Weights with the number under which they were recorded; numbers rise within a service.
struct RecordedWeights {
    uint64_t number = 0;
    VersionWeights weights;
    Millis known = 0;  // For how long a box had known them when they were written.
    friend bool operator==(const RecordedWeights&, const RecordedWeights&) = default;
};

// The record of one service.
struct RecordedVersions {
    ServiceId service;
    uint64_t revision = 0;              // Of the object in the store; a condition for writing it.
    Millis streamTime = 0;              // For how long streams can be taken up, in milliseconds.
    std::vector<RecordedWeights> sets;  // Newest first: the first one is in use. Not empty.

    // Returns the version that is to begin a stream with `fingerprint`; nullopt: any.
    // Preconditions: sets is not empty. Thread safety: any thread.
    std::optional<std::string> versionToBegin(uint64_t fingerprint) const;
    // Returns the only version that can have begun a stream with `fingerprint`, or nullopt if there
    // may be several. Preconditions and thread safety: as above.
    std::optional<std::string> versionThatBegan(uint64_t fingerprint) const;
    friend bool operator==(const RecordedVersions&, const RecordedVersions&) = default;
};

// Decides what one box would write into the record of one service.
//
// The record follows the versions that are listed, and their ready slots where these have become so
// different from the weights that upstreams would be loaded unevenly. Weights that were used before
// are dropped by a box once their successor has been known for kSettleMs and the time that streams
// last: no clock is compared with that of another box. The record also holds for how long its sets
// have been known, so that boxes which restart do not count from zero, and how long streams last,
// since callers with the longest deadlines may have met other boxes.
//
// Not thread safe: one task owns it.
class VersionRecordPlanner {
public:
    // A box begins streams by weights that were in use at most this long ago, in milliseconds.
    static constexpr Millis kMaxAgeMs = 3000;
    // After this time in milliseconds all boxes use the successor of some weights.
    static constexpr Millis kSettleMs = kMaxAgeMs;
    // Each time that the newest weights have been known for so many milliseconds more is recorded
    // while older ones are there: a restart of all boxes loses at most so much.
    static constexpr Millis kNoteMs = 1000;
    // Weights are changed when a version's share of the slots is so many times its share of the
    // weights, or the inverse.
    static constexpr double kTolerance = 4.0 / 3;
    // With as many sets on record, weights change only where versions appear or leave.
    static constexpr size_t kMaxSets = 6;

    struct Inputs {
        ServiceId service;
        VersionWeights ready;  // Ready slots of the versions that may begin streams.
        bool isFree = false;  // Other rules choose the version: a rollout, boxes of earlier builds.
        Millis streamTime = 0;  // For how long streams can be taken up, as this box knows it.
    };

    // Takes in the record, or that there is none. Preconditions: `now` does not decrease.
    void observe(const RecordedVersions* recorded, MonoTime now);

    // Returns after which time in milliseconds the older sets of the record are dropped, as far as
    // this box knows. Preconditions: as for observe().
    Millis settlesIn(const RecordedVersions& recorded, MonoTime now) const;

    // Returns the record that is to be written in place of `recorded` (nullptr: there is none), or
    // nullopt if it holds. Preconditions: as for observe(), which was called with the same record.
    std::optional<RecordedVersions> next(const RecordedVersions* recorded, const Inputs& inputs,
                                         MonoTime now) const;

private:
    bool isKnownLonger(const RecordedVersions& recorded, MonoTime now) const;
    void noteKnown(RecordedVersions& recorded, MonoTime now) const;
    bool isDue(const VersionWeights& used, const Inputs& inputs, size_t sets) const;
    void dropSettled(RecordedVersions& recorded, MonoTime now) const;

    std::map<uint64_t, MonoTime> m_known;  // Since when this box knows each set, by its number.
};

}  // namespace onyx
