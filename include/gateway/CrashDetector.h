// Tells the crash of an upstream from the loss of a connection: after an upstream has closed the
// connection of a running attempt, its port is looked at. Refused: the process is gone, and
// all attempts that broke there were under way when it crashed.
//
// Owns the attempts whose upstreams are being looked at. Relies on UpstreamRecords for starts.
#pragma once

#include "include/base/Time.h"
#include "include/gateway/UpstreamRecords.h"
#include "include/net/Net.h"
#include "include/routing/UpstreamTable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// An attempt that was under way at an upstream when the connection ended.
struct InterruptedAttempt {
    std::string request;       // Its id.
    uint64_t fingerprint = 0;  // See RequestFingerprint.
    MonoTime sent;
    MonoTime ended;
};

// Not thread safe: one io_context.
class CrashDetector {
public:
    using OnCrash = std::function<void(const Upstream&, std::span<const InterruptedAttempt>)>;

    // `onCrash` gets each crash once, with the attempts of this box that were under way there.
    // Preconditions: the context and the records outlive the detector.
    CrashDetector(asio::io_context& io, const UpstreamRecords& records, OnCrash onCrash)
        : m_io(io), m_records(records), m_onCrash(std::move(onCrash)) {}

    // The upstream closed the attempt's connection before its answer was whole, or has started
    // again meanwhile. Preconditions: none.
    void noteInterruptedAttempt(const Upstream& upstream, InterruptedAttempt attempt);

private:
    struct PendingProbe {
        Upstream upstream;
        std::vector<InterruptedAttempt> attempts;
    };

    Task<> probe(std::string upstreamId);
    Task<bool> refusesConnection(std::string address);

    asio::io_context& m_io;
    const UpstreamRecords& m_records;
    OnCrash m_onCrash;
    std::map<std::string, PendingProbe> m_pendingProbes;  // By the upstream's id.
};

}  // namespace onyx
