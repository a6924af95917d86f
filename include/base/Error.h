// Module base: the values shared by all modules (errors, ids, times, the hash). Has no state and
// depends on no other module of the project.
//
// The error value of the project. Each error names the step at which it arose and the peer
// involved.
#pragma once

#include <string>
#include <string_view>

namespace onyx {

// The kind of an Error. Callers branch on the code; the message is for people.
enum class ErrorCode {
    kBadInput,     // The input is malformed or names something unknown.
    kConflict,     // A conditional update failed: the object has another version.
    kNotFound,     // The object does not exist.
    kUnavailable,  // The peer could not be reached, or refused temporarily.
    kTimeout,      // The deadline passed before the call completed.
    kUnknown,      // The call may or may not have taken effect.
    kProtocol,     // The peer violated the protocol.
};

// Returns the name of `code` as written in logs and answers.
// Thread safety: any thread.
constexpr std::string_view ErrorCodeName(ErrorCode code) {
    switch (code) {
        case ErrorCode::kBadInput:
            return "bad-input";
        case ErrorCode::kConflict:
            return "conflict";
        case ErrorCode::kNotFound:
            return "not-found";
        case ErrorCode::kUnavailable:
            return "unavailable";
        case ErrorCode::kTimeout:
            return "timeout";
        case ErrorCode::kUnknown:
            return "unknown";
        case ErrorCode::kProtocol:
            return "protocol";
    }
    return "invalid";
}

// A failure of one step, as a value.
struct Error {
    ErrorCode code = ErrorCode::kUnavailable;
    std::string step;     // The operation that failed, such as "platform.put".
    std::string peer;     // The other side: an address, a file, or empty for this process.
    std::string message;  // For people, in addition to the code.

    // Returns "step peer: code: message".
    // Thread safety: any thread, on a value that no other thread changes.
    std::string text() const {
        std::string out = step;
        if (!peer.empty()) {
            out += " " + peer;
        }
        out += ": ";
        out += ErrorCodeName(code);
        return message.empty() ? out : out + ": " + message;
    }
};

}  // namespace onyx
