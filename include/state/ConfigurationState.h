// Owns the configuration in force on this box and its age. The version only increases, whether a
// configuration comes from the store or from another box. A configuration that cannot be read
// changes nothing.
//
// Relies on no other part of the gateway. StoreController and PeerSync supply the configurations.
#pragma once

#include "include/freshness/StateAge.h"
#include "include/routing/Catalog.h"
#include "include/store/ObjectStore.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace onyx {

// The source of confirmations that come from the store itself; others name the box at which they
// were received.
inline constexpr std::string_view kStoreSource = "store";

// The configuration that a decision was made on; nothing where there was none.
struct ConfigurationReport {
    std::optional<uint64_t> version;
    std::optional<Millis> age;           // In milliseconds.
    std::string confirmedBy;             // The source of the newest confirmation.
    std::optional<Millis> confirmedAgo;  // Time since this box received it, in milliseconds.
    bool superseded = false;             // A newer one is known to exist.
};

// Not thread safe: one io_context.
class ConfigurationState {
public:
    // Puts a configuration in force if its version is higher than the current one and it is valid.
    // Logs a new configuration, an older version and an invalid configuration.
    // Preconditions: none.
    void apply(const StoredConfiguration& configuration);

    // Logs that a configuration cannot be read. The current one stays in force.
    // Preconditions: none.
    void reject(const Error& error);

    // Records that the store's newest configuration cannot be read: the one in force is superseded
    // until a newer one is. Preconditions: none.
    void noteUnreadable() { m_newestUnreadable = true; }

    // Records that the configuration in force is the newest one from before `asOf`. `source`:
    // kStoreSource or the address of a box. Preconditions: as for StateAge::confirm().
    void confirm(MonoTime asOf, std::string_view source, MonoTime now);

    // The configuration in force, or null before the first. Preconditions: none.
    const std::shared_ptr<const Catalog>& catalog() const { return m_catalog; }
    // The version of the configuration in force, 0 before the first. Preconditions: none.
    uint64_t version() const { return m_catalog ? m_catalog->version() : 0; }
    // Records that another box has the configuration `version`. Preconditions: none.
    void noteVersion(uint64_t version) { m_newestKnown = std::max(m_newestKnown, version); }

    // Whether there is a newer configuration, which is not in force here: requests may be served by
    // the current one, but it does not prove what does not exist. Preconditions: none.
    bool superseded() const { return m_newestUnreadable || m_newestKnown > version(); }
    // The text of the configuration in force, to be sent to other boxes. Preconditions: none.
    const std::string& text() const { return m_text; }
    // The age of the configuration in milliseconds, or nothing before the first confirmation.
    // Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }
    // What a decision that is made now is made on. Preconditions: none.
    ConfigurationReport report(MonoTime now) const;

private:
    std::shared_ptr<const Catalog> m_catalog;
    std::string m_text;
    StateAge m_age;
    uint64_t m_newestKnown = 0;       // At any box.
    bool m_newestUnreadable = false;  // Since the configuration in force was applied.
    std::string m_confirmedBy;
    MonoTime m_confirmedAt;
};

}  // namespace onyx
