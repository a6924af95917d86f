// A body that is collected while it arrives, within the bounds on the memory of one exchange and of
// the box.
#pragma once

#include "include/request/AnswerMemory.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace onyx {

// Owns its bytes, and their part of the box's memory until it is cleared or destroyed. Shares that
// memory: the io_context outlives the box, and destroys the requests that are still open.
// Not thread safe: one io_context, one task.
class CollectedBody {
public:
    // Preconditions: `memory` is not null.
    explicit CollectedBody(std::shared_ptr<AnswerMemory> memory) : m_memory(std::move(memory)) {}
    CollectedBody(const CollectedBody&) = delete;
    CollectedBody& operator=(const CollectedBody&) = delete;
    ~CollectedBody() { clear(); }

    // Appends `piece`. Returns false, and leaves the body as it was, if it would exceed
    // kMaxWholeBody or if the box's memory is used up. Preconditions: none.
    bool append(std::string_view piece);

    // Returns the bytes, and goes on to count them until clear(). Preconditions: none.
    std::string take() { return std::exchange(m_bytes, {}); }

    // Drops the bytes, and gives their memory back. Preconditions: none.
    void clear();

private:
    std::shared_ptr<AnswerMemory> m_memory;
    std::string m_bytes;
    size_t m_taken = 0;  // Of the memory.
};

}  // namespace onyx
