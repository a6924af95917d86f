#include "modules/standalone/include/membership/Roster.h"

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

MemberId MemberOf(const MemberId& process, uint64_t generation) {
    return MemberId(process.value + "." + std::to_string(generation));
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

const Handover* RosterHistory::handed(const Roster& epoch, const MemberId& from,
                                      const Handovers& handovers) {
    const auto it = handovers.find({epoch.epoch, from});
    const bool fits = it != handovers.end() && it->second.members == epoch.members;
    return fits ? &it->second : nullptr;
}

std::vector<MemberId> RosterHistory::toldBefore(const Roster& epoch, const Handovers& handovers) {
    const auto first = handovers.lower_bound({epoch.epoch, MemberId()});
    for (auto it = first; it != handovers.end() && it->first.first == epoch.epoch; ++it) {
        if (it->second.members == epoch.members) {
            return it->second.before;
        }
    }
    return {};
}

std::optional<WallTime> RosterHistory::gainedAt(std::string_view key, const MemberId& self,
                                                const Handovers& handovers) const {
    const Roster* gained = nullptr;
    std::optional<MemberId> source;
    for (auto it = m_epochs.rbegin(); it != m_epochs.rend() && !source; ++it) {
        const auto owner = it->ownerOf(key);
        if (owner != self) {
            source = owner;
            break;
        }
        gained = &*it;
    }
    if (gained == nullptr) {
        return std::nullopt;
    }
    if (gained == &m_epochs.front()) {
        // This member saw nothing before; the one that handed over did.
        source = OwnerAmong(key, toldBefore(*gained, handovers));
    }
    const Handover* handover = source ? handed(*gained, *source, handovers) : nullptr;
    return handover != nullptr ? handover->since : gained->startedAt;
}

std::optional<MemberId> RosterHistory::ownerBefore(std::string_view key) const {
    return m_epochs.size() < 2 ? std::nullopt : m_epochs[m_epochs.size() - 2].ownerOf(key);
}

WallTime RosterHistory::knownSince(const MemberId& self, const Handovers& handovers) const {
    WallTime known;
    Roster before;
    for (const Roster& epoch : m_epochs) {
        if (&epoch == &m_epochs.front()) {
            before.members = toldBefore(epoch, handovers);
        }
        if (!epoch.has(self)) {
            known = {};
        } else if (before.members.empty()) {
            known = std::max(known, epoch.startedAt);
        }
        for (const MemberId& other : before.members) {
            // By rendezvous, keys come from members that go, and all at once to one that joins.
            const bool source =
                epoch.has(self) && other != self && (!before.has(self) || !epoch.has(other));
            const Handover* handover = source ? handed(epoch, other, handovers) : nullptr;
            const WallTime since = handover != nullptr ? handover->since : epoch.startedAt;
            known = source ? std::max(known, since) : known;
        }
        before = epoch;
    }
    return known;
}

}  // namespace onyx
