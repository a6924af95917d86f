// The order in which a chat prefers engines. All boxes that know the same engines agree on it.
#pragma once

#include "include/base/Ids.h"

#include <span>
#include <vector>

namespace onyx {

// Returns the indices of the `most` best engines for `chat`, best first.
// Preconditions: none; duplicates in `engines` stay duplicates. Thread safety: any thread.
std::vector<uint32_t> RendezvousOrder(const ChatId& chat, std::span<const EngineId> engines,
                                      size_t most);

}  // namespace onyx
