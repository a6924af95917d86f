#include "include/placement/CacheDirectory.h"

#include <catch2/catch.hpp>

#include <array>

using namespace onyx;

namespace {

constexpr std::array<const char*, 5> kIds = {"a", "b", "c", "d", "e"};

// Returns the index of the candidate to fetch from, or -1 if a fetch would gain nothing.
int SourceOf(const CacheDirectory& caches, const std::vector<std::string>& parts,
             std::string_view chosen, const std::vector<CacheCandidate>& candidates, MonoTime now) {
    const auto source = caches.selectSource(parts, chosen, candidates, now);
    return source ? static_cast<int>(source->index) : -1;
}

}  // namespace

TEST_CASE(
    "A new upstream fetches shared parts from the settled upstream that prompts with them prefer") {
    const CacheDirectory caches(100, 60000);
    const std::vector<std::string> parts = {"first", "second"};
    std::vector<CacheCandidate> settled;
    for (const char* id : kIds) {
        settled.push_back({id});
    }
    const int before = SourceOf(caches, parts, "newcomer", settled, {0});
    REQUIRE(before >= 0);
    // The preferred upstream itself has nothing to fetch; an unreachable one is not selected.
    CHECK(SourceOf(caches, parts, settled[before].id, settled, {0}) == -1);
    settled[before].reachable = false;
    CHECK(SourceOf(caches, parts, "newcomer", settled, {0}) == -1);
    settled[before].reachable = true;
    settled[before].settled = false;
    CHECK(SourceOf(caches, parts, "newcomer", settled, {0}) != before);
}

TEST_CASE("A first part is fetched from an upstream to which this box recently sent it") {
    CacheDirectory caches(100, 1000);
    const std::vector<CacheCandidate> settled = {{"a"}, {"b"}};
    // Find two prompts that share their first part and prefer different upstreams.
    std::vector<std::string> toA;
    std::vector<std::string> toB;
    for (int i = 0; toA.empty() || toB.empty(); ++i) {
        const std::vector<std::string> parts = {"first", "last" + std::to_string(i)};
        (SourceOf(caches, parts, "a", settled, {0}) < 0 ? toA : toB) = parts;
    }
    caches.recordAnswer(toA, "a", {0});
    CHECK(SourceOf(caches, toB, "b", settled, {500}) == 0);
    CHECK(SourceOf(caches, toB, "b", settled, {1500}) == -1);
    caches.recordAnswer(toB, "b", {600});
    CHECK(SourceOf(caches, toB, "b", settled, {700}) == -1);
}

// Guards against boxes that know only the holders from their own requests: an upstream that took
// over from another one then processed parts again that a third upstream held. Seen in the logs of
// pcw-onyx scale-2.
TEST_CASE("A part is fetched from a holder that another box announced") {
    CacheDirectory observer(100, 60000);
    CacheDirectory other(100, 60000);
    const std::vector<CacheCandidate> candidates = {
        {"a", true, false}, {"b", true, false}, {"c", true, false}};
    const std::vector<std::string> parts = {"first", "last"};
    observer.recordAnswer(parts, "b", {0});
    CHECK(SourceOf(other, parts, "a", candidates, {10}) == -1);
    for (const CacheHolding& holding : observer.takeAnnouncements()) {
        other.recordAnnouncement(holding, {10});
    }
    CHECK(SourceOf(other, parts, "a", candidates, {20}) == 1);
    CHECK(SourceOf(other, parts, "b", candidates, {20}) == -1);
    CHECK(SourceOf(other, parts, "a", candidates, {60011}) == -1);
}

TEST_CASE("An ejected holder is skipped in favor of another one") {
    CacheDirectory caches(100, 60000);
    std::vector<CacheCandidate> candidates = {
        {"a", true, false}, {"b", true, false}, {"c", true, false}};
    const std::vector<std::string> parts = {"first", "last"};
    caches.recordAnswer(parts, "b", {0});
    caches.recordAnswer(parts, "c", {0});
    CHECK(SourceOf(caches, parts, "a", candidates, {10}) == 1);
    candidates[1].reachable = false;
    CHECK(SourceOf(caches, parts, "a", candidates, {10}) == 2);
}

TEST_CASE(
    "A holding from a box's own requests is announced once, and an announced one is not repeated") {
    CacheDirectory caches(100, 10000);
    const std::vector<std::string> parts = {"first", "last"};
    caches.recordAnswer(parts, "a", {0});
    const std::vector<CacheHolding> announced = caches.takeAnnouncements();
    CHECK(announced.size() == 2);
    CHECK_FALSE(caches.hasAnnouncements());
    caches.recordAnswer(parts, "a", {100});
    CHECK_FALSE(caches.hasAnnouncements());
    CacheDirectory other(100, 10000);
    for (const CacheHolding& holding : announced) {
        other.recordAnnouncement(holding, {100});
    }
    other.recordAnswer(parts, "a", {200});
    CHECK_FALSE(other.hasAnnouncements());
    // It is announced again before the other boxes drop it as too old.
    caches.recordAnswer(parts, "a", {6000});
    CHECK(caches.takeAnnouncements().size() == 2);
}

TEST_CASE("Pending announcements are bounded") {
    CacheDirectory caches(10000, 10000);
    for (size_t i = 0; i < 2 * CacheDirectory::kMaxPendingAnnouncements; ++i) {
        const std::vector<std::string> parts = {"part" + std::to_string(i)};
        caches.recordAnswer(parts, "a", {0});
    }
    CHECK(caches.takeAnnouncements().size() == CacheDirectory::kMaxPendingAnnouncements);
}

TEST_CASE("The number of parts kept is bounded") {
    CacheDirectory caches(10, 1000);
    for (int i = 0; i < 100; ++i) {
        const std::vector<std::string> parts = {"part" + std::to_string(i)};
        caches.recordAnswer(parts, "a", {i});
    }
    CHECK(caches.size() == 10);
}

TEST_CASE("The reason for a fetch source is available for the log") {
    CacheDirectory caches(100, 60000);
    std::vector<CacheCandidate> candidates = {{"a", true, false}, {"b", true, false}};
    const std::vector<std::string> parts = {"first", "last"};
    const std::vector<std::string> first = {"first"};
    caches.recordAnswer(first, "b", {0});
    CHECK(caches.selectSource(parts, "a", candidates, {1})->reason == CacheSourceReason::kPrefix);
    candidates[1].settled = true;
    CHECK(caches.selectSource(parts, "a", candidates, {1})->reason ==
          CacheSourceReason::kPreferred);
    caches.recordAnswer(parts, "b", {2});
    CHECK(caches.selectSource(parts, "a", candidates, {3})->reason == CacheSourceReason::kHolder);
}
