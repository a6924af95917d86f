// Heads and bodies of HTTP/1.1 messages as the bytes that go out.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/request/CallerConnection.h"

#include <string>
#include <string_view>

namespace onyx {

// Ends a body in chunks.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Takes out the headers that concern one connection only, those that `Connection` names included,
// and those that give a body's length. Preconditions: none. Thread safety: any thread.
void DropConnectionHeaders(HttpFields& fields);

// The head of a request with the caller's method and target, these headers, and a body of
// `bodySize` bytes. Preconditions: the headers give no length. Thread safety: any thread.
std::string RequestHeadText(const CallerMessage& message, const HttpFields& fields,
                            size_t bodySize);

// A whole answer with an upstream's status. Preconditions and thread safety as above.
std::string AnswerText(const ResponseHead& head, const HttpFields& fields, std::string_view body,
                       bool close);

// The head of an answer whose body follows in chunks. Preconditions and thread safety as above.
std::string ChunkedHeadText(const ResponseHead& head, const HttpFields& fields, bool close);

// One chunk. Preconditions: `data` is not empty. Thread safety: any thread.
std::string ChunkText(std::string_view data);

// An answer of our own, with the reason as problem+json. Preconditions and thread safety as above.
std::string RefusalText(unsigned status, std::string_view reason, const HttpFields& fields,
                        bool close);

}  // namespace onyx
