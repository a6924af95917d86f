#include "modules/standalone/include/router/KeyTrace.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace onyx {

using nlohmann::json;

// The JSON library finds these by their namespace.

template <class Tag>
void to_json(json& out, const Id<Tag>& id) {
    out = id.value;
}
template <class Tag>
void from_json(const json& in, Id<Tag>& id) {
    id.value = in.get<std::string>();
}
void to_json(json& out, const MonoTime& time) {
    out = time.ms;
}
void from_json(const json& in, MonoTime& time) {
    time.ms = in.get<Millis>();
}
void to_json(json& out, const WallTime& time) {
    out = time.ms;
}
void from_json(const json& in, WallTime& time) {
    time.ms = in.get<Millis>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeeperRules, lease, consent, mint, revoke)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeeperSettings, lease, renew, drift, skew, promise,
                                   takeoverAfter, retry, handoverWait, stuck, mostMembers, rules)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Roster, epoch, members, startedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseRecord, holder, revoked)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Handover, since, before, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyEntry, key, mintedAt, digest, state, status, contentType,
                                   body, bodyKept)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Refusal, reason, outcome, retryAfter, detail)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RosterReply, call, status, version, roster)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseReply, call, status, version, record)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConsentAsked, from, epoch, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConsentAnswered, from, epoch, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseAsked, from, round, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseAnswered, from, round, epoch, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberSeen, member, draining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MembersLive, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EpochSeen, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HandoverTaken, from, epoch, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BoxesListed, names)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyAsk, request, key, mintedAt, digest, deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyDone, request, state, status, contentType, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LedgerReceived, from, epoch, handover, entries)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReadRoster, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WriteRoster, call, expect, roster)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReadLease, call, box)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WriteLease, call, box, expect, record)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AskConsent, to, epoch, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerConsent, to, epoch, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AskPromise, to, round, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerPromise, to, round, epoch, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EpochTaken, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Rejoined, member)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Consented, epoch, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunKey, request, key, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRan, request, replayed, bodyKept, status, contentType, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRefused, request, refusal)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyElsewhere, request, owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SendLedger, to, epoch, handover, entries)

void to_json(json& out, const KeeperTick&) {
    out = json::object();
}
void from_json(const json&, KeeperTick&) {}
void to_json(json& out, const LeaveRoster&) {
    out = json::object();
}
void from_json(const json&, LeaveRoster&) {}
void to_json(json& out, const LeftRoster&) {
    out = json::object();
}

namespace {

// Names of the alternatives, in the order of the variants.
constexpr std::array kKeeperEvents = {
    "tick",          "roster_reply",     "lease_reply",  "consent_asked", "consent_answered",
    "promise_asked", "promise_answered", "members_live", "epoch_seen",    "handover_taken",
    "boxes_listed",  "leave_roster"};
constexpr std::array kKeyEvents = {"ask", "done", "ledger_received"};
constexpr std::array kKeeperActions = {
    "read_roster", "write_roster",   "read_lease",  "write_lease", "ask_consent", "answer_consent",
    "ask_promise", "answer_promise", "epoch_taken", "rejoined",    "consented",   "left_roster"};
constexpr std::array kKeyActions = {"run", "ran", "refused", "elsewhere", "send_ledger"};
static_assert(kKeeperEvents.size() == std::variant_size_v<KeeperEvent>);
static_assert(kKeyEvents.size() + 1 == std::variant_size_v<KeyEvent>);
static_assert(kKeeperActions.size() == std::variant_size_v<KeeperAction>);
static_assert(kKeyActions.size() + 1 == std::variant_size_v<KeyAction>);

template <class Variant, size_t N>
json Tagged(const Variant& value, const std::array<const char*, N>& names) {
    json body = std::visit([](const auto& v) { return json(v); }, value);
    return {{names[value.index()], std::move(body)}};
}

// Reads the alternative that is called `name`, if it is one of `Variant`'s.
template <class Variant, size_t I = 0, size_t N>
bool ReadTagged(const std::string& name, const json& body, const std::array<const char*, N>& names,
                Variant& out) {
    if constexpr (I < N) {
        if (name == names[I]) {
            out = body.get<std::variant_alternative_t<I, Variant>>();
            return true;
        }
        return ReadTagged<Variant, I + 1>(name, body, names, out);
    }
    return false;
}

// KeyEvent and KeyAction without their last alternative, which is a variant itself.
using OwnEvent = std::variant<KeyAsk, KeyDone, LedgerReceived>;

}  // namespace

json KeyEventToJson(const KeyEvent& event) {
    if (const auto* keeper = std::get_if<KeeperEvent>(&event)) {
        return Tagged(*keeper, kKeeperEvents);
    }
    OwnEvent own;
    std::visit(
        [&](const auto& e) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(e)>, KeeperEvent>) {
                own = e;
            }
        },
        event);
    return Tagged(own, kKeyEvents);
}

KeyEvent KeyEventFromJson(const json& in) {
    const std::string name = in.begin().key();
    const json& body = in.begin().value();
    KeeperEvent keeper;
    if (ReadTagged(name, body, kKeeperEvents, keeper)) {
        return keeper;
    }
    OwnEvent own;
    if (!ReadTagged(name, body, kKeyEvents, own)) {
        throw std::invalid_argument("no such event: " + name);
    }
    return std::visit([](auto&& e) -> KeyEvent { return e; }, std::move(own));
}

json KeyActionToJson(const KeyAction& action) {
    if (const auto* keeper = std::get_if<KeeperAction>(&action)) {
        return Tagged(*keeper, kKeeperActions);
    }
    json body = std::visit(
        [](const auto& a) -> json {
            if constexpr (std::is_same_v<std::decay_t<decltype(a)>, KeeperAction>) {
                return json::object();
            } else {
                return a;
            }
        },
        action);
    return {{kKeyActions[action.index()], std::move(body)}};
}

json KeeperSettingsToJson(const KeeperSettings& settings) {
    return settings;
}

KeeperSettings KeeperSettingsFromJson(const json& in) {
    return in.get<KeeperSettings>();
}

KeyTraceWriter::KeyTraceWriter(const std::string& path, const MemberId& member,
                               const KeeperSettings& settings)
    : m_out(path, std::ios::app) {
    const json header = {{"member", member.value}, {"settings", settings}};
    m_out << header.dump() << "\n" << std::flush;
}

void KeyTraceWriter::step(const Now& now, const KeyEvent& event,
                          const std::vector<KeyAction>& actions) {
    const auto* keeper = std::get_if<KeeperEvent>(&event);
    if (actions.empty() && keeper != nullptr && std::holds_alternative<KeeperTick>(*keeper)) {
        return;
    }
    json line = {{"t", now.mono.ms}, {"w", now.wall.ms}, {"event", KeyEventToJson(event)}};
    for (const KeyAction& action : actions) {
        line["actions"].push_back(KeyActionToJson(action));
    }
    m_out << line.dump() << "\n" << std::flush;
}

void KeyTraceWriter::dispatched(const Now& now, uint64_t request, const std::string& key) {
    const json line = {{"t", now.mono.ms},
                       {"w", now.wall.ms},
                       {"dispatched", {{"request", request}, {"key", key}}}};
    m_out << line.dump() << "\n" << std::flush;
}

}  // namespace onyx
