// Which upstreams hold which parts of prompts in their caches, so that another one can fetch a part
// instead of reading it again. Learned from this box's own requests, from what other boxes
// announce, and from the order in which all boxes prefer upstreams.
//
// It may be wrong both ways: an upstream may have evicted a part, and other boxes' announcements
// may not have come. Either costs a read, never a wrong answer.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace onyx {

// "This upstream holds this part": the low halves of the names' hashes, as announced.
struct CacheNote {
    uint32_t part = 0;
    uint32_t upstream = 0;
    friend auto operator<=>(const CacheNote&, const CacheNote&) = default;
};

// An upstream that may hold parts of prompts.
struct CacheCandidate {
    std::string_view id;
    bool reachable = true;  // Not ejected; one that drains may still be asked.
    bool settled = true;    // Known for long enough that recent prompts went to it.
};

// Not thread safe: one task owns it.
class CacheDirectory {
public:
    // Notes that wait to be announced; beyond them the oldest are dropped.
    static constexpr size_t kMaxNews = 512;

    // `capacity`: parts remembered. `maxAge`: what was seen longer ago counts for nothing.
    // Preconditions: both > 0.
    CacheDirectory(size_t capacity, Millis maxAge) : m_capacity(capacity), m_maxAge(maxAge) {}

    // This box saw `upstream` answer a prompt with these shared parts. What others cannot know yet
    // is kept for takeNews(). Preconditions: times do not fall.
    void note(std::span<const std::string> parts, std::string_view upstream, MonoTime now);

    // Another box announced this. Preconditions: as above.
    void learn(const CacheNote& note, MonoTime now);

    // Whether there is something to announce. Preconditions: none.
    bool hasNews() const { return !m_news.empty(); }

    // What is to be announced since the last call. Preconditions: none.
    std::vector<CacheNote> takeNews();

    // Index of the candidate from which `chosen` should fetch, or -1 if there is nothing to gain: a
    // known holder of the last part, else the settled candidate that this part prefers (all boxes
    // would have sent it there), else a known holder of an earlier part. Preconditions: none.
    int source(std::span<const std::string> parts, std::string_view chosen,
               std::span<const CacheCandidate> candidates, MonoTime now) const;

    // Parts remembered. Preconditions: none.
    size_t size() const { return m_parts.size(); }

private:
    struct Holder {
        uint32_t upstream = 0;
        MonoTime seen;
    };
    struct Part {
        std::vector<Holder> holders;
        std::list<uint32_t>::iterator position;
    };

    // Records a holder; true if it was not known, or only from long ago.
    bool record(const CacheNote& note, MonoTime now);
    bool holds(uint32_t part, uint32_t upstream, MonoTime now) const;
    int knownHolder(uint32_t part, std::string_view chosen,
                    std::span<const CacheCandidate> candidates, MonoTime now) const;

    size_t m_capacity;
    Millis m_maxAge;
    std::unordered_map<uint32_t, Part> m_parts;
    std::list<uint32_t> m_order;  // Least lately used first.
    std::vector<CacheNote> m_news;
};

}  // namespace onyx
