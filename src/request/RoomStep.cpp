#include "include/request/RoomStep.h"

namespace onyx {

std::optional<Refusal> RoomStep::ask() {
    const Admission& admission = m_request.admission;
    const DemandClass of = DemandClassOf(admission.priority, admission.team.value);
    const MonoTime now = ReadClocks().mono;
    if (m_request.fromBox || m_stream.origin()) {
        m_context.room.noteExempt(admission.service, of, now);
        return std::nullopt;
    }
    const RoomDecision decision =
        m_context.room.decide(admission.service, of, m_request.fingerprint(), now);
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
