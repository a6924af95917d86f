// Holds the configuration in force on this box.
#pragma once

#include "generated/frames_generated.h"
#include "modules/standalone/include/config/RevisionGate.h"
#include "modules/standalone/include/config/Snapshot.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace onyx {

// Not thread safe: one io_context.
class ConfigController {
public:
    using OnChange = std::function<void(const Snapshot&)>;

    // Calls `onChange` after each change. Preconditions: set before the first offer.
    void addListener(OnChange onChange) { m_listeners.push_back(std::move(onChange)); }

    // Offers a configuration from the agent or a peer. A lower revision is refused (event 1201); a
    // corrupt one too (event 1202), and the last good one stays in force. Returns whether it came
    // into force. Preconditions: none.
    bool offer(const wire::ConfigSnapshotT& offered, std::string_view source);

    // The configuration in force; null before the first. Preconditions: none.
    std::shared_ptr<const Snapshot> current() const { return m_current; }

    // Its revision; 0 before the first. Preconditions: none.
    uint64_t revision() const { return m_gate.inForce(); }

    // The configuration in force as an answer to a peer that has other shards already; those are
    // named without their content. Preconditions: none.
    wire::ConfigSnapshotT answerTo(const wire::ConfigAskT& ask) const;

    // Asks a peer for a higher revision than the one in force. Preconditions: none.
    wire::ConfigAskT makeAsk() const;

private:
    Result<std::vector<ConfigShard>> shardsOf(const wire::ConfigSnapshotT& offered) const;

    RevisionGate m_gate;
    std::shared_ptr<const Snapshot> m_current;
    std::vector<OnChange> m_listeners;
};

}  // namespace onyx
