#include "include/state/RolloutList.h"

#include "include/observe/Events.h"

#include <set>

namespace onyx {

namespace {

void LogOrder(const RolloutOrder& order, std::string_view state, std::string_view source) {
    logEvent(Event::kRolloutOrdered, {{"service", order.service.value},
                                      {"target_version", order.targetVersion},
                                      {"state", std::string(state)},
                                      {"duration_ms", std::to_string(order.duration)},
                                      {"revision", std::to_string(order.revision)},
                                      {"source", std::string(source)}});
}

}  // namespace

void RolloutList::apply(const RolloutChanges& changes, bool acceptLowerRevision,
                        std::string_view source) {
    if (changes.revision < m_revision && !acceptLowerRevision) {
        return;
    }
    m_revision = changes.revision;
    for (const std::string& service : changes.removed) {
        remove(ServiceId(service), source);
    }
    if (changes.whole) {
        std::set<ServiceId> listed;
        for (const RolloutOrder& order : changes.changed) {
            listed.insert(order.service);
        }
        std::set<ServiceId> gone;
        for (const auto& [service, order] : m_orders) {
            if (!listed.contains(service)) {
                gone.insert(service);
            }
        }
        for (const ServiceId& service : gone) {
            remove(service, source);
        }
    }
    for (const RolloutOrder& order : changes.changed) {
        const auto known = m_orders.find(order.service);
        const bool isOlder = known != m_orders.end() && order.revision < known->second.revision;
        if (!isOlder || acceptLowerRevision) {
            put(order, source);
        }
    }
    m_metrics.set("onyx_rollout_orders", {}, static_cast<double>(m_orders.size()));
}

void RolloutList::put(const RolloutOrder& order, std::string_view source) {
    const auto it = m_orders.find(order.service);
    if (it != m_orders.end() && it->second == order) {
        return;
    }
    m_orders[order.service] = order;
    LogOrder(order, RolloutStateName(order.state()), source);
}

void RolloutList::remove(const ServiceId& service, std::string_view source) {
    const auto it = m_orders.find(service);
    if (it != m_orders.end()) {
        LogOrder(it->second, "withdrawn", source);
        m_orders.erase(it);
    }
}

}  // namespace onyx
