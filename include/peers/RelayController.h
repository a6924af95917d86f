// Chooses boxes that handle the requests whose service this box has lost, and bounds how many
// requests are relayed to other boxes and taken from them.
//
// Owns the counts of relayed requests and which boxes could not serve a service lately. Relies on
// ChooseRelayPeer for the choice and on PeerMesh for the linked boxes.
#pragma once

#include "include/peers/PeerMesh.h"
#include "include/state/AllowedZones.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace onyx {

// What the choice of a box depends on. Its members outlive the choice.
struct RelayQuestion {
    const ServiceId& service;
    RegionRule regions;
    const std::set<std::string>& tried;  // Boxes that did not take the request.
    uint64_t draw = 0;                   // A random number.
    bool takesUpStream = false;          // Only boxes that continue it at its version may get it.
};

// Not thread safe: one io_context.
class RelayController {
public:
    // Requests that this box relays at once. Beyond it, requests are refused.
    static constexpr size_t kMaxRelayed = 512;

    // Requests of other boxes that this box handles at once; it refuses further ones.
    static constexpr size_t kMaxTaken = 256;

    // Preconditions: settings and mesh outlive the controller.
    RelayController(const GatewaySettings& settings, PeerMesh& mesh)
        : m_settings(settings), m_mesh(mesh) {}

    // The address of the box to relay to, or nothing if there is none. Preconditions: `now` never
    // decreases between calls.
    std::optional<std::string> choose(const RelayQuestion& question, MonoTime now);

    // Count a relayed request at a box. Preconditions: one end is recorded for each start.
    void recordStart(const std::string& box);
    void recordEnd(const std::string& box);

    // Count a request that another box relays to this one. Preconditions: one end is recorded for
    // each start.
    void recordTakenStart() { ++m_taken; }
    void recordTakenEnd() { --m_taken; }
    // Whether this box handles as many requests of other boxes as it may. Preconditions: the
    // request that asks is counted.
    bool isFull() const { return m_taken > kMaxTaken; }

    // Records that a box could not be reached, or said that it cannot serve a service now.
    // Preconditions: `now` never decreases between calls.
    void noteUnavailable(const std::string& box, const ServiceId& service, MonoTime now);

private:
    bool isUnavailable(const std::string& box, const ServiceId& service, MonoTime now) const;

    const GatewaySettings& m_settings;
    PeerMesh& m_mesh;
    std::map<std::string, size_t> m_relayed;  // By box.
    size_t m_total = 0;                       // Of all boxes.
    size_t m_taken = 0;                       // Requests of other boxes that this box handles.
    // Until when a box is not chosen for a service.
    std::map<std::pair<std::string, ServiceId>, MonoTime> m_unavailable;
};

}  // namespace onyx
