// Splits the memory and the descriptors of a box's machine among the uses that callers can drive,
// so that together they stay within the machine whatever callers send.
//
// The rest of the memory is for the program, the configuration, the list of upstreams, links to
// other boxes, and about 12 KB of each connection for its buffers and its task. The rest of the
// descriptors is for files, readiness, metrics, other boxes, the store and upstreams.
#pragma once

#include <cstddef>

namespace onyx {

// What the machine gives to the process.
struct MachineLimits {
    size_t memory = size_t{160} << 20;  // In bytes, with what lies unread in sockets.
    size_t descriptors = 4100;          // Files and sockets together.
};

// Sizes in bytes.
struct MachineShares {
    static constexpr double kRequestShare = 0.3;  // Of the memory: see RequestMemory.
    static constexpr double kAnswerShare = 0.1;   // Of the memory: see AnswerMemory.
    static constexpr double kReceiveShare = 0.2;  // Of the memory: unread at callers' sockets.
    static constexpr size_t kFiles = 200;         // Descriptors that no socket may take.
    static constexpr double kCallerShare = 0.45;  // Of the other descriptors.
    // Connections that wait to be accepted; what they send is received too.
    static constexpr size_t kAcceptQueue = 512;
    // The system may receive up to twice the buffer that is set.
    static constexpr size_t kReceiveFactor = 2;
    static constexpr size_t kMinReceiveBuffer = size_t{4} << 10;
    static constexpr size_t kMaxReceiveBuffer = size_t{64} << 10;

    size_t requestMemory = 0;
    size_t answerMemory = 0;
    size_t callerConnections = 0;  // Their number.
    size_t receiveBuffer = 0;      // Of one caller's socket.

    // Returns the shares of a machine. Preconditions: none. Thread safety: any
    // thread.
    static MachineShares Of(const MachineLimits& limits);
};

}  // namespace onyx
