// The owners' events and actions as JSON lines: what the recorder writes and the replay reads.
#pragma once

#include "modules/standalone/include/idempotency/KeyOwner.h"

#include <nlohmann/json_fwd.hpp>

#include <fstream>
#include <memory>
#include <string>

namespace onyx {

// One event or action as JSON. Thread safety: any thread.
nlohmann::json KeyEventToJson(const KeyEvent& event);
nlohmann::json KeyActionToJson(const KeyAction& action);

// Reads what KeyEventToJson wrote. Preconditions: it did; otherwise the JSON library throws.
KeyEvent KeyEventFromJson(const nlohmann::json& json);

// Settings of an owner as JSON, and back. As above.
nlohmann::json KeeperSettingsToJson(const KeeperSettings& settings);
KeeperSettings KeeperSettingsFromJson(const nlohmann::json& json);

// Writes one owner's events with their times and actions. Not thread safe: one io_context.
class KeyTraceWriter {
public:
    // Opens `path` and writes the header; a file that cannot be written records nothing.
    // Preconditions: none.
    KeyTraceWriter(const std::string& path, const MemberId& member, const KeeperSettings& settings);

    // Records a step. Ticks that led to nothing are left out: a later event finds the same state.
    // Preconditions: none.
    void step(const Now& now, const KeyEvent& event, const std::vector<KeyAction>& actions);

    // Records that a run's last check let it be written to an upstream. Preconditions: none.
    void dispatched(const Now& now, uint64_t request, const std::string& key);

private:
    std::ofstream m_out;
};

}  // namespace onyx
