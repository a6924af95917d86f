// Runs keys that this box owns, and connects KeyOwner's decisions to the agent, the peers and the
// upstreams.
#pragma once

#include "modules/standalone/include/idempotency/KeyOwner.h"
#include "modules/standalone/include/router/AgentLink.h"
#include "modules/standalone/include/router/KeyTrace.h"
#include "modules/standalone/include/router/PeerController.h"
#include "modules/standalone/include/router/RouterContext.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class KeyController {
public:
    // Preconditions: all arguments outlive the controller.
    KeyController(RouterContext& context, PeerTable& table, PeerController& peers,
                  HomeController& home, AgentLink& agent);

    // Starts the clock. Preconditions: called once.
    void start();

    // A run with a key, from this box or another; its messages go to `sink`. Preconditions: none.
    void onRun(const MemberId& asker, wire::RunRequestT request, RunSink sink);

    // A message about the roster, or a ledger. Preconditions: none.
    void onMessage(const MemberId& from, wire::BodyUnion& body);

    // Another box's digest. Preconditions: none.
    void onDigest(const MemberId& from, const wire::DigestT& digest);

    // Names of all boxes that the platform lists. Preconditions: none.
    void onBoxes(std::set<std::string> names);

    // A planned stop: hands the keys on and leaves the roster. Preconditions: none.
    void leave();

    // Whether this box owns no keys any more and none is in flight. Preconditions: none.
    bool left() const;

    // The box to ask for `key`, whose home zone is `zone`: its owner where that is known, else a
    // live box of the zone; nothing if none can be reached. Preconditions: none.
    std::optional<MemberId> route(const std::string& key, const ZoneId& zone) const;

    // The decisions' state, for the metrics. Preconditions: none.
    const KeyOwner& owner() const { return m_owner; }

private:
    // A request that waits for the owner's answer.
    struct Waiting {
        uint64_t askerId = 0;
        wire::RunRequestT request;
        RunSink sink;
    };

    void feed(const KeyEvent& event);
    void perform(const std::vector<KeyAction>& actions);
    void perform(const RunKey& action);
    void perform(const KeyRan& action);
    void perform(const KeyRefused& action);
    void perform(const KeyElsewhere& action);
    void perform(const SendLedger& action);
    void perform(const KeeperAction& action);
    void callPlatform(const KeeperAction& action);
    void callRoster(uint64_t call, wire::PlatformCallT message);
    void callLease(uint64_t call, wire::PlatformCallT message);
    void refuse(const Waiting& waiting, const Refusal& refusal);
    std::vector<EngineConfig> replicasFor(const std::string& service, const std::string& key) const;
    ServiceCall makeCall(const wire::RunRequestT& request, const RunKey& action);
    Task<> run(RunKey action);
    Task<> forward(Waiting waiting, MemberId owner);
    Task<> tickLoop();
    void feedLive();
    template <class Message>
    void sendToMember(const MemberId& member, Message message);

    RouterContext& m_context;
    PeerTable& m_table;
    PeerController& m_peers;
    HomeController& m_home;
    AgentLink& m_agent;
    ServiceClient m_services;
    KeyOwner m_owner;
    std::unique_ptr<KeyTraceWriter> m_trace;
    std::map<uint64_t, Waiting> m_waiting;
    std::map<MemberId, uint32_t> m_generations;  // Of other processes, from their digests.
    std::map<MemberId, bool> m_draining;
    std::vector<MemberSeen> m_lastLive;  // As last told to the owner.
    MonoTime m_lastLiveAt;
    std::set<std::string> m_lastBoxes;
    uint64_t m_lastRequest = 0;
    bool m_left = false;
    bool m_hadLease = false;
};

}  // namespace onyx
