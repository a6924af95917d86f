// The one hash of the project (xxHash, XXH3 64 bit). Its results are part of the protocol: two
// boxes must order upstreams and boxes alike, so it may not change between releases.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

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

// Index below `count` with the highest rendezvous score for `keyHash`, of those for which
// `allowed(i)` holds; nothing if it holds for none. `idOf(i)` is the candidate's id. The order of
// the candidates does not matter; ties go to the smaller id. Thread safety: any thread.
template <class IdOf, class Allowed>
std::optional<size_t> BestByRendezvous(uint64_t keyHash, size_t count, IdOf idOf, Allowed allowed) {
    std::optional<size_t> best;
    uint64_t bestScore = 0;
    for (size_t i = 0; i < count; ++i) {
        if (!allowed(i)) {
            continue;
        }
        const uint64_t score = RendezvousScore(keyHash, idOf(i));
        const bool wins =
            !best || score > bestScore || (score == bestScore && idOf(i) < idOf(*best));
        if (wins) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

// Index of the candidate with the highest score for `key`, or -1 for an empty list. Thread safety:
// any thread.
template <class IdType>
int RendezvousWinner(std::string_view key, std::span<const IdType> candidates) {
    const auto best = BestByRendezvous(
        HashText(key), candidates.size(),
        [&](size_t i) { return std::string_view(candidates[i].value); },
        [](size_t) { return true; });
    return best ? static_cast<int>(*best) : -1;
}

}  // namespace onyx
