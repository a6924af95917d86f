#include "include/base/Hash.h"

#include <xxhash.h>

namespace onyx {

uint64_t HashText(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
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
