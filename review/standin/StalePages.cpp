// Case: the pages of a list that may be seconds old are not equally old. See claim.txt.
#include "Site.h"

using namespace review;

namespace {

// Bounds of mostrador-norte.
constexpr long kDrainMs = 2000;
constexpr long kConnectedMs = 3000;
// What the platform states as usual for stale reads: 3 s behind.
constexpr long kBehindMs = 3000;
// When they are, after the acknowledgement of the draining. It is over when the box is counted as
// in touch, so that this holds also if the stale reads count as a disruption of the store.
constexpr long kBehindStart = 300;
constexpr long kBehindEnd = 1500;
// A draining replica serves on for drain_ms and at times many seconds more.
constexpr long kServesOnMs = 9000;
constexpr long kWorkMs = 50;  // Of an order: 15 in the mean, 110 at most.
const char* const kBounds =
    "leaving_bound_ms = 2000\nconfiguration_bound_ms = 2000\nkey_bound_ms = 5000\n";

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return 2;
    }
    Record record(argv[1]);
    const bool trouble = WithTrouble();
    const std::string dir = MakeFolder();
    record.line(trouble ? "with stale reads that differ" : "with stale reads that are up to date");

    Store store("127.41.0.1");
    store.put("config", "main", Configuration(1));
    // Replicas of another service, so that the list of all takes more than one page of 500.
    for (int i = 0; i < 520; ++i) {
        char number[8];
        std::snprintf(number, sizeof number, "%04d", i);
        store.put("servers", std::string("i-archive-") + number,
                  "{\"service\":\"archive\",\"address\":\"127.41.3.1:" + std::to_string(20000 + i) +
                      "\",\"zone\":\"bio-hall\",\"config_version\":1,\"slots\":6,\"state\":"
                      "\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
    }
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        replicas.push_back(std::make_unique<Replica>("i-desk-" + number, "desk-api", "bio-hall",
                                                     "127.41.1." + number, record));
        replicas.back()->setWork(kWorkMs);
        store.put("servers", replicas.back()->id(), replicas.back()->entry("ready"));
    }
    // Two copies of the store answer stale reads: the one that answers the first page is up to
    // date, the one that answers the pages after it is behind for a while.
    std::atomic<long> behindFrom = 0;
    std::atomic<long> behindUntil = 0;
    store.setStaleness([&](const std::string& after) {
        const bool isBehind = Now() >= behindFrom && Now() < behindUntil && !after.empty();
        return isBehind ? kBehindMs : 0;
    });
    store.setObserver([&](const std::string& target) {
        if (target.find("servers") != std::string::npos &&
            target.find("watch") == std::string::npos) {
            record.line("store: GET " + target);
        }
    });
    std::vector<std::unique_ptr<Box>> boxes;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        boxes.push_back(std::make_unique<Box>("box-" + number, "bio-hall", "127.41.2." + number,
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

    // A replica drains. Half a second later a box is killed, and starts again as the platform does.
    Replica& leaving = *replicas[2];
    const long drained = store.put("servers", leaving.id(), leaving.entry("draining"));
    record.line("acknowledged: " + leaving.id() + " is draining");
    behindFrom = trouble ? drained + kBehindStart : 0;
    behindUntil = trouble ? drained + kBehindEnd : 0;
    SleepMs(500);
    boxes[0]->kill();
    record.line(boxes[0]->name() + " was killed");
    SleepMs(300);
    boxes[0]->start();
    const long started = Now();
    record.line(boxes[0]->name() + " started again");
    if (!boxes[0]->awaitReady(5000)) {
        record.line(boxes[0]->name() + " did not become ready again");
        Finish(boxes, dir, 2);
    }

    // Orders, which run at most once, by the box that started again.
    const long inTouch = std::max(started, drained + kBehindEnd) + kConnectedMs;
    struct Sent {
        std::string id;
        Answer answer;
    };
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> clients;
    for (int client = 0; client < 4; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 0; Now() < drained + kServesOnMs + 1000; ++i) {
                const std::string id = "order-" + std::to_string(client) + "-" + std::to_string(i);
                const Answer answer =
                    Call(boxes[0]->callers(),
                         RequestText("POST", "/order/2f", id, 600, "", "reissue"), 600);
                record.line("sent " + id + " at " + std::to_string(answer.sent) + ", answered " +
                            std::to_string(answer.status));
                const std::lock_guard lock(mutex);
                sent.push_back({id, answer});
                SleepMs(40);
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
        late += run.at > drained + kDrainMs && run.at > inTouch ? 1 : 0;
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
        "at the draining replica more than drain_ms after its acknowledgement, by a box " +
        std::string("in touch: ") + std::to_string(late) +
        "; orders that ran there and got no answer because it ended: " + std::to_string(lost));
    if (served < 50) {
        record.line("could not run: too few orders were served");
        Finish(boxes, dir, 2);
    }
    record.line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
    Finish(boxes, dir, late > 0 ? 1 : 0);
}
