#include "include/peers/RelayController.h"

#include "include/base/Hash.h"
#include "include/relay/RelayPeer.h"

#include <algorithm>
#include <vector>

namespace onyx {

namespace {

// In milliseconds. A box that could not serve a service is not asked again for this long; its next
// digest usually says so by then.
constexpr Millis kUnavailableTime = 500;

}  // namespace

std::optional<std::string> RelayController::choose(const RelayQuestion& question, MonoTime now) {
    if (m_total >= kMaxRelayed) {
        return std::nullopt;
    }
    const uint32_t service = ShortHash(question.service.value);
    std::vector<RelayCandidate> candidates;
    for (const RelayBox& box : m_mesh.relayBoxes()) {
        const auto& lost = box.lostServices;
        RelayCandidate candidate;
        candidate.address = box.address;
        candidate.sameZone = box.zone == m_settings.zone;
        candidate.reachesService = std::find(lost.begin(), lost.end(), service) == lost.end() &&
                                   !isUnavailable(box.address, question.service, now);
        candidate.allowed = IsZoneAllowed(m_settings, question.regions, box.zone) &&
                            (!question.takesUpStream || box.keepsStreamOrigins);
        candidate.tried = question.tried.contains(box.address);
        const auto relayed = m_relayed.find(box.address);
        candidate.relayed = relayed == m_relayed.end() ? 0 : relayed->second;
        candidates.push_back(std::move(candidate));
    }
    const auto chosen = ChooseRelayPeer(candidates, question.draw);
    return chosen ? std::optional<std::string>(candidates[*chosen].address) : std::nullopt;
}

void RelayController::recordStart(const std::string& box) {
    ++m_relayed[box];
    ++m_total;
}

void RelayController::recordEnd(const std::string& box) {
    const auto it = m_relayed.find(box);
    if (--it->second == 0) {
        m_relayed.erase(it);
    }
    --m_total;
}

void RelayController::noteUnavailable(const std::string& box, const ServiceId& service,
                                      MonoTime now) {
    std::erase_if(m_unavailable, [&](const auto& entry) { return entry.second <= now; });
    m_unavailable[{box, service}] = now + kUnavailableTime;
}

bool RelayController::isUnavailable(const std::string& box, const ServiceId& service,
                                    MonoTime now) const {
    const auto it = m_unavailable.find({box, service});
    return it != m_unavailable.end() && now < it->second;
}

}  // namespace onyx
