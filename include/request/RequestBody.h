// The body of a caller's request, in blocks that are filled as it arrives. It stands once: each
// attempt, also one at another box, writes these blocks, so what the box holds for it is released
// with the last reference to it.
#pragma once

#include "include/admission/RequestMemory.h"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace onyx {

// Not thread safe: one io_context.
class RequestBody {
public:
    static constexpr size_t kMinBlock = size_t{4} << 10;   // Bytes, where the length is unknown.
    static constexpr size_t kMaxBlock = size_t{64} << 10;  // Bytes.

    // An empty body. Preconditions: none.
    RequestBody() = default;

    // A body that is about to arrive; `length` if it is known. Its memory is taken from `share`, at
    // once where the length is known. Returns null if there is not enough.
    // Preconditions: `share` is no share of nothing.
    static std::shared_ptr<RequestBody> Make(MemoryShare share, std::optional<uint64_t> length,
                                             MonoTime now);

    // Returns room for the next bytes, at least one; empty if there is not enough memory, or if the
    // announced length has arrived. Preconditions: the body is not whole.
    std::span<char> space(MonoTime now);

    // Adds the first `bytes` of what space() returned. Preconditions: they fit.
    void commit(size_t bytes, MonoTime now);

    // All of it has arrived. Preconditions: none.
    void finish();

    // Returns its size in bytes. Preconditions: none.
    size_t size() const { return m_size; }

    // Returns its bytes, in order, valid as long as the body. Preconditions: none.
    std::vector<std::string_view> pieces() const;

private:
    struct Block {
        std::unique_ptr<char[]> bytes;
        size_t capacity = 0;
        size_t used = 0;
    };

    bool addBlock(MonoTime now);

    MemoryShare m_share;
    std::optional<uint64_t> m_length;
    size_t m_size = 0;
    std::vector<Block> m_blocks;
};

}  // namespace onyx
