#include "include/state/ConfigurationState.h"

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
    m_newestUnreadable = false;
    logEvent(Event::kCatalogInForce, {{"revision", std::to_string(offered)},
                                      {"routes", std::to_string(m_catalog->routeCount())}});
}

void ConfigurationState::confirm(MonoTime asOf, std::string_view source, MonoTime now) {
    if (m_age.confirm(asOf)) {
        m_confirmedBy = source;
        m_confirmedAt = now;
    }
}

ConfigurationReport ConfigurationState::report(MonoTime now) const {
    ConfigurationReport report;
    if (m_catalog) {
        report.version = version();
    }
    report.superseded = superseded();
    report.age = age(now);
    if (report.age) {
        report.confirmedBy = m_confirmedBy;
        report.confirmedAgo = now - m_confirmedAt;
    }
    return report;
}

void ConfigurationState::reject(const Error& error) {
    logEvent(Event::kConfigCorrupt, {{"why", error.text()}});
}

}  // namespace onyx
