// The HTTP/1.1 client that all processes share. One connection a request: a connection with an
// unfinished answer is never reused, and is reset, so that nothing of its request arrives later.
// The protocol work is Boost.Beast's.
#pragma once

#include "include/net/HttpServer.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace onyx {

// A request to send.
struct HttpOutgoing {
    std::string method = "GET";
    std::string target = "/";
    std::string contentType;
    HttpHeaders headers;
    std::string body;
};

// An answer read whole.
struct HttpAnswer {
    unsigned status = 0;
    std::string contentType;
    HttpHeaders headers;
    std::string body;

    // A header's value, empty if absent; names in lower case. Preconditions: none.
    std::string_view header(std::string_view name) const;
};

// An answer that is read piece by piece. Not thread safe: one task owns it.
class HttpStream {
public:
    explicit HttpStream(asio::any_io_executor executor) : m_stream(std::move(executor)) {}

    // Status and headers; the body is empty. Preconditions: none.
    const HttpAnswer& head() const { return m_head; }

    // The next piece; nothing at the answer's proper end. Errors: kUnknown if the answer breaks
    // off, kTimeout. Preconditions: no other read is pending.
    Task<Result<std::optional<std::string>>> read(Millis timeout);

    // Resets the connection: the peer sees that nobody wants the rest, and a pending read fails.
    // Preconditions: none.
    void cancel();

private:
    friend class HttpClient;
    // Bytes that are read ahead of the parser.
    static constexpr size_t kMaxBuffered = size_t{64} * 1024;

    void endInOrder();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{kMaxBuffered};
    boost::beast::http::response_parser<boost::beast::http::buffer_body> m_parser;
    HttpAnswer m_head;
    std::string m_peer;
    bool m_cancelled = false;
};

// Sends requests. Not thread safe: one io_context. Errors of all calls: kUnavailable means that
// no byte was written to the peer; kUnknown and kTimeout that it may have acted.
class HttpClient {
public:
    explicit HttpClient(asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    // Sends `request` and reads the answer's head. Preconditions: timeout > 0.
    Task<Result<std::shared_ptr<HttpStream>>> open(Endpoint peer, HttpOutgoing request,
                                                   Millis timeout);

    // Longest body that call() reads, in bytes.
    static constexpr size_t kMaxBody = size_t{8} << 20;

    // Sends `request` and reads the whole answer, all within `timeout`. Errors besides those above:
    // kProtocol if the body is longer than kMaxBody. Preconditions: timeout > 0.
    Task<Result<HttpAnswer>> call(Endpoint peer, HttpOutgoing request, Millis timeout);

private:
    asio::any_io_executor m_executor;
};

}  // namespace onyx
