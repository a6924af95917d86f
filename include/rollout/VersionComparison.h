// Compares the answers of a new version with those of the version in service, and decides whether
// the new one is bad.
//
// Inputs: counts of good and bad answers by route; those of the new version also by upstream. The
// counts of several boxes are pooled, because one box sees too few answers of a new version.
//
// Rule: a version is bad if, on one route or over all of them, its bad answers are too many to be a
// coincidence at the rate of the version in service. Faults that affect both versions alike are no
// evidence. The upstreams with the most bad answers are left out, so that a faulty upstream does
// not make its version bad.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace onyx {

// Numbers of answers.
struct AnswerCounts {
    uint32_t good = 0;
    uint32_t bad = 0;

    uint32_t total() const { return good + bad; }
    AnswerCounts& operator+=(const AnswerCounts& other);
    friend bool operator==(const AnswerCounts&, const AnswerCounts&) = default;
};

// Answers of both versions, as a box has counted them since the order.
struct VersionTally {
    // An upstream of the new version, by the ShortHash of its id, on a route.
    struct Key {
        std::string route;
        uint32_t upstream = 0;
        friend auto operator<=>(const Key&, const Key&) = default;
    };

    std::map<Key, AnswerCounts> target;
    std::map<std::string, AnswerCounts> base;  // Of the version in service, by route.

    // Adds the counts of another box. Preconditions: none.
    void add(const VersionTally& other);
    // Returns the answers counted since `earlier`. Preconditions: `earlier` is an earlier state of
    // this tally; a count that is lower than there counts as zero.
    VersionTally since(const VersionTally& earlier) const;
    // Return the sums over all upstreams and routes, by version. Preconditions: none.
    AnswerCounts targetSum() const;
    AnswerCounts baseSum() const;
};

// What is known of a new version.
enum class VersionVerdict : uint8_t {
    kUndecided,  // Too few answers.
    kGood,
    kBad,
};

// Compares the two versions. `tally`: all answers since the order; `recent`: those of the last
// seconds, in which a version shows that has become bad after a while. `targetUpstreams`: how many
// upstreams the new version has, also those without answers so far.
// Preconditions: none. Thread safety: any thread.
VersionVerdict CompareVersions(const VersionTally& tally, const VersionTally& recent,
                               size_t targetUpstreams);

}  // namespace onyx
