// Fingerprints that identify repeated requests and the parts of prompts: two requests are the same
// if they have the same method, host, target, team and body. Every box computes the same value for
// them, whatever request id, credential or connection each of them has.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace onyx {

// The parts of a request that identify it. The views must stay valid for the call only.
struct RequestIdentity {
    std::string_view method;
    std::string_view host;    // As the caller sent it; case and port are ignored.
    std::string_view target;  // Path and query.
    std::string_view team;    // Empty: the request has no team.
    std::string_view body;
};

// Returns the fingerprint of a request. Every box and every release computes the same value.
// Preconditions: none. Thread safety: any thread.
uint64_t Fingerprint(const RequestIdentity& request);

// The same for a body that is held in pieces: `pieces`, in order, stand in place of request.body.
// Preconditions: none. Thread safety: any thread.
uint64_t Fingerprint(const RequestIdentity& request, std::span<const std::string_view> pieces);

// Returns the fingerprint of a part of a prompt, which all requests with that part have in common.
// Preconditions: none. Thread safety: any thread.
uint64_t PartFingerprint(std::string_view part);

// Returns a fingerprint as it is written to the log: 16 hexadecimal digits.
// Preconditions: none. Thread safety: any thread.
std::string FingerprintText(uint64_t fingerprint);

}  // namespace onyx
