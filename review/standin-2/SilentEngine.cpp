// A model replica puts running streams back for want of memory and reads them anew: they pause, and
// go on. The other replica is full and declines. One box is stopped as planned meanwhile. Judges
// LOST: a replica's silence is no reason to end an answer sooner.
#include "Site.h"

#include <algorithm>
#include <csignal>

namespace onyx::review {

namespace {

// As `rebook-digest`: resumable, two attempts, an objective of 1,200 ms, 12 s.
constexpr Millis kTimeout = 12000;
constexpr Millis kObjective = 1200;
constexpr Millis kEventMs = 250;
constexpr int kEvents = 16;
// Callers bear a gap of four times the objective, 4,800 ms.
constexpr int kPauseAfter = 6;
constexpr Millis kPauseMs = 2500;
constexpr int kSlots = 10;
constexpr int kPlaces = 2;
constexpr int kStreams = 12;  // Through the box that is stopped.
constexpr Millis kStopAt = 1000;
constexpr Millis kGrace = 8000;
constexpr Millis kSettleMs = 12000;

struct Sent {
    std::string id;
    CallerAnswer answer;
};

nlohmann::json Configuration() {
    nlohmann::json route = RouteOf("/digest/", "streaming", "llm", 2, kTimeout, kObjective);
    route["resumable"] = true;
    route["itl_target_ms"] = 400;
    return ConfigurationOf(1, {route});
}

}  // namespace

int RunSilentEngine(asio::io_context& io, const CaseOptions& options) {
    Record record(options.record);
    auto made = FakeStore::Make(io);
    if (made.has_error()) {
        return kCannotRun;
    }
    FakeStore& store = *made.value();
    store.setPageSize(100);
    store.put("config", "main", Configuration());
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    for (const char* id : {"llm-1", "llm-2"}) {
        auto replica = FakeReplica::Make(io, id, "llm", "bio-hall");
        if (replica.has_error()) {
            return kCannotRun;
        }
        replicas.push_back(std::move(replica.value()));
        FakeReplica& last = *replicas.back();
        last.setSlots(kSlots, true);
        last.setPlaces(kPlaces);
        const bool pauses = options.trouble && replicas.size() == 1;
        last.setPace([pauses](const auto&) {
            return platform::AnswerPace{kEventMs, kEvents, pauses ? kPauseAfter : 0, kPauseMs};
        });
        store.put("servers", last.id(), last.object());
    }
    std::vector<std::unique_ptr<BoxProcess>> boxes;
    std::vector<Endpoint> seeds;
    for (size_t i = 0; i < 2; ++i) {
        boxes.push_back(
            std::make_unique<BoxProcess>(i, platform::FindFreePorts(io, i), options.dir));
        seeds.push_back(boxes.back()->ports().peers);
    }
    for (const auto& box : boxes) {
        box->writeSettings(store.endpoint(), seeds, "bio-hall", kGrace, SmallSiteSettings());
        box->start(options.gateway);
    }
    if (!AwaitReady(io, boxes)) {
        record.line("the boxes do not become ready");
        return kCannotRun;
    }
    // A box that has just started has no slack for retries for retry_window_s.
    platform::RunFor(io, kSettleMs);

    std::vector<Sent> sent;
    const auto ask = [&](Endpoint box, std::vector<Sent>* kept) -> Task<> {
        Sent one;
        one.id = NewId();
        CallerRequest request;
        request.target = "/digest/day";
        request.id = one.id;
        request.body = "{\"for\":\"" + one.id + "\"}";
        request.deadline = kTimeout;
        request.headers =
            "Accept: text/event-stream\r\nModel: m\r\nToken-Usage: 1300,55\r\n"
            "Prefix-Hash: " +
            one.id.substr(12) + ":512," + one.id + ":1300\r\n";
        one.answer = co_await Ask(io, box, request);
        if (kept != nullptr) {
            kept->push_back(std::move(one));
        }
    };
    for (int i = 0; i < kStreams; ++i) {
        Spawn(io.get_executor(), ask(boxes[0]->ports().callers, &sent));
    }
    const MonoTime begun = ReadClocks().mono;
    record.line("12 streams are sent to box-0");
    bool over = false;
    const auto others = [&]() -> Task<> {
        co_await SleepFor(300);
        for (int i = 0; i < 30; ++i) {
            Spawn(io.get_executor(), ask(boxes[1]->ports().callers, nullptr));
        }
        while (!over) {
            co_await SleepFor(100);
            Spawn(io.get_executor(), ask(boxes[1]->ports().callers, nullptr));
        }
    };
    Spawn(io.get_executor(), others());
    platform::RunFor(io, kStopAt);
    const MonoTime stopped = ReadClocks().mono;
    boxes[0]->terminate();
    record.line("SIGTERM to box-0");
    platform::RunUntil(
        io, [&] { return sent.size() == static_cast<size_t>(kStreams); }, 13000);
    over = true;
    platform::RunFor(io, 500);

    size_t whole = 0;
    size_t lost = 0;
    size_t unaccepted = 0;
    for (const Sent& one : sent) {
        std::string ran;
        MonoTime lastWork;
        for (const auto& replica : replicas) {
            for (const auto& run : replica->runs()) {
                if (run.id == one.id) {
                    ran += " " + replica->id() + " " + std::to_string(record.since(run.began)) +
                           ".." + (run.ended ? std::to_string(record.since(*run.ended)) : "?");
                    lastWork = std::max(lastWork, run.ended.value_or(ReadClocks().mono));
                }
            }
        }
        const bool isWhole = one.answer.status == 200 && one.answer.complete;
        const bool wasRun = !ran.empty();
        // The last sixth of the grace, in which a replica that is still at work excuses the box.
        const bool isExcused = lastWork >= stopped + kGrace - kGrace / 6 ||
                               one.answer.ended - one.answer.sent >= kTimeout;
        const bool isLost = wasRun && !one.answer.complete && !isExcused;
        whole += isWhole ? 1 : 0;
        lost += isLost ? 1 : 0;
        unaccepted += wasRun ? 0 : 1;
        record.lineAt(
            one.answer.ended,
            one.id + " sent at " + std::to_string(record.since(one.answer.sent)) + " ms, status " +
                std::to_string(one.answer.status) + (one.answer.complete ? ", complete" : ", cut") +
                ", events " +
                std::to_string(std::count(one.answer.body.begin(), one.answer.body.end(), 'i')) +
                ", runs:" + ran + (isLost ? ", in breach of LOST" : ""));
    }
    record.line(
        "streams " + std::to_string(sent.size()) + ", whole " + std::to_string(whole) +
        ", not accepted " + std::to_string(unaccepted) + ", in breach of LOST " +
        std::to_string(lost) + "; declined by llm-1 " + std::to_string(replicas[0]->turnedAway()) +
        ", by llm-2 " + std::to_string(replicas[1]->turnedAway()) +
        "; runs that box-0 or box-1 ended at llm-1 " + std::to_string(replicas[0]->cancelled()));
    if (sent.size() != static_cast<size_t>(kStreams) || begun > stopped) {
        return kCannotRun;
    }
    return lost > 0 ? kBroken : kHeld;
}

}  // namespace onyx::review
