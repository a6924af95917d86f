#include "include/placement/PromptShares.h"

#include <algorithm>

namespace onyx {

void PromptShares::note(uint32_t prompt, MonoTime now) {
    while (!m_entries.empty() &&
           (now - m_entries.front().at > kWindow || m_entries.size() >= kCapacity)) {
        m_entries.pop_front();
    }
    m_entries.push_back({prompt, now});
}

double PromptShares::share(uint32_t prompt, MonoTime now) const {
    const auto first = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const Entry& entry) { return now - entry.at <= kWindow; });
    const auto asked = std::count_if(first, m_entries.end(),
                                     [&](const Entry& entry) { return entry.prompt == prompt; });
    const auto requests = static_cast<size_t>(m_entries.end() - first);
    // A single request is no evidence of demand: every prompt is requested by somebody.
    const auto again = std::max<std::ptrdiff_t>(0, asked - 1);
    return static_cast<double>(again) / static_cast<double>(std::max(requests, kMinRequests));
}

}  // namespace onyx
