#include "Site.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <atomic>

namespace onyx::review {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

void Record::lineAt(MonoTime at, const std::string& text) {
    m_file << since(at) << " ms " << text << "\n" << std::flush;
}

struct StoreLink::Pair {
    Tcp::socket box;
    Tcp::socket store;
    uint64_t generation = 0;
};

Result<Endpoint> StoreLink::listen() {
    auto acceptor = Listen(m_io, Endpoint(asio::ip::address_v4::loopback(), 0), "link.listen");
    if (acceptor.has_error()) {
        return acceptor.error();
    }
    m_acceptor = std::move(acceptor.value());
    const auto take = [this](Tcp::socket socket) {
        Spawn(m_io.get_executor(), serve(std::move(socket)));
    };
    Spawn(m_io.get_executor(), AcceptAll(m_acceptor, take));
    return m_acceptor.local_endpoint();
}

Task<> StoreLink::serve(Tcp::socket box) {
    auto pair = std::make_shared<Pair>(Pair{std::move(box), Tcp::socket(m_io), m_generation});
    error_code ec;
    co_await pair->store.async_connect(m_store, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return;
    }
    pair->box.set_option(Tcp::no_delay(true), ec);
    pair->store.set_option(Tcp::no_delay(true), ec);
    Spawn(m_io.get_executor(), pump(pair, true));
    Spawn(m_io.get_executor(), pump(pair, false));
}

// What a silent connection holds is dropped, and its end on one side is not seen on the other.
Task<> StoreLink::pump(std::shared_ptr<Pair> pair, bool fromBox) {
    Tcp::socket& from = fromBox ? pair->box : pair->store;
    Tcp::socket& to = fromBox ? pair->store : pair->box;
    std::array<char, 16384> bytes;
    while (true) {
        error_code ec;
        const size_t got = co_await from.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        if (pair->generation != m_generation) {
            if (ec) {
                co_return;
            }
            continue;
        }
        if (ec) {
            error_code ignored;
            to.close(ignored);
            co_return;
        }
        const std::string_view text(bytes.data(), got);
        if (fromBox && text.find("/v1/objects/servers?watch=") != std::string_view::npos) {
            m_lastListWatch = ReadClocks().mono;
        }
        co_await asio::async_write(to, asio::buffer(bytes.data(), got),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
}

Task<CallerAnswer> Ask(asio::io_context& io, Endpoint box, CallerRequest request) {
    CallerAnswer answer;
    answer.sent = ReadClocks().mono;
    beast::tcp_stream stream(io);
    stream.expires_after(std::chrono::milliseconds(request.deadline));
    error_code ec;
    co_await stream.async_connect(box, asio::redirect_error(asio::use_awaitable, ec));
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + kHost +
                       "\r\nRequest-Id: " + request.id + "\r\nCredential: " + kKey +
                       "\r\nDeadline-Ms: " + std::to_string(request.deadline) + "\r\n" +
                       request.headers;
    if (!request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    if (!ec) {
        co_await asio::async_write(stream, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
    if (!ec) {
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    answer.ended = ReadClocks().mono;
    answer.status = parser.is_header_done() ? parser.get().result_int() : 0;
    answer.complete = !ec;
    answer.body = parser.is_header_done() ? parser.get().body() : std::string();
    co_return answer;
}

std::string NewId() {
    static std::atomic<uint64_t> next{0x51a9c00000000000};
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016lx", static_cast<unsigned long>(++next));
    return text.data();
}

json RouteOf(const std::string& prefix, const std::string& kind, const std::string& service,
             int attempts, Millis timeout, Millis objective) {
    return {{"name", "r" + prefix}, {"host", kHost},         {"path_prefix", prefix},
            {"kind", kind},         {"timeout_ms", timeout}, {"target_latency_ms", objective},
            {"priority", 1},        {"service", service},    {"max_attempts", attempts},
            {"public", false},      {"resumable", false}};
}

json ConfigurationOf(uint64_t version, const std::vector<json>& routes) {
    return {{"config_version", version},
            {"routes", routes},
            {"services",
             {{{"name", "llm"},
               {"max_connections", 360},
               {"engine", {{"slots", 64}, {"kv_capacity_tokens", 423882}, {"kv_bytes", 18432}}}},
              {{"name", "desk"}, {"max_connections", 100}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "north"}, {"api_keys", {kKey}}}}}};
}

std::string SmallSiteSettings() {
    return "writes_per_second = 400\n"
           "leaving_bound_ms = 2000\n"
           "configuration_bound_ms = 2000\n"
           "key_bound_ms = 5000\n"
           "[retry]\nwindow_s = 10\nshare = 0.2\nslack = 54\n"
           "[limits]\nmemory_mb = 260\nmax_fds = 4100\n";
}

bool AwaitReady(asio::io_context& io, const std::vector<std::unique_ptr<BoxProcess>>& boxes) {
    constexpr Millis kLimit = 15000;
    size_t ready = 0;
    const auto ask = [&io, &ready](Endpoint readiness) -> Task<> {
        while (true) {
            CallerRequest question;
            question.method = "GET";
            question.target = "/v1/ready";
            question.deadline = 500;
            const CallerAnswer answer = co_await Ask(io, readiness, question);
            if (answer.status == 200) {
                ++ready;
                co_return;
            }
            co_await SleepFor(50);
        }
    };
    for (const auto& box : boxes) {
        Spawn(io.get_executor(), ask(box->ports().readiness));
    }
    return platform::RunUntil(
        io, [&] { return ready == boxes.size(); }, kLimit);
}

namespace {

constexpr const char* kZones[] = {"bio-hall", "sdr-hall", "ovd-hall"};
constexpr size_t kDesks = 3;  // Replicas of the plain service, one in each zone.

}  // namespace

bool SmallSite::start(size_t boxes, size_t models, const std::string& settings) {
    auto made = FakeStore::Make(m_io);
    if (made.has_error()) {
        return false;
    }
    m_store = std::move(made.value());
    m_store->setPageSize(100);
    m_store->put("config", "main",
                 ConfigurationOf(1, {RouteOf("/pax/", "streaming", "llm", 1, 10000, 500),
                                     RouteOf("/reissue/", "non_idempotent", "desk", 1, 600, 100)}));
    for (const std::string service : {"llm", "desk"}) {
        const size_t count = service == "llm" ? models : kDesks;
        for (size_t i = 0; i < count; ++i) {
            auto replica = FakeReplica::Make(m_io, service + "-" + std::to_string(i + 1), service,
                                             kZones[i % 3]);
            if (replica.has_error()) {
                return false;
            }
            m_replicas.push_back(std::move(replica.value()));
            FakeReplica& last = *m_replicas.back();
            last.setSlots(service == "llm" ? 64 : 6, false);
            if (service == "llm") {
                // An event each 60 ms: about a second.
                last.setPace([](const auto&) { return platform::AnswerPace{60, 16}; });
            } else {
                last.setWork(15);
            }
            m_store->put("servers", last.id(), last.object());
        }
    }
    std::vector<Endpoint> seeds;
    for (size_t i = 0; i < boxes; ++i) {
        m_boxes.push_back(
            std::make_unique<BoxProcess>(i, platform::FindFreePorts(m_io, i), m_options.dir));
        if (seeds.size() < 3) {
            seeds.push_back(m_boxes.back()->ports().peers);
        }
    }
    for (size_t i = 0; i < boxes; ++i) {
        m_links.push_back(std::make_unique<StoreLink>(m_io, m_store->endpoint()));
        const auto address = m_links.back()->listen();
        if (address.has_error()) {
            return false;
        }
        m_boxes[i]->writeSettings(address.value(), seeds, kZones[i % 3], 8000, settings);
        m_boxes[i]->start(m_options.gateway);
    }
    if (!AwaitReady(m_io, m_boxes)) {
        m_record.line("the boxes do not become ready");
        return false;
    }
    m_record.line(std::to_string(boxes) + " boxes are ready");
    return true;
}

void SmallSite::startLoad() {
    for (size_t i = 0; i < m_boxes.size(); ++i) {
        Spawn(m_io.get_executor(), load(i, true));
        Spawn(m_io.get_executor(), load(i, false));
    }
}

Task<> SmallSite::load(size_t box, bool stream) {
    while (!m_over) {
        Sent one;
        one.request.id = NewId();
        one.request.target = stream ? "/pax/reply" : "/reissue/pass";
        one.request.body = "{\"for\":\"" + one.request.id + "\"}";
        one.request.deadline = stream ? 10000 : 600;
        if (stream) {
            one.request.headers =
                "Accept: text/event-stream\r\nModel: m\r\nToken-Usage: 130,42\r\n"
                "Prefix-Hash: " +
                one.request.id.substr(12) + ":119," + one.request.id + ":130\r\n";
        }
        Spawn(m_io.get_executor(), ask(m_boxes[box]->ports().callers, std::move(one)));
        co_await SleepFor(stream ? 200 : 250);
    }
}

Task<> SmallSite::ask(Endpoint box, Sent one) {
    one.answer = co_await Ask(m_io, box, one.request);
    m_sent.push_back(std::move(one));
}

MonoTime SmallSite::drain(FakeReplica& leaver, Millis until) {
    m_store->put("servers", leaver.id(), leaver.object("draining"));
    const MonoTime ack = ReadClocks().mono;
    m_record.line("the store has taken that " + leaver.id() + " drains");
    platform::RunUntil(
        m_io, [&] { return ReadClocks().mono - ack >= until; }, until + 1000);
    m_store->remove("servers", leaver.id());
    m_record.line(leaver.id() + " ends, " + std::to_string(until) + " ms later");
    leaver.crash(600000, [] {});
    return ack;
}

size_t SmallSite::judgeDrain(const FakeReplica& leaver, MonoTime ack, MonoTime bound) {
    size_t late = 0;
    size_t reached = 0;
    Millis latest = 0;
    std::vector<std::string> lateOnes;
    for (const auto& run : leaver.runs()) {
        if (run.began <= ack) {
            continue;
        }
        const bool isLate = run.began > bound;
        ++reached;
        if (isLate) {
            ++late;
            latest = std::max(latest, run.began - ack);
            lateOnes.push_back(run.id);
        }
        m_record.lineAt(run.began,
                        leaver.id() + " begins " + run.id + ", " + std::to_string(run.began - ack) +
                            " ms after the acknowledgement" + (isLate ? ", too late" : ""));
    }
    size_t lost = 0;
    size_t answered = 0;
    for (const Sent& one : m_sent) {
        const bool good = one.answer.status == 200 && one.answer.complete;
        answered += good ? 1 : 0;
        const bool ranThere =
            std::find(lateOnes.begin(), lateOnes.end(), one.request.id) != lateOnes.end();
        if (!good && ranThere) {
            ++lost;
            m_record.lineAt(one.answer.ended, one.request.id + " sent at " +
                                                  std::to_string(m_record.since(one.answer.sent)) +
                                                  " ms is lost with " + leaver.id() + ": status " +
                                                  std::to_string(one.answer.status) +
                                                  (one.answer.complete ? "" : ", incomplete"));
        }
    }
    m_record.line("requests answered well: " + std::to_string(answered) + " of " +
                  std::to_string(m_sent.size()));
    m_record.line("requests that reached the draining replica after the acknowledgement: " +
                  std::to_string(reached) + "; in breach of DRAIN: " + std::to_string(late) +
                  ", the last of them " + std::to_string(latest) +
                  " ms after it; of these lost with the replica's end: " + std::to_string(lost));
    return late;
}

}  // namespace onyx::review
