// Case: a replica goes down and up under its former id, and the time of day of its machine jumps in
// between. See claim.txt.
#include "Site.h"

using namespace review;

namespace {

// Bounds of mostrador-norte-fleet.
constexpr long kDrainMs = 5000;
constexpr long kConnectedMs = 6000;
const char* const kBounds =
    "leaving_bound_ms = 5000\nconfiguration_bound_ms = 5000\nkey_bound_ms = 5000\n";
// clock_step: the time of day jumps by 2,000 ms, and back after 5 s.
constexpr long kJumpMs = 2000;
// srv_flap: replicas go down and up by turns, with a period of 1 s.
constexpr long kFlapMs = 1000;
// A draining replica serves on for drain_ms and at times many seconds more.
constexpr long kServesOnMs = 12000;
constexpr long kWorkMs = 50;            // Of an order: 15 in the mean, 110 at most.
constexpr long kEpoch = 1764000000000;  // Unix milliseconds of the start of the case.

// Its entry in the store. `born`: the time of day of its machine when it started.
std::string EntryOf(const Replica& replica, const std::string& state, long born) {
    std::string entry = replica.entry(state);
    entry.pop_back();
    return entry + ",\"born\":" + std::to_string(kEpoch + born) + "}";
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
    record.line(trouble ? "with the jump of the clock" : "without the jump of the clock");

    Store store("127.42.0.1");
    store.put("config", "main", Configuration(1));
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        replicas.push_back(std::make_unique<Replica>("i-desk-" + number, "desk-api", "bio-hall",
                                                     "127.42.1." + number, record));
        replicas.back()->setWork(kWorkMs);
        store.put("servers", replicas.back()->id(), EntryOf(*replicas.back(), "ready", -600000));
    }
    std::vector<std::unique_ptr<Box>> boxes;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        boxes.push_back(std::make_unique<Box>("box-" + number, "bio-hall", "127.42.2." + number,
                                              store.address(), dir));
    }
    const std::vector<Address> seeds = {boxes[0]->peers(), boxes[1]->peers(), boxes[2]->peers()};
    for (const auto& box : boxes) {
        box->writeSettings(seeds, kBounds);
        box->start();
    }
    for (const auto& box : boxes) {
        if (!box->awaitReady(10000)) {
            record.line(box->name() + " did not become ready");
            Finish(boxes, dir, 2);
        }
    }
    SleepMs(kConnectedMs);

    // One replica goes down and up, twice. Each start has its own entry under the former id. The
    // clock of its machine is ahead at the first of the two starts.
    std::unique_ptr<Replica>& flapping = replicas[2];
    const auto restart = [&](long jump) {
        flapping->end();
        const std::string id = flapping->id();
        const Address address = flapping->address();
        record.line(id + " went down");
        SleepMs(kFlapMs / 2);
        // The one before stays in memory, since its threads may still run.
        static_cast<void>(flapping.release());
        flapping =
            std::make_unique<Replica>(id, "desk-api", "bio-hall", address.ip, record, address.port);
        flapping->setWork(kWorkMs);
        const long born = Now() + jump;
        store.put("servers", id, EntryOf(*flapping, "ready", born));
        record.line(id + " started again, born " + std::to_string(born));
        SleepMs(kFlapMs / 2);
        return born;
    };
    restart(trouble ? kJumpMs : 0);
    const long born = restart(0);
    SleepMs(4000);

    // Later it drains, as planned.
    Replica& leaving = *flapping;
    const long drained = store.put("servers", leaving.id(), EntryOf(leaving, "draining", born));
    record.line("acknowledged: " + leaving.id() + " is draining");
    struct Sent {
        std::string id;
        Answer answer;
    };
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> clients;
    for (size_t client = 0; client < 6; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 0; Now() < drained + kServesOnMs + 1000; ++i) {
                const std::string id = "order-" + std::to_string(client) + "-" + std::to_string(i);
                const Box& box = *boxes[client % boxes.size()];
                const Answer answer = Call(
                    box.callers(), RequestText("POST", "/order/2f", id, 600, "", "reissue"), 600);
                record.line("sent " + id + " to " + box.name() + " at " +
                            std::to_string(answer.sent) + ", answered " +
                            std::to_string(answer.status));
                const std::lock_guard lock(mutex);
                sent.push_back({id, answer});
                SleepMs(60);
            }
        });
    }
    SleepUntil(drained + kServesOnMs);
    leaving.end();
    store.remove("servers", leaving.id());
    record.line(leaving.id() + " ended");
    for (auto& client : clients) {
        client.join();
    }

    int late = 0;
    for (const Run& run : leaving.runs()) {
        late += run.at > drained + kDrainMs ? 1 : 0;
    }
    const std::vector<std::string> cut = leaving.cut();
    int lost = 0;
    int served = 0;
    for (const Sent& one : sent) {
        const bool good = one.answer.status == 200 && one.answer.signedByReplica;
        served += good ? 1 : 0;
        const bool wasCut = std::find(cut.begin(), cut.end(), one.id) != cut.end();
        lost += wasCut && !good ? 1 : 0;
    }
    record.line("orders served: " + std::to_string(served) + " of " + std::to_string(sent.size()));
    record.line(
        "at the draining replica more than drain_ms after its acknowledgement: " +
        std::to_string(late) +
        "; orders that ran there and got no answer because it ended: " + std::to_string(lost));
    if (served < 100) {
        record.line("could not run: too few orders were served");
        Finish(boxes, dir, 2);
    }
    record.line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
    Finish(boxes, dir, late > 0 ? 1 : 0);
}
