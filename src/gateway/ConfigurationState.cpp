#include "include/gateway/ConfigurationState.h"

#include "include/observe/Events.h"

namespace onyx {

void ConfigurationState::apply(const StoredConfiguration& configuration) {
    const uint64_t offered = configuration.parts.version;
    if (m_catalog && offered <= m_catalog->version()) {
        if (offered < m_catalog->version()) {
            logEvent(Event::kConfigStale, {{"revision", std::to_string(offered)}});
        }
        return;
    }
    auto catalog = Catalog::Make(configuration.parts);
    if (catalog.has_error()) {
        reject(catalog.error());
        return;
    }
    m_catalog = catalog.value();
    m_text = configuration.text;
    logEvent(Event::kCatalogInForce, {{"revision", std::to_string(offered)},
                                      {"routes", std::to_string(m_catalog->routeCount())}});
}

void ConfigurationState::reject(const Error& error) {
    logEvent(Event::kConfigCorrupt, {{"why", error.text()}});
}

}  // namespace onyx
