#include "modules/standalone/include/idempotency/KeyLedger.h"

#include <algorithm>

namespace onyx {

const KeyEntry* KeyLedger::find(std::string_view key) const {
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

void KeyLedger::put(KeyEntry entry) {
    entry.bodyKept = entry.state == KeyState::kRan && entry.body.size() <= m_settings.mostBody;
    if (!entry.bodyKept) {
        entry.body.clear();
    }
    m_byMint.emplace(entry.mintedAt, entry.key);
    std::string key = entry.key;
    m_entries.insert_or_assign(std::move(key), std::move(entry));
}

void KeyLedger::merge(KeyEntry entry) {
    if (m_entries.contains(entry.key)) {
        return;
    }
    m_byMint.emplace(entry.mintedAt, entry.key);
    std::string key = entry.key;
    m_entries.emplace(std::move(key), std::move(entry));
}

void KeyLedger::expire(WallTime now) {
    m_latest = std::max(m_latest, now);
    while (!m_byMint.empty() && m_byMint.begin()->first < m_latest - m_settings.horizon) {
        m_entries.erase(m_byMint.begin()->second);
        m_byMint.erase(m_byMint.begin());
    }
}

bool KeyLedger::beforeHorizon(WallTime mintedAt, WallTime now) const {
    return mintedAt < std::max(m_latest, now) - m_settings.horizon;
}

void KeyLedger::clear() {
    m_entries.clear();
    m_byMint.clear();
}

}  // namespace onyx
