#include "tests/Fleet.h"

#include <cmath>

namespace onyx {

namespace {

constexpr Millis kFrameDelay = 2;                // Between two boxes.
constexpr Millis kRequestDelay = 2;              // To an upstream and back, each.
constexpr Millis kLinkDelay = 300;               // From a box's start until its links are up.
constexpr size_t kMaxDialed = 16;                // As in the gateway.
constexpr int64_t kBudgetBytesPerSecond = 4000;  // As in the gateway.
constexpr double kPopularitySkew = 0.3;          // A prompt's popularity is 1 / rank ^ skew.
constexpr double kLimitMultiple = 2;             // The operators' limit on an upstream's load.
constexpr double kLimitMargin = 3;

std::string BoxAddress(size_t i) {
    return "10.0." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200) + ":7000";
}

std::string ServerName(size_t i) {
    return "upstream-" + std::to_string(i);
}

}  // namespace

struct Fleet::Box {
    Box(asio::io_context& io, const GatewaySettings& settings, const std::string& address)
        : records(io.get_executor(), settings.health),
          upstreams(records),
          directory({address, "z"}, kMaxDialed),
          exchange(records, kBudgetBytesPerSecond) {}

    UpstreamRecords records;
    UpstreamList upstreams;
    BoxDirectory directory;
    LoadExchange exchange;
    MonoTime linkedFrom;
    uint64_t generation = 0;
};

struct Fleet::Work {
    size_t box = 0;
    uint64_t generation = 0;  // Of the box.
    size_t server = 0;
    std::vector<std::string> parts;  // The shared parts of its prompt.
    Millis firstAnswer = 0;
    Millis time = 0;
    bool ended = false;
    uint64_t number = 0;   // In order of arrival.
    uint64_t attempt = 0;  // The id that the box gave the attempt.
};

struct Fleet::Server {
    int working = 0;
    std::vector<std::shared_ptr<Work>> waiting;

    int held() const { return working + static_cast<int>(waiting.size()); }
};

Fleet::Fleet(FleetSize size, std::vector<FleetTraffic> traffic, uint64_t seed)
    : m_size(size), m_traffic(std::move(traffic)), m_random(seed) {
    for (const FleetTraffic& kind : m_traffic) {
        m_perSecond += kind.perSecond;
    }
    m_settings.zone = "z";
    m_spec = {m_service, true, false};
    m_listed.whole = true;
    m_listed.revision = 1;
    for (size_t i = 0; i < size.upstreams; ++i) {
        m_servers.push_back(std::make_unique<Server>());
        m_serverByName[ServerName(i)] = i;
        m_listed.changed.push_back({ServerName(i), m_service, "10.1.0.1:1",
                                    ZoneId(i % 3 == 0 ? "y" : "z"), false, size.slots});
    }
    m_boxes.resize(size.boxes);
    for (size_t i = 0; i < size.boxes; ++i) {
        m_boxByAddress[BoxAddress(i)] = i;
        startBox(i);
    }
    scheduleArrival();
}

Fleet::~Fleet() = default;

void Fleet::at(MonoTime time, Action action) {
    m_events.push({time, ++m_order, std::move(action)});
}

void Fleet::startBox(size_t i) {
    const uint64_t generation = m_boxes[i] ? m_boxes[i]->generation + 1 : 1;
    m_boxes[i] = std::make_unique<Box>(m_io, m_settings, BoxAddress(i));
    Box& box = *m_boxes[i];
    box.generation = generation;
    box.linkedFrom = m_now + kLinkDelay;
    box.upstreams.apply(m_listed, "test", m_now);
    at(box.linkedFrom, [this, i, generation] {
        if (m_boxes[i]->generation != generation) {
            return;
        }
        for (size_t other = 0; other < m_boxes.size(); ++other) {
            m_boxes[i]->directory.learn({BoxAddress(other), "z"}, m_now);
        }
    });
    const auto spread = static_cast<Millis>(uniform() * 100);
    at(m_now + spread, [this, i, generation] { announce(i, generation); });
}

void Fleet::announce(size_t i, uint64_t generation) {
    Box& box = *m_boxes[i];
    if (box.generation != generation) {
        return;
    }
    std::vector<std::string> linked;
    for (size_t other = 0; other < m_boxes.size(); ++other) {
        const bool linksUp =
            m_now >= box.linkedFrom && m_now >= m_boxes[other]->linkedFrom && other != i;
        if (linksUp && box.directory.isNeighbour(BoxAddress(other))) {
            linked.push_back(BoxAddress(other));
        }
    }
    for (const OutgoingFrame& outgoing : box.exchange.makeDueFrames(box.directory, linked, m_now)) {
        m_stats.bytesSent += outgoing.frame.size() * outgoing.to.size();
        const auto body = std::make_shared<wire::BodyUnion>(
            DecodeFrame(std::span<const char>(outgoing.frame).subspan(kFrameHeaderSize)).value());
        for (const std::string& to : outgoing.to) {
            const size_t receiver = m_boxByAddress.at(to);
            at(m_now + kFrameDelay,
               [this, body, receiver, i, start = m_boxes[receiver]->generation] {
                   Box& there = *m_boxes[receiver];
                   if (there.generation == start) {
                       there.exchange.handleMessage(BoxAddress(i), *body, m_now);
                   }
               });
        }
    }
    at(m_now + box.exchange.nextDelay(), [this, i, generation] { announce(i, generation); });
}

void Fleet::scheduleArrival() {
    m_nextArrival += -std::log(1 - uniform()) * 1000 / (m_perSecond * m_rateFactor);
    at({static_cast<Millis>(m_nextArrival)}, [this] {
        arrive();
        scheduleArrival();
    });
}

std::string Fleet::nextPrompt(const FleetTraffic& traffic, size_t kind) {
    if (kind == 0 && uniform() < m_hotShare) {
        return "hot";
    }
    // Inverse of the cumulative sum over ranks of 1 / rank ^ skew, approximated by an integral.
    const double rank =
        std::pow(uniform(), 1 / (1 - kPopularitySkew)) * static_cast<double>(traffic.prompts);
    return std::to_string(kind) + "-" + std::to_string(static_cast<size_t>(rank));
}

void Fleet::arrive() {
    double point = uniform() * m_perSecond;
    size_t kind = 0;
    while (kind + 1 < m_traffic.size() && point >= m_traffic[kind].perSecond) {
        point -= m_traffic[kind].perSecond;
        ++kind;
    }
    const FleetTraffic& traffic = m_traffic[kind];
    const std::vector<std::string> parts{nextPrompt(traffic, kind)};
    const std::set<std::string> tried;
    auto work = std::make_shared<Work>();
    work->number = ++m_requestCount;
    work->box = m_random() % m_boxes.size();
    Box& box = *m_boxes[work->box];
    work->generation = box.generation;
    box.records.expirePeerLoads(m_now);
    const PlacementQuestion question{m_service, &m_spec, nullptr,   nullptr,
                                     parts,     tried,   m_random()};
    const auto place =
        PlaceAttempt({m_settings, box.upstreams, box.records, m_evacuations}, question, m_now);
    work->attempt = box.records.beginAttempt(place->upstream.incarnation(), [] {});
    m_stats.preferred += place->reason == PlacementReason::kPreferred ? 1 : 0;
    work->parts = parts;
    work->server = m_serverByName.at(place->upstream.id);
    m_stats.copies += m_copies.emplace(parts.front(), work->server).second ? 1 : 0;
    work->firstAnswer = traffic.firstAnswer;
    const double spread = 0.5 + uniform();
    work->time =
        traffic.firstAnswer + static_cast<Millis>(static_cast<double>(traffic.work) * spread);
    at(m_now + kRequestDelay, [this, work] { begin(work); });
}

void Fleet::begin(const std::shared_ptr<Work>& work) {
    if (m_boxes[work->box]->generation != work->generation) {
        return;
    }
    Server& server = *m_servers[work->server];
    const double mean = static_cast<double>(m_totalHeld) / static_cast<double>(m_servers.size());
    ++m_stats.arrivals;
    m_stats.overLimit += server.held() > kLimitMultiple * mean + kLimitMargin ? 1 : 0;
    ++m_totalHeld;
    server.waiting.push_back(work);
    admitWaiting(work->server);
}

void Fleet::admitWaiting(size_t index) {
    Server& server = *m_servers[index];
    while (server.working < m_size.slots && !server.waiting.empty()) {
        const auto work = server.waiting.front();
        server.waiting.erase(server.waiting.begin());
        ++server.working;
        m_running[work->number] = work;
        at(m_now + work->firstAnswer, [this, work] {
            if (work->ended) {
                return;
            }
            const int held = m_servers[work->server]->held();
            at(m_now + kRequestDelay, [this, work, held] {
                Box& box = *m_boxes[work->box];
                if (box.generation == work->generation) {
                    box.records.recordPrompt(work->parts, ServerName(work->server), m_now);
                    box.records.noteReportedLoad(ServerName(work->server), held, m_now);
                }
            });
        });
        at(m_now + work->time, [this, work] { end(work); });
    }
}

void Fleet::end(const std::shared_ptr<Work>& work) {
    if (work->ended) {
        return;
    }
    work->ended = true;
    m_running.erase(work->number);
    --m_servers[work->server]->working;
    --m_totalHeld;
    admitWaiting(work->server);
    at(m_now + kRequestDelay, [this, work] {
        Box& box = *m_boxes[work->box];
        if (box.generation == work->generation) {
            box.records.endAttempt(work->attempt);
        }
    });
}

void Fleet::restart(double share) {
    const auto count = static_cast<size_t>(share * static_cast<double>(m_boxes.size()));
    for (size_t i = 0; i < count; ++i) {
        startBox(i);
        for (const auto& other : m_boxes) {
            other->records.forgetPeer(BoxAddress(i));
        }
    }
    // Upstreams drop the queued requests of a closed connection.
    for (size_t index = 0; index < m_servers.size(); ++index) {
        auto& waiting = m_servers[index]->waiting;
        const size_t dropped = std::erase_if(waiting, [&](const std::shared_ptr<Work>& work) {
            return m_boxes[work->box]->generation != work->generation;
        });
        m_totalHeld -= dropped;
    }
    const auto running = m_running;
    for (const auto& [number, work] : running) {
        if (m_boxes[work->box]->generation != work->generation) {
            end(work);
        }
    }
}

FleetStats Fleet::runFor(Millis time) {
    const MonoTime until = m_now + time;
    m_stats = {};
    while (!m_events.empty() && m_events.top().time <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = until;
    return m_stats;
}

}  // namespace onyx
