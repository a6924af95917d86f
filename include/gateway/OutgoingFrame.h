// A frame for several linked boxes, as the exchanges of loads and crashes hand it to PeerMesh.
#pragma once

#include <string>
#include <vector>

namespace onyx {

// One frame, as EncodeFrame makes it.
struct OutgoingFrame {
    std::vector<std::string> to;  // Addresses.
    std::string frame;
};

}  // namespace onyx
