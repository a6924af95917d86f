#include "modules/standalone/include/placement/ChatIndex.h"

#include "include/base/Hash.h"

namespace onyx {

ChatIndex::ChatIndex(size_t most, Millis maxAge) : m_most(most), m_maxAge(maxAge) {}

void ChatIndex::put(const ChatId& chat, const EngineId& engine, MonoTime now) {
    const uint64_t key = HashText(chat.value);
    erase(chat);
    if (m_entries.size() >= m_most) {
        m_entries.erase(m_recent.back());
        m_recent.pop_back();
    }
    m_recent.push_front(key);
    m_entries.emplace(key, Entry{engine, now, m_recent.begin()});
}

std::optional<EngineId> ChatIndex::find(const ChatId& chat, MonoTime now) {
    const auto it = m_entries.find(HashText(chat.value));
    if (it == m_entries.end() || now - it->second.at > m_maxAge) {
        return std::nullopt;
    }
    it->second.at = now;
    m_recent.splice(m_recent.begin(), m_recent, it->second.position);
    return it->second.engine;
}

void ChatIndex::erase(const ChatId& chat) {
    const auto it = m_entries.find(HashText(chat.value));
    if (it == m_entries.end()) {
        return;
    }
    m_recent.erase(it->second.position);
    m_entries.erase(it);
}

}  // namespace onyx
