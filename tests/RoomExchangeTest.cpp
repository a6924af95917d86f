#include "include/peers/RoomExchange.h"

#include "include/base/Hash.h"
#include "include/wire/FrameCodec.h"

#include <catch2/catch.hpp>

#include <limits>
#include <set>

using namespace onyx;

namespace {

const ServiceId kService{"reservations"};
constexpr Millis kStart = 10000;  // Milliseconds.

RoomCounts MakeCounts(bool pressed) {
    RoomCounts counts;
    counts.pressed = pressed;
    counts.inFlight = 3;
    counts.classes = {{{1, 7}, 10, 8}, {{5, 0}, 4, 2}};
    counts.priorities = {{1, 250, 8, 1, 400, 70}};
    return counts;
}

wire::BodyUnion Decode(const std::string& frame) {
    // A buffer of its own, aligned for the frame's numbers.
    const std::vector<char> content(frame.begin() + kFrameHeaderSize, frame.end());
    auto body = DecodeFrame(content);
    REQUIRE(body.has_value());
    return std::move(body.value());
}

wire::RoomReportT MakeReport(const RoomCounts& counts, bool isSummed) {
    return *Decode(EncodeRoomReport(kService.value, counts, isSummed)).AsRoomReport();
}

SharesMessage MakeShares(uint64_t round, double fraction) {
    SharesMessage message;
    message.round = round;
    message.report = true;
    message.shares.limited = true;
    message.shares.classes = {{{5, 0}, fraction}};
    return message;
}

wire::RoomSharesT MakeFrame(const SharesMessage& message, bool isRoot) {
    return *Decode(EncodeRoomShares(kService.value, message, isRoot)).AsRoomShares();
}

std::vector<KnownBox> MakeBoxes(size_t boxes, size_t zones) {
    std::vector<KnownBox> known;
    for (size_t i = 0; i < boxes; ++i) {
        known.push_back({"10." + std::to_string(i % zones) + ".0." + std::to_string(i) + ":7340",
                         "zone-" + std::to_string(i % zones)});
    }
    return known;
}

// A site of one zone, of which a test plays one box.
struct Zone {
    explicit Zone(size_t count = 12) : boxes(MakeBoxes(count, 1)) {
        keepers.setBoxes(boxes);
        roots = keepers.rootsOf(hash, "zone-0");
        collectors = keepers.collectorsOf(hash, boxes[0].address);
        for (const KnownBox& box : boxes) {
            const bool keeps = box.address == roots[0] || box.address == roots[1] ||
                               box.address == collectors[0] || box.address == collectors[1];
            if (!keeps) {
                plain.push_back(box.address);
            }
        }
    }
    RoomExchange make(const std::string& self) const {
        RoomExchange exchange(self, "zone-0");
        exchange.setBoxes(boxes);
        exchange.setSlots(kService, 24);
        return exchange;
    }

    uint64_t hash = HashText(kService.value);
    std::vector<KnownBox> boxes;
    RoomKeepers keepers;
    std::vector<std::string> roots;
    std::vector<std::string> collectors;
    std::vector<std::string> plain;  // Boxes that are neither.
};

// What a box sends when it has counts at `now`.
std::vector<OutgoingFrame> Step(RoomExchange& exchange, bool pressed, MonoTime now) {
    exchange.setOwnCounts(kService, MakeCounts(pressed), now);
    return exchange.makeDueFrames(now);
}

}  // namespace

TEST_CASE("A box sends nothing while it sees no shortage and nobody asks") {
    const Zone zone;
    for (const KnownBox& box : zone.boxes) {
        RoomExchange exchange = zone.make(box.address);
        for (Millis ms = kStart; ms < kStart + 5000; ms += RoomExchange::kPeriod) {
            CHECK(Step(exchange, false, {ms}).empty());
        }
    }
}

TEST_CASE("A box that sees a shortage reports to its first collector") {
    const Zone zone;
    RoomExchange exchange = zone.make(zone.plain[0]);
    const auto frames = Step(exchange, true, {kStart});
    REQUIRE(frames.size() == 1);
    CHECK(frames[0].to == std::vector{zone.collectors[0]});
    const auto body = Decode(frames[0].frame);
    const auto* report = body.AsRoomReport();
    REQUIRE(report != nullptr);
    CHECK(report->service == kService.value);
    CHECK(report->boxes == 1);
    CHECK_FALSE(report->summed);
    CHECK(report->pressed);
    CHECK(report->classes.size() == 2);
    // The same counts are not sent twice.
    CHECK(exchange.makeDueFrames({kStart + 200}).empty());
}

TEST_CASE("A box reports to its second collector while no shares come through the first") {
    const Zone zone;
    RoomExchange exchange = zone.make(zone.plain[0]);
    const auto reportedTo = [&](Millis ms) { return Step(exchange, true, {ms})[0].to[0]; };
    Millis ms = kStart;
    for (; ms < kStart + 600; ms += 200) {
        CHECK(reportedTo(ms) == zone.collectors[0]);
    }
    CHECK(reportedTo(ms) == zone.collectors[1]);
    // Through the second one they come.
    for (uint64_t round = 1; round < 10; ++round) {
        exchange.handleShares(zone.collectors[1], MakeFrame(MakeShares(round, 0.5), false), {ms});
        ms += 200;
        CHECK(reportedTo(ms) == zone.collectors[1]);
    }
    // The first one works again.
    exchange.handleShares(zone.collectors[0], MakeFrame(MakeShares(20, 0.5), false), {ms});
    CHECK(reportedTo(ms + 200) == zone.collectors[0]);
}

TEST_CASE("A box whose collectors are all silent tries them in turn") {
    const Zone zone;
    RoomExchange exchange = zone.make(zone.plain[0]);
    std::set<std::string> tried;
    std::string last;
    for (Millis ms = kStart; ms < kStart + 1400; ms += 200) {
        last = Step(exchange, true, {ms})[0].to[0];
        tried.insert(last);
    }
    CHECK(tried == std::set(zone.collectors.begin(), zone.collectors.end()));
    CHECK(last == zone.collectors[0]);
}

TEST_CASE("A new shortage begins with the first collector") {
    const Zone zone;
    RoomExchange exchange = zone.make(zone.plain[0]);
    for (Millis ms = kStart; ms <= kStart + 600; ms += 200) {
        Step(exchange, true, {ms});
    }
    CHECK(Step(exchange, true, {kStart + 10000})[0].to[0] == zone.collectors[0]);
}

TEST_CASE("A box that is asked reports for a while without a shortage of its own") {
    const Zone zone;
    RoomExchange exchange = zone.make(zone.plain[0]);
    CHECK_FALSE(exchange.isReportWanted(kService, {kStart}));
    exchange.handleShares(zone.collectors[0], MakeFrame(MakeShares(1, 0.5), false), {kStart});
    CHECK(exchange.isReportWanted(kService, {kStart}));
    CHECK(Step(exchange, false, {kStart + 100}).size() == 1);
    CHECK_FALSE(exchange.isReportWanted(kService, {kStart + RoomExchange::kReportTime + 1}));
    CHECK(Step(exchange, false, {kStart + RoomExchange::kReportTime + 1}).empty());
}

TEST_CASE("A collector sums the newest report of each box and drops old ones") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    const auto sumAt = [&](Millis ms) -> std::optional<RoomCounts> {
        const auto frames = collector.makeDueFrames({ms});
        if (frames.empty()) {
            return std::nullopt;
        }
        CHECK(frames.size() == 1);
        CHECK(frames[0].to == zone.roots);
        const auto body = Decode(frames[0].frame);
        CHECK(body.AsRoomReport()->summed);
        return DecodeRoomReport(*body.AsRoomReport());
    };
    collector.handleReport(zone.plain[0], MakeReport(MakeCounts(false), false), {kStart});
    collector.handleReport(zone.plain[0], MakeReport(MakeCounts(false), false), {kStart + 100});
    collector.handleReport(zone.plain[1], MakeReport(MakeCounts(true), false), {kStart + 300});
    const auto both = sumAt(kStart + 400);
    REQUIRE(both);
    CHECK(both->boxes == 2);
    CHECK(both->pressed);
    CHECK(both->inFlight == Approx(6));
    const auto one = sumAt(kStart + 100 + kMaxRoomAge + 1);
    REQUIRE(one);
    CHECK(one->boxes == 1);
    CHECK_FALSE(sumAt(kStart + 300 + kMaxRoomAge + 1));
}

TEST_CASE("A report of one box counts as one whatever it says") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    RoomCounts counts = MakeCounts(true);
    counts.boxes = 500;
    collector.handleReport(zone.plain[0], MakeReport(counts, false), {kStart});
    const auto frames = collector.makeDueFrames({kStart});
    REQUIRE(frames.size() == 1);
    const auto body = Decode(frames[0].frame);
    CHECK(body.AsRoomReport()->boxes == 1);
}

TEST_CASE("A collector takes reports of a bounded number of boxes") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    for (int i = 0; i < 1000; ++i) {
        collector.handleReport("10.8.0.1:" + std::to_string(i), MakeReport(MakeCounts(true), false),
                               {kStart});
    }
    const auto frames = collector.makeDueFrames({kStart});
    REQUIRE(frames.size() == 1);
    const auto body = Decode(frames[0].frame);
    CHECK(body.AsRoomReport()->boxes <= 2 * RoomKeepers::kGroupSize);
}

TEST_CASE("A root answers a shortage, asks all to report, and stops after it") {
    const Zone zone(83);
    RoomExchange root = zone.make(zone.roots[0]);
    CHECK(root.makeDueFrames({kStart}).empty());
    root.handleReport(zone.collectors[0], MakeReport(MakeCounts(true), true), {kStart});
    const auto frames = root.makeDueFrames({kStart});
    REQUIRE(frames.size() == 1);
    std::set<std::string> firsts;
    for (const auto& collectors : zone.keepers.allCollectors(zone.hash)) {
        firsts.insert(collectors[0]);
    }
    CHECK(std::set(frames[0].to.begin(), frames[0].to.end()) == firsts);
    const auto body = Decode(frames[0].frame);
    CHECK(body.AsRoomShares()->report);
    CHECK(body.AsRoomShares()->rank == 0);
    // It only asks, since the counts are those of one box.
    CHECK(body.AsRoomShares()->round == 0);
    // The shortage ends; reports go on.
    RoomCounts calm;
    calm.boxes = zone.boxes.size();
    Millis ms = kStart;
    for (; ms <= kStart + RoomExchange::kAfterShortage; ms += 200) {
        root.handleReport(zone.collectors[0], MakeReport(calm, true), {ms});
        CHECK(root.makeDueFrames({ms}).size() == 1);
    }
    root.handleReport(zone.collectors[0], MakeReport(calm, true), {ms});
    CHECK(root.makeDueFrames({ms}).empty());
}

TEST_CASE("A root works shares out once enough boxes report, or after a while") {
    const Zone zone;
    const auto roundAt = [&](RoomExchange& root, size_t boxes, Millis ms) {
        RoomCounts counts = MakeCounts(true);
        counts.boxes = boxes;
        root.handleReport(zone.collectors[0], MakeReport(counts, true), {ms});
        const auto frames = root.makeDueFrames({ms});
        REQUIRE(frames.size() == 1);
        const auto body = Decode(frames[0].frame);
        CHECK(body.AsRoomShares()->report);
        return body.AsRoomShares()->round;
    };
    RoomExchange root = zone.make(zone.roots[0]);
    CHECK(roundAt(root, 1, kStart) == 0);
    CHECK(roundAt(root, zone.boxes.size(), kStart + 200) == 1);
    CHECK(roundAt(root, 1, kStart + 400) == 2);
    // Most boxes are of an older build and never report.
    RoomExchange other = zone.make(zone.roots[0]);
    CHECK(roundAt(other, 1, kStart) == 0);
    CHECK(roundAt(other, 1, kStart + RoomExchange::kMaxAskTime) == 1);
}

TEST_CASE("The first sign of a shortage is passed on before the next period") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    const auto calm = MakeReport(MakeCounts(false), false);
    const auto pressed = MakeReport(MakeCounts(true), false);
    CHECK(collector.handleReport(zone.plain[0], calm, {kStart}).empty());
    const auto frames = collector.handleReport(zone.plain[0], pressed, {kStart});
    REQUIRE(frames.size() == 1);
    CHECK(frames[0].to == zone.roots);
    // Only the first one.
    CHECK(collector.handleReport(zone.plain[1], pressed, {kStart + 100}).empty());

    RoomExchange root = zone.make(zone.roots[0]);
    const auto sum = MakeReport(MakeCounts(true), true);
    CHECK(root.handleReport(zone.collectors[0], sum, {kStart}).size() == 1);
    CHECK(root.handleReport(zone.collectors[0], sum, {kStart + 100}).empty());
}

TEST_CASE("A box that is only asked reports and keeps the shares that it has") {
    const Zone zone;
    const auto ask = MakeFrame(MakeShares(0, 0.1), true);
    RoomExchange collector = zone.make(zone.collectors[0]);
    CHECK(collector.handleShares(zone.roots[0], ask, {kStart}).size() == 1);
    // The second root asks as well.
    CHECK(collector.handleShares(zone.roots[1], ask, {kStart + 10}).empty());
    CHECK(collector.isReportWanted(kService, {kStart}));
    CHECK_FALSE(collector.sharesOf(kService));

    RoomExchange box = zone.make(zone.plain[0]);
    box.handleShares(zone.collectors[0], MakeFrame(MakeShares(1, 0.5), false), {kStart});
    box.handleShares(zone.collectors[0], MakeFrame(MakeShares(0, 0.1), false), {kStart + 2000});
    CHECK(box.isReportWanted(kService, {kStart + 2000}));
    CHECK(box.sharesOf(kService)->asOf == MonoTime{kStart});
}

// Guards against the end of limits in the middle of a shortage, at which no box sees a sign of it
// since enough is refused.
TEST_CASE("A root goes on while it limits requests though no box sees a shortage") {
    const Zone zone;
    RoomExchange root = zone.make(zone.roots[0]);
    RoomCounts counts = MakeCounts(true);
    counts.boxes = zone.boxes.size();
    counts.inFlight = 60;
    counts.declined = 200;
    counts.classes = {{{1, 7}, 2000, 400}};
    counts.priorities = {{1, 250, 400, 0, 400.0 * 60, 60}};
    Millis ms = kStart;
    root.handleReport(zone.collectors[0], MakeReport(counts, true), {ms});
    REQUIRE(root.makeDueFrames({ms}).size() == 1);
    counts.pressed = false;
    counts.declined = 0;
    counts.inFlight = 24;
    for (; ms < kStart + 3 * RoomExchange::kAfterShortage; ms += 200) {
        root.handleReport(zone.collectors[0], MakeReport(counts, true), {ms});
        CHECK(root.makeDueFrames({ms}).size() == 1);
    }
}

// Guards against requests in flight that swing about the limit where datagrams are slow.
TEST_CASE("A root accounts for the time that its shares take to the boxes") {
    const Zone zone;
    RoomCounts counts = MakeCounts(true);
    counts.boxes = zone.boxes.size();
    counts.inFlight = 80;
    counts.classes = {{{1, 7}, 1000, 400}};
    counts.priorities = {{1, 250, 400, 0, 400.0 * 60, 60}};
    const auto lastFraction = [&](Millis delay) {
        RoomExchange root = zone.make(zone.roots[0]);
        double fraction = 1;
        for (Millis ms = kStart; ms < kStart + 3000; ms += 200) {
            root.handleReport(zone.collectors[0], MakeReport(counts, true), {ms});
            const auto frames = root.makeDueFrames({ms});
            REQUIRE(frames.size() == 1);
            const auto body = Decode(frames[0].frame);
            const auto shares = DecodeRoomShares(*body.AsRoomShares());
            REQUIRE(shares->shares.classes.size() == 1);
            fraction = shares->shares.classes[0].fraction;
            root.handleShares(zone.collectors[0], MakeFrame(*shares, false), {ms + delay});
        }
        return fraction;
    };
    // The last shares admit less than is finished; after a longer time less is left to finish.
    CHECK(lastFraction(150) > lastFraction(0));
}

TEST_CASE("The second root goes on while the shares of the first limit requests") {
    const Zone zone;
    RoomCounts calm;
    calm.boxes = zone.boxes.size();
    const auto framesOf = [&](RoomExchange& root, Millis ms, double fraction) {
        root.handleReport(zone.collectors[0], MakeReport(calm, true), {ms});
        const auto frame = MakeFrame(MakeShares(static_cast<uint64_t>(ms), fraction), false);
        root.handleShares(zone.collectors[0], frame, {ms});
        return root.makeDueFrames({ms}).size();
    };
    RoomExchange limited = zone.make(zone.roots[1]);
    RoomExchange free = zone.make(zone.roots[1]);
    for (RoomExchange* root : {&limited, &free}) {
        root->handleReport(zone.collectors[0], MakeReport(MakeCounts(true), true), {kStart});
    }
    const Millis later = kStart + RoomExchange::kAfterShortage + 600;
    for (Millis ms = kStart + 200; ms < later; ms += 200) {
        framesOf(limited, ms, 0.5);
        framesOf(free, ms, 1);
    }
    CHECK(framesOf(limited, later, 0.5) == 1);
    CHECK(framesOf(free, later, 1) == 0);
}

TEST_CASE("A root sends to the second collector of a group whose first is silent") {
    const Zone zone;
    RoomExchange root = zone.make(zone.roots[0]);
    const auto sentTo = [&](Millis ms, const std::string& collector) {
        root.handleReport(collector, MakeReport(MakeCounts(true), true), {ms});
        return root.makeDueFrames({ms})[0].to;
    };
    Millis ms = kStart;
    for (; ms < kStart + 2000; ms += 200) {
        CHECK(sentTo(ms, zone.collectors[0]) == std::vector{zone.collectors[0]});
    }
    // The first one was killed, the second one takes its place.
    for (; ms < kStart + 4000; ms += 200) {
        CHECK(sentTo(ms, zone.collectors[1]) == zone.collectors);
    }
}

TEST_CASE("A root asks the second collector of a group from which it hears nothing") {
    const Zone zone(83);
    const auto groups = zone.keepers.allCollectors(zone.hash);
    REQUIRE(groups.size() == 3);
    RoomExchange root = zone.make(zone.roots[0]);
    const auto sentTo = [&](Millis ms) {
        root.handleReport(groups[0][0], MakeReport(MakeCounts(true), true), {ms});
        const auto to = root.makeDueFrames({ms})[0].to;
        return std::set(to.begin(), to.end());
    };
    CHECK(sentTo(kStart) == std::set{groups[0][0], groups[1][0], groups[2][0]});
    CHECK(sentTo(kStart + kMaxRoomAge + 1) ==
          std::set{groups[0][0], groups[1][0], groups[1][1], groups[2][0], groups[2][1]});
}

TEST_CASE("A root without recent sums, without slots or by its own list not one stays silent") {
    const Zone zone;
    RoomExchange root = zone.make(zone.roots[0]);
    root.handleReport(zone.collectors[0], MakeReport(MakeCounts(true), true), {kStart});
    REQUIRE(root.makeDueFrames({kStart}).size() == 1);
    CHECK(root.makeDueFrames({kStart + kMaxRoomAge + 1}).empty());

    RoomExchange noSlots = zone.make(zone.roots[0]);
    noSlots.setSlots(kService, 0);
    noSlots.handleReport(zone.collectors[0], MakeReport(MakeCounts(true), true), {kStart});
    CHECK(noSlots.makeDueFrames({kStart}).empty());

    RoomExchange other = zone.make(zone.plain[0]);
    other.handleReport(zone.collectors[0], MakeReport(MakeCounts(true), true), {kStart});
    CHECK(other.makeDueFrames({kStart}).empty());
}

TEST_CASE("A collector passes the shares of the best root that it hears on to its group") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    const auto handle = [&](size_t root, uint64_t round, Millis ms) {
        const double fraction = root == 0 ? 0.25 : 0.75;
        return collector.handleShares(zone.roots[root],
                                      MakeFrame(MakeShares(round, fraction), true), {ms});
    };
    // The second root is heard first.
    CHECK(handle(1, 1, kStart).size() == 1);
    const auto passed = handle(0, 1, kStart + 10);
    REQUIRE(passed.size() == 1);
    CHECK(passed[0].to.size() == zone.boxes.size() - 1);
    const auto body = Decode(passed[0].frame);
    CHECK(body.AsRoomShares()->rank == 1);
    CHECK(body.AsRoomShares()->shares[0].fraction() == Approx(0.25));
    // From now on only the first one counts, each round once.
    CHECK(handle(1, 2, kStart + 200).empty());
    CHECK(handle(0, 1, kStart + 200).empty());
    CHECK(handle(0, 3, kStart + 400).size() == 1);
    CHECK(handle(0, 2, kStart + 410).empty());
    CHECK(collector.sharesOf(kService)->shares.classes[0].fraction == Approx(0.25));
    // The first one was killed.
    CHECK(handle(1, 5, kStart + 400 + kMaxRoomAge).empty());
    CHECK(handle(1, 6, kStart + 400 + kMaxRoomAge + 1).size() == 1);
    CHECK(collector.sharesOf(kService)->shares.classes[0].fraction == Approx(0.75));
    // It starts again.
    CHECK(handle(0, 1, kStart + 3000).size() == 1);
}

TEST_CASE("A collector passes shares on to boxes that report to it though it has them elsewhere") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    collector.handleReport("10.8.0.1:7340", MakeReport(MakeCounts(true), false), {kStart});
    const auto passed =
        collector.handleShares(zone.roots[0], MakeFrame(MakeShares(1, 0.5), true), {kStart});
    REQUIRE(passed.size() == 1);
    CHECK(std::count(passed[0].to.begin(), passed[0].to.end(), "10.8.0.1:7340") == 1);
}

TEST_CASE("A box keeps the shares of the best root, with their age") {
    const Zone zone;
    RoomExchange exchange = zone.make(zone.plain[0]);
    CHECK_FALSE(exchange.sharesOf(kService));
    SharesMessage first = MakeShares(5, 0.25);
    first.age = 40;
    CHECK(exchange.handleShares(zone.collectors[0], MakeFrame(first, false), {kStart}).empty());
    REQUIRE(exchange.sharesOf(kService));
    CHECK(exchange.sharesOf(kService)->asOf == MonoTime{kStart - 40});
    CHECK(exchange.sharesOf(kService)->shares.limited);
    // The other collector hears only the second root.
    SharesMessage second = MakeShares(9, 0.75);
    second.rank = 1;
    exchange.handleShares(zone.collectors[1], MakeFrame(second, false), {kStart + 100});
    CHECK(exchange.sharesOf(kService)->shares.classes[0].fraction == Approx(0.25));
    // Late ones do not replace newer ones.
    SharesMessage old = MakeShares(6, 0.1);
    old.age = 5000;
    exchange.handleShares(zone.collectors[0], MakeFrame(old, false), {kStart + 150});
    CHECK(exchange.sharesOf(kService)->shares.classes[0].fraction == Approx(0.25));
    exchange.handleShares(zone.collectors[0], MakeFrame(MakeShares(4, 0.1), false), {kStart + 200});
    CHECK(exchange.sharesOf(kService)->shares.classes[0].fraction == Approx(0.25));
}

TEST_CASE("Shares of boxes that are no keepers are ignored") {
    const Zone zone;
    RoomExchange box = zone.make(zone.plain[0]);
    box.handleShares(zone.plain[1], MakeFrame(MakeShares(1, 0), false), {kStart});
    box.handleShares("10.66.6.6:7340", MakeFrame(MakeShares(1, 0), false), {kStart});
    CHECK_FALSE(box.sharesOf(kService));
    RoomExchange collector = zone.make(zone.collectors[0]);
    CHECK(
        collector.handleShares(zone.plain[1], MakeFrame(MakeShares(1, 0), true), {kStart}).empty());
    CHECK_FALSE(collector.sharesOf(kService));
}

TEST_CASE("A box that is alone collects and decides without a datagram") {
    RoomExchange exchange("10.0.0.0:7340", "zone-0");
    exchange.setBoxes(MakeBoxes(1, 1));
    exchange.setSlots(kService, 5);
    CHECK(Step(exchange, true, {kStart}).empty());
    REQUIRE(exchange.sharesOf(kService));
    CHECK(exchange.sharesOf(kService)->asOf == MonoTime{kStart});
    CHECK(exchange.isReportWanted(kService, {kStart}));
}

TEST_CASE("Malformed reports are ignored, large values bounded") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    const float bad = GENERATE(std::numeric_limits<float>::quiet_NaN(),
                               std::numeric_limits<float>::infinity(), -1.0F);
    std::vector<wire::RoomReportT> malformed(4, MakeReport(MakeCounts(true), false));
    malformed[0].in_flight = bad;
    malformed[1].declined = bad;
    malformed[2].classes[1] = {7, 1, bad, 0};
    malformed[3].priorities[0] = {1, 250, 8, 1, bad, 70};
    for (const auto& report : malformed) {
        collector.handleReport(zone.plain[0], report, {kStart});
        CHECK(collector.makeDueFrames({kStart}).empty());
    }
    wire::RoomReportT huge = MakeReport(MakeCounts(true), false);
    huge.in_flight = std::numeric_limits<float>::max();
    huge.classes.resize(5000, huge.classes[0]);
    const auto counts = DecodeRoomReport(huge);
    REQUIRE(counts);
    CHECK(counts->inFlight < 1e9);
    CHECK(counts->classes.size() <= RoomCounts::kMaxClasses);
    // Without classes and priorities it is a report like others.
    wire::RoomReportT bare;
    bare.service = kService.value;
    collector.handleReport(zone.plain[0], bare, {kStart});
    CHECK(collector.makeDueFrames({kStart}).size() == 1);
}

TEST_CASE("Malformed shares are ignored, fractions above one bounded") {
    wire::RoomSharesT shares = MakeFrame(MakeShares(1, 0.5), false);
    shares.shares[0] = {0, 5, 7};
    const auto decoded = DecodeRoomShares(shares);
    REQUIRE(decoded);
    CHECK(decoded->shares.classes[0].fraction == 1);
    shares.shares[0] = {0, 5, std::numeric_limits<float>::quiet_NaN()};
    CHECK_FALSE(DecodeRoomShares(shares));
    shares.shares[0] = {0, 5, -0.5F};
    CHECK_FALSE(DecodeRoomShares(shares));
    shares.shares.clear();
    shares.rank = 255;
    const Zone zone;
    RoomExchange box = zone.make(zone.plain[0]);
    box.handleShares(zone.collectors[0], shares, {kStart});
    CHECK_FALSE(box.sharesOf(kService));
}

TEST_CASE("Unknown services, long names and services beyond the bound are ignored") {
    const Zone zone;
    RoomExchange collector = zone.make(zone.collectors[0]);
    wire::RoomReportT unknown = MakeReport(MakeCounts(true), false);
    unknown.service = "unknown";
    collector.handleReport(zone.plain[0], unknown, {kStart});
    CHECK(collector.makeDueFrames({kStart}).empty());

    const ServiceId longName(std::string(kMaxRoomServiceName + 1, 'x'));
    collector.setOwnCounts(longName, MakeCounts(true), {kStart});
    CHECK(collector.makeDueFrames({kStart}).empty());

    RoomExchange full = zone.make(zone.plain[0]);
    for (size_t i = 0; i < 2 * RoomExchange::kMaxServices; ++i) {
        full.setOwnCounts(ServiceId("service-" + std::to_string(i)), MakeCounts(true), {kStart});
    }
    const ServiceId last("service-" + std::to_string(2 * RoomExchange::kMaxServices - 1));
    const auto reports = [&] {
        full.setOwnCounts(last, MakeCounts(true), {kStart});
        size_t count = 0;
        for (const OutgoingFrame& frame : full.makeDueFrames({kStart})) {
            count += Decode(frame.frame).AsRoomReport()->service == last.value ? 1 : 0;
        }
        return count;
    };
    CHECK(reports() == 0);
    full.forget(ServiceId("service-0"));
    CHECK(reports() == 1);
}

TEST_CASE("The largest messages fit into one datagram") {
    const std::string service(kMaxRoomServiceName, 'x');
    RoomCounts counts;
    counts.boxes = 985;
    SharesMessage message;
    message.round = std::numeric_limits<uint64_t>::max();
    message.report = true;
    message.age = 60000;
    message.shares.limited = true;
    message.shares.retryAfter = 60000;
    for (uint32_t i = 0; i < 200; ++i) {
        counts.classes.push_back({{9, ~i}, 1e6, 1e6});
        counts.priorities.push_back({static_cast<int>(i), 100000, 1e6, 1e6, 1e6, 1e6});
        message.shares.classes.push_back({{9, ~i}, 0.123});
    }
    counts.pressed = true;
    counts.inFlight = counts.declined = 1e6;
    CHECK(EncodeRoomReport(service, counts, true).size() < kMaxRoomFrame);
    CHECK(EncodeRoomShares(service, message, false).size() < kMaxRoomFrame);
}
