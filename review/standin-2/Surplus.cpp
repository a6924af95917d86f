// A replica follows a part of its answers with a second one, late, in the place of the next answer
// due. Judges REFUSED and TWICE: a request that is not idempotent and gets 503 has not run, and
// none runs twice.
#include "DeskReplica.h"

#include <algorithm>

namespace onyx::review {

namespace {

// The site's dose of garble "extra late": 0.03 of a replica's answers, for 5 s; here several times.
constexpr double kShare = 0.03;
constexpr Millis kSpell = 5000;
constexpr Millis kPause = 1500;
constexpr size_t kBoxes = 3;
constexpr int kClump = 44;      // Requests that come together, at most half as many more.
constexpr Millis kSpread = 40;  // Within so many milliseconds.
constexpr Millis kLength = 95000;

struct Sent {
    std::string id;
    CallerAnswer answer;
};

}  // namespace

int RunSurplus(asio::io_context& io, const CaseOptions& options) {
    Record record(options.record);
    auto made = FakeStore::Make(io);
    if (made.has_error()) {
        return kCannotRun;
    }
    FakeStore& store = *made.value();
    store.setPageSize(100);
    store.put("config", "main",
              ConfigurationOf(1, {RouteOf("/reissue/", "non_idempotent", "desk", 3, 1000, 100)}));
    auto replica = DeskReplica::Make(io, "desk-1", "desk", "bio-hall", 7);
    if (replica.has_error()) {
        return kCannotRun;
    }
    DeskReplica& desk = *replica.value();
    store.put("servers", desk.id(), desk.object());
    std::vector<std::unique_ptr<BoxProcess>> boxes;
    std::vector<Endpoint> seeds;
    for (size_t i = 0; i < kBoxes; ++i) {
        boxes.push_back(
            std::make_unique<BoxProcess>(i, platform::FindFreePorts(io, i), options.dir));
        seeds.push_back(boxes.back()->ports().peers);
    }
    for (size_t i = 0; i < kBoxes; ++i) {
        boxes[i]->writeSettings(store.endpoint(), seeds, "bio-hall", 8000, SmallSiteSettings());
        boxes[i]->start(options.gateway);
    }
    if (!AwaitReady(io, boxes)) {
        record.line("the boxes do not become ready");
        return kCannotRun;
    }
    platform::RunFor(io, 1000);
    record.line(options.trouble
                    ? "3 in 100 answers of desk-1 are followed by a second one, for 5 s "
                      "at a time"
                    : "no answer is followed by another");
    std::vector<Sent> sent;
    std::minstd_rand random(11);
    const auto ask = [&](Endpoint box, Millis after) -> Task<> {
        co_await SleepFor(after);
        Sent one;
        one.id = NewId();
        CallerRequest request;
        request.target = "/reissue/pass";
        request.id = one.id;
        request.body = "{\"for\":\"" + one.id + "\"}";
        request.deadline = 1000;
        one.answer = co_await Ask(io, box, request);
        sent.push_back(std::move(one));
    };
    const MonoTime begun = ReadClocks().mono;
    while (ReadClocks().mono < begun + kLength) {
        const bool isSpell = (ReadClocks().mono - begun) % (kSpell + kPause) < kSpell;
        desk.setSurplus(options.trouble && isSpell ? kShare : 0);
        const int clump = kClump / 2 + static_cast<int>(random() % kClump);
        for (int i = 0; i < clump; ++i) {
            Spawn(io.get_executor(), ask(boxes[random() % kBoxes]->ports().callers,
                                         static_cast<Millis>(random() % kSpread)));
        }
        platform::RunFor(io, 150 + static_cast<Millis>(random() % 200));
    }
    platform::RunFor(io, 2000);

    std::map<std::string, size_t> runs;
    for (const auto& run : desk.runs()) {
        ++runs[run.id];
    }
    std::map<unsigned, size_t> statuses;
    size_t refused = 0;
    size_t twice = 0;
    for (const Sent& one : sent) {
        ++statuses[one.answer.status];
        const size_t ran = runs.contains(one.id) ? runs[one.id] : 0;
        if (ran > 0 && (one.answer.status == 503 || one.answer.status == 429)) {
            ++refused;
            record.lineAt(one.answer.ended, one.id + " gets " + std::to_string(one.answer.status) +
                                                " and has run, in breach of REFUSED");
        }
        if (ran > 1) {
            ++twice;
            record.lineAt(one.answer.ended, one.id + " ran " + std::to_string(ran) +
                                                " times, in breach of TWICE; " + "its caller got " +
                                                std::to_string(one.answer.status));
        }
    }
    for (const auto& [status, count] : statuses) {
        record.line("answers " + std::to_string(status) + ": " + std::to_string(count));
    }
    record.line(
        "requests " + std::to_string(sent.size()) + ", runs " + std::to_string(desk.runs().size()) +
        ", declined by the replica " + std::to_string(desk.declined()) + ", second answers " +
        std::to_string(desk.surplusSent()) + "; in breach of REFUSED: " + std::to_string(refused) +
        ", of TWICE: " + std::to_string(twice));
    return refused + twice > 0 ? kBroken : kHeld;
}

}  // namespace onyx::review
