#include "modules/standalone/include/upstream/TokenSequence.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("Late, repeated, crossed and missing tokens never reach the caller") {
    TokenSequence tokens;
    tokens.startAttempt(1);
    CHECK(tokens.accept(1, 0) == TokenStep::kForward);
    CHECK(tokens.accept(1, 0) == TokenStep::kDuplicate);
    CHECK(tokens.accept(1, 2) == TokenStep::kGap);
    CHECK(tokens.accept(1, 1) == TokenStep::kForward);
    // The stream breaks; a second attempt resumes, and the first wakes up late.
    tokens.startAttempt(2);
    CHECK(tokens.accept(1, 2) == TokenStep::kForeign);
    CHECK(tokens.accept(2, 2) == TokenStep::kForward);
    CHECK(tokens.next() == 3);
}
