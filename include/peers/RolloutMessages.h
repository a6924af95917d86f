// Converts rollout orders and counts of answers to and from the frames that boxes exchange.
#pragma once

#include "include/rollout/ServiceRollout.h"
#include "include/wire/FrameCodec.h"

#include <memory>

namespace onyx {

// Return the entry of an order in a KnowledgeReply, and the order of an entry. `elapsed`: since the
// order, in milliseconds. Preconditions: none. Thread safety: any thread.
std::unique_ptr<wire::RolloutEntryT> EncodeRollout(const RolloutOrder& order, Millis elapsed,
                                                   RolloutStage stage);
RolloutOrder DecodeRollout(const wire::RolloutEntryT& entry);
// A stage that this build does not know is taken for the trial. Preconditions: none.
RolloutStage DecodeStage(wire::RolloutStageTag stage);

// Return the report of a box's counts, and the counts of a report. Preconditions: none.
// Thread safety: any thread.
std::unique_ptr<wire::RolloutReportT> EncodeTally(const RolloutOrder& order,
                                                  const VersionTally& tally);
VersionTally DecodeTally(const wire::RolloutReportT& report);

}  // namespace onyx
