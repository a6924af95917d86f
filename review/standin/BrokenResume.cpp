// Case: replicas fail part of their requests with a status of the 4xx range, among them such as are
// to continue a broken stream. See claim.txt.
#include "Site.h"

using namespace review;

namespace {

constexpr int kEvents = 55;    // Of one stream of rebook-digest.
constexpr long kEventMs = 40;  // Between two events.
constexpr long kDeadlineMs = 12000;
constexpr int kStreams = 12;
constexpr int kReplicas = 5;  // One of them crashes.
constexpr int kFailure = 400;
// srv_grey: part of the requests that replicas fail meanwhile, two of five.
constexpr int kFailedOf = 5;
constexpr int kFailed = 2;
constexpr long kFailMs = 4000;
const char* const kBounds =
    "leaving_bound_ms = 2000\nconfiguration_bound_ms = 2000\nkey_bound_ms = 5000\n";

// Whether replicas fail requests, and what became of those that continue a stream.
struct Failures {
    std::atomic<long> until = -1;
    std::atomic<int> arrived = 0;  // Since replicas fail some.
    std::atomic<int> failed = 0;
    std::atomic<int> continued = 0;

    bool fail() { return Now() < until && arrived++ % kFailedOf >= kFailedOf - kFailed; }
};

// A model replica: streams events, and continues after the event that a request names.
class ModelReplica {
public:
    ModelReplica(std::string id, const std::string& ip, Failures& failures, Record& record)
        : m_id(std::move(id)),
          m_failures(failures),
          m_record(record),
          m_listener(ip, [this](std::shared_ptr<Wire> wire) { serve(std::move(wire)); }) {}

    const std::string& id() const { return m_id; }
    std::string entry() const {
        return R"({"service":"llm","address":")" + m_listener.address().text() +
               R"(","zone":"bio-hall","config_version":1,"slots":64,"state":"ready",)" +
               R"("cold_remaining_ms":0,"sequence":1})";
    }
    int running() const { return m_running; }
    // Its process ends: connections are reset and new ones refused.
    void crash() {
        m_listener.stop();
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        for (const auto& wire : m_open) {
            wire->reset();
        }
        m_open.clear();
    }

private:
    void serve(std::shared_ptr<Wire> wire) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended) {
                return;
            }
            m_open.insert(wire);
        }
        Message request;
        while (wire->read(request) && answer(*wire, request)) {
            request = Message();
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(wire);
    }
    bool answer(Wire& wire, const Message& request) {
        const std::string id = request.header("request-id");
        const std::string head =
            "Request-Id: " + id + "\r\nUpstream-Signature: " + m_id + "." + id + "\r\n";
        const std::string after = request.header("last-event-id");
        m_record.line("run " + id + " at " + m_id + (after.empty() ? "" : " after event " + after));
        if (m_failures.fail()) {
            m_failures.failed += after.empty() ? 0 : 1;
            m_record.line("failed " + id + " at " + m_id + " with " + std::to_string(kFailure));
            return wire.write("HTTP/1.1 " + std::to_string(kFailure) + " Bad Request\r\n" + head +
                              "Content-Length: 2\r\n\r\nno");
        }
        m_failures.continued += after.empty() ? 0 : 1;
        ++m_running;
        const bool done = stream(wire, head, after.empty() ? 0 : std::stoi(after));
        --m_running;
        return done;
    }
    bool stream(Wire& wire, const std::string& head, int after) {
        if (!wire.write("HTTP/1.1 200 OK\r\n" + head +
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int event = after + 1; event <= kEvents; ++event) {
            SleepMs(kEventMs);
            const std::string text =
                "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!wire.write(size + text + "\r\n")) {
                return false;
            }
        }
        return wire.write("0\r\n\r\n");
    }

    std::string m_id;
    Failures& m_failures;
    Record& m_record;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    bool m_ended = false;
    std::set<std::shared_ptr<Wire>> m_open;
    Listener m_listener;
};

// The number of the last event in an answer.
int LastEvent(const std::string& body) {
    const size_t at = body.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
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
    record.line(trouble ? "replicas fail a part of their requests" : "replicas fail no request");

    Store store("127.43.0.1");
    store.put("config", "main", Configuration(1));
    Failures failures;
    std::vector<std::unique_ptr<ModelReplica>> replicas;
    for (int i = 1; i <= kReplicas; ++i) {
        const std::string number = std::to_string(i);
        replicas.push_back(std::make_unique<ModelReplica>("i-llm-" + number, "127.43.1." + number,
                                                          failures, record));
        store.put("servers", replicas.back()->id(), replicas.back()->entry());
    }
    std::vector<std::unique_ptr<Box>> boxes;
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        boxes.push_back(std::make_unique<Box>("box-" + number, "bio-hall", "127.43.2." + number,
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
    SleepMs(11000);  // Only then do boxes use their part of the slack for retries.

    // Streams by all boxes; in the middle of them the replica with the most of them crashes.
    struct Sent {
        std::string id;
        Answer answer;
    };
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> clients;
    for (int client = 0; client < kStreams; ++client) {
        clients.emplace_back([&, client] {
            const std::string id = "digest-" + std::to_string(client);
            const Box& box = *boxes[static_cast<size_t>(client) % boxes.size()];
            const std::string prompt =
                "Model: m\r\nToken-Usage: 100,400\r\nPrefix-Hash: 5c1e07a2:80," +
                std::to_string(1000 + client) + ":20\r\n";
            const Answer answer = Call(
                box.callers(), RequestText("POST", "/digest/2f", id, kDeadlineMs, prompt, "prompt"),
                kDeadlineMs);
            const std::lock_guard lock(mutex);
            sent.push_back({id, answer});
        });
    }
    SleepMs(kEvents * kEventMs / 2);
    const auto busiest =
        std::max_element(replicas.begin(), replicas.end(),
                         [](const auto& a, const auto& b) { return a->running() < b->running(); });
    record.line((*busiest)->id() + " crashes with " + std::to_string((*busiest)->running()) +
                " streams");
    failures.until = trouble ? Now() + kFailMs : -1;
    (*busiest)->crash();
    store.remove("servers", (*busiest)->id());
    for (auto& client : clients) {
        client.join();
    }

    int whole = 0;
    int broken = 0;
    int endedEarly = 0;
    for (const Sent& one : sent) {
        const int last = LastEvent(one.answer.body);
        const bool looksComplete = one.answer.status == 200 && one.answer.complete;
        whole += looksComplete && last == kEvents ? 1 : 0;
        broken += looksComplete ? 0 : 1;
        endedEarly += looksComplete && last < kEvents ? 1 : 0;
        record.line("answered " + one.id + " with " + std::to_string(one.answer.status) +
                    ", last event " + std::to_string(last) + " of " + std::to_string(kEvents) +
                    (looksComplete ? ", ended as complete" : ", broken off"));
    }
    record.line("streams whole: " + std::to_string(whole) +
                ", broken off: " + std::to_string(broken) +
                ", ended as complete before their last event: " + std::to_string(endedEarly) +
                "; continuations failed: " + std::to_string(failures.failed) +
                ", served: " + std::to_string(failures.continued));
    if (failures.failed + failures.continued == 0) {
        record.line("could not run: no stream was continued");
        Finish(boxes, dir, 2);
    }
    record.line(endedEarly > 0 ? "ORDER is broken" : "ORDER holds");
    Finish(boxes, dir, endedEarly > 0 ? 1 : 0);
}
