#include "include/health/UpstreamHealth.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

const std::string kUpstream = "u";

}  // namespace

TEST_CASE("An unreachable upstream is ejected, for longer each time, until it answers") {
    UpstreamHealth health{HealthSettings{}};
    CHECK(health.note(kUpstream, HealthSignal::kUnreachable, {0}, {0}));
    CHECK(health.isEjected(kUpstream, {999}));
    CHECK_FALSE(health.isEjected(kUpstream, {1000}));
    CHECK(health.note(kUpstream, HealthSignal::kUnreachable, {1000}, {1000}));
    CHECK(health.isEjected(kUpstream, {2999}));
    CHECK_FALSE(health.isEjected(kUpstream, {3000}));
    health.note(kUpstream, HealthSignal::kAnswered, {3000}, {3010});
    CHECK(health.note(kUpstream, HealthSignal::kUnreachable, {3020}, {3020}));
    CHECK_FALSE(health.isEjected(kUpstream, {4020}));
}

TEST_CASE("Two silent attempts in a row eject an upstream, unless an answer comes between them") {
    UpstreamHealth health{HealthSettings{}};
    CHECK_FALSE(health.note(kUpstream, HealthSignal::kSilent, {0}, {100}));
    health.note(kUpstream, HealthSignal::kAnswered, {100}, {200});
    CHECK_FALSE(health.note(kUpstream, HealthSignal::kSilent, {300}, {400}));
    CHECK(health.note(kUpstream, HealthSignal::kSilent, {500}, {600}));
}

TEST_CASE("A silent attempt is ignored while the upstream answers others") {
    // Guards against requests with a short timeout of their own that eject a healthy upstream;
    // observed under low load.
    UpstreamHealth health{HealthSettings{}};
    for (int i = 0; i < 10; ++i) {
        const MonoTime sent{i * 1000};
        health.note(kUpstream, HealthSignal::kAnswered, sent, sent + 200);
        CHECK_FALSE(health.note(kUpstream, HealthSignal::kSilent, sent, sent + 400));
    }
    CHECK_FALSE(health.isEjected(kUpstream, {10000}));
}

TEST_CASE("A share of failures above the limit ejects an upstream, a lower one does not") {
    UpstreamHealth health{HealthSettings{}};
    bool ejected = false;
    for (int i = 0; i < 40; ++i) {
        const auto signal = i % 5 == 0 ? HealthSignal::kFailed : HealthSignal::kAnswered;
        ejected = health.note(kUpstream, signal, {i * 10}, {i * 10}) || ejected;
    }
    CHECK_FALSE(ejected);
    for (int i = 40; i < 80; ++i) {
        ejected = health.note(kUpstream, HealthSignal::kFailed, {i * 10}, {i * 10}) || ejected;
    }
    CHECK(ejected);
}

TEST_CASE("Attempts from before an ejection do not extend it") {
    UpstreamHealth health{HealthSettings{}};
    health.note(kUpstream, HealthSignal::kUnreachable, {0}, {0});
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(health.note(kUpstream, HealthSignal::kUnreachable, {0}, {10}));
    }
    CHECK_FALSE(health.isEjected(kUpstream, {1000}));
}
