// Header of the HTTP between two boxes when one relays a request to the other. It does not reach
// callers or upstreams.
#pragma once

#include <string_view>

namespace onyx {

// In a request: the version of the configuration that the relaying box decides on. In an answer:
// one of the values below; the request has not run then and never will.
inline constexpr std::string_view kRelayHeader = "Onyx-Relay";
inline constexpr std::string_view kRelayNotRun = "not-run";  // Another box would refuse it too.
inline constexpr std::string_view kRelayUnavailable = "unavailable";  // This box cannot serve it.

}  // namespace onyx
