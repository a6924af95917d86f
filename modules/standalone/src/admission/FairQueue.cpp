#include "modules/standalone/include/admission/FairQueue.h"

#include <algorithm>

namespace onyx {

size_t FairQueue::countOf(const TeamId& team) const {
    size_t count = 0;
    for (const ClassLine& line : m_classes) {
        const auto it = line.teams.find(team);
        count += it == line.teams.end() ? 0 : it->second.waiting.size();
    }
    return count;
}

bool FairQueue::push(QueuedRequest request) {
    if (m_size >= m_limits.most || countOf(request.team) >= m_limits.mostOfTeam) {
        return false;
    }
    request.deadline = std::min(request.deadline, request.queuedAt + m_limits.mostWait);
    ClassLine& line = m_classes[static_cast<size_t>(request.priority)];
    const auto [it, added] = line.teams.try_emplace(request.team);
    if (added) {
        it->second.virtualTime = line.virtualTime;
    }
    it->second.waiting.push_back(std::move(request));
    ++m_size;
    return true;
}

std::optional<QueuedRequest> FairQueue::pop() {
    for (ClassLine& line : m_classes) {
        if (line.teams.empty()) {
            continue;
        }
        const auto next = std::min_element(line.teams.begin(), line.teams.end(),
                                           [](const auto& a, const auto& b) {
                                               return a.second.virtualTime < b.second.virtualTime;
                                           });
        QueuedRequest request = std::move(next->second.waiting.front());
        next->second.waiting.pop_front();
        line.virtualTime = next->second.virtualTime;
        next->second.virtualTime += 1.0 / request.weight;
        if (next->second.waiting.empty()) {
            line.teams.erase(next);
        }
        --m_size;
        return request;
    }
    return std::nullopt;
}

std::optional<Priority> FairQueue::nextPriority() const {
    for (size_t i = 0; i < kPriorityCount; ++i) {
        if (!m_classes[i].teams.empty()) {
            return static_cast<Priority>(i);
        }
    }
    return std::nullopt;
}

std::vector<QueuedRequest> FairQueue::takeExpired(MonoTime now) {
    std::vector<QueuedRequest> expired;
    for (ClassLine& line : m_classes) {
        for (auto team = line.teams.begin(); team != line.teams.end();) {
            auto& waiting = team->second.waiting;
            const auto late = std::stable_partition(
                waiting.begin(), waiting.end(),
                [&](const QueuedRequest& request) { return request.deadline > now; });
            std::move(late, waiting.end(), std::back_inserter(expired));
            waiting.erase(late, waiting.end());
            team = waiting.empty() ? line.teams.erase(team) : std::next(team);
        }
    }
    m_size -= expired.size();
    return expired;
}

bool FairQueue::erase(Ticket ticket) {
    for (ClassLine& line : m_classes) {
        for (auto team = line.teams.begin(); team != line.teams.end(); ++team) {
            auto& waiting = team->second.waiting;
            const auto it =
                std::find_if(waiting.begin(), waiting.end(),
                             [&](const QueuedRequest& r) { return r.ticket == ticket; });
            if (it == waiting.end()) {
                continue;
            }
            waiting.erase(it);
            if (waiting.empty()) {
                line.teams.erase(team);
            }
            --m_size;
            return true;
        }
    }
    return false;
}

}  // namespace onyx
