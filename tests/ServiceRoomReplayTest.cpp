// Replays loads beyond the room of a service at a site whose root gets the sums of all boxes one
// period late. What callers need: what is admitted is answered in time, upstreams turn few requests
// away, teams with the same demand get the same, and nothing is refused when there is room.
#include "include/admission/ServiceRoom.h"
#include "tests/RoomReplay.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

// In milliseconds.
constexpr Millis kPeriod = 200;
constexpr Millis kCalm = 2000;  // From here on the boxes have counts.
constexpr Millis kBurst = 6000;
constexpr Millis kBurstEnd = 15000;
constexpr Millis kRecovered = kBurstEnd + 1000;
constexpr Millis kEnd = 20000;
constexpr Millis kLast = kEnd - 1500;  // Requests from here on may not have ended.

const std::vector<DemandClass> kEquals = EqualClasses(2, 12);

// Decides for some of the boxes, by their sums of one or more periods ago.
class Root {
public:
    Root(size_t first, size_t end, size_t boxesKnown, size_t periodsLate = 1)
        : m_first(first), m_end(end), m_boxesKnown(boxesKnown), m_periodsLate(periodsLate) {}

    void step(std::vector<RoomGate>& gates, double slots, MonoTime now) {
        if (now.ms % kPeriod != 0) {
            return;
        }
        RoomCounts sum;
        sum.boxes = 0;
        for (size_t i = m_first; i < m_end; ++i) {
            sum.add(gates[i].counts(now));
        }
        m_sums.push_back(sum);
        if (m_sums.size() <= m_periodsLate) {
            return;
        }
        const RoomSupply supply{slots, m_boxesKnown, static_cast<Millis>(m_periodsLate) * kPeriod};
        const RoomShares shares = m_room.update(m_sums.front(), supply, now);
        m_sums.pop_front();
        for (size_t i = m_first; i < m_end; ++i) {
            gates[i].setShares(shares, now);
        }
    }

private:
    size_t m_first;
    size_t m_end;
    size_t m_boxesKnown;
    size_t m_periodsLate;
    ServiceRoom m_room;
    std::deque<RoomCounts> m_sums;
};

void Play(RoomReplay& replay, const RoomReplay::Factor& factor) {
    Root root(0, replay.gates().size(), replay.gates().size());
    replay.play(kEnd, factor, [&](std::vector<RoomGate>& gates, MonoTime now) {
        root.step(gates, replay.upstreams().allSlots(), now);
    });
}

const RoomReplay::Factor kHotBurst = BurstOf(kBurst, kBurstEnd, 2.6, {5, 1}, 8);

double RoomOf(const RoomReplay& replay, Millis from, Millis to) {
    return replay.upstreams().allSlots() * static_cast<double>(to - from) / 1000;
}

void CheckUndisturbed(const RoomReplay& replay, Millis from, Millis to) {
    const ReplayTally tally(replay, from, to);
    INFO(from << " to " << to << " ms: " << tally.describe(RoomOf(replay, from, to), kEquals));
    CHECK(tally.refused == 0);
    CHECK(tally.turnedAway == 0);
    CHECK(tally.arrived > 0);
}

void CheckBurst(const RoomReplay& replay, const std::vector<DemandClass>& equals) {
    const ReplayTally tally(replay, kBurst, kBurstEnd);
    const double room = RoomOf(replay, kBurst, kBurstEnd);
    INFO("burst: " << tally.describe(room, equals));
    CHECK(tally.admittedWork >= 0.9 * room);
    CHECK(tally.admittedWork <= 1.1 * room);
    CHECK(tally.turnedAwayPart() < 0.05);
    CHECK(tally.inTimeWork >= 0.9 * room);
    CHECK(tally.jain(equals) >= 0.95);
}

}  // namespace

TEST_CASE("A burst with a hot team gets what the upstreams can finish in time") {
    const size_t boxes = GENERATE(6, 83, 295, 985);
    const uint64_t seed = GENERATE(11, 12);
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), seed);
    Play(replay, kHotBurst);
    INFO(boxes << " boxes, seed " << seed);
    CheckBurst(replay, kEquals);
    CheckUndisturbed(replay, kCalm, kBurst);
    CheckUndisturbed(replay, kRecovered, kLast);
}

// Boxes report only while one of them sees a shortage, so the root knows nothing of the calm
// before.
TEST_CASE(
    "A burst whose counts begin with the shortage gets what the upstreams can finish in time") {
    const size_t boxes = GENERATE(6, 83, 295, 985);
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    Root root(0, boxes, boxes);
    replay.play(kEnd, kHotBurst, [&](std::vector<RoomGate>& gates, MonoTime now) {
        const bool isReported = now.ms > kBurst && now.ms < kBurstEnd + 3000;
        if (isReported) {
            root.step(gates, replay.upstreams().allSlots(), now);
        }
    });
    INFO(boxes << " boxes");
    CheckBurst(replay, kEquals);
    CheckUndisturbed(replay, kCalm, kBurst);
    CheckUndisturbed(replay, kRecovered, kLast);
}

TEST_CASE("A second burst is not decided by what is known of the first") {
    const size_t boxes = GENERATE(6, 985);
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    Root root(0, boxes, boxes);
    const RoomReplay::Factor first = BurstOf(2000, 3500, 2.6, {5, 1}, 8);
    const RoomReplay::Factor factor = [&](const ReplayLoad& load, MonoTime now) {
        return now.ms < kBurst ? first(load, now) : kHotBurst(load, now);
    };
    replay.play(kEnd, factor, [&](std::vector<RoomGate>& gates, MonoTime now) {
        // The counts of the first end while everything is still limited.
        if (now.ms < 3500 || now.ms > kBurst) {
            root.step(gates, replay.upstreams().allSlots(), now);
        }
    });
    INFO(boxes << " boxes");
    CheckBurst(replay, kEquals);
    CheckUndisturbed(replay, kRecovered, kLast);
}

TEST_CASE("No team gets less than half of its fair share of a burst") {
    RoomReplay replay(83, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    Play(replay, kHotBurst);
    const ReplayTally tally(replay, kBurst, kBurstEnd);
    // Each of the twelve asks for more than an equal share.
    const double share = RoomOf(replay, kBurst, kBurstEnd) / 0.060 / 12;
    for (uint32_t team = 1; team <= 12; ++team) {
        INFO("team " << team);
        CHECK(tally.inTimeByClass.at({5, team}) >= 0.5 * share);
    }
}

TEST_CASE("Callers that repeat at once take nothing from those who wait") {
    const size_t boxes = GENERATE(6, 985);
    std::vector<ReplayLoad> loads = EqualTeams(12, ReplayLoad{{5, 0}, 20});
    for (ReplayLoad& load : loads) {
        load.isRepeated = load.of.team % 2 == 0;
    }
    RoomReplay replay(boxes, {}, loads, 11);
    Play(replay, kHotBurst);
    INFO(boxes << " boxes");
    CheckBurst(replay, kEquals);
    CheckUndisturbed(replay, kRecovered, kLast);
}

TEST_CASE("A more urgent priority goes first, and a less urgent one keeps its tenth") {
    const size_t boxes = GENERATE(6, 83, 985);
    std::vector<ReplayLoad> loads = EqualTeams(12, ReplayLoad{{1, 0}, 20});
    for (ReplayLoad& load : loads) {
        load.of.priority = load.of.team <= 6 ? 1 : 5;
    }
    RoomReplay replay(boxes, {}, loads, 12);
    Play(replay, BurstOf(kBurst, kBurstEnd, 2.6, {1, 1}, 8));
    INFO(boxes << " boxes");
    CheckBurst(replay, {{5, 7}, {5, 8}, {5, 9}, {5, 10}, {5, 11}, {5, 12}});
    CheckUndisturbed(replay, kRecovered, kLast);

    const ReplayTally tally(replay, kBurst + 1000, kBurstEnd);
    const double requests = RoomOf(replay, kBurst + 1000, kBurstEnd) / 0.060;
    CHECK(tally.inTimeOf(5) >= 0.9 * kReservedFraction * requests);
    CHECK(tally.inTimeOf(1) >= 0.9 * (1 - kReservedFraction) * requests);
}

TEST_CASE("A service like a model's gets what it can finish in time") {
    const size_t boxes = GENERATE(6, 83, 985);
    // No upstream turns a request away, and the first byte comes after a fifth of the work.
    const ReplayUpstreams upstreams{8, 24, 1'000'000};
    RoomReplay replay(boxes, upstreams, EqualTeams(12, ReplayLoad{{5, 0}, 9.6, 1000, 0.2, 800}),
                      11);
    Play(replay, kHotBurst);
    INFO(boxes << " boxes");
    CheckBurst(replay, kEquals);
    CheckUndisturbed(replay, kCalm, kBurst);
    CheckUndisturbed(replay, kRecovered, kLast);
}

TEST_CASE("Upstreams four times slower get less, and answers are not late for long") {
    const size_t boxes = GENERATE(6, 83, 985);
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20, 60, 1, 1000}), 11);
    Play(replay, [&](const ReplayLoad&, MonoTime now) {
        const bool isSlow = now.ms >= kBurst && now.ms < kBurstEnd;
        replay.upstreams().slowness = isSlow ? 4 : 1;
        return 1.0;
    });
    INFO(boxes << " boxes");
    CheckUndisturbed(replay, kCalm, kBurst);
    CheckUndisturbed(replay, kRecovered, kLast);
    // After as long as it takes to see that the upstreams are slow and to empty their queues.
    const ReplayTally tally(replay, kBurst + 3000, kBurstEnd - 1000);
    const double room = RoomOf(replay, kBurst + 3000, kBurstEnd - 1000) / 4;
    INFO(tally.describe(room, kEquals));
    CHECK(tally.admittedWork >= 0.9 * room);
    CHECK(tally.admittedWork <= 1.1 * room);
    CHECK(tally.turnedAwayPart() < 0.05);
    CHECK(tally.late < 0.05 * static_cast<double>(tally.inTime));
}

TEST_CASE("Two halves of a cut site together admit about the room") {
    const size_t boxes = GENERATE(6, 83, 985);
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    Root whole(0, boxes, boxes);
    Root left(0, boxes / 2, boxes);
    Root right(boxes / 2, boxes, boxes);
    replay.play(kEnd, kHotBurst, [&](std::vector<RoomGate>& gates, MonoTime now) {
        const double slots = replay.upstreams().allSlots();
        if (now.ms < 9000) {
            whole.step(gates, slots, now);
        } else {
            left.step(gates, slots, now);
            right.step(gates, slots, now);
        }
    });
    const ReplayTally tally(replay, 9000, kBurstEnd);
    const double room = RoomOf(replay, 9000, kBurstEnd);
    INFO(boxes << " boxes: " << tally.describe(room, kEquals));
    CHECK(tally.admittedWork >= 0.9 * room);
    CHECK(tally.admittedWork <= 1.1 * room);
    CHECK(tally.turnedAwayPart() < 0.05);
    CHECK(tally.jain(kEquals) >= 0.95);
    CheckUndisturbed(replay, kRecovered, kLast);
}

TEST_CASE("A burst whose sums come two periods late gets what the upstreams can finish in time") {
    const size_t boxes = GENERATE(6, 83, 295, 985);
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    Root root(0, boxes, boxes, 2);
    replay.play(kEnd, kHotBurst, [&](std::vector<RoomGate>& gates, MonoTime now) {
        root.step(gates, replay.upstreams().allSlots(), now);
    });
    INFO(boxes << " boxes");
    CheckBurst(replay, kEquals);
    CheckUndisturbed(replay, kCalm, kBurst);
    CheckUndisturbed(replay, kRecovered, kLast);
}

TEST_CASE("Callers that return when they were told to do not come in one wave") {
    const size_t boxes = GENERATE(6, 985);
    std::vector<ReplayLoad> loads = EqualTeams(12, ReplayLoad{{5, 0}, 20});
    for (ReplayLoad& load : loads) {
        load.isReturning = true;
    }
    RoomReplay replay(boxes, {}, loads, 11);
    Play(replay, kHotBurst);
    INFO(boxes << " boxes");
    CheckBurst(replay, kEquals);
    const ReplayTally after(replay, kBurstEnd, kLast);
    INFO("after: " << after.describe(RoomOf(replay, kBurstEnd, kLast), kEquals));
    CHECK(after.turnedAwayPart() < 0.05);
    CHECK(after.late < 0.05 * static_cast<double>(after.inTime));
}

TEST_CASE("Boxes that do not report use their part of the room") {
    const size_t boxes = 295;
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    // A tenth of the boxes sends no counts and gets no shares; what they send is not counted.
    Root root(0, boxes - boxes / 10, boxes);
    replay.play(kEnd, kHotBurst, [&](std::vector<RoomGate>& gates, MonoTime now) {
        root.step(gates, replay.upstreams().allSlots(), now);
    });
    const ReplayTally tally(replay, kBurst, kBurstEnd);
    const double room = RoomOf(replay, kBurst, kBurstEnd);
    INFO(tally.describe(room, kEquals));
    CHECK(tally.admittedWork >= 0.9 * room);
    CHECK(tally.admittedWork <= 1.1 * room);
    CHECK(tally.turnedAwayPart() < 0.05);
    CHECK(tally.jain(kEquals) >= 0.95);
}

TEST_CASE("Nothing is refused while there is room, however few slots a service has") {
    const size_t upstreams = GENERATE(1, 2, 8);
    const size_t slots = GENERATE(1, 4);
    const ReplayUpstreams service{upstreams, slots, 100};
    const double perSecond = 0.5 * service.allSlots() / 0.060;
    RoomReplay replay(12, service, EqualTeams(4, ReplayLoad{{5, 0}, perSecond / 4}), 11);
    Play(replay, [](const ReplayLoad&, MonoTime) { return 1.0; });
    INFO(upstreams << " upstreams of " << slots);
    CheckUndisturbed(replay, kCalm, kLast);
}
