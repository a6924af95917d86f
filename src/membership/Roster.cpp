#include "include/membership/Roster.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <span>

namespace onyx {

bool Roster::has(const MemberId& member) const {
    return std::binary_search(members.begin(), members.end(), member);
}

std::optional<MemberId> Roster::ownerOf(std::string_view key) const {
    return OwnerAmong(key, members);
}

std::optional<MemberId> OwnerAmong(std::string_view key, const std::vector<MemberId>& members) {
    const int winner = RendezvousWinner<MemberId>(key, std::span(members));
    return winner < 0 ? std::nullopt : std::optional(members[static_cast<size_t>(winner)]);
}

std::string BoxOf(const MemberId& member) {
    return member.value.substr(0, member.value.find('#'));
}

MemberId ProcessOf(const MemberId& member) {
    return MemberId(member.value.substr(0, member.value.rfind('.')));
}

bool RosterHistory::add(const Roster& roster) {
    if (roster.epoch <= current().epoch) {
        return false;
    }
    if (!m_epochs.empty() && roster.epoch != m_epochs.back().epoch + 1) {
        m_epochs.clear();
    }
    m_epochs.push_back(roster);
    if (m_epochs.size() > kMostEpochs) {
        m_epochs.pop_front();
    }
    return true;
}

const Roster& RosterHistory::current() const {
    static const Roster kNone;
    return m_epochs.empty() ? kNone : m_epochs.back();
}

std::optional<WallTime> RosterHistory::gainedAt(std::string_view key, const MemberId& self,
                                                const Handovers& handovers) const {
    const Roster* gained = nullptr;
    for (auto it = m_epochs.rbegin(); it != m_epochs.rend(); ++it) {
        const auto owner = it->ownerOf(key);
        if (owner == self) {
            gained = &*it;
            continue;
        }
        if (owner && gained != nullptr) {
            const auto handed = handovers.find({gained->epoch, *owner});
            if (handed != handovers.end() && handed->second.members == gained->members) {
                return handed->second.since;
            }
        }
        break;
    }
    return gained == nullptr ? std::nullopt : std::optional(gained->startedAt);
}

}  // namespace onyx
