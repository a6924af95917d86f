// Decides, from the head of an upstream's answer, how the attempt has ended so far and what becomes
// of the body.
//
// Inputs: what the head says of the answer, and whether the caller already has the head of another
// answer to the same request.
//
// Where the head alone decides that the body will not go to the caller, it is not read: it may have
// no end.
//
// A caller has one head. Once it has that of an event stream, only the body of another event stream
// may follow it, and only if the upstream confirms it: a 2xx that carries the upstream's mark. The
// body of any other answer would stand in the middle of the caller's stream, and its end would look
// like the end of the stream.
#pragma once

#include "include/relay/RequestAttempts.h"

#include <cstdint>
#include <optional>

namespace onyx {

// The head of an upstream's answer, as far as it decides what becomes of the body.
struct AnswerHead {
    unsigned status = 0;
    bool declined = false;           // The upstream says that it did not run the request.
    bool misdirected = false;        // It is not the upstream that was meant.
    bool authentic = false;          // It carries the upstream's mark.
    bool isEventStream = false;      // By its content type.
    std::optional<uint64_t> length;  // Of the body, in bytes, if the head states it.
};

// What becomes of an answer's body.
enum class BodyUse : uint8_t {
    kEvents,   // Its events go to the caller one by one.
    kPieces,   // It goes to the caller as it arrives.
    kWhole,    // It is collected, up to kMaxWholeBody, and delivered if it is the last word.
    kDiscard,  // It is not read.
};

// How an attempt has ended by the head of its answer, provided that the body is complete.
struct HeadVerdict {
    AttemptEnd end = AttemptEnd::kUnclear;
    BodyUse use = BodyUse::kDiscard;
};

// Bodies that are larger, in bytes, are not collected.
inline constexpr uint64_t kMaxWholeBody = uint64_t{256} * 1024;

// Returns the verdict on an answer. `inPieces`: a good answer to this request is passed on as it
// arrives. `callerHasHead`: the caller has the head of an earlier attempt's answer.
// Preconditions: none. Thread safety: any thread.
HeadVerdict JudgeAnswerHead(const AnswerHead& head, bool inPieces, bool callerHasHead);

}  // namespace onyx
