// What an owner knows of the keys that it ran or closed.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// What became of a key.
enum class KeyState : uint8_t {
    kInFlight,
    kRan,      // An answer came; kept if it was small.
    kNotRun,   // Closed: it did not run and will not.
    kUnknown,  // It was sent to the upstream and no answer came.
};

// One key.
struct KeyEntry {
    std::string key;
    WallTime mintedAt;
    uint64_t digest = 0;  // Of the request's body, method and target.
    KeyState state = KeyState::kInFlight;
    uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = false;

    friend bool operator==(const KeyEntry&, const KeyEntry&) = default;
};

// Bounds of the ledger.
struct LedgerSettings {
    Millis horizon = 600000;  // Keys minted earlier are neither kept nor run.
    size_t most = 100000;     // Keys kept; when full, new keys are refused.
    size_t mostBody = 4096;   // Larger answers are not kept.
};

// Not thread safe: one task owns it. Copyable.
class KeyLedger {
public:
    // Preconditions: the settings' limits are > 0.
    explicit KeyLedger(const LedgerSettings& settings) : m_settings(settings) {}

    // The key's entry; null if there is none. Preconditions: none.
    const KeyEntry* find(std::string_view key) const;

    // Adds or replaces an entry. Preconditions: none.
    void put(KeyEntry entry);

    // Takes an entry from an earlier owner; one that is here already stays. Preconditions: none.
    void merge(KeyEntry entry);

    // Drops keys minted before the horizon. Preconditions: none.
    void expire(WallTime now);

    // Whether `mintedAt` lies before the horizon. Preconditions: none.
    bool beforeHorizon(WallTime mintedAt, WallTime now) const;

    // Whether no further key can be kept. Preconditions: none.
    bool full() const { return m_entries.size() >= m_settings.most; }

    // Forgets everything. Preconditions: none.
    void clear();

    // Keys kept. Preconditions: none.
    size_t size() const { return m_entries.size(); }

    // All entries, by key. Preconditions: none.
    const std::map<std::string, KeyEntry, std::less<>>& entries() const { return m_entries; }

private:
    LedgerSettings m_settings;
    std::map<std::string, KeyEntry, std::less<>> m_entries;
    std::set<std::pair<WallTime, std::string>> m_byMint;
    WallTime m_latest;  // The wall clock may be set back; the horizon does not follow.
};

}  // namespace onyx
