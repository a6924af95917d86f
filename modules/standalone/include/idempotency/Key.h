// Idempotency keys: UUIDs of version 7, whose time says when the request was first made.
#pragma once

#include "include/base/Time.h"

#include <optional>
#include <string_view>

namespace onyx {

// The time inside a UUIDv7 ("xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx"); nothing if `key` is none.
// Thread safety: any thread.
std::optional<WallTime> KeyMintTime(std::string_view key);

}  // namespace onyx
