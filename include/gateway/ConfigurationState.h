// Owns the configuration in force on this box and its age. Versions only rise, wherever a
// configuration comes from; one that cannot be read changes nothing.
//
// Relies on nothing of the gateway; the store's watch and other boxes bring what it takes.
#pragma once

#include "include/freshness/KnowledgeAge.h"
#include "include/routing/Catalog.h"
#include "include/store/ObjectStore.h"

#include <memory>
#include <optional>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class ConfigurationState {
public:
    // Puts a configuration in force if it is newer than the one that is. Logs what became of it.
    // Preconditions: none.
    void apply(const StoredConfiguration& configuration);

    // A configuration came that cannot be read; the one in force stays. Preconditions: none.
    void reject(const Error& error);

    // The configuration in force is the newest of before `asOf`. Preconditions: as
    // KnowledgeAge::confirm().
    void confirm(MonoTime asOf) { m_age.confirm(asOf); }

    // The configuration in force, or null before the first. Preconditions: none.
    const std::shared_ptr<const Catalog>& catalog() const { return m_catalog; }
    // Its version, 0 before the first. Preconditions: none.
    uint64_t version() const { return m_catalog ? m_catalog->version() : 0; }
    // Its text, to be passed on to other boxes. Preconditions: none.
    const std::string& text() const { return m_text; }
    // Its age in milliseconds, or nothing before the first confirmation. Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }

private:
    std::shared_ptr<const Catalog> m_catalog;
    std::string m_text;
    KnowledgeAge m_age;
};

}  // namespace onyx
