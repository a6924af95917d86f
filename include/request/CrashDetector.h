// CrashDetector distinguishes the crash of an upstream from the loss of a connection: after an
// upstream has closed the connection of a running attempt, the detector probes its port. If the
// port refuses the connection, the process is gone, and all attempts interrupted there were running
// when it crashed. If the ports of other upstreams of the service refuse too, the network of this
// box has failed and nothing is known of the upstream.
//
// Owns the interrupted attempts whose upstreams are being probed. Relies on UpstreamRecords to
// detect that an upstream has restarted.
#pragma once

#include "include/base/Time.h"
#include "include/net/Net.h"
#include "include/routing/UpstreamTable.h"
#include "include/state/UpstreamList.h"
#include "include/state/UpstreamRecords.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// An attempt that was running at an upstream when its connection ended.
struct InterruptedAttempt {
    std::string request;                   // The id of the request.
    uint64_t fingerprint = 0;              // See RequestFingerprint.
    std::vector<std::string> sharedParts;  // Of the request's prompt.
    MonoTime sent;
    MonoTime ended;
};

// Not thread safe: one io_context.
class CrashDetector {
public:
    using OnCrash = std::function<void(const Upstream&, std::span<const InterruptedAttempt>)>;

    // `onCrash` is called once per crash, with the attempts of this box that were running at the
    // upstream. Preconditions: the other arguments outlive the detector.
    CrashDetector(asio::io_context& io, const UpstreamRecords& records,
                  const UpstreamList& upstreams, OnCrash onCrash)
        : m_io(io), m_records(records), m_upstreams(upstreams), m_onCrash(std::move(onCrash)) {}

    // Records an attempt whose upstream closed the connection before the answer was complete, or
    // restarted while the attempt was running. Preconditions: none.
    void noteInterruptedAttempt(const Upstream& upstream, InterruptedAttempt attempt);

private:
    struct PendingProbe {
        Upstream upstream;
        std::vector<InterruptedAttempt> attempts;
    };

    Task<> probe(std::string upstreamId);
    Task<bool> refusesConnection(std::string address);
    Task<boost::system::error_code> connect(std::string address);
    Task<bool> isNetworkUp(std::string upstreamId);
    std::vector<std::string> otherAddresses(const Upstream& upstream);

    asio::io_context& m_io;
    const UpstreamRecords& m_records;
    const UpstreamList& m_upstreams;
    OnCrash m_onCrash;
    std::map<std::string, PendingProbe> m_pendingProbes;  // By the upstream's id.
    std::minstd_rand m_random{std::random_device{}()};
};

}  // namespace onyx
