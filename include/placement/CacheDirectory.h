// Tracks which upstreams hold which parts of prompts in their caches, and selects the upstream from
// which the chosen one fetches a prompt's cached parts instead of processing them again.
//
// Inputs: the prompt's shared parts in order; the service's upstreams, whether each is ejected and
// how long it has been listed; the known holders, learned from this box's own requests and from
// other boxes' announcements; the rendezvous order in which all boxes prefer upstreams.
//
// The directory can be wrong both ways: an upstream may have evicted a part, and announcements of
// other boxes may be missing. Either costs processing a part again, never a wrong answer.
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

// Records that an upstream holds a part of a prompt, as announced between boxes: the ShortHash of
// each name.
struct CacheHolding {
    uint32_t part = 0;
    uint32_t upstream = 0;
    friend auto operator<=>(const CacheHolding&, const CacheHolding&) = default;
};

// An upstream that may hold parts of prompts.
struct CacheCandidate {
    std::string_view id;
    bool reachable = true;  // Not ejected. A draining upstream can still serve fetches.
    bool settled = true;    // Listed for at least CacheDirectory::kSettledAge.
};

// Why an upstream was selected as the source of a fetch; logged.
enum class CacheSourceReason : uint8_t {
    kHolder,     // Known to hold the last shared part.
    kPreferred,  // The upstream that all boxes prefer for prompts with this part.
    kPrefix,     // Known to hold an earlier part.
};

// Returns the reason's name as logged. Thread safety: any thread.
std::string_view CacheSourceReasonName(CacheSourceReason reason);

// The upstream to fetch from, as an index into the candidates, and why it was selected.
struct CacheSource {
    size_t index = 0;
    CacheSourceReason reason = CacheSourceReason::kHolder;
};

// Not thread safe: one task owns it.
class CacheDirectory {
public:
    // Maximum number of parts kept: about 0.5 MB, which is enough for the parts that prompts share
    // within kMaxAge.
    static constexpr size_t kCapacity = 4096;
    // Age in milliseconds after which a holding is ignored, because the part is likely evicted.
    static constexpr Millis kMaxAge = 60000;
    // Time in milliseconds after which a newly listed upstream holds the parts that recent prompts
    // share.
    static constexpr Millis kSettledAge = 12000;
    // Maximum number of holdings queued for announcement; beyond it the oldest are dropped. They
    // take 4 KB of a digest.
    static constexpr size_t kMaxPendingAnnouncements = 512;

    // Preconditions: capacity > 0, maxAge > 0, in milliseconds.
    explicit CacheDirectory(size_t capacity = kCapacity, Millis maxAge = kMaxAge)
        : m_capacity(capacity), m_maxAge(maxAge) {}

    // Records that `upstream` answered a prompt with these shared parts. Holdings that other boxes
    // may not know yet are queued for takeAnnouncements(). Preconditions: times do not decrease.
    void recordAnswer(std::span<const std::string> parts, std::string_view upstream, MonoTime now);

    // Records a holding that another box announced. Preconditions: as for recordAnswer().
    void recordAnnouncement(const CacheHolding& holding, MonoTime now);

    // Returns true if there are holdings to announce. Preconditions: none.
    bool hasAnnouncements() const { return !m_pendingAnnouncements.empty(); }

    // Returns the holdings queued for announcement since the last call. Preconditions: none.
    std::vector<CacheHolding> takeAnnouncements();

    // Removes all holdings of `upstream`, given by the ShortHash of its id, because it has
    // restarted. Preconditions: none.
    void forgetHolder(uint32_t upstream);

    // Selects the upstream from which `chosen` should fetch: a known holder of the last part,
    // otherwise the settled candidate that prompts with this part prefer, otherwise a known holder
    // of an earlier part. Returns nothing if a fetch would gain nothing. Preconditions: none.
    std::optional<CacheSource> selectSource(std::span<const std::string> parts,
                                            std::string_view chosen,
                                            std::span<const CacheCandidate> candidates,
                                            MonoTime now) const;

    // Returns the ShortHash ids of the upstreams that hold `part`. Preconditions: none.
    std::vector<uint32_t> holders(std::string_view part, MonoTime now) const;

    // Returns the number of parts kept. Preconditions: none.
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

    // Records a holder. Returns true if the holding was unknown or was last recorded more than half
    // of m_maxAge ago.
    bool record(const CacheHolding& holding, MonoTime now);
    bool holds(uint32_t part, uint32_t upstream, MonoTime now) const;
    std::optional<size_t> findHolder(uint32_t part, std::string_view chosen,
                                     std::span<const CacheCandidate> candidates,
                                     MonoTime now) const;

    size_t m_capacity;
    Millis m_maxAge;
    std::unordered_map<uint32_t, Part> m_parts;
    std::list<uint32_t> m_lru;  // Least recently used first.
    std::vector<CacheHolding> m_pendingAnnouncements;
};

}  // namespace onyx
