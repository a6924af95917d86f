#include "include/base/Hash.h"

#include <xxhash.h>

#include <memory>

namespace onyx {

uint64_t HashText(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

uint64_t HashPieces(std::span<const std::string_view> pieces) {
    if (pieces.size() == 1) {
        return HashText(pieces.front());
    }
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const std::string_view piece : pieces) {
        XXH3_64bits_update(state.get(), piece.data(), piece.size());
    }
    return XXH3_64bits_digest(state.get());
}

uint32_t ShortHash(std::string_view name) {
    return static_cast<uint32_t>(HashText(name));
}

uint64_t HashPair(uint64_t a, uint64_t b) {
    const uint64_t both[2] = {a, b};
    return XXH3_64bits(both, sizeof(both));
}

uint64_t RendezvousScore(uint64_t keyHash, std::string_view candidate) {
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), keyHash);
}

}  // namespace onyx
