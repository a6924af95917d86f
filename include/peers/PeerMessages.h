// Converts the list of upstreams and its changes to and from the KnowledgeAsk and KnowledgeReply
// frames that boxes exchange.
#pragma once

#include "include/routing/UpstreamTable.h"
#include "include/wire/FrameCodec.h"

#include <optional>

namespace onyx {

// Returns the changes of the list that `reply` contains, or nothing if it contains none. Entries
// without an id are skipped. Preconditions: none. Thread safety: any thread.
std::optional<UpstreamChanges> ReadUpstreamChanges(const wire::KnowledgeReplyT& reply);

// Adds to `reply` the changes of `table` since the revision in `ask`. A whole list is added only
// for boxes that cannot fetch it from the store. Preconditions: none. Thread safety: any thread.
void AddUpstreamChanges(const UpstreamTable& table, const wire::KnowledgeAskT& ask,
                        wire::KnowledgeReplyT& reply);

}  // namespace onyx
