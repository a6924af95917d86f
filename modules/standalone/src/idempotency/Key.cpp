#include "modules/standalone/include/idempotency/Key.h"

#include <cctype>

namespace onyx {

namespace {

constexpr size_t kUuidSize = 36;
constexpr size_t kVersionAt = 14;
constexpr size_t kVariantAt = 19;
constexpr size_t kTimeDigits = 12;

bool IsDashAt(size_t i) {
    return i == 8 || i == 13 || i == 18 || i == 23;
}

int HexValue(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

}  // namespace

std::optional<WallTime> KeyMintTime(std::string_view key) {
    if (key.size() != kUuidSize || key[kVersionAt] != '7') {
        return std::nullopt;
    }
    Millis time = 0;
    size_t digits = 0;
    for (size_t i = 0; i < kUuidSize; ++i) {
        if (IsDashAt(i)) {
            if (key[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = HexValue(key[i]);
        if (value < 0) {
            return std::nullopt;
        }
        if (digits < kTimeDigits) {
            time = time * 16 + value;
            ++digits;
        }
    }
    const int variant = HexValue(key[kVariantAt]);
    if (variant < 8 || variant > 11) {
        return std::nullopt;
    }
    return WallTime{time};
}

}  // namespace onyx
