// Whether a text that came from elsewhere can be sent in the head of an HTTP message.
#pragma once

#include <algorithm>
#include <string_view>

namespace onyx {

// Whether `text`, as the value of a header field, arrives as it is: it is not empty, holds no
// control byte, which could end the field, and neither begins nor ends with a blank.
// Preconditions: none. Thread safety: any thread.
constexpr bool IsFieldValue(std::string_view text) {
    constexpr char kDelete = 0x7f;
    const auto isControl = [](char c) {
        return static_cast<unsigned char>(c) < ' ' || c == kDelete;
    };
    return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
           std::none_of(text.begin(), text.end(), isControl);
}

}  // namespace onyx
