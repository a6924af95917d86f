// The list of upstreams and its changes, in the frames that boxes send each other.
#pragma once

#include "include/routing/UpstreamTable.h"
#include "include/wire/FrameCodec.h"

#include <optional>

namespace onyx {

// The changes of the list that a reply brings, or nothing if it brings none. Entries without an id
// are passed over. Preconditions: none. Thread safety: any thread.
std::optional<UpstreamChanges> ReadUpstreamChanges(const wire::KnowledgeReplyT& reply);

// Adds to `reply` what changed in `table` since the revision that `ask` names. A whole list goes
// only to boxes that cannot ask the store for it. Preconditions: none. Thread safety: any thread.
void AddUpstreamChanges(const UpstreamTable& table, const wire::KnowledgeAskT& ask,
                        wire::KnowledgeReplyT& reply);

}  // namespace onyx
