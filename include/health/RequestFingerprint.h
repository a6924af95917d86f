// Decides which requests count as the same one sent again: those with the same method, host,
// target, team and body. Every box computes the same value for them, whatever id, credential or
// connection each comes with.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace onyx {

// What a request is recognized by. The views need to live for the call only.
struct RequestIdentity {
    std::string_view method;
    std::string_view host;    // As the caller sent it; case and port do not matter.
    std::string_view target;  // Path and query.
    std::string_view team;    // Empty: none.
    std::string_view body;
};

// The same value on every box and in every release. Preconditions: none. Thread safety: any thread.
uint64_t Fingerprint(const RequestIdentity& request);

// A fingerprint as it stands in the log. Preconditions: none. Thread safety: any thread.
std::string FingerprintText(uint64_t fingerprint);

}  // namespace onyx
