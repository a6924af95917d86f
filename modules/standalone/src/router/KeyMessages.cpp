#include "modules/standalone/include/router/KeyMessages.h"

#include <nlohmann/json.hpp>

namespace onyx {

using nlohmann::json;

CallStatus StatusOf(wire::PlatformStatus status) {
    switch (status) {
        case wire::PlatformStatus::Ok:
            return CallStatus::kOk;
        case wire::PlatformStatus::Conflict:
            return CallStatus::kConflict;
        case wire::PlatformStatus::Missing:
            return CallStatus::kMissing;
        case wire::PlatformStatus::Unavailable:
            return CallStatus::kUnavailable;
        case wire::PlatformStatus::Unknown:
            return CallStatus::kUnknown;
    }
    return CallStatus::kUnknown;
}

std::string LeasePath(const std::string& box) {
    return "/keys/lease/" + box;
}

std::vector<std::string> NamesOf(const std::vector<MemberId>& members) {
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const MemberId& member : members) {
        names.push_back(member.value);
    }
    return names;
}

std::vector<MemberId> MembersOf(const std::vector<std::string>& names) {
    return {names.begin(), names.end()};
}

std::string RosterText(const Roster& roster) {
    return json{{"epoch", roster.epoch},
                {"members", NamesOf(roster.members)},
                {"started_at_ms", roster.startedAt.ms}}
        .dump();
}

// An object that cannot be read is none: the conditional update that follows cannot succeed
// against its version by accident, since the epoch would go back.
Roster RosterOf(const std::string& text) {
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return {};
    }
    Roster roster;
    roster.epoch = document.value("epoch", uint64_t{0});
    roster.members = MembersOf(document.value("members", std::vector<std::string>{}));
    roster.startedAt.ms = document.value("started_at_ms", Millis{0});
    return roster;
}

std::string LeaseText(const LeaseRecord& record) {
    return json{{"holder", record.holder.value}, {"revoked", NamesOf(record.revoked)}}.dump();
}

LeaseRecord LeaseOf(const std::string& text) {
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return {};
    }
    return {MemberId(document.value("holder", "")),
            MembersOf(document.value("revoked", std::vector<std::string>{}))};
}

wire::HandoverT ToMessage(const SendLedger& action) {
    wire::HandoverT message;
    message.epoch = action.epoch;
    message.since_ms = action.handover.since.ms;
    message.before = NamesOf(action.handover.before);
    message.members = NamesOf(action.handover.members);
    for (const KeyEntry& entry : action.entries) {
        auto out = std::make_unique<wire::LedgerEntryT>();
        out->key = entry.key;
        out->minted_ms = entry.mintedAt.ms;
        out->digest = entry.digest;
        out->state = static_cast<uint8_t>(entry.state);
        out->status = entry.status;
        out->content_type = entry.contentType;
        out->body.assign(entry.body.begin(), entry.body.end());
        out->body_kept = entry.bodyKept;
        message.entries.push_back(std::move(out));
    }
    return message;
}

LedgerReceived FromMessage(const MemberId& from, const wire::HandoverT& message) {
    LedgerReceived received;
    received.from = from;
    received.epoch = message.epoch;
    received.handover = {{message.since_ms}, MembersOf(message.before), MembersOf(message.members)};
    for (const auto& in : message.entries) {
        KeyEntry entry;
        entry.key = in->key;
        entry.mintedAt = {in->minted_ms};
        entry.digest = in->digest;
        entry.state = static_cast<KeyState>(in->state);
        entry.status = in->status;
        entry.contentType = in->content_type;
        entry.body.assign(in->body.begin(), in->body.end());
        entry.bodyKept = in->body_kept;
        received.entries.push_back(std::move(entry));
    }
    return received;
}

}  // namespace onyx
