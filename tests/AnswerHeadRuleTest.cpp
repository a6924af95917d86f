#include "include/relay/AnswerHeadRule.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

AnswerHead Signed(unsigned status, bool isEventStream) {
    AnswerHead head;
    head.status = status;
    head.authentic = true;
    head.isEventStream = isEventStream;
    return head;
}

}  // namespace

// Whatever stands in the head: a body that is not the rest of the caller's stream must not reach
// it.
TEST_CASE("Once the caller has a head, only a signed event stream with a 2xx may follow") {
    for (unsigned status = 200; status < 600; ++status) {
        for (unsigned bits = 0; bits < 32; ++bits) {
            AnswerHead head;
            head.status = status;
            head.declined = (bits & 1U) != 0;
            head.misdirected = (bits & 2U) != 0;
            head.authentic = (bits & 4U) != 0;
            head.isEventStream = (bits & 8U) != 0;
            head.length = (bits & 16U) != 0 ? std::optional<uint64_t>(1U << 20U) : std::nullopt;
            const HeadVerdict verdict = JudgeAnswerHead(head, true, true);
            const bool continues = status < 300 && head.authentic && head.isEventStream &&
                                   !head.declined && !head.misdirected;
            CAPTURE(status, bits);
            CHECK(verdict.use == (continues ? BodyUse::kEvents : BodyUse::kDiscard));
            CHECK((verdict.end == AttemptEnd::kAnswered) == continues);
        }
    }
}

TEST_CASE(
    "A continuation that the upstream fails counts as failed, one that is no stream as unclear") {
    CHECK(JudgeAnswerHead(Signed(400, true), true, true).end == AttemptEnd::kFailed);
    CHECK(JudgeAnswerHead(Signed(500, false), true, true).end == AttemptEnd::kFailed);
    CHECK(JudgeAnswerHead(Signed(200, false), true, true).end == AttemptEnd::kUnclear);
    CHECK(JudgeAnswerHead(Signed(503, false), true, true).end == AttemptEnd::kUnclear);
}

// The body of an answer that no caller gets was read to its end.
TEST_CASE("A body that cannot go to the caller is discarded") {
    AnswerHead head = Signed(503, false);
    CHECK(JudgeAnswerHead(head, false, false).use == BodyUse::kDiscard);
    head.declined = true;
    CHECK(JudgeAnswerHead(head, false, false).use == BodyUse::kDiscard);
    head = Signed(200, false);
    head.authentic = false;
    CHECK(JudgeAnswerHead(head, true, false).use == BodyUse::kDiscard);
    CHECK(JudgeAnswerHead(Signed(500, false), false, false).use == BodyUse::kWhole);
}

TEST_CASE("The first answer is passed on by its kind and its size") {
    CHECK(JudgeAnswerHead(Signed(200, true), true, false).use == BodyUse::kEvents);
    CHECK(JudgeAnswerHead(Signed(200, false), true, false).use == BodyUse::kPieces);
    CHECK(JudgeAnswerHead(Signed(200, false), false, false).use == BodyUse::kWhole);
    CHECK(JudgeAnswerHead(Signed(400, false), true, false).use == BodyUse::kWhole);
    AnswerHead large = Signed(404, false);
    large.length = kMaxWholeBody + 1;
    CHECK(JudgeAnswerHead(large, false, false).use == BodyUse::kPieces);
    CHECK(JudgeAnswerHead(large, false, false).end == AttemptEnd::kAnswered);
}
