// The one hash of the project (xxHash, XXH3 64 bit). Its results are part of the protocol: two
// boxes must order engines and owners alike, so it may not change between releases.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Hashes `text`. Thread safety: any thread.
uint64_t HashText(std::string_view text);

// Low half of `name`'s hash: stands for the name of an upstream or of a prompt's part in digests,
// where a whole name would cost too much. Thread safety: any thread.
uint32_t ShortHash(std::string_view name);

// Combines two hashes; not symmetric. Thread safety: any thread.
uint64_t HashPair(uint64_t a, uint64_t b);

// Rendezvous score of `candidate` for `key`; the highest wins. Thread safety: any thread.
uint64_t RendezvousScore(uint64_t keyHash, std::string_view candidate);

// Index of the candidate with the highest score for `key`, or -1 for an empty list. The order of
// the list does not matter; ties go to the smaller name. Thread safety: any thread.
template <class IdType>
int RendezvousWinner(std::string_view key, std::span<const IdType> candidates) {
    const uint64_t keyHash = HashText(key);
    int best = -1;
    uint64_t bestScore = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const uint64_t score = RendezvousScore(keyHash, candidates[i].value);
        const bool wins = best < 0 || score > bestScore ||
                          (score == bestScore && candidates[i] < candidates[best]);
        if (wins) {
            best = static_cast<int>(i);
            bestScore = score;
        }
    }
    return best;
}

}  // namespace onyx
