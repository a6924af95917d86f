// Decides from which upstream the chosen one fetches a prompt's cached parts, so that it need not
// read them again; and remembers who holds what.
//
// Inputs: the prompt's shared parts in order; the service's upstreams, whether each is ejected and
// how long it has been known; the holders, learned from this box's own requests and from what other
// boxes announce; the order in which all boxes prefer upstreams.
//
// It may be wrong both ways: an upstream may have evicted a part, and other boxes' announcements
// may not have come. Either costs a read, never a wrong answer.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace onyx {

// "This upstream holds this part": the low halves of the names' hashes, as boxes announce it.
struct CacheHolding {
    uint32_t part = 0;
    uint32_t upstream = 0;
    friend auto operator<=>(const CacheHolding&, const CacheHolding&) = default;
};

// An upstream that may hold parts of prompts.
struct CacheCandidate {
    std::string_view id;
    bool reachable = true;  // Not ejected; one that drains may still be asked.
    bool settled = true;    // Known for CacheDirectory::kSettledAge at least.
};

// Why an upstream is fetched from, for the log.
enum class CacheSourceReason : uint8_t {
    kHolder,     // It is known to hold the last shared part.
    kPreferred,  // All boxes would have sent prompts with this part there.
    kPrefix,     // It is known to hold an earlier part.
};

// The reason as it stands in the log. Thread safety: any thread.
std::string_view CacheSourceReasonName(CacheSourceReason reason);

// An upstream to fetch from, by its index among the candidates, and why.
struct CacheSource {
    size_t index = 0;
    CacheSourceReason reason = CacheSourceReason::kHolder;
};

// Not thread safe: one task owns it.
class CacheDirectory {
public:
    // Parts remembered: some 0.5 MB, with the parts that prompts share within kMaxAge.
    static constexpr size_t kCapacity = 4096;
    // In milliseconds. What was seen longer ago is likely evicted.
    static constexpr Millis kMaxAge = 60000;
    // In milliseconds. After this long an upstream holds what recent prompts share.
    static constexpr Millis kSettledAge = 12000;
    // Holdings that wait to be announced; beyond them the oldest are dropped. 4 KB of a digest.
    static constexpr size_t kMaxPendingAnnouncements = 512;

    // Preconditions: both > 0.
    explicit CacheDirectory(size_t capacity = kCapacity, Millis maxAge = kMaxAge)
        : m_capacity(capacity), m_maxAge(maxAge) {}

    // This box saw `upstream` answer a prompt with these shared parts. What others cannot know yet
    // is kept for takeAnnouncements(). Preconditions: times do not fall.
    void recordAnswer(std::span<const std::string> parts, std::string_view upstream, MonoTime now);

    // Another box announced this. Preconditions: as above.
    void learn(const CacheHolding& holding, MonoTime now);

    // Whether there is something to announce. Preconditions: none.
    bool hasAnnouncements() const { return !m_pendingAnnouncements.empty(); }

    // What is to be announced since the last call. Preconditions: none.
    std::vector<CacheHolding> takeAnnouncements();

    // Forgets what `upstream` holds: it has started again. Preconditions: none.
    void forgetHolder(uint32_t upstream);

    // Where `chosen` should fetch from, or nothing if there is nothing to gain: a known holder of
    // the last part, else the settled candidate that this part prefers, else a known holder of an
    // earlier part. Preconditions: none.
    std::optional<CacheSource> source(std::span<const std::string> parts, std::string_view chosen,
                                      std::span<const CacheCandidate> candidates,
                                      MonoTime now) const;

    // The upstreams that hold `part`, by their numbers. Preconditions: none.
    std::vector<uint32_t> holders(std::string_view part, MonoTime now) const;

    // Parts remembered. Preconditions: none.
    size_t size() const { return m_parts.size(); }

private:
    struct Holder {
        uint32_t upstream = 0;
        MonoTime seen;
    };
    struct Part {
        std::vector<Holder> holders;
        std::list<uint32_t>::iterator lruPosition;
    };

    // Records a holder; true if it was not known, or only from long ago.
    bool record(const CacheHolding& holding, MonoTime now);
    bool holds(uint32_t part, uint32_t upstream, MonoTime now) const;
    std::optional<size_t> findHolder(uint32_t part, std::string_view chosen,
                                     std::span<const CacheCandidate> candidates,
                                     MonoTime now) const;

    size_t m_capacity;
    Millis m_maxAge;
    std::unordered_map<uint32_t, Part> m_parts;
    std::list<uint32_t> m_lru;  // Least lately used first.
    std::vector<CacheHolding> m_pendingAnnouncements;
};

}  // namespace onyx
