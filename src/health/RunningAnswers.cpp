#include "include/health/RunningAnswers.h"

#include <algorithm>

namespace onyx {

void RunningAnswers::noteBegun(std::span<const uint64_t> fingerprints, MonoTime sent,
                               MonoTime now) {
    for (const uint64_t fingerprint : fingerprints) {
        m_answers[fingerprint].push_back({sent, now});
    }
}

void RunningAnswers::noteEnded(std::span<const uint64_t> fingerprints, MonoTime sent) {
    for (const uint64_t fingerprint : fingerprints) {
        const auto it = m_answers.find(fingerprint);
        if (it == m_answers.end()) {
            continue;
        }
        std::vector<Answer>& answers = it->second;
        const auto ended = std::find_if(answers.begin(), answers.end(),
                                        [&](const Answer& answer) { return answer.sent == sent; });
        if (ended != answers.end()) {
            answers.erase(ended);
        }
        if (answers.empty()) {
            m_answers.erase(it);
        }
    }
}

std::optional<MonoTime> RunningAnswers::newestSince(uint64_t fingerprint, Millis time,
                                                    MonoTime now) const {
    const auto it = m_answers.find(fingerprint);
    std::optional<MonoTime> newest;
    if (it == m_answers.end()) {
        return newest;
    }
    for (const Answer& answer : it->second) {
        if (now - answer.begun > time) {
            newest = std::max(newest.value_or(answer.sent), answer.sent);
        }
    }
    return newest;
}

}  // namespace onyx
