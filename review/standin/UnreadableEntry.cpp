// Case: another writer's entry among the replicas has bytes that cannot be read. See claim.txt.
#include "Site.h"

using namespace review;

namespace {

// Bounds of mostrador-norte-fleet, whose page tells of entries of another writer.
constexpr long kDrainMs = 5000;
constexpr long kConnectedMs = 6000;
constexpr long kRecoveryMs = 18000;
const char* const kBounds =
    "leaving_bound_ms = 5000\nconfiguration_bound_ms = 5000\nkey_bound_ms = 5000\n";

// `born` stands at the top level of what a replica of this site says of itself.
std::string EntryOf(const Replica& replica, const std::string& state) {
    std::string entry = replica.entry(state);
    entry.pop_back();
    return entry + ",\"born\":1764000000000}";
}

struct Served {
    int sent = 0;
    int good = 0;
};

// Sends lookups to all boxes in turn for `ms`, 20 a second.
Served SendLookups(const std::vector<std::unique_ptr<Box>>& boxes, long ms, const std::string& part,
                   Record& record) {
    Served served;
    const long until = Now() + ms;
    for (long next = Now(); next < until; next += 50) {
        SleepUntil(next);
        const Box& box = *boxes[static_cast<size_t>(served.sent) % boxes.size()];
        const std::string id = part + "-" + std::to_string(served.sent++);
        const Answer answer = Call(box.callers(), RequestText("GET", "/lookup/2f", id, 600), 600);
        const bool good = answer.status == 200 && answer.complete && answer.signedByReplica;
        served.good += good ? 1 : 0;
        record.line("sent " + id + " to " + box.name() + ", answered " +
                    std::to_string(answer.status) + (good ? "" : " " + answer.body));
    }
    return served;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return 2;
    }
    Record record(argv[1]);
    const bool trouble = WithTrouble();
    const std::string dir = MakeFolder();
    record.line(trouble ? "with the unreadable entry" : "without the unreadable entry");

    Store store("127.40.0.1");
    store.put("config", "main", Configuration(1));
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        replicas.push_back(std::make_unique<Replica>("i-desk-" + number, "desk-api", "bio-hall",
                                                     "127.40.1." + number, record));
        store.put("servers", replicas.back()->id(), EntryOf(*replicas.back(), "ready"));
    }
    std::vector<std::unique_ptr<Box>> boxes;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        boxes.push_back(std::make_unique<Box>("box-" + number, "bio-hall", "127.40.2." + number,
                                              store.address(), dir));
    }
    const std::vector<Address> seeds = {boxes[0]->peers(), boxes[1]->peers(), boxes[2]->peers()};
    const auto startAll = [&] {
        for (const auto& box : boxes) {
            box->start();
        }
    };
    for (const auto& box : boxes) {
        box->writeSettings(seeds, kBounds);
    }
    startAll();
    for (const auto& box : boxes) {
        if (!box->awaitReady(10000)) {
            record.line(box->name() + " did not become ready");
            Finish(boxes, dir, 2);
        }
    }
    SleepMs(kConnectedMs);
    const Served before = SendLookups(boxes, 3000, "before", record);

    // The last sign of a text of another writer is half of a pair, as a text that was cut in the
    // middle of it has.
    if (trouble) {
        store.put("servers", "legacy-note",
                  "{\"service\":\"notes \\ud83d\",\"address\":\"127.40.3.1:9\",\"born\":1}");
        record.line("another writer's entry was acknowledged");
    }
    SleepMs(1000);

    // One replica drains meanwhile, and serves on for longer than it has to.
    const long drained = store.put("servers", replicas[2]->id(), EntryOf(*replicas[2], "draining"));
    record.line("acknowledged: " + replicas[2]->id() + " is draining");
    const Served draining = SendLookups(boxes, kDrainMs + 4000, "draining", record);
    int late = 0;
    for (const Run& run : replicas[2]->runs()) {
        late += run.at > drained + kDrainMs ? 1 : 0;
    }
    replicas[2]->end();
    store.remove("servers", replicas[2]->id());

    // The final fault: all processes are killed and start again.
    for (const auto& box : boxes) {
        box->kill();
    }
    record.line("all boxes were killed");
    SleepMs(1000);
    startAll();
    record.line("all boxes started again");
    SleepMs(kRecoveryMs + 1000);
    const Served after = SendLookups(boxes, 5000, "after", record);
    int ready = 0;
    for (const auto& box : boxes) {
        ready += box->isReady() ? 1 : 0;
    }

    const auto text = [](const Served& served) {
        return std::to_string(served.good) + " of " + std::to_string(served.sent);
    };
    record.line("served before: " + text(before) + ", while a replica drained: " + text(draining) +
                ", more than recovery_s after the boxes came back: " + text(after) +
                "; boxes ready at the end: " + std::to_string(ready) + " of 3");
    record.line("requests at the draining replica more than drain_ms after its acknowledgement: " +
                std::to_string(late));
    if (before.good * 4 < before.sent) {
        record.line("could not run: too few were served before");
        Finish(boxes, dir, 2);
    }
    const bool broken = after.good * 4 < after.sent;
    record.line(broken ? "RECOVER is broken" : "RECOVER holds");
    Finish(boxes, dir, broken ? 1 : 0);
}
