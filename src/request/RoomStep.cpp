#include "include/request/RoomStep.h"

namespace onyx {

std::optional<Refusal> RoomStep::ask() {
    const Admission& admission = m_request.admission;
    const DemandClass of = DemandClassOf(admission.priority, admission.team.value);
    const MonoTime now = ReadClocks().mono;
    if (m_request.fromBox) {
        return std::nullopt;  // Counted by the box that relays it.
    }
    if (m_stream.origin()) {
        m_context.room.noteExempt(admission.service, of, now);
        return std::nullopt;
    }
    // Many callers send the same request where it has no body; each of them is a new one.
    const uint64_t fingerprint =
        m_request.body->size() == 0 ? m_request.draw : m_request.fingerprint();
    const RoomDecision decision = m_context.room.decide(admission.service, of, fingerprint, now);
    const auto* noRoom = std::get_if<NoRoom>(&decision);
    if (noRoom == nullptr) {
        return std::nullopt;
    }
    m_context.log.noRoom(m_request.facts.id, admission, *noRoom);
    Refusal refusal = MakeRefusal(RefusalReason::kNoRoom);
    refusal.retryAfter = noRoom->retryAfter;
    return refusal;
}

}  // namespace onyx
