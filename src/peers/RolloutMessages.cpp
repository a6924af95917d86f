#include "include/peers/RolloutMessages.h"

namespace onyx {

namespace {

wire::RolloutStateTag EncodeState(const std::optional<RolloutStatus>& status) {
    if (!status) {
        return wire::RolloutStateTag::None;
    }
    switch (status->state) {
        case RolloutState::kInProgress:
            return wire::RolloutStateTag::InProgress;
        case RolloutState::kCompleted:
            return wire::RolloutStateTag::Completed;
        case RolloutState::kRolledBack:
            return wire::RolloutStateTag::RolledBack;
    }
    return wire::RolloutStateTag::None;
}

// A state that this build does not know counts as none.
std::optional<RolloutState> DecodeState(wire::RolloutStateTag state) {
    switch (state) {
        case wire::RolloutStateTag::InProgress:
            return RolloutState::kInProgress;
        case wire::RolloutStateTag::Completed:
            return RolloutState::kCompleted;
        case wire::RolloutStateTag::RolledBack:
            return RolloutState::kRolledBack;
        case wire::RolloutStateTag::None:
            break;
    }
    return std::nullopt;
}

wire::RolloutStageTag EncodeStage(RolloutStage stage) {
    switch (stage) {
        case RolloutStage::kCanary:
            return wire::RolloutStageTag::Canary;
        case RolloutStage::kPromoting:
            return wire::RolloutStageTag::Promoting;
        case RolloutStage::kCompleted:
            return wire::RolloutStageTag::Completed;
        case RolloutStage::kRolledBack:
            return wire::RolloutStageTag::RolledBack;
    }
    return wire::RolloutStageTag::Canary;
}

std::unique_ptr<wire::RolloutCountsT> EncodeCounts(const std::string& route,
                                                   const AnswerCounts& counts) {
    auto entry = std::make_unique<wire::RolloutCountsT>();
    entry->route = route;
    entry->good = counts.good;
    entry->bad = counts.bad;
    return entry;
}

}  // namespace

std::unique_ptr<wire::RolloutEntryT> EncodeRollout(const RolloutOrder& order, Millis elapsed,
                                                   RolloutStage stage) {
    auto entry = std::make_unique<wire::RolloutEntryT>();
    entry->service = order.service.value;
    entry->target_version = order.targetVersion;
    entry->duration_ms = order.duration;
    entry->state = EncodeState(order.status);
    entry->state_version = order.status ? order.status->targetVersion : std::string();
    entry->revision = order.revision;
    entry->elapsed_ms = elapsed;
    entry->stage = EncodeStage(stage);
    return entry;
}

RolloutOrder DecodeRollout(const wire::RolloutEntryT& entry) {
    RolloutOrder order;
    order.service = ServiceId(entry.service);
    order.targetVersion = entry.target_version;
    order.duration = entry.duration_ms;
    order.revision = entry.revision;
    if (const auto state = DecodeState(entry.state)) {
        order.status = RolloutStatus{*state, entry.state_version};
    }
    return order;
}

RolloutStage DecodeStage(wire::RolloutStageTag stage) {
    switch (stage) {
        case wire::RolloutStageTag::Promoting:
            return RolloutStage::kPromoting;
        case wire::RolloutStageTag::Completed:
            return RolloutStage::kCompleted;
        case wire::RolloutStageTag::RolledBack:
            return RolloutStage::kRolledBack;
        case wire::RolloutStageTag::Canary:
            break;
    }
    return RolloutStage::kCanary;
}

std::unique_ptr<wire::RolloutReportT> EncodeTally(const RolloutOrder& order,
                                                  const VersionTally& tally) {
    auto report = std::make_unique<wire::RolloutReportT>();
    report->service = order.service.value;
    report->target_version = order.targetVersion;
    for (const auto& [key, counts] : tally.target) {
        auto entry = EncodeCounts(key.route, counts);
        entry->target = true;
        entry->upstream = key.upstream;
        report->counts.push_back(std::move(entry));
    }
    for (const auto& [route, counts] : tally.base) {
        report->counts.push_back(EncodeCounts(route, counts));
    }
    return report;
}

VersionTally DecodeTally(const wire::RolloutReportT& report) {
    VersionTally tally;
    for (const auto& entry : report.counts) {
        if (!entry) {
            continue;
        }
        AnswerCounts& counts = entry->target ? tally.target[{entry->route, entry->upstream}]
                                             : tally.base[entry->route];
        counts += AnswerCounts{entry->good, entry->bad};
    }
    return tally;
}

}  // namespace onyx
