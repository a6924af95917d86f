// Which build this program is, so that on-call sees which boxes of a rolling upgrade are replaced.
#pragma once

#include <string>

namespace onyx {

// The first eight bytes of the build id that the linker put into this program, as hex; empty if it
// put none there. Two builds of the same sources by the same tools have the same.
// Preconditions: none. Thread safety: any thread.
const std::string& BuildId();

}  // namespace onyx
