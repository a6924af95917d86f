#include "include/state/EvacuationList.h"

#include "include/observe/Events.h"

namespace onyx {

void EvacuationList::apply(const EvacuationChanges& changes, bool acceptLowerRevision,
                           std::string_view source, MonoTime now) {
    const EvacuationChanges changed = m_orders.applyChanges(changes, acceptLowerRevision, now);
    const auto log = [&](const std::string& zone, const char* state) {
        logEvent(Event::kZoneEvacuated, {{"zone", zone},
                                         {"state", state},
                                         {"revision", std::to_string(changed.revision)},
                                         {"source", std::string(source)}});
    };
    for (const std::string& zone : changed.begun) {
        log(zone, "evacuated");
    }
    for (const std::string& zone : changed.ended) {
        log(zone, "taken-back");
    }
    m_metrics.set("onyx_evacuated_zones", {}, static_cast<double>(m_orders.zones().size()));
}

}  // namespace onyx
