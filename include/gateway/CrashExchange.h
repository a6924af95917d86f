// Decides which boxes this one tells of crashes under requests, and when, so that all boxes in
// touch come to the same RequestQuarantine. What is new here goes on to a few linked boxes drawn
// anew, in each of a few rounds, and from them to others; a box that is newly linked gets all of
// it.
//
// Inputs: what this box saw, the frames of others, the boxes that are linked, a budget of bytes. A
// state machine over frames: no socket, clock or thread, so that a whole site can be replayed.
#pragma once

#include "generated/frames_generated.h"
#include "include/gateway/OutgoingFrame.h"
#include "include/health/RequestQuarantine.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class CrashExchange {
public:
    static constexpr Millis kRound = 100;  // Time between two rounds, in milliseconds.

    // Preconditions: the quarantine outlives it.
    explicit CrashExchange(RequestQuarantine& quarantine) : m_quarantine(quarantine) {}

    // This box saw a crash; true if the request is in quarantine from now on.
    // Preconditions: times do not fall.
    bool noteCrash(const CrashSighting& sighting, MonoTime now);
    // A request was answered here. Preconditions: as above.
    void noteAnswer(uint64_t request, MonoTime now);

    // Takes in what another box tells; the requests that are in quarantine from now on.
    // Preconditions: as above.
    std::vector<uint64_t> take(const wire::CrashReportsT& reports, MonoTime now);

    // Whether a round would tell anything. Preconditions: none.
    bool hasNews() const { return !m_crashes.empty() || !m_answers.empty(); }
    // The frames of one round, for boxes among `linked`, which know them. `self`: the address of
    // this box. Preconditions: as above; kRound goes by between calls.
    std::vector<OutgoingFrame> round(const std::string& self, std::span<const std::string> linked,
                                     MonoTime now);

    // The frame for a newly linked box; nothing if there is nothing to tell.
    // Preconditions: as above.
    std::optional<std::string> greeting(MonoTime now) const;

private:
    struct CrashNews {
        CrashSighting sighting;
        int rounds = 0;  // In which it is still told.
    };
    struct AnswerNews {
        uint64_t request = 0;
        MonoTime at;
        int rounds = 0;
    };

    void add(const CrashSighting& sighting, int rounds);
    void addAll(uint64_t request, MonoTime now);
    void addAnswer(uint64_t request, MonoTime at);
    void earnAllowance(MonoTime now);
    wire::CrashReportsT takeNews(size_t boxes, MonoTime now);

    RequestQuarantine& m_quarantine;
    std::vector<CrashNews> m_crashes;
    std::vector<AnswerNews> m_answers;
    uint64_t m_round = 0;
    double m_allowance = 0;  // Bytes that may be sent now.
    std::optional<MonoTime> m_allowedAt;
};

}  // namespace onyx
