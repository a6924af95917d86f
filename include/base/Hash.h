// The only hash function of the project (xxHash, XXH3 64 bit). Its results are part of the
// protocol: all boxes must order upstreams and boxes in the same way, so it must not change between
// releases.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace onyx {

// Returns the hash of `text`. Thread safety: any thread.
uint64_t HashText(std::string_view text);

// Returns the hash of the text whose parts `pieces` are: that of HashText() for the whole of it.
// Thread safety: any thread.
uint64_t HashPieces(std::span<const std::string_view> pieces);

// Returns the lower 32 bits of the hash of `name`. Digests use it in place of the name of an
// upstream or of a part of a prompt, since whole names would be too large. Thread safety: any
// thread.
uint32_t ShortHash(std::string_view name);

// Returns a combined hash of `a` and `b`; their order matters. Thread safety: any thread.
uint64_t HashPair(uint64_t a, uint64_t b);

// Returns the rendezvous hashing score of `candidate` for `keyHash`; the candidate with the highest
// score wins. Thread safety: any thread.
uint64_t RendezvousScore(uint64_t keyHash, std::string_view candidate);

// Returns the index below `count` with the highest rendezvous score for `keyHash` among those for
// which `allowed(i)` holds, or nullopt if it holds for none. `idOf(i)`: id of candidate `i`. The
// order of the candidates does not matter; ties go to the smaller id. Thread safety: any thread.
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

// Returns the index of the candidate with the highest rendezvous score for `key`, or -1 if there
// are no candidates. Thread safety: any thread.
template <class IdType>
int RendezvousWinner(std::string_view key, std::span<const IdType> candidates) {
    const auto best = BestByRendezvous(
        HashText(key), candidates.size(),
        [&](size_t i) { return std::string_view(candidates[i].value); },
        [](size_t) { return true; });
    return best ? static_cast<int>(*best) : -1;
}

}  // namespace onyx
