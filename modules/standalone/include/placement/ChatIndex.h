// A bounded memory of where chats went when their preferred engine was full, so that they return
// to the engine that holds their prefix. Losing an entry costs cache reuse, nothing else.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace onyx {

// Least recently used index from chat to engine. Not thread safe: one task owns it.
class ChatIndex {
public:
    // `most`: entries kept. `maxAge`: entries older than this are not returned.
    // Preconditions: most > 0, maxAge > 0.
    ChatIndex(size_t most, Millis maxAge);

    // Remembers that `chat` was served by `engine`. Preconditions: none.
    void put(const ChatId& chat, const EngineId& engine, MonoTime now);

    // The engine that served `chat`, if it is remembered and not too old; it counts as used now.
    // Preconditions: none.
    std::optional<EngineId> find(const ChatId& chat, MonoTime now);

    // Forgets `chat`. Preconditions: none.
    void erase(const ChatId& chat);

    // Entries held now. Preconditions: none.
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        EngineId engine;
        MonoTime at;
        std::list<uint64_t>::iterator position;
    };

    size_t m_most;
    Millis m_maxAge;
    std::list<uint64_t> m_recent;  // Newest first. Chats are kept as hashes to bound the memory.
    std::unordered_map<uint64_t, Entry> m_entries;
};

}  // namespace onyx
