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
#include "include/peers/OutgoingFrame.h"

#include <optional>
#include <string>
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

    // `self`, `zone`: address and zone of this box. Preconditions: none.
    RoomExchange(std::string self, std::string zone);

    // Sets the boxes of the site. Preconditions: none.
    void setBoxes(const std::vector<KnownBox>& boxes);
    // Sets the slots of the service's upstreams that take requests, as this box knows them.
    // Preconditions: none.
    void setSlots(const ServiceId& service, double slots);

    // Whether this box should report on `service` though it sees no shortage itself.
    // Preconditions: `now` does not decrease between calls.
    bool isReportWanted(const ServiceId& service, MonoTime now) const;
    // Sets what this box saw of `service`; sent with the next frames. Preconditions: as above.
    void setOwnCounts(const ServiceId& service, RoomCounts counts, MonoTime now);

    // Returns the frames that are due. Preconditions: as above; called every kPeriod.
    std::vector<OutgoingFrame> makeDueFrames(MonoTime now);
    // Take in the messages of other boxes and return what is to be passed on at once.
    // Preconditions: as above.
    void handleReport(const std::string& from, const wire::RoomReportT& report, MonoTime now);
    std::vector<OutgoingFrame> handleShares(const std::string& from,
                                            const wire::RoomSharesT& shares, MonoTime now);

    // The newest shares of the site, of any age; nothing if there were none.
    // Preconditions: none.
    std::optional<SiteShares> sharesOf(const ServiceId& service) const;
};

}  // namespace onyx
