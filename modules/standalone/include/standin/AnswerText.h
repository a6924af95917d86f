// The answers that the engine stand-in gives: a function of the request alone, so that a load tool
// can tell a whole answer from a short, doubled or foreign one, wherever it was served.
#pragma once

#include "include/base/Hash.h"

#include <string>
#include <string_view>

namespace onyx {

// Token `index` of the answer to `prompt`. Thread safety: any thread.
inline std::string AnswerToken(std::string_view prompt, uint32_t index) {
    const uint64_t word = HashPair(HashText(prompt), index) % 100000;
    return "w" + std::to_string(word) + " ";
}

// The first `count` tokens together. Thread safety: any thread.
inline std::string AnswerOf(std::string_view prompt, uint32_t count) {
    std::string text;
    for (uint32_t i = 0; i < count; ++i) {
        text += AnswerToken(prompt, i);
    }
    return text;
}

}  // namespace onyx
