// Which configuration may come into force on a box: only a higher revision than the one that is.
#pragma once

#include <cstdint>

namespace onyx {

// What became of an offered revision.
enum class RevisionStep : uint8_t {
    kTake,   // Higher than the one in force.
    kSame,   // Already in force.
    kStale,  // Lower: a restored store, or a peer that is behind. Refused.
};

// A pure state machine. Not thread safe: one task owns it.
class RevisionGate {
public:
    // Judges `revision`; does not bring it into force. Preconditions: none.
    RevisionStep judge(uint64_t revision) const {
        if (revision == m_inForce) {
            return RevisionStep::kSame;
        }
        return revision > m_inForce ? RevisionStep::kTake : RevisionStep::kStale;
    }

    // The configuration of `revision` was parsed whole and is in force from now on.
    // Preconditions: judge(revision) is kTake.
    void take(uint64_t revision) { m_inForce = revision; }

    // The revision in force; 0 before the first. Preconditions: none.
    uint64_t inForce() const { return m_inForce; }

private:
    uint64_t m_inForce = 0;
};

}  // namespace onyx
