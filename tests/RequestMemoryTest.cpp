#include "include/admission/RequestMemory.h"

#include "include/admission/MachineShares.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using namespace onyx;

namespace {

constexpr size_t kMegabyte = size_t{1} << 20;
constexpr size_t kLargeBody = 4 * kMegabyte;
constexpr size_t kSmallBody = size_t{4} << 10;

// One request of a replay: what it holds, and whether it was evicted.
struct Held {
    bool evicted = false;
    MemoryShare share;

    bool begin(const std::shared_ptr<RequestMemory>& memory, size_t bytes, MonoTime now) {
        share = MemoryShare(memory, now, [this] {
            evicted = true;
            share.reset();
        });
        return share.take(bytes, now);
    }
};

}  // namespace

TEST_CASE("Large requests leave a part of the memory to small ones") {
    const auto memory = std::make_shared<RequestMemory>(16 * kMegabyte);
    std::deque<Held> large(4);
    for (size_t i = 0; i < 3; ++i) {
        CHECK(large[i].begin(memory, kLargeBody, {0}));
    }
    CHECK_FALSE(large[3].begin(memory, kLargeBody, {0}));
    std::deque<Held> small(1000);
    for (Held& request : small) {
        CHECK(request.begin(memory, kSmallBody, {0}));
    }
    CHECK(memory->held() == 3 * kLargeBody + 1000 * kSmallBody);
    CHECK(memory->refusals() == 1);
    large.clear();
    small.clear();
    CHECK(memory->held() == 0);
}

TEST_CASE("A stalled request gives its memory up, one that goes on or is whole does not") {
    const auto memory = std::make_shared<RequestMemory>(16 * kMegabyte);
    std::deque<Held> large(3);
    for (Held& request : large) {
        CHECK(request.begin(memory, kLargeBody, {0}));
    }
    large[0].share.noteWhole();
    large[1].share.noteProgress(RequestMemory::kMinProgress, {900});
    Held next;
    SECTION("while all are fresh, the new one is refused") {
        CHECK_FALSE(next.begin(memory, kLargeBody, {2 * RequestMemory::kWindowMs - 1}));
        CHECK(memory->evictions() == 0);
    }
    SECTION("later, the one without progress gives way") {
        CHECK(next.begin(memory, kLargeBody, {2 * RequestMemory::kWindowMs}));
        CHECK_FALSE(large[0].evicted);
        CHECK_FALSE(large[1].evicted);
        CHECK(large[2].evicted);
        Held further;
        CHECK_FALSE(further.begin(memory, kLargeBody, {2 * RequestMemory::kWindowMs}));
    }
}

TEST_CASE("A small request goes ahead of large unfinished ones, those with least progress first") {
    const auto memory = std::make_shared<RequestMemory>(16 * kMegabyte);
    std::deque<Held> large(2);
    CHECK(large[0].begin(memory, kLargeBody, {0}));
    CHECK(large[1].begin(memory, kLargeBody, {0}));
    large[0].share.noteProgress(kMegabyte, {10});
    large[1].share.noteProgress(2 * kMegabyte, {10});
    std::deque<Held> small;
    while (memory->held() + RequestMemory::kSmallBytes <= memory->capacity()) {
        CHECK(small.emplace_back().begin(memory, RequestMemory::kSmallBytes, {20}));
    }
    CHECK(small.emplace_back().begin(memory, RequestMemory::kSmallBytes, {20}));
    CHECK(large[0].evicted);
    CHECK_FALSE(large[1].evicted);
}

// Guards against a box whose memory a crowd of unfinished bodies keeps for itself.
TEST_CASE("A crowd of stalled bodies keeps neither small nor large requests out") {
    const MachineShares shares = MachineShares::Of(MachineLimits{});
    const auto memory = std::make_shared<RequestMemory>(shares.requestMemory);
    constexpr size_t kCrowd = 1000;
    constexpr Millis kStep = 10;
    constexpr Millis kEnd = 20000;
    std::vector<std::unique_ptr<Held>> crowd(kCrowd);
    size_t smallRefused = 0;
    size_t mostHeld = 0;
    for (Millis now = 0; now < kEnd; now += kStep) {
        // A caller of the crowd whose body was refused or evicted sends it again at once.
        for (auto& request : crowd) {
            if (!request || request->evicted) {
                auto next = std::make_unique<Held>();
                request = next->begin(memory, kLargeBody, {now}) ? std::move(next) : nullptr;
            }
        }
        Held small;
        smallRefused += small.begin(memory, kSmallBody, {now}) ? 0 : 1;
        mostHeld = std::max(mostHeld, memory->held());
    }
    CHECK(smallRefused == 0);
    CHECK(mostHeld <= shares.requestMemory);
    // The crowd has stalled; now another caller comes.
    Held large;
    CHECK(large.begin(memory, kLargeBody, {kEnd + 2 * RequestMemory::kWindowMs}));
}

TEST_CASE("The shares of the smallest machine leave room for the program") {
    const MachineLimits smallest;
    const MachineShares shares = MachineShares::Of(smallest);
    constexpr size_t kProgram = 24 * kMegabyte;
    constexpr size_t kConnection = size_t{12} << 10;
    const size_t driven = shares.requestMemory + shares.answerMemory +
                          shares.callerConnections * (shares.receiveBuffer + kConnection);
    CHECK(driven + kProgram <= smallest.memory);
    CHECK(shares.requestMemory * (1 - RequestMemory::kSmallReserve) >= 2 * kLargeBody);
    CHECK(2 * shares.callerConnections + MachineShares::kFiles <= smallest.descriptors);
}

TEST_CASE("A machine with few descriptors still takes callers") {
    CHECK(MachineShares::Of({16 * kMegabyte, 0}).callerConnections == 1);
}

// Guards against memory that is taken for one share of a request from another share of the same
// request, which cannot be released before the taking has returned.
TEST_CASE("Taking memory ends where the request that has to give way keeps it") {
    const auto memory = std::make_shared<RequestMemory>(16 * kMegabyte);
    MemoryShare stalled(memory, {0}, [] {});
    REQUIRE(stalled.take(12 * kMegabyte, {0}));
    MemoryShare other(memory, {0}, [] {});
    CHECK_FALSE(other.take(kLargeBody, {2 * RequestMemory::kWindowMs}));
    CHECK(memory->evictions() == 1);
    CHECK(memory->held() == 12 * kMegabyte);
    stalled.reset();
    CHECK(other.take(kLargeBody, {2 * RequestMemory::kWindowMs}));
}
