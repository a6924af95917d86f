// CrashExchange decides which boxes receive this box's reports of upstream crashes, and when, so
// that the RequestQuarantines of all connected boxes converge.
//
// A request with one known crash ("single crash") is weak evidence: an upstream that ends
// interrupts many requests that are not the cause, and a site that loses many upstreams at once
// sees thousands of such crashes. A single crash is therefore routed over the hash ring to the one
// box where all crashes of its request meet (RingRoute). A request with two crashes, one after the
// other, is a suspect: its new crashes are sent to a few linked boxes, sampled anew in each of a
// few rounds, and those boxes pass them on until all boxes have them, whatever each has concluded.
// What this box saw of a request that it is being answered waits for that answer first. Boxes
// compare what they have in quarantine for a while, and a newly linked box receives all suspects.
// An answer names the crashes that it outweighs, since its time would move with a late frame.
//
// Inputs: the crashes that this box saw, the frames of other boxes, the linked boxes, and a budget
// of bytes. The class is a state machine over frames without socket, clock or thread, so that a
// test can replay a whole site.
#pragma once

#include "generated/frames_generated.h"
#include "include/health/RequestQuarantine.h"
#include "include/peers/OutgoingFrame.h"

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
    static constexpr Millis kRoundPeriod = 100;  // Time between two rounds, in milliseconds.

    // Preconditions: `quarantine` outlives the exchange.
    explicit CrashExchange(RequestQuarantine& quarantine);

    // Records a crash that this box saw. Returns true if the crash puts the request in quarantine.
    // Preconditions: `now` does not decrease between calls.
    bool noteCrash(const CrashObservation& observation, MonoTime now);
    // Records that an upstream answered the request through this box in an attempt that began at
    // `sent`. Preconditions: as above.
    void noteAnswer(uint64_t request, MonoTime sent, MonoTime now);

    // Records a whole answer to a request with a part of a prompt, whose attempt began at `sent`.
    // Preconditions: as above.
    void notePartAnswer(uint64_t part, MonoTime sent, MonoTime now);

    // Applies the crashes and answers that the box `from` reports. Returns the requests that this
    // puts in quarantine. Preconditions: as above.
    std::vector<uint64_t> handleReports(const std::string& from, const wire::CrashReportsT& reports,
                                        MonoTime now);

    // Returns whether any crash or answer is waiting to be sent, or requests in quarantine are to
    // be compared with other boxes. Preconditions: none.
    bool hasPending(MonoTime now) const { return pendingCount() > 0 || now < m_reviewUntil; }
    // Returns the number of crashes and answers waiting to be sent. Preconditions: none.
    size_t pendingCount() const {
        return m_suspectCrashes.size() + m_suspectAnswers.size() + m_singleCrashes.size() +
               m_singleAnswers.size() + m_corrections.size() + m_heldCrashes.size();
    }
    // Returns the frames of one round, addressed to boxes among `linked`. `self`: the address of
    // this box. Preconditions: `now` does not decrease between calls; all of `linked` support
    // CrashReports frames; at least kRoundPeriod passes between calls.
    std::vector<OutgoingFrame> makeRoundFrames(const std::string& self,
                                               std::span<const std::string> linked, MonoTime now);

    // Returns the frame for a newly linked box, or nothing if no crash is known.
    // Preconditions: `now` does not decrease between calls.
    std::optional<std::string> makeInitialFrame(MonoTime now) const;

private:
    enum class Origin : uint8_t { kLocal, kPeer };  // Seen by this box, reported by another one.
    struct SingleCrash {
        CrashObservation observation;
        Origin origin = Origin::kLocal;
    };
    struct HeldCrash {
        CrashObservation observation;
        MonoTime until;
    };
    struct PendingCrash {
        CrashObservation observation;
        int roundsLeft = 0;  // Rounds in which this box still sends the crash.
    };
    struct PendingAnswer {
        uint64_t request = 0;
        MonoTime at;
        int roundsLeft = 0;
    };

    // A token bucket of bytes that may be sent.
    class ByteBudget {
    public:
        explicit ByteBudget(double bytesPerSecond);
        void refill(MonoTime now);
        void spend(std::span<const OutgoingFrame> frames);
        double bytesLeft() const { return m_bytesLeft; }
        // Returns whether less than kLowBudgetShare of the capacity is left.
        bool isLow() const;

    private:
        double m_bytesPerSecond;
        double m_bytesLeft;
        std::optional<MonoTime> m_refilledAt;
    };

    bool isSuspect(uint64_t request) const { return m_quarantine.crashCount(request) > 1; }
    void spread(const SingleCrash& crash, bool wasSuspected, bool isNewInQuarantine, MonoTime now);
    void spreadHeld(MonoTime now);
    bool recordCrash(const CrashObservation& observation, Origin origin, MonoTime now);
    static CrashObservation ObservationOf(const wire::CrashEntry& entry, MonoTime now);
    void recordAnswer(uint64_t request, MonoTime sent, MonoTime now);
    void handleAnswers(const wire::CrashReportsT& reports, MonoTime now);
    void passAnswerOn(uint64_t request, MonoTime at, bool wasSuspected);
    void queueObservations(uint64_t request, int roundsLeft, MonoTime now);
    void queueAnswer(const PendingAnswer& pending);
    void noteRedundantReport(const CrashObservation& observation);
    bool isQuarantined(uint64_t request, MonoTime now) const {
        return m_quarantine.remainingTime(request, now).has_value();
    }
    std::vector<OutgoingFrame> makeCorrectionFrames(MonoTime now);
    std::vector<OutgoingFrame> makeSuspectFrames(const std::string& self,
                                                 std::span<const std::string> linked, MonoTime now);
    std::vector<OutgoingFrame> makeRoutedFrames(const std::string& self,
                                                std::span<const std::string> linked, MonoTime now);
    void addCompanions(wire::CrashReportsT& reports, MonoTime now) const;
    std::vector<OutgoingFrame> makeReviewFrames(const std::string& self,
                                                std::span<const std::string> linked, MonoTime now);
    void clearPending();

    RequestQuarantine& m_quarantine;
    std::vector<HeldCrash> m_heldCrashes;  // In the order of `until`.
    // Crashes of suspects and answers to suspects, which go to all boxes.
    std::vector<PendingCrash> m_suspectCrashes;
    std::vector<PendingAnswer> m_suspectAnswers;
    // Single crashes and answers to their requests, which are routed to one box.
    std::vector<SingleCrash> m_singleCrashes;
    std::vector<PendingAnswer> m_singleAnswers;
    // Requests about which a box lacks data that this one has, by the address of the box.
    std::map<std::string, std::set<uint64_t>> m_corrections;
    MonoTime m_lastSuspectRound;  // When corrections and suspects were last sent.
    MonoTime m_lastReview;
    MonoTime m_reviewUntil;
    size_t m_reviewed = 0;
    MonoTime m_lastRouting;  // When single crashes were last routed.
    uint64_t m_round = 0;
    ByteBudget m_suspectBudget;
    ByteBudget m_singleBudget;
};

}  // namespace onyx
