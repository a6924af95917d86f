// The owners' messages and platform objects: between the decisions' types and the frames, and the
// JSON of the rosters and leases.
#pragma once

#include "generated/frames_generated.h"
#include "modules/standalone/include/idempotency/KeyOwner.h"

#include <string>
#include <vector>

namespace onyx {

// Thread safety of all: any thread. Preconditions: none.

// How a call to the platform ended, from the agent's reply.
CallStatus StatusOf(wire::PlatformStatus status);

// Where a box's lease stands in the platform.
std::string LeasePath(const std::string& box);

// Members as names, and back.
std::vector<std::string> NamesOf(const std::vector<MemberId>& members);
std::vector<MemberId> MembersOf(const std::vector<std::string>& names);

// A roster as the platform holds it, and back. A text that cannot be read gives an empty roster of
// epoch 0.
std::string RosterText(const Roster& roster);
Roster RosterOf(const std::string& text);

// A lease as the platform holds it, and back. A text that cannot be read gives one without holder.
std::string LeaseText(const LeaseRecord& record);
LeaseRecord LeaseOf(const std::string& text);

// A handover as a frame, and back.
wire::HandoverT ToMessage(const SendLedger& action);
LedgerReceived FromMessage(const MemberId& from, const wire::HandoverT& message);

}  // namespace onyx
