// OutgoingFrame is an encoded frame addressed to several linked boxes. LoadExchange and
// CrashExchange build such frames, and PeerMesh sends them.
#pragma once

#include <string>
#include <vector>

namespace onyx {

// One frame, as EncodeFrame returns it.
struct OutgoingFrame {
    std::vector<std::string> to;  // Addresses of the recipients.
    std::string frame;
};

}  // namespace onyx
