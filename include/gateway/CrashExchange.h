// Decides which boxes this one tells of crashes under requests, and when, so that all boxes in
// touch come to the same RequestQuarantine.
//
// A single crash says little: each upstream that ends takes many requests with it that are not the
// cause, and a site that loses many at one moment sees thousands. It is handed on to one box, where
// all crashes of its request meet (RingRoute). A request with two crashes, one after the other, is
// a suspect: what is new of it is told to a few linked boxes drawn anew, in each of a few
// roundsLeft, and by them to others, until all know. A box that is newly linked gets all of the
// suspects.
//
// Inputs: what this box saw, the frames of others, the boxes that are linked, a budget of bytes. A
// state machine over frames: no socket, clock or thread, so that a whole site can be replayed.
#pragma once

#include "generated/frames_generated.h"
#include "include/gateway/OutgoingFrame.h"
#include "include/health/RequestQuarantine.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class CrashExchange {
public:
    static constexpr Millis kRoundPeriod = 100;  // Time between two roundsLeft, in milliseconds.

    // Preconditions: the quarantine outlives it.
    explicit CrashExchange(RequestQuarantine& quarantine);

    // This box saw a crash; true if the request is in quarantine from now on.
    // Preconditions: times do not fall.
    bool noteCrash(const CrashSighting& sighting, MonoTime now);
    // A request was answered here. Preconditions: as above.
    void noteAnswer(uint64_t request, MonoTime now);

    // Takes in what the box `from` tells; the requests that are in quarantine from now on.
    // Preconditions: as above.
    std::vector<uint64_t> handleReports(const std::string& from, const wire::CrashReportsT& reports,
                                        MonoTime now);

    // Whether anything waits to be told. Preconditions: none.
    bool hasPending() const { return pendingCount() > 0; }
    // Crashes and answers that wait to be told. Preconditions: none.
    size_t pendingCount() const {
        return m_suspectCrashes.size() + m_suspectAnswers.size() + m_singleCrashes.size() +
               m_singleAnswers.size() + m_corrections.size();
    }
    // The frames of one makeRoundFrames, for boxes among `linked`, which know them. `self`: the
    // address of this box. Preconditions: as above; kRoundPeriod goes by between calls.
    std::vector<OutgoingFrame> makeRoundFrames(const std::string& self,
                                               std::span<const std::string> linked, MonoTime now);

    // The frame for a newly linked box; nothing if there is nothing to tell.
    // Preconditions: as above.
    std::optional<std::string> makeInitialFrame(MonoTime now) const;

private:
    enum class Origin : uint8_t { kLocal, kPeer };  // By this box, by another one.
    struct SingleCrash {
        CrashSighting sighting;
        Origin origin = Origin::kLocal;
    };
    struct PendingCrash {
        CrashSighting sighting;
        int roundsLeft = 0;  // In which it is still told.
    };
    struct PendingAnswer {
        uint64_t request = 0;
        MonoTime at;
        int roundsLeft = 0;
    };

    // Bytes that may be sent, earned at a steady rate.
    class ByteBudget {
    public:
        explicit ByteBudget(double bytesPerSecond);
        void refill(MonoTime now);
        void spend(std::span<const OutgoingFrame> frames);
        double bytesLeft() const { return m_bytesLeft; }
        // Whether little is bytesLeft of what may be saved.
        bool isLow() const;

    private:
        double m_bytesPerSecond;
        double m_bytesLeft;
        std::optional<MonoTime> m_refilledAt;
    };

    bool isSuspect(uint64_t request) const { return m_quarantine.crashes(request) > 1; }
    bool recordCrash(const CrashSighting& sighting, Origin origin, MonoTime now);
    void recordAnswer(uint64_t request, MonoTime at, Origin origin, MonoTime now);
    void queueSightings(uint64_t request, int roundsLeft, MonoTime now);
    void queueAnswer(const PendingAnswer& pending);
    void noteRedundantReport(const CrashSighting& sighting);
    bool isQuarantined(uint64_t request, MonoTime now) const {
        return m_quarantine.timeLeft(request, now).has_value();
    }
    std::vector<OutgoingFrame> makeCorrectionFrames(MonoTime now);
    std::vector<OutgoingFrame> makeSuspectFrames(const std::string& self,
                                                 std::span<const std::string> linked, MonoTime now);
    std::vector<OutgoingFrame> makeRoutedFrames(const std::string& self,
                                                std::span<const std::string> linked, MonoTime now);
    void clearPending();

    RequestQuarantine& m_quarantine;
    std::vector<PendingCrash> m_suspectCrashes;  // Told to all boxes, as are answers to suspects.
    std::vector<PendingAnswer> m_suspectAnswers;
    std::vector<SingleCrash>
        m_singleCrashes;  // Handed on to one box, as are the answers to such requests.
    std::vector<PendingAnswer> m_singleAnswers;
    // Requests of which a box knows less than this one, by the box.
    std::map<std::string, std::set<uint64_t>> m_corrections;
    MonoTime m_lastSuspectRound;  // The last time,
    MonoTime m_lastRouting;       // and when single crashes were handed on last.
    uint64_t m_round = 0;
    ByteBudget m_suspectBudget;
    ByteBudget m_singleBudget;
};

}  // namespace onyx
