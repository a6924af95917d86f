// RoomExchange decides what boxes tell each other about the room of services: the counts of a box
// go to its group's collector, the collector's sums to the roots of the service, and the shares
// that the first root works out (ServiceRoom) back the same way. Every box may be all three.
//
// Nothing is sent while nobody sees a shortage. A box that sees one reports; the root then asks all
// boxes to report for as long as the shortage lasts and a little longer. A box whose collector is
// silent reports to the next one; a collector takes the shares of the first root that is not
// silent. All state is soft and has an age.
//
// A state machine over frames without socket, clock or thread, so that a test can replay a whole
// site.
#pragma once

#include "generated/frames_generated.h"
#include "include/admission/RoomCounts.h"
#include "include/admission/ServiceRoom.h"
#include "include/base/Ids.h"
#include "include/membership/RoomKeepers.h"
#include "include/peers/CollectorChoice.h"
#include "include/peers/OutgoingFrame.h"
#include "include/peers/RoomMessages.h"
#include "include/peers/RoomReports.h"
#include "include/peers/RoomRounds.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace onyx {

// The shares of the site, and when they were worked out, on this box's clock.
struct SiteShares {
    RoomShares shares;
    MonoTime asOf;
};

// Not thread safe: one task owns it.
class RoomExchange {
public:
    // Time in milliseconds between two reports of a box, and two rounds of a collector or root.
    static constexpr Millis kPeriod = 200;
    // Time in milliseconds for which a root goes on after the last report of a shortage, or the
    // last shares that limited a class.
    static constexpr Millis kAfterShortage = 2000;
    // Time in milliseconds for which a root only asks for reports when a shortage begins. The boxes
    // that report first are those that see it, and tell too little of the others.
    static constexpr Millis kMaxAskTime = 600;
    // Part of the boxes whose counts are enough to work out shares before that time has passed.
    static constexpr double kEnoughBoxes = 0.75;
    // Time in milliseconds for which a box reports after a root asked for it.
    static constexpr Millis kReportTime = 1000;
    // Services that are followed; further ones are ignored.
    static constexpr size_t kMaxServices = 256;

    // `self`, `zone`: address and zone of this box. Preconditions: none.
    RoomExchange(std::string self, std::string zone);

    // Sets the boxes of the site. Preconditions: none.
    void setBoxes(const std::vector<KnownBox>& boxes);
    // Sets the slots of the service's upstreams that take requests, as this box knows them.
    // Preconditions: none.
    void setSlots(const ServiceId& service, double slots);
    // Forgets a service that is no longer served. Messages about services of which neither slots
    // nor counts were set are ignored. Preconditions: none.
    void forget(const ServiceId& service);

    // Whether this box should report on `service` though it sees no shortage itself.
    // Preconditions: `now` does not decrease between calls.
    bool isReportWanted(const ServiceId& service, MonoTime now) const;
    // Sets what this box saw of `service`; sent with the next frames, or as soon as a root asks for
    // it within a period. Preconditions: as above.
    void setOwnCounts(const ServiceId& service, RoomCounts counts, MonoTime now);

    // Returns the frames that are due. Preconditions: as above; called every kPeriod.
    std::vector<OutgoingFrame> makeDueFrames(MonoTime now);
    // Take in the messages of other boxes and return what is to be passed on at once: shares, and
    // the first signs of a shortage. Preconditions: as above.
    std::vector<OutgoingFrame> handleReport(const std::string& from,
                                            const wire::RoomReportT& report, MonoTime now);
    std::vector<OutgoingFrame> handleShares(const std::string& from,
                                            const wire::RoomSharesT& shares, MonoTime now);

    // The newest shares of the site, of any age; nothing if there were none.
    // Preconditions: none.
    std::optional<SiteShares> sharesOf(const ServiceId& service) const;

private:
    // Boxes whose reports a collector takes: those of its group, and others while boxes know
    // different ones of the site.
    static constexpr size_t kMaxReporters = 2 * RoomKeepers::kGroupSize;
    // Collectors whose sums a root takes.
    static constexpr size_t kMaxCollectors = 256;

    // The keepers of a service, as this box sees them.
    struct Keepers {
        std::vector<std::string> collectors;  // Of this box's group.
        std::vector<std::string> roots;       // Of this box's zone.
        std::optional<size_t> asCollector;    // The place of this box among them.
        std::optional<size_t> asRoot;
    };
    // This box as one that reports.
    struct Reporter {
        std::optional<RoomCounts> counts;  // Not sent yet.
        MonoTime countsAt;
        std::optional<MonoTime> wantedAt;  // When a root last asked for reports.
        CollectorChoice choice;
        RoomRounds rounds;
        std::optional<SiteShares> shares;
    };
    struct Collector {
        RoomReports reports{kMaxReporters};
        RoomRounds rounds;
        std::optional<MonoTime> sumSentAt;
        std::optional<MonoTime> askedAt;  // When the group was last asked to report.
    };
    struct Root {
        RoomReports sums{kMaxCollectors};
        std::optional<MonoTime> pressedAt;  // Last sign of a shortage, or limit because of it.
        MonoTime activeSince;
        uint64_t round = 0;
        std::deque<std::pair<uint64_t, MonoTime>> sent;  // Recent rounds, and when they were sent.
        double transit = 0;    // Mean milliseconds until the shares come back to this box.
        bool decides = false;  // Shares were worked out since the shortage began.
        ServiceRoom room;
    };
    struct Service {
        explicit Service(std::string name);
        std::string name;
        uint64_t hash = 0;
        double slots = 0;
        std::optional<Keepers> keepers;  // Worked out when needed.
        Reporter reporter;
        Collector collector;
        Root root;
    };
    using Frames = std::vector<OutgoingFrame>;

    Service* follow(const ServiceId& service);
    Service* find(const std::string& service);
    const Service* find(const std::string& service) const;
    const Keepers& keepersOf(Service& service);
    static bool IsReportWanted(const Service& service, MonoTime now);

    void report(Service& service, MonoTime now, Frames& frames);
    void collect(Service& service, MonoTime now, Frames& frames);
    void hurry(Service& service, bool isSummed, MonoTime now, Frames& frames);
    void decide(Service& service, MonoTime now, Frames& frames);
    static void NoteTransit(Service& service, const SharesMessage& message, MonoTime now);
    SharesMessage makeShares(Service& service, const RoomCounts& sum, MonoTime now) const;
    static bool IsActive(Service& service, const std::optional<RoomCounts>& sum, MonoTime now);
    std::vector<std::string> activeCollectors(const Service& service, MonoTime now) const;
    void passOn(Service& service, SharesMessage message, MonoTime now, Frames& frames);
    static void Take(Service& service, SharesMessage message, size_t collector, MonoTime now);

    std::string m_self;
    std::string m_zone;
    RoomKeepers m_keepers;
    std::map<std::string, Service> m_services;
};

}  // namespace onyx
