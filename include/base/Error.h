// Module base: the values that all modules share (errors, ids, times, the hash). It owns no state
// and relies on nothing of the project.
//
// The project's error value. Every error says at which step it arose and which peer was involved.
#pragma once

#include <string>
#include <string_view>

namespace onyx {

// What kind of failure an Error stands for. Callers branch on this, people read the message.
enum class ErrorCode {
    kBadInput,     // The input is malformed or names something unknown.
    kConflict,     // A conditional update lost: the object has another version.
    kNotFound,     // The object does not exist.
    kUnavailable,  // The peer could not be reached, or refused for now.
    kTimeout,      // The deadline passed first.
    kUnknown,      // The effect of the call is not known: it may or may not have happened.
    kProtocol,     // The peer broke the protocol.
};

// Returns the name of `code` as it stands in logs and answers.
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

// An error as a value.
struct Error {
    ErrorCode code = ErrorCode::kUnavailable;
    std::string step;     // What was being done, such as "platform.put".
    std::string peer;     // With whom: an address, a file, or empty for this process.
    std::string message;  // For people.

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
