#include "include/relay/AnswerHeadRule.h"

#include "include/base/HttpStatus.h"

namespace onyx {

namespace {

// Whether a status tells a caller that the request did not run. An upstream that ran it may use
// them all the same; then they must not reach the caller.
bool PromisesNotRun(unsigned status) {
    return status == HttpStatus::kRequestTimeout || status == HttpStatus::kMisdirected ||
           status == HttpStatus::kTooManyRequests || status == HttpStatus::kUnavailable;
}

bool IsSuccess(unsigned status) {
    return status >= HttpStatus::kOk && status < HttpStatus::kFirstRedirect;
}

// The end of an attempt whose answer is the first one that its caller could get.
AttemptEnd EndOfFirstAnswer(const AnswerHead& head) {
    if (head.misdirected) {
        return AttemptEnd::kMisdirected;
    }
    if (head.declined) {
        return AttemptEnd::kDeclined;
    }
    if (PromisesNotRun(head.status) || !head.authentic) {
        return AttemptEnd::kUnclear;
    }
    return head.status >= HttpStatus::kFirstServerError ? AttemptEnd::kFailed
                                                        : AttemptEnd::kAnswered;
}

HeadVerdict JudgeContinuation(const AnswerHead& head) {
    const AttemptEnd end = EndOfFirstAnswer(head);
    if (end != AttemptEnd::kAnswered) {
        return {end, BodyUse::kDiscard};
    }
    if (!IsSuccess(head.status)) {
        return {AttemptEnd::kFailed, BodyUse::kDiscard};
    }
    // Another upstream began this stream, so what is no stream is not its continuation.
    return head.isEventStream ? HeadVerdict{AttemptEnd::kAnswered, BodyUse::kEvents}
                              : HeadVerdict{AttemptEnd::kUnclear, BodyUse::kDiscard};
}

}  // namespace

HeadVerdict JudgeAnswerHead(const AnswerHead& head, bool inPieces, bool callerHasHead) {
    if (callerHasHead) {
        return JudgeContinuation(head);
    }
    const AttemptEnd end = EndOfFirstAnswer(head);
    if (end == AttemptEnd::kFailed) {
        return {end, BodyUse::kWhole};
    }
    if (end != AttemptEnd::kAnswered) {
        return {end, BodyUse::kDiscard};
    }
    if (inPieces && IsSuccess(head.status)) {
        return {end, head.isEventStream ? BodyUse::kEvents : BodyUse::kPieces};
    }
    const bool isLarge = head.length.value_or(0) > kMaxWholeBody;
    return {end, isLarge ? BodyUse::kPieces : BodyUse::kWhole};
}

}  // namespace onyx
