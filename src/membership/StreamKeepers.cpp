#include "include/membership/StreamKeepers.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

// The `count` entries with the highest scores for `stream`, best first.
template <class Entry>
std::vector<const Entry*> BestOf(const std::vector<Entry>& entries, uint64_t stream, size_t count) {
    std::vector<std::pair<uint64_t, const Entry*>> scores;
    scores.reserve(entries.size());
    for (const Entry& entry : entries) {
        scores.emplace_back(HashPair(stream, entry.hash), &entry);
    }
    const size_t kept = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept),
                      scores.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<const Entry*> best;
    for (size_t i = 0; i < kept; ++i) {
        best.push_back(scores[i].second);
    }
    return best;
}

}  // namespace

void StreamKeepers::setBoxes(const std::vector<KnownBox>& boxes) {
    m_zones.clear();
    for (const KnownBox& box : boxes) {
        if (box.zone.empty()) {
            continue;
        }
        auto zone = std::find_if(m_zones.begin(), m_zones.end(),
                                 [&](const Zone& known) { return known.name == box.zone; });
        if (zone == m_zones.end()) {
            zone = m_zones.insert(m_zones.end(), {box.zone, HashText(box.zone), {}});
        }
        zone->boxes.push_back({box.address, HashText(box.address)});
    }
}

std::vector<std::string> StreamKeepers::keepersOf(uint64_t stream, std::string_view zone) const {
    std::vector<std::string> keepers;
    const auto add = [&](const Zone& from, size_t count) {
        for (const Box* box : BestOf(from.boxes, stream, count)) {
            if (std::find(keepers.begin(), keepers.end(), box->address) == keepers.end()) {
                keepers.push_back(box->address);
            }
        }
    };
    for (const Zone& known : m_zones) {
        if (known.name == zone) {
            add(known, kInOwnZone);
        }
    }
    for (const Zone* other : BestOf(m_zones, stream, kOtherZones)) {
        add(*other, 1);
    }
    return keepers;
}

}  // namespace onyx
