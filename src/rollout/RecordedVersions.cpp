#include "include/rollout/RecordedVersions.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace onyx {

namespace {

// A number from 0 to 1, neither included.
double UnitHash(uint64_t fingerprint, const std::string& version) {
    constexpr int kBits = 53;  // Of a double's mantissa.
    const uint64_t hash = HashPair(fingerprint, HashText(version)) >> (64 - kBits);
    return (static_cast<double>(hash) + 0.5) / static_cast<double>(uint64_t{1} << kBits);
}

bool HasSameVersions(const VersionWeights& a, const VersionWeights& b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](const auto& x, const auto& y) { return x.first == y.first; });
}

double Sum(const VersionWeights& weights) {
    double sum = 0;
    for (const auto& [version, weight] : weights) {
        sum += weight;
    }
    return sum;
}

}  // namespace

std::optional<std::string> AssignedVersion(const VersionWeights& weights, uint64_t fingerprint) {
    std::optional<std::string> best;
    double bestScore = 0;
    for (const auto& [version, weight] : weights) {
        const double score =
            -static_cast<double>(weight) / std::log(UnitHash(fingerprint, version));
        if (!best || score > bestScore) {
            best = version;
            bestScore = score;
        }
    }
    return best;
}

std::optional<std::string> RecordedVersions::versionToBegin(uint64_t fingerprint) const {
    return AssignedVersion(sets.front().weights, fingerprint);
}

std::optional<std::string> RecordedVersions::versionThatBegan(uint64_t fingerprint) const {
    const auto version = versionToBegin(fingerprint);
    const bool isAgreed = std::all_of(sets.begin(), sets.end(), [&](const RecordedWeights& set) {
        return AssignedVersion(set.weights, fingerprint) == version;
    });
    return isAgreed ? version : std::nullopt;
}

void VersionRecordPlanner::observe(const RecordedVersions* recorded, MonoTime now) {
    std::map<uint64_t, MonoTime> known;
    if (recorded != nullptr) {
        for (const RecordedWeights& set : recorded->sets) {
            const auto it = m_known.find(set.number);
            const MonoTime since = now - set.known;
            known[set.number] = it == m_known.end() ? since : std::min(it->second, since);
        }
    }
    m_known = std::move(known);
}

Millis VersionRecordPlanner::settlesIn(const RecordedVersions& recorded, MonoTime now) const {
    const auto known = m_known.find(recorded.sets.front().number);
    const Millis elapsed = known == m_known.end() ? 0 : now - known->second;
    return std::max<Millis>(0, kSettleMs + recorded.streamTime - elapsed);
}

std::optional<RecordedVersions> VersionRecordPlanner::next(const RecordedVersions* recorded,
                                                           const Inputs& inputs,
                                                           MonoTime now) const {
    if (inputs.ready.empty() && !inputs.isFree) {
        return std::nullopt;
    }
    const VersionWeights wanted = inputs.isFree ? VersionWeights{} : inputs.ready;
    if (recorded == nullptr) {
        RecordedVersions first;
        first.service = inputs.service;
        first.streamTime = inputs.streamTime;
        first.sets.push_back({1, wanted});
        return first;
    }
    RecordedVersions changed = *recorded;
    changed.streamTime = std::max(changed.streamTime, inputs.streamTime);
    dropSettled(changed, now);
    if (isDue(changed.sets.front().weights, inputs, changed.sets.size())) {
        changed.sets.insert(changed.sets.begin(), {changed.sets.front().number + 1, wanted});
    }
    if (changed != *recorded || isKnownLonger(changed, now)) {
        noteKnown(changed, now);
    }
    return changed == *recorded ? std::nullopt : std::optional(changed);
}

// Whether the record is to say that its newest set has been known for longer.
bool VersionRecordPlanner::isKnownLonger(const RecordedVersions& recorded, MonoTime now) const {
    const RecordedWeights& newest = recorded.sets.front();
    const auto since = m_known.find(newest.number);
    const Millis known = since == m_known.end() ? 0 : now - since->second;
    return recorded.sets.size() > 1 && known - newest.known >= kNoteMs;
}

void VersionRecordPlanner::noteKnown(RecordedVersions& recorded, MonoTime now) const {
    for (RecordedWeights& set : recorded.sets) {
        const auto known = m_known.find(set.number);
        set.known = known == m_known.end() ? 0 : now - known->second;
    }
}

bool VersionRecordPlanner::isDue(const VersionWeights& used, const Inputs& inputs,
                                 size_t sets) const {
    if (inputs.isFree || used.empty()) {
        return inputs.isFree != used.empty();
    }
    if (!HasSameVersions(used, inputs.ready)) {
        return true;
    }
    const double usedSum = Sum(used);
    const double readySum = Sum(inputs.ready);
    return sets < kMaxSets && std::any_of(used.begin(), used.end(), [&](const auto& version) {
               const double share = version.second / usedSum;
               const double ready = inputs.ready.at(version.first) / readySum;
               return share > ready * kTolerance || ready > share * kTolerance;
           });
}

void VersionRecordPlanner::dropSettled(RecordedVersions& recorded, MonoTime now) const {
    const auto isSettled = [&](const RecordedWeights& set) {
        const auto known = m_known.find(set.number);
        return known != m_known.end() && now - known->second >= kSettleMs + recorded.streamTime;
    };
    auto& sets = recorded.sets;
    const auto settled = std::find_if(sets.begin(), sets.end(), isSettled);
    if (settled != sets.end()) {
        sets.erase(settled + 1, sets.end());
    }
}

}  // namespace onyx
