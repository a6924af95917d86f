// The home's side: admits requests to the engines that this box is the home of, runs them there
// and relays the tokens to whoever asked. The decisions are HomeAdmission's.
#pragma once

#include "modules/standalone/include/placement/HomeAdmission.h"
#include "modules/standalone/include/router/RouterContext.h"
#include "modules/standalone/include/upstream/EngineClient.h"
#include "modules/standalone/include/upstream/ServiceClient.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace onyx {

class PeerTable;

// Where the messages about one run go: a local channel, or a link to the box that asked.
using RunSink = std::function<void(wire::BodyUnion)>;

// Sends one message of the schema to a sink. Preconditions: sink is set.
template <class Message>
void SendTo(const RunSink& sink, Message message) {
    wire::BodyUnion body;
    body.Set(std::move(message));
    sink(std::move(body));
}

// Not thread safe: one io_context.
class HomeController {
public:
    // Preconditions: the context and the table outlive the controller.
    HomeController(RouterContext& context, PeerTable& peers);

    // Starts the clock and the load reports. Preconditions: called once.
    void start();

    // Box `asker` asks to run `request`; the verdict and the answer go to `sink`.
    // Preconditions: the request's id is new for this asker.
    void ask(const MemberId& asker, wire::RunRequestT request, RunSink sink);

    // The asker does not want the rest. Preconditions: none.
    void cancel(const MemberId& asker, uint64_t id);

    // The link to the asker is lost: ends all that it asked for. Preconditions: none.
    void cancelAll(const MemberId& asker);

    // The chat was served by another engine than its first choice. Preconditions: none.
    void note(const wire::ChatNoteT& note);

    // Another box's digest. Preconditions: none.
    void digest(const MemberId& box, const wire::DigestT& digest);

    // The engines homed here may have changed. Preconditions: none.
    void refreshHomes();

    // The platform lists these upstream boxes as leaving. Preconditions: none.
    void setListedLeaving(std::set<std::string> boxes);

    // The loads for this box's digest. Preconditions: none.
    std::vector<EngineLoad> loads() const;

    // Whether the newest digest about `engine` said that it was full. Preconditions: none.
    bool saidFull(const EngineId& engine) const;

    // Whether an engine may get new work as far as this box knows. Preconditions: none.
    bool usable(const EngineConfig& engine) const;

    // Runs and waiting requests here. Preconditions: none.
    size_t active() const { return m_runs.size(); }

private:
    struct Run {
        MemberId asker;
        uint64_t askerId = 0;
        wire::RunRequestT request;
        RunSink sink;
        std::shared_ptr<RunHandle> handle = std::make_shared<RunHandle>();
        bool running = false;
        bool preempted = false;
    };

    void perform(const std::vector<HomeAction>& actions);
    void admitted(const Admitted& admitted);
    void verdict(Ticket ticket, wire::Verdict kind, const EngineId& engine, int load);
    void refused(const Refused& refused);
    void preempt(const Preempt& preempt);
    Task<> runAdmitted(Ticket ticket, EngineId engine);
    Task<wire::RunEndT> runChat(const Run& run, const EngineConfig& engine);
    Task<wire::RunEndT> runPlain(const Run& run, const EngineConfig& engine);
    Task<> tickLoop();
    Task<> pollLoop();
    Task<> pollEngine(EngineConfig engine);
    void applyLeaving();
    void markDown(const EngineId& engine, bool down);

    RouterContext& m_context;
    PeerTable& m_peers;
    EngineClient m_engines;
    ServiceClient m_services;
    HttpClient m_http;
    HomeAdmission m_admission;
    std::map<Ticket, Run> m_runs;
    std::map<std::pair<MemberId, uint64_t>, Ticket> m_byAsker;
    std::set<EngineId> m_homed;
    std::set<EngineId> m_down;             // Refused a connection; until a report comes.
    std::set<EngineId> m_reportedLeaving;  // By their own reports.
    std::set<std::string> m_listedLeaving;
    std::map<EngineId, std::shared_ptr<bool>> m_polling;
    Ticket m_lastTicket = 0;
};

}  // namespace onyx
