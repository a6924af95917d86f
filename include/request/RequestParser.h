// Parses one request from the bytes that a caller's connection has read, strictly framed. Its body
// goes into a RequestBody, whose memory is taken from the box's RequestMemory as it is needed.
//
// Relies on Beast for parsing.
#pragma once

#include "include/request/RequestBody.h"
#include "include/routing/Catalog.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace onyx {

// The head of a request; its body is a RequestBody.
using CallerMessage = boost::beast::http::request<boost::beast::http::empty_body>;

// How reading a request ended.
enum class ReadEnd : uint8_t {
    kRequest,   // One whole request.
    kLarge,     // It is about to take more than RequestMemory::kSmallBytes: go on, or refuse it.
    kClosed,    // The caller closed, or was idle for too long, between requests.
    kBad,       // What came is no request; see `problem`.
    kTooLarge,  // A bound was passed.
    kSlow,      // The request did not come in time.
    kNoMemory,  // The box has no memory for it, or needed what it had for another one.
};

// One request, or why there is none.
struct ReadRequest {
    ReadEnd end = ReadEnd::kClosed;
    CallerMessage message;
    std::shared_ptr<const RequestBody> body = std::make_shared<const RequestBody>();
    std::string problem;
    MonoTime arrived;  // When its last byte was read.
};

// Not thread safe: one io_context.
class RequestParser {
public:
    // `onEvict`: as for RequestMemory::open(); it has to call dropBody().
    // Preconditions: `memory` is not null.
    RequestParser(const CallerLimits& limits, std::shared_ptr<RequestMemory> memory,
                  std::function<void()> onEvict);

    // Consumes what it can of `buffer`. Returns how the request ended, kLarge at most once, or
    // nothing if more bytes are needed. Preconditions: it has not ended otherwise.
    std::optional<ReadEnd> parse(boost::beast::flat_buffer& buffer, MonoTime now);

    // Whether the head was read. Preconditions: none.
    bool hasHead() const { return m_parser.is_header_done(); }

    // The length of the body that the head announces; 0 if it announces none. Preconditions:
    // hasHead().
    size_t announced() const { return m_parser.content_length().value_or(0); }

    // Whether a body has begun that holds memory. Preconditions: none.
    bool hasBody() const { return m_body != nullptr; }

    // Drops what was read of the body, and its memory. Preconditions: the request is given up.
    void dropBody() { m_body.reset(); }

    // Why there is no request, for kBad and kTooLarge. Preconditions: none.
    const std::string& problem() const { return m_problem; }

    // Returns the head alone. Preconditions: hasHead().
    CallerMessage head() const { return CallerMessage(m_parser.get().base()); }

    // Returns the body. Preconditions: parse() returned kRequest; called once.
    std::shared_ptr<const RequestBody> takeBody();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    std::optional<ReadEnd> parseHead(boost::beast::flat_buffer& buffer);
    std::optional<ReadEnd> parseBody(boost::beast::flat_buffer& buffer, MonoTime now);
    std::optional<ReadEnd> put(boost::beast::flat_buffer& buffer);
    std::optional<ReadEnd> provideSpace(MonoTime now);
    std::optional<ReadEnd> checkFraming();
    bool isLarge() const;
    bool beginBody(MonoTime now);

    std::shared_ptr<RequestMemory> m_memory;
    std::function<void()> m_onEvict;
    Parser m_parser;
    std::shared_ptr<RequestBody> m_body;  // Null before it begins, and once it was dropped.
    bool m_needsMore = false;             // The last bytes are only a part of something.
    bool m_largeReported = false;
    std::string m_problem;
};

}  // namespace onyx
