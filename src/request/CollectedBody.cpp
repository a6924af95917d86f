#include "include/request/CollectedBody.h"

#include "include/relay/AnswerHeadRule.h"

namespace onyx {

bool CollectedBody::append(std::string_view piece) {
    if (m_taken + piece.size() > kMaxWholeBody || !m_memory->tryTake(piece.size())) {
        return false;
    }
    m_taken += piece.size();
    m_bytes += piece;
    return true;
}

void CollectedBody::clear() {
    m_memory->release(std::exchange(m_taken, 0));
    m_bytes = std::string();
}

}  // namespace onyx
