#include "modules/standalone/include/router/KeyController.h"

#include "include/base/Hash.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/idempotency/Key.h"
#include "modules/standalone/include/placement/RendezvousOrder.h"
#include "modules/standalone/include/router/KeyMessages.h"

namespace onyx {

namespace {

constexpr Millis kTick = 50;
constexpr Millis kLivePeriod = 300;
constexpr uint32_t kMostForwards = 1;
KeeperSettings KeeperSettingsOf(const RouterSettings& settings) {
    KeeperSettings keeper;
    keeper.lease = settings.leaseDuration;
    keeper.renew = settings.leaseRenew;
    keeper.drift = settings.driftMargin;
    keeper.skew = settings.skewLimit;
    keeper.promise = settings.leaseDuration * 2 / 3;
    keeper.takeoverAfter = settings.peerTimeout + settings.driftMargin;
    keeper.stuck = 3 * settings.leaseDuration;
    keeper.mostMembers = static_cast<size_t>(settings.rosterMost);
    return keeper;
}

LedgerSettings LedgerSettingsOf(const RouterSettings& settings) {
    LedgerSettings ledger;
    ledger.horizon = settings.ledgerHorizon;
    ledger.most = static_cast<size_t>(settings.ledgerMost);
    return ledger;
}

}  // namespace

KeyController::KeyController(RouterContext& context, PeerTable& table, PeerController& peers,
                             HomeController& home, AgentLink& agent)
    : m_context(context),
      m_table(table),
      m_peers(peers),
      m_home(home),
      m_agent(agent),
      m_services(context.executor),
      m_owner(context.self, KeeperSettingsOf(context.settings),
              LedgerSettingsOf(context.settings)) {
    if (!context.settings.record.empty()) {
        m_trace = std::make_unique<KeyTraceWriter>(context.settings.record, context.self,
                                                   KeeperSettingsOf(context.settings));
    }
}

void KeyController::start() {
    Spawn(m_context.executor, tickLoop());
}

Task<> KeyController::tickLoop() {
    while (true) {
        feedLive();
        feed(KeeperEvent(KeeperTick{}));
        const Now now = ReadClocks();
        const bool lease = m_owner.keeper().leaseValid(now);
        if (lease != m_hadLease) {
            m_hadLease = lease;
            const bool promised = m_owner.keeper().promised(now);
            logEvent(
                lease ? Event::kLeaseHeld : Event::kLeaseLost,
                {{"member", m_owner.keeper().self().value}, {"promised", promised ? "yes" : "no"}});
        }
        co_await SleepFor(kTick);
    }
}

void KeyController::feedLive() {
    MembersLive live;
    const Now now = ReadClocks();
    // Boxes are replaced every day: nothing is kept of those that are gone.
    std::erase_if(m_generations,
                  [&](const auto& entry) { return !m_table.isLive(entry.first, now.mono); });
    std::erase_if(m_draining,
                  [&](const auto& entry) { return !m_table.isLive(entry.first, now.mono); });
    for (const PeerInfo& peer : m_table.reachable(now.mono)) {
        // Before its first digest it is not known how often it joined, and so under which id.
        if (peer.zone.value == m_context.settings.zone && m_generations.contains(peer.member)) {
            const MemberId member = MemberOf(peer.member, m_generations[peer.member]);
            live.members.push_back({member, m_draining[peer.member]});
        }
    }
    // The owner need not hear the same twice at once; a recorded trace stays short.
    if (live.members != m_lastLive || now.mono - m_lastLiveAt >= kLivePeriod) {
        m_lastLive = live.members;
        m_lastLiveAt = now.mono;
        feed(KeeperEvent(std::move(live)));
    }
}

void KeyController::feed(const KeyEvent& event) {
    const Now now = ReadClocks();
    const std::vector<KeyAction> actions = m_owner.step(event, now);
    if (m_trace) {
        m_trace->step(now, event, actions);
    }
    perform(actions);
}

void KeyController::perform(const std::vector<KeyAction>& actions) {
    for (const KeyAction& action : actions) {
        std::visit([this](const auto& a) { perform(a); }, action);
    }
}

// ---- Requests ----

void KeyController::onRun(const MemberId&, wire::RunRequestT request, RunSink sink) {
    const uint64_t number = ++m_lastRequest;
    KeyAsk ask;
    ask.request = number;
    ask.key = request.key;
    ask.mintedAt = KeyMintTime(request.key).value_or(WallTime{});
    const std::string body(request.body.begin(), request.body.end());
    ask.digest =
        HashText(request.service + " " + request.method + " " + request.target + "\n" + body);
    ask.deadline = ReadClocks().mono + request.deadline_in_ms;
    Waiting& waiting = m_waiting[number];
    waiting.askerId = request.id;
    waiting.request = std::move(request);
    waiting.sink = std::move(sink);
    m_context.metrics.count("onyx_key_asks_total");
    feed(ask);
}

void KeyController::perform(const RunKey& action) {
    Spawn(m_context.executor, run(action));
}

// The replicas that may take the key's order, own zone first; every owner would ask them alike.
std::vector<EngineConfig> KeyController::replicasFor(const std::string& service,
                                                     const std::string& key) const {
    const auto snapshot = m_context.config.current();
    std::vector<EngineId> own;
    std::vector<EngineId> other;
    for (const auto& [id, engine] : snapshot->engines()) {
        if (engine.service.value == service && m_home.usable(engine)) {
            (engine.zone.value == m_context.settings.zone ? own : other).push_back(id);
        }
    }
    std::vector<EngineConfig> replicas;
    for (const auto* list : {&own, &other}) {
        for (const uint32_t i : RendezvousOrder(ChatId(key), *list, list->size())) {
            replicas.push_back(*snapshot->engine((*list)[i]));
        }
    }
    return replicas;
}

ServiceCall KeyController::makeCall(const wire::RunRequestT& request, const RunKey& action) {
    const auto snapshot = m_context.config.current();
    const ServiceConfig* service = snapshot->service(ServiceId(request.service));
    ServiceCall call;
    call.upstreamId = m_context.nextUpstreamId();
    call.method = request.method;
    call.target = request.target;
    call.contentType = request.content_type;
    call.body.assign(request.body.begin(), request.body.end());
    call.key = action.key;
    call.fence = service != nullptr && service->checksFence ? action.epoch : 0;
    return call;
}

Task<> KeyController::run(RunKey action) {
    const wire::RunRequestT request = m_waiting.at(action.request).request;
    const MonoTime deadline = ReadClocks().mono + request.deadline_in_ms;
    KeyDone done;
    done.request = action.request;
    done.state = KeyState::kNotRun;
    for (const EngineConfig& replica : replicasFor(request.service, action.key)) {
        const Now now = ReadClocks();
        const Millis left = deadline - now.mono;
        if (left <= 0 || !m_owner.mayDispatch(action.request, now)) {
            break;
        }
        if (m_trace) {
            m_trace->dispatched(now, action.request, action.key);
        }
        ServiceCall call = makeCall(request, action);
        call.service = replica.address;
        call.timeout = left;
        const ServiceAnswer answer = co_await m_services.call(std::move(call));
        if (!answer.written) {
            continue;  // It never reached this replica: another one may have it.
        }
        done.state = answer.answered ? KeyState::kRan : KeyState::kUnknown;
        done.status = answer.status;
        done.contentType = answer.contentType;
        done.body = answer.body;
        break;
    }
    m_context.metrics.count("onyx_key_runs_total");
    feed(done);
}

void KeyController::perform(const KeyRan& action) {
    const auto node = m_waiting.extract(action.request);
    if (node.empty()) {
        return;
    }
    const Waiting& waiting = node.mapped();
    if (!action.bodyKept) {
        refuse(waiting, {RefusalReason::kAlreadyRan, RunOutcome::kRan, 0,
                         "its answer was too large to keep"});
        return;
    }
    wire::RunVerdictT verdict;
    verdict.id = waiting.askerId;
    verdict.verdict = wire::Verdict::Admitted;
    SendTo(waiting.sink, std::move(verdict));
    wire::RunChunkT chunk;
    chunk.id = waiting.askerId;
    chunk.data.assign(action.body.begin(), action.body.end());
    SendTo(waiting.sink, std::move(chunk));
    wire::RunEndT end;
    end.id = waiting.askerId;
    end.kind = wire::EndKind::Complete;
    end.status = action.status;
    end.content_type = action.contentType;
    end.replayed = action.replayed;
    SendTo(waiting.sink, std::move(end));
}

void KeyController::refuse(const Waiting& waiting, const Refusal& refusal) {
    SendTo(waiting.sink, RefusalVerdict(waiting.askerId, refusal));
}

void KeyController::perform(const KeyRefused& action) {
    const auto node = m_waiting.extract(action.request);
    if (!node.empty()) {
        refuse(node.mapped(), action.refusal);
    }
}

void KeyController::perform(const KeyElsewhere& action) {
    auto node = m_waiting.extract(action.request);
    if (node.empty()) {
        return;
    }
    const MemberId owner = ProcessOf(action.owner);
    const bool again = node.mapped().request.attempt >= kMostForwards;
    if (again || !m_table.isLive(owner, ReadClocks().mono)) {
        refuse(node.mapped(), {RefusalReason::kOwnerAway, RunOutcome::kUnknown,
                               again ? KeyOwner::kMovingRetry : KeyOwner::kAwayRetry,
                               "the key's owner cannot be reached"});
        return;
    }
    Spawn(m_context.executor, forward(std::move(node.mapped()), owner));
}

// Passes a run on to the key's owner and its messages back.
Task<> KeyController::forward(Waiting waiting, MemberId owner) {
    wire::RunRequestT request = waiting.request;
    request.id = m_peers.nextRunId();
    ++request.attempt;
    const uint64_t id = request.id;
    const MonoTime end = ReadClocks().mono + request.deadline_in_ms;
    const std::shared_ptr<RunChannel> channel = m_peers.open(owner, std::move(request));
    bool over = false;
    while (!over) {
        const Millis left = std::max<Millis>(1, end - ReadClocks().mono);
        RunMessage message = co_await channel->receive(left);
        if (auto* verdict = std::get_if<wire::RunVerdictT>(&message)) {
            over = verdict->verdict == wire::Verdict::Refused;
            verdict->id = waiting.askerId;
            SendTo(waiting.sink, std::move(*verdict));
        } else if (auto* chunk = std::get_if<wire::RunChunkT>(&message)) {
            chunk->id = waiting.askerId;
            SendTo(waiting.sink, std::move(*chunk));
        } else if (auto* done = std::get_if<wire::RunEndT>(&message)) {
            over = true;
            done->id = waiting.askerId;
            SendTo(waiting.sink, std::move(*done));
        } else {
            over = true;
            const Refusal lost{RefusalReason::kOwnerAway, RunOutcome::kUnknown,
                               KeyOwner::kAwayRetry, "lost the key's owner"};
            refuse(waiting, lost);
        }
    }
    m_peers.forget(id);
}

std::optional<MemberId> KeyController::route(const std::string& key, const ZoneId& zone) const {
    const MonoTime now = ReadClocks().mono;
    if (zone.value == m_context.settings.zone) {
        const auto owner = m_owner.keeper().ownerOf(key);
        if (!owner) {
            return m_context.self;  // Says that there is no owner yet.
        }
        const MemberId process = ProcessOf(*owner);
        return m_table.isLive(process, now) ? std::optional(process) : std::nullopt;
    }
    const std::vector<MemberId> live = m_table.live(zone, now);
    return OwnerAmong(key, live);
}

// ---- The roster ----

template <class Message>
void KeyController::sendToMember(const MemberId& member, Message message) {
    wire::BodyUnion body;
    body.Set(std::move(message));
    m_peers.send(ProcessOf(member), body);
}

void KeyController::perform(const SendLedger& action) {
    sendToMember(action.to, ToMessage(action));
}

void KeyController::perform(const KeeperAction& action) {
    if (const auto* ask = std::get_if<AskConsent>(&action)) {
        wire::ConsentAskT message;
        message.epoch = ask->epoch;
        message.members = NamesOf(ask->members);
        sendToMember(ask->to, std::move(message));
    } else if (const auto* consent = std::get_if<AnswerConsent>(&action)) {
        wire::ConsentReplyT message;
        message.epoch = consent->epoch;
        message.granted = consent->granted;
        sendToMember(consent->to, message);
    } else if (const auto* promise = std::get_if<AskPromise>(&action)) {
        wire::PromiseAskT message;
        message.round = promise->round;
        message.epoch = promise->epoch;
        sendToMember(promise->to, message);
    } else if (const auto* given = std::get_if<AnswerPromise>(&action)) {
        wire::PromiseReplyT message;
        message.round = given->round;
        message.epoch = given->epoch;
        message.granted = given->granted;
        sendToMember(given->to, message);
    } else if (const auto* taken = std::get_if<EpochTaken>(&action)) {
        m_peers.setRosterEpoch(taken->epoch);
        std::set<MemberId> processes;
        for (const MemberId& member : m_owner.keeper().roster().members) {
            processes.insert(ProcessOf(member));
        }
        m_peers.setDigestAlways(std::move(processes));
        logEvent(Event::kRosterChanged, {{"state", m_owner.keeper().describe(ReadClocks())}});
    } else if (const auto* rejoined = std::get_if<Rejoined>(&action)) {
        m_peers.setGeneration(static_cast<uint32_t>(m_owner.keeper().generation()));
        logEvent(Event::kLeaseLost, {{"member", rejoined->member.value}, {"rejoins", "yes"}});
    } else if (std::holds_alternative<LeftRoster>(action)) {
        m_left = true;
    } else {
        callPlatform(action);
    }
}

void KeyController::callPlatform(const KeeperAction& action) {
    const std::string rosterPath = "/keys/roster/" + m_context.settings.zone;
    wire::PlatformCallT message;
    if (const auto* readRoster = std::get_if<ReadRoster>(&action)) {
        message.path = rosterPath;
        callRoster(readRoster->call, std::move(message));
    } else if (const auto* writeRoster = std::get_if<WriteRoster>(&action)) {
        message.op = wire::PlatformOp::Put;
        message.path = rosterPath;
        message.expect = writeRoster->expect;
        message.value = RosterText(writeRoster->roster);
        callRoster(writeRoster->call, std::move(message));
    } else if (const auto* readLease = std::get_if<ReadLease>(&action)) {
        message.path = LeasePath(readLease->box);
        callLease(readLease->call, std::move(message));
    } else if (const auto* writeLease = std::get_if<WriteLease>(&action)) {
        if (writeLease->record.holder != m_owner.keeper().self()) {
            logEvent(Event::kTakeover, {{"of", writeLease->record.revoked.back().value}});
        }
        message.op = wire::PlatformOp::Put;
        message.path = LeasePath(writeLease->box);
        message.expect = writeLease->expect;
        message.value = LeaseText(writeLease->record);
        callLease(writeLease->call, std::move(message));
    }
}

void KeyController::callRoster(uint64_t call, wire::PlatformCallT message) {
    m_agent.call(std::move(message), [this, call](const wire::PlatformReplyT& reply) {
        const RosterReply event{call, StatusOf(reply.status), reply.version, RosterOf(reply.value)};
        // Never from inside a step: the link may answer at once.
        asio::post(m_context.executor, [this, event] { feed(KeeperEvent(event)); });
    });
}

void KeyController::callLease(uint64_t call, wire::PlatformCallT message) {
    m_agent.call(std::move(message), [this, call](const wire::PlatformReplyT& reply) {
        const LeaseReply event{call, StatusOf(reply.status), reply.version, LeaseOf(reply.value)};
        asio::post(m_context.executor, [this, event] { feed(KeeperEvent(event)); });
    });
}

void KeyController::onMessage(const MemberId& from, wire::BodyUnion& body) {
    const MemberId member = MemberOf(from, m_generations[from]);
    if (const auto* ask = body.AsConsentAsk()) {
        feed(KeeperEvent(ConsentAsked{member, ask->epoch, MembersOf(ask->members)}));
    } else if (const auto* reply = body.AsConsentReply()) {
        feed(KeeperEvent(ConsentAnswered{member, reply->epoch, reply->granted}));
    } else if (const auto* promise = body.AsPromiseAsk()) {
        feed(KeeperEvent(PromiseAsked{member, promise->round, promise->epoch}));
    } else if (const auto* given = body.AsPromiseReply()) {
        feed(KeeperEvent(PromiseAnswered{member, given->round, given->epoch, given->granted}));
    } else if (const auto* handover = body.AsHandover()) {
        feed(FromMessage(member, *handover));
    }
}

void KeyController::onDigest(const MemberId& from, const wire::DigestT& digest) {
    m_generations[from] = digest.generation;
    if (m_draining[from] != digest.draining) {
        m_draining[from] = digest.draining;
        feedLive();  // Before the roster that it leaves is read, or it would be admitted again.
    }
    const auto& reachable = m_table.reachable(ReadClocks().mono);
    for (const PeerInfo& peer : reachable) {
        const bool sameZone = peer.zone.value == m_context.settings.zone;
        if (peer.member == from && sameZone &&
            digest.roster_epoch > m_owner.keeper().roster().epoch) {
            feed(KeeperEvent(EpochSeen{digest.roster_epoch}));
        }
    }
}

void KeyController::onBoxes(std::set<std::string> names) {
    if (names != m_lastBoxes) {
        m_lastBoxes = names;
        feed(KeeperEvent(BoxesListed{std::move(names)}));
    }
}

void KeyController::leave() {
    feed(KeeperEvent(LeaveRoster{}));
}

bool KeyController::left() const {
    return m_left && m_owner.inFlight() == 0;
}

}  // namespace onyx
