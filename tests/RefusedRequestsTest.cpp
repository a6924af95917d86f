#include "include/admission/RefusedRequests.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("A refused request is on record until its caller may return") {
    RefusedRequests refused;
    refused.note(7, MonoTime{500});
    CHECK(refused.remaining(7, MonoTime{100}) == 400);
    CHECK_FALSE(refused.remaining(8, MonoTime{100}));
    CHECK_FALSE(refused.remaining(7, MonoTime{500}));
}

TEST_CASE("The oldest record is dropped when there are too many") {
    RefusedRequests refused;
    refused.note(0, MonoTime{500});
    refused.note(1, MonoTime{500});
    refused.note(0, MonoTime{900});
    for (uint64_t i = 2; i < RefusedRequests::kMaxRequests; ++i) {
        refused.note(i, MonoTime{500});
    }
    // The first record of 0 has gone, the later one counts.
    CHECK(refused.remaining(0, MonoTime{100}) == 800);
    refused.note(5000, MonoTime{500});
    CHECK_FALSE(refused.remaining(1, MonoTime{100}));
    CHECK(refused.remaining(5000, MonoTime{100}));
}
