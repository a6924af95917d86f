// A small deployment for the scripts of this review: boxes as processes, the project's stand-ins of
// the store and of replicas, a link of each box to the store, callers, and a record of what was
// sent, answered and run.
#pragma once

#include "include/net/Net.h"
#include "platform/standin/FakeReplica.h"
#include "platform/standin/FakeStore.h"
#include "platform/standin/RunContext.h"
#include "platform/upgrade/BoxProcess.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace onyx::review {

using platform::BoxProcess;
using platform::FakeReplica;
using platform::FakeStore;

inline constexpr int kHeld = 0;  // Exit codes of a case.
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// What each case gets from its script.
struct CaseOptions {
    std::string gateway;
    std::filesystem::path dir;
    std::filesystem::path record;
    bool trouble = true;
};

// Writes lines of the record, with the milliseconds since its start.
class Record {
public:
    explicit Record(const std::filesystem::path& path) : m_file(path), m_start(ReadClocks().mono) {}
    void line(const std::string& text) { lineAt(ReadClocks().mono, text); }
    void lineAt(MonoTime at, const std::string& text);
    Millis since(MonoTime at) const { return at - m_start; }

private:
    std::ofstream m_file;
    MonoTime m_start;
};

// A link to the store. Connections that are open may go silent for good, while new ones work.
class StoreLink {
public:
    StoreLink(asio::io_context& io, const Endpoint& store)
        : m_io(io), m_store(store), m_acceptor(io) {}
    Result<Endpoint> listen();
    // Nothing passes any more on the connections that are open now. Preconditions: none.
    void silence() { ++m_generation; }
    // When the box last began to watch the list of upstreams. Preconditions: none.
    MonoTime lastListWatch() const { return m_lastListWatch; }

private:
    struct Pair;
    Task<> serve(Tcp::socket box);
    Task<> pump(std::shared_ptr<Pair> pair, bool fromBox);

    asio::io_context& m_io;
    Endpoint m_store;
    Tcp::acceptor m_acceptor;
    uint64_t m_generation = 0;
    MonoTime m_lastListWatch;
};

// What a caller asks for and what it got.
struct CallerRequest {
    std::string method = "POST";
    std::string target;
    std::string headers;  // Further lines, each with its end.
    std::string body;
    std::string id;
    Millis deadline = 10000;
};
struct CallerAnswer {
    MonoTime sent;
    MonoTime ended;
    unsigned status = 0;    // 0: none came.
    bool complete = false;  // All of it came.
    std::string body;
};

// Sends `request` over a new connection and reads the answer, until its deadline.
Task<CallerAnswer> Ask(asio::io_context& io, Endpoint box, CallerRequest request);

// A free name for a request.
std::string NewId();

// A route in the form of the operator's configuration.
nlohmann::json RouteOf(const std::string& prefix, const std::string& kind,
                       const std::string& service, int attempts, Millis timeout, Millis objective);
nlohmann::json ConfigurationOf(uint64_t version, const std::vector<nlohmann::json>& routes);

inline constexpr const char* kHost = "desk.example";
inline constexpr const char* kKey = "key-of-north";

// Settings of a box like those of the smallest site (mostrador-norte), beside its addresses.
std::string SmallSiteSettings();

// Waits until all boxes say that they are ready. Returns false if they do not within 15 s.
bool AwaitReady(asio::io_context& io, const std::vector<std::unique_ptr<BoxProcess>>& boxes);

// Three zones with model replicas, a plain replica and boxes in each, the boxes behind links to the
// store, and callers that ask each box for streams and for answers that may not be repeated.
class SmallSite {
public:
    struct Sent {
        CallerRequest request;
        CallerAnswer answer;
    };

    // `settings`: as SmallSiteSettings(). Preconditions: the context outlives the site.
    SmallSite(asio::io_context& io, const CaseOptions& options, Record& record)
        : m_io(io), m_options(options), m_record(record) {}
    // Starts it, with `models` model replicas, the first of replicas(); false if it does not become
    // ready.
    bool start(size_t boxes, size_t models, const std::string& settings);
    // Callers ask from now on until stopLoad(). Preconditions: start() was called.
    void startLoad();
    void stopLoad() { m_over = true; }
    // The store takes that the replica drains, and the replica ends `until` milliseconds later.
    // Returns when the store took it.
    MonoTime drain(FakeReplica& leaver, Millis until);

    FakeStore& store() { return *m_store; }
    std::vector<std::unique_ptr<FakeReplica>>& replicas() { return m_replicas; }
    std::vector<std::unique_ptr<StoreLink>>& links() { return m_links; }
    std::vector<std::unique_ptr<BoxProcess>>& boxes() { return m_boxes; }
    const std::vector<Sent>& sent() const { return m_sent; }

    // Judges DRAIN: writes what reached `leaver` after `ack`, and what was lost with its end;
    // returns how many requests reached it later than `bound`.
    size_t judgeDrain(const FakeReplica& leaver, MonoTime ack, MonoTime bound);

private:
    Task<> load(size_t box, bool stream);
    Task<> ask(Endpoint box, Sent one);

    asio::io_context& m_io;
    const CaseOptions& m_options;
    Record& m_record;
    std::unique_ptr<FakeStore> m_store;
    std::vector<std::unique_ptr<FakeReplica>> m_replicas;
    std::vector<std::unique_ptr<StoreLink>> m_links;
    std::vector<std::unique_ptr<BoxProcess>> m_boxes;
    std::vector<Sent> m_sent;
    bool m_over = false;
};

int RunSilentStore(asio::io_context& io, const CaseOptions& options);
int RunSurplus(asio::io_context& io, const CaseOptions& options);
int RunClockBack(asio::io_context& io, const CaseOptions& options);
int RunSilentEngine(asio::io_context& io, const CaseOptions& options);

}  // namespace onyx::review
