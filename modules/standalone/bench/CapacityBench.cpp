// Measures what one box's state, messages and decisions cost as they grow, at four or more sizes
// each, and fits a line. docs/CAPACITY.md is worked out from these slopes; scripts/capacity runs
// this and the slopes of the processes, and makes the plot.
#include "include/base/Hash.h"
#include "include/observe/Metrics.h"
#include "include/wire/FrameCodec.h"
#include "modules/standalone/include/config/Snapshot.h"
#include "modules/standalone/include/idempotency/KeyOwner.h"
#include "modules/standalone/include/placement/ChatIndex.h"
#include "modules/standalone/include/placement/HomeAdmission.h"
#include "modules/standalone/include/placement/RendezvousOrder.h"

#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>

using namespace onyx;

namespace {

constexpr int kRepeats = 5;

struct Point {
    double size = 0;
    double value = 0;
};

// Least squares, and how much of the variation the line explains.
void PrintFit(const std::string& name, const std::string& per, const std::string& unit,
              const std::vector<Point>& points) {
    const auto n = static_cast<double>(points.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const Point& p : points) {
        sx += p.size;
        sy += p.value;
        sxx += p.size * p.size;
        sxy += p.size * p.value;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double start = (sy - slope * sx) / n;
    double residual = 0;
    double variation = 0;
    for (const Point& p : points) {
        residual += std::pow(p.value - start - slope * p.size, 2);
        variation += std::pow(p.value - sy / n, 2);
    }
    const double r2 = variation > 0 ? 1 - residual / variation : 1;
    std::string values;
    for (const Point& p : points) {
        values += fmt::format("{:g}:{:.4g} ", p.size, p.value);
    }
    std::printf("%-34s %12.4g + %10.4g %s per %-8s r2 %.3f%s | %s\n", name.c_str(), start, slope,
                unit.c_str(), per.c_str(), r2, r2 < 0.95 ? " NOT A LINE" : "", values.c_str());
}

size_t HeapInUse() {
    return mallinfo2().uordblks;
}

// Bytes that `make` keeps alive.
template <class Make>
double BytesOf(Make make) {
    const size_t before = HeapInUse();
    const auto made = make();
    return static_cast<double>(HeapInUse() - before);
}

// Median microseconds of one call of `work`, over several repeats of `calls` calls.
double MicrosOf(int calls, const std::function<void(int)>& work) {
    std::vector<double> medians;
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            work(i);
        }
        const std::chrono::duration<double, std::micro> took =
            std::chrono::steady_clock::now() - start;
        medians.push_back(took.count() / calls);
    }
    std::sort(medians.begin(), medians.end());
    return medians[kRepeats / 2];
}

std::vector<EngineId> Engines(int count) {
    std::vector<EngineId> engines;
    engines.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
        engines.emplace_back(fmt::format("zone-{}.engine{}", i % 5, i));
    }
    return engines;
}

void DigestSize() {
    std::vector<Point> points;
    for (const int engines : {1, 2, 4, 8, 16}) {
        wire::DigestT digest;
        digest.sequence = 1000000;
        digest.config_revision = 100000;
        digest.roster_epoch = 100000;
        digest.next_ms = 2000;
        for (const EngineId& engine : Engines(engines)) {
            digest.loads.emplace_back(static_cast<uint32_t>(HashText(engine.value)), 50, false);
        }
        points.push_back(
            {static_cast<double>(engines), static_cast<double>(EncodeMessage(digest).size())});
    }
    PrintFit("digest frame", "engine", "B", points);
}

void MessageSizes() {
    wire::RunVerdictT verdict;
    verdict.id = 1000000;
    verdict.load = 50;
    wire::ChatNoteT note;
    note.chat = "0192d3a0-1234-7abc-8def-0123456789ab";
    note.engine = "zone-1.engine100";
    wire::RunChunkT chunk;
    chunk.id = 1000000;
    chunk.index = 100;
    chunk.data.assign(5, 'x');
    std::printf(
        "frames: verdict %zu B, note %zu B, token %zu B, lease renewal %zu B of value\n",
        EncodeMessage(verdict).size(), EncodeMessage(note).size(), EncodeMessage(chunk).size(),
        std::string(R"({"holder":"zone-1-box-17#1796205251550.0","revoked":false})").size());
}

void PlacementTime() {
    std::vector<Point> points;
    for (const int count : {75, 150, 300, 600}) {
        const auto engines = Engines(count);
        points.push_back({static_cast<double>(count), MicrosOf(2000, [&](int i) {
                              RendezvousOrder(ChatId("chat" + std::to_string(i)), engines, 16);
                          })});
    }
    PrintFit("order of a chat's engines", "engine", "us", points);
}

void HomeTime() {
    std::vector<Point> points;
    for (const int boxes : {2, 4, 8, 16, 32}) {
        HomeSettings settings;
        settings.gainSettle = 0;
        HomeAdmission home(settings);
        const ServiceId service("m");
        const std::vector<HomedEngine> homed = {{EngineId("a"), service, {}},
                                                {EngineId("b"), service, {}}};
        home.setEngines(homed, {0});
        for (int box = 0; box < boxes; ++box) {
            const std::vector<EngineLoad> loads = {{EngineId(fmt::format("x{}", box)), 20, false},
                                                   {EngineId(fmt::format("y{}", box)), 20, false}};
            home.digest(MemberId(fmt::format("box{}", box)), 1, loads, {0});
        }
        Ticket ticket = 0;
        points.push_back({static_cast<double>(boxes), MicrosOf(5000, [&](int i) {
                              AdmitAsk ask;
                              ask.ticket = ++ticket;
                              ask.engine = EngineId("a");
                              ask.service = service;
                              ask.chat = ChatId("chat" + std::to_string(i));
                              ask.deadline = {1000000};
                              home.ask(ask, {1});
                              home.done(ticket, {1});
                          })});
    }
    PrintFit("admission at a home", "box heard", "us", points);
}

void NoteMemory() {
    std::vector<Point> points;
    for (const int count : {2500, 5000, 10000, 20000, 40000}) {
        points.push_back({static_cast<double>(count), BytesOf([&] {
                              auto index = std::make_unique<ChatIndex>(count, 1000);
                              for (int i = 0; i < count; ++i) {
                                  index->put(ChatId("chat" + std::to_string(i)),
                                             EngineId("zone-1.engine100"), {0});
                              }
                              return index;
                          })});
    }
    PrintFit("chat notes", "note", "B", points);
}

KeyEntry Entry(int i) {
    KeyEntry entry;
    entry.key = fmt::format("0192d3a0-1234-7abc-8def-{:012d}", i);
    entry.mintedAt = {i};
    entry.state = KeyState::kRan;
    entry.status = 200;
    entry.contentType = "application/json";
    entry.body = R"({"charged":true,"receipt":"0192d3a0-1234-7abc-8def-0123456789ab"})";
    return entry;
}

void LedgerMemory() {
    std::vector<Point> points;
    for (const int count : {12500, 25000, 50000, 100000}) {
        points.push_back({static_cast<double>(count), BytesOf([&] {
                              auto ledger = std::make_unique<KeyLedger>(LedgerSettings{});
                              for (int i = 0; i < count; ++i) {
                                  ledger->put(Entry(i));
                              }
                              return ledger;
                          })});
    }
    PrintFit("ledger", "key", "B", points);
}

// An owner that runs keys under a lease, with a roster of `members`.
KeyOwner RunningOwner(int members, const Now& now) {
    KeeperSettings settings;
    settings.skew = 0;
    LedgerSettings ledger;
    ledger.most = 200000;
    KeyOwner owner(MemberId("box0#1"), settings, ledger);
    Roster roster{1, {}, {0}};
    for (int i = 0; i < members; ++i) {
        roster.members.emplace_back(fmt::format("box{}#1.0", i));
    }
    std::sort(roster.members.begin(), roster.members.end());
    // Answers the owner's calls to the platform until it has read the roster and holds its lease.
    std::vector<KeyAction> actions = owner.step(KeeperEvent(KeeperTick{}), now);
    while (!actions.empty()) {
        const auto* keeper = std::get_if<KeeperAction>(&actions.front());
        KeeperEvent reply = KeeperTick{};
        if (const auto* read = std::get_if<ReadRoster>(keeper)) {
            reply = RosterReply{read->call, CallStatus::kOk, 1, roster};
        } else if (const auto* lease = std::get_if<ReadLease>(keeper)) {
            reply = LeaseReply{lease->call, CallStatus::kMissing, 0, {}};
        } else if (const auto* write = std::get_if<WriteLease>(keeper)) {
            reply = LeaseReply{write->call, CallStatus::kOk, 1, {}};
        }
        actions.erase(actions.begin());
        const auto more = owner.step(reply, now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return owner;
}

void OwnerTime() {
    const Now now{{1000}, {1000000}};
    for (const bool byMembers : {true, false}) {
        std::vector<Point> points;
        for (const int size :
             byMembers ? std::vector{2, 4, 8, 16} : std::vector{12500, 25000, 50000, 100000}) {
            KeyOwner owner = RunningOwner(byMembers ? size : 2, now);
            const int held = byMembers ? 0 : size;
            uint64_t request = 0;
            const auto ask = [&](int i) {
                KeyAsk event;
                event.request = ++request;
                event.key = fmt::format("key-{}-{}", request, i);
                event.mintedAt = {999000};
                event.deadline = {100000};
                for (const KeyAction& action : owner.step(event, now)) {
                    if (const auto* run = std::get_if<RunKey>(&action)) {
                        owner.step(KeyDone{run->request, KeyState::kRan, 200, "", ""}, now);
                    }
                }
            };
            for (int i = 0; i < held; ++i) {
                ask(i);
            }
            points.push_back({static_cast<double>(size), MicrosOf(2000, ask)});
        }
        PrintFit(byMembers ? "a key at its owner, by roster" : "a key at its owner, by ledger",
                 byMembers ? "member" : "key", "us", points);
    }
}

std::vector<ConfigShard> TeamShards(int teams) {
    std::map<std::string, nlohmann::json> lists;
    for (int i = 0; i < teams; ++i) {
        const std::string name = fmt::format("team-{}", i);
        lists[TeamShardName(TeamId(name))].push_back({{"name", name},
                                                      {"token_sha256", TokenDigest(name)},
                                                      {"weight", 1.0},
                                                      {"max_in_flight", 0}});
    }
    std::vector<ConfigShard> shards;
    shards.reserve(lists.size());
    for (const auto& [name, list] : lists) {
        shards.push_back({name, list.dump()});
    }
    return shards;
}

void ConfigCost() {
    std::vector<Point> memory;
    std::vector<Point> bytes;
    std::vector<Point> time;
    for (const int teams : {2000, 4000, 8000, 16000}) {
        const auto shards = TeamShards(teams);
        size_t largest = 0;
        for (const ConfigShard& shard : shards) {
            largest = std::max(largest, shard.content.size());
        }
        const auto size = static_cast<double>(teams);
        bytes.push_back({size, static_cast<double>(largest)});
        memory.push_back({size, BytesOf([&] { return Snapshot::Make(1, shards); })});
        time.push_back(
            {size, MicrosOf(3, [&](int) { static_cast<void>(Snapshot::Make(1, shards)); })});
    }
    PrintFit("configuration in memory", "team", "B", memory);
    PrintFit("largest team shard", "team", "B", bytes);
    PrintFit("taking a configuration", "team", "us", time);
}

void MetricsMemory() {
    std::vector<Point> points;
    for (const int series : {1000, 2000, 4000, 8000}) {
        points.push_back({static_cast<double>(series), BytesOf([&] {
                              auto metrics = std::make_unique<Metrics>();
                              for (int i = 0; i < series; ++i) {
                                  metrics->count("onyx_slo_total",
                                                 {{"service", "desk-model"},
                                                  {"team", fmt::format("team-{}", i)},
                                                  {"priority", "normal"}});
                              }
                              return metrics;
                          })});
    }
    PrintFit("metrics", "series", "B", points);
}

void DigestTime() {
    std::vector<Point> points;
    for (const int engines : {75, 150, 300, 600}) {
        HomeAdmission home({});
        const auto names = Engines(engines);
        uint64_t sequence = 0;
        std::vector<EngineLoad> loads;
        loads.reserve(names.size());
        for (const EngineId& engine : names) {
            loads.push_back({engine, 20, false});
        }
        points.push_back({static_cast<double>(engines), MicrosOf(500, [&](int i) {
                              home.digest(MemberId(fmt::format("box{}", i % 4)), ++sequence, loads,
                                          {i});
                          })});
    }
    PrintFit("taking a digest", "engine", "us", points);
}

}  // namespace

int main() {
    DigestSize();
    MessageSizes();
    PlacementTime();
    HomeTime();
    DigestTime();
    OwnerTime();
    NoteMemory();
    LedgerMemory();
    ConfigCost();
    MetricsMemory();
}
