#include "include/admission/MachineShares.h"

#include <algorithm>

namespace onyx {

namespace {

size_t ShareOf(size_t whole, double share) {
    return static_cast<size_t>(static_cast<double>(whole) * share);
}

}  // namespace

MachineShares MachineShares::Of(const MachineLimits& limits) {
    MachineShares shares;
    shares.requestMemory = ShareOf(limits.memory, kRequestShare);
    shares.answerMemory = ShareOf(limits.memory, kAnswerShare);
    const size_t sockets = limits.descriptors - std::min(limits.descriptors, kFiles);
    shares.callerConnections = std::max<size_t>(1, ShareOf(sockets, kCallerShare));
    shares.receiveBuffer = std::clamp(ShareOf(limits.memory, kReceiveShare) / kReceiveFactor /
                                          (shares.callerConnections + kAcceptQueue),
                                      kMinReceiveBuffer, kMaxReceiveBuffer);
    return shares;
}

}  // namespace onyx
