// Decides how the room of a service is divided when there is not enough for all.
//
// More urgent priorities come first. A less urgent one keeps a tenth of the room, or its demand if
// that is less, so that it is never starved. Within a priority, teams get weighted max-min shares:
// a team that asks for less than an equal share gets all of it, and what it leaves goes to the
// others, so that a team which sends many times its usual displaces only its own surplus.
//
// Inputs: the demand of each class and the room, both in requests' mean time at upstreams per
// second (the number of slots that they keep busy).
#pragma once

#include "include/admission/RoomCounts.h"

#include <span>
#include <vector>

namespace onyx {

// The demand of one class. Team 0 stands for the teams that are not listed.
struct ClassDemand {
    DemandClass of;
    double demand = 0;  // Slots that its requests would keep busy.
    double weight = 1;  // Of its team, or the sum of those for which it stands.
};

// Part of the room that each priority keeps whatever more urgent ones ask for.
inline constexpr double kReservedFraction = 0.1;

// Returns the part of each class's demand that is admitted, 0 to 1, in the order of `classes`.
// Preconditions: demands >= 0, weights > 0, room >= 0. Thread safety: any thread.
std::vector<double> FairShares(std::span<const ClassDemand> classes, double room);

}  // namespace onyx
