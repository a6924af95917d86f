// The links to other boxes: dials every listed box, exchanges heartbeats with digests, and carries
// runs to their homes and the answers back.
#pragma once

#include "include/wire/FrameLink.h"
#include "modules/standalone/include/membership/PeerTable.h"
#include "modules/standalone/include/router/HomeController.h"
#include "modules/standalone/include/router/RouterContext.h"
#include "modules/standalone/include/router/RunChannel.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class PeerController {
public:
    // A message that is not about runs, with the box that sent it.
    using OnMessage = std::function<void(const MemberId&, wire::BodyUnion&)>;
    using OnDigest = std::function<void(const MemberId&, const wire::DigestT&)>;

    // Preconditions: all arguments outlive the controller.
    PeerController(RouterContext& context, PeerTable& table, HomeController& home);

    // Starts to dial and to send digests. Preconditions: called once.
    void start();

    // The boxes that the platform lists, by address. Preconditions: none.
    void setListed(std::map<std::string, std::string> addresses);

    // Takes an accepted, greeted link from another router. Preconditions: not started.
    void accepted(std::shared_ptr<FrameLink> link);

    // Sends a run to `home`, this box among them; its messages come through the channel.
    // Preconditions: request.id came from nextRunId().
    std::shared_ptr<RunChannel> open(const MemberId& home, wire::RunRequestT request);

    // Ends a run early. Preconditions: the run was opened at `home`.
    void cancel(const MemberId& home, uint64_t id);

    // Forgets a run whose end was read. Preconditions: none.
    void forget(uint64_t id) { m_runs.erase(id); }

    // A fresh id for a run. Preconditions: none.
    uint64_t nextRunId() { return ++m_lastRun; }

    // Sends a message to `member` if it is linked; false if not. Preconditions: none.
    bool send(const MemberId& member, const wire::BodyUnion& body);

    // Who takes runs of keys that this box owns, and messages about the roster.
    // Preconditions: set before start().
    using OnKeyed = std::function<void(const MemberId&, wire::RunRequestT, RunSink)>;
    void setOnKeyed(OnKeyed onKeyed) { m_onKeyed = std::move(onKeyed); }
    void setOnMessage(OnMessage onMessage) { m_onMessage = std::move(onMessage); }
    void setOnDigest(OnDigest onDigest) { m_onDigest = std::move(onDigest); }

    // This box's greeting. Preconditions: none.
    wire::HelloT hello() const;

    // This box's digest, for new links. Preconditions: none.
    wire::DigestT digest();

    // Roster epoch that the digest carries. Preconditions: none.
    void setRosterEpoch(uint64_t epoch) { m_rosterEpoch = epoch; }

    // How often this process joined the roster anew; the digest carries it. Preconditions: none.
    void setGeneration(uint32_t generation) { m_generation = generation; }

    // Bytes of control traffic sent: digests, roster messages, notes. Preconditions: none.
    uint64_t controlBytesSent() const { return m_controlBytes; }

    // Sends a digest to all peers now, so that they learn of a drain. Preconditions: none.
    void sendDigestToAll();

    // Boxes that must get this box's digests besides the sample: the zone's key owners.
    // Preconditions: none.
    void setDigestAlways(std::set<MemberId> members) { m_digestAlways = std::move(members); }

    // No word from `member` in time: work goes elsewhere until it is heard again. Preconditions:
    // none.
    void suspect(const MemberId& member);

private:
    struct Dialed {
        std::string address;
        std::shared_ptr<FrameLink> link;
        bool dialing = false;
    };

    Task<> dialLoop();
    Task<> dial(std::string address);
    bool sameSite(const FrameLink& link) const;
    Task<> digestLoop();
    std::set<MemberId> digestTargets() const;
    void sendDigest(FrameLink& link, Millis next);
    void onFrame(const std::shared_ptr<FrameLink>& link, wire::BodyUnion& body);
    void onRunRequest(const std::shared_ptr<FrameLink>& link, wire::RunRequestT request);
    void onDigest(const MemberId& box, const wire::DigestT& digest);
    void askForConfig(const MemberId& box, uint64_t revision, MonoTime now);
    bool onRunMessage(wire::BodyUnion& body);
    void closed(const std::string& address, const MemberId& member);
    void checkHomes();

    RouterContext& m_context;
    PeerTable& m_table;
    HomeController& m_home;
    std::map<std::string, Dialed> m_dialed;                  // By address.
    std::map<MemberId, std::shared_ptr<FrameLink>> m_links;  // Outgoing, by member.
    struct OpenRun {
        MemberId home;
        std::shared_ptr<RunChannel> channel;
    };
    std::map<uint64_t, OpenRun> m_runs;
    OnKeyed m_onKeyed;
    OnMessage m_onMessage;
    OnDigest m_onDigest;
    std::set<MemberId> m_digestAlways;
    std::set<MemberId> m_digestTargets;
    uint64_t m_lastRun = 0;
    uint64_t m_digestSequence = 0;
    uint64_t m_rosterEpoch = 0;
    uint32_t m_generation = 0;
    uint64_t m_controlBytes = 0;
    uint64_t m_homesVersion = 0;
    MonoTime m_nextConfigAsk;
    std::optional<MonoTime> m_behindSince;  // When a higher revision was first heard of.
};

}  // namespace onyx
