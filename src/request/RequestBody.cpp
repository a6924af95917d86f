#include "include/request/RequestBody.h"

#include <algorithm>

namespace onyx {

std::shared_ptr<RequestBody> RequestBody::Make(MemoryShare share, std::optional<uint64_t> length,
                                               MonoTime now) {
    if (length && !share.take(*length, now)) {
        return nullptr;
    }
    auto body = std::make_shared<RequestBody>();
    body->m_share = std::move(share);
    body->m_length = length;
    return body;
}

std::span<char> RequestBody::space(MonoTime now) {
    if ((m_blocks.empty() || m_blocks.back().used == m_blocks.back().capacity) && !addBlock(now)) {
        return {};
    }
    Block& last = m_blocks.back();
    return {last.bytes.get() + last.used, last.capacity - last.used};
}

// Blocks of a body without a known length grow with it, so that small bodies take little.
bool RequestBody::addBlock(MonoTime now) {
    const size_t capacity = m_length ? std::min<size_t>(*m_length - m_size, kMaxBlock)
                                     : std::clamp(m_size, kMinBlock, kMaxBlock);
    if (capacity == 0 || (!m_length && !m_share.take(capacity, now))) {
        return false;
    }
    m_blocks.push_back({std::make_unique_for_overwrite<char[]>(capacity), capacity, 0});
    return true;
}

void RequestBody::commit(size_t bytes, MonoTime now) {
    if (bytes == 0) {
        return;
    }
    m_blocks.back().used += bytes;
    m_size += bytes;
    m_share.noteProgress(bytes, now);
}

void RequestBody::finish() {
    if (m_share) {
        m_share.noteWhole();
    }
}

std::vector<std::string_view> RequestBody::pieces() const {
    std::vector<std::string_view> pieces;
    pieces.reserve(m_blocks.size());
    for (const Block& block : m_blocks) {
        pieces.emplace_back(block.bytes.get(), block.used);
    }
    return pieces;
}

}  // namespace onyx
