// The HTTP/1.1 server that all processes share: one task a connection, bounded in header, body
// and time. The protocol work is Boost.Beast's.
#pragma once

#include "include/net/Net.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace onyx {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;
using HttpIncoming = boost::beast::http::request<boost::beast::http::string_body>;

// Bounds on what a caller may send.
struct HttpLimits {
    size_t header = size_t{16} * 1024;
    size_t body = size_t{4} * 1024 * 1024;
    Millis readTimeout = 10000;   // For the rest of a request once its first byte came.
    Millis idleTimeout = 60000;   // Between requests.
    Millis writeTimeout = 30000;  // For one write: a caller that does not read is dropped.
    // Connections at once; for a further one the oldest is closed. 0: as many as come.
    size_t connections = 0;
};

// One request that is being answered. Belongs to the connection's task; not thread safe.
class HttpExchange {
public:
    HttpExchange(boost::beast::tcp_stream& stream, HttpIncoming& request, const HttpLimits& limits)
        : m_stream(stream), m_request(request), m_limits(limits) {}

    // The request, read whole. Preconditions: none.
    const HttpIncoming& request() const { return m_request; }

    // A header's value, empty if absent. Preconditions: none.
    std::string_view header(std::string_view name) const;

    // Sends a whole answer. Preconditions: nothing was sent yet.
    Task<> respond(unsigned status, const HttpHeaders& headers, std::string_view contentType,
                   std::string_view body);

    // Starts a chunked answer; false if the caller is gone. Preconditions: nothing was sent yet.
    Task<bool> startStream(unsigned status, const HttpHeaders& headers,
                           std::string_view contentType);

    // Sends a chunk; false if the caller is gone. Preconditions: the stream was started.
    Task<bool> write(std::string_view data);

    // Ends the chunked answer. Preconditions: the stream was started.
    Task<> finish();

    // Closes the connection without the end mark, so that the caller sees that the answer is not
    // whole. Preconditions: none.
    void abort();

    // Calls `gone` once if the caller closes its connection before the answer is complete.
    // Preconditions: set at most once, before the answer ends.
    void watchCaller(std::function<void()> gone);

    // Whether anything was sent. Preconditions: none.
    bool started() const { return m_started; }
    // Whether the answer was sent to its end. Preconditions: none.
    bool complete() const { return m_complete; }

private:
    friend class HttpServer;
    Task<bool> writeRaw(std::string data);

    boost::beast::tcp_stream& m_stream;
    HttpIncoming& m_request;
    const HttpLimits& m_limits;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_started = false;
    bool m_complete = false;
    bool m_aborted = false;
};

// Accepts connections and calls the handler for each request. Not thread safe: one io_context.
class HttpServer {
public:
    using Handler = std::function<Task<>(HttpExchange&)>;

    // Listens on `endpoint` (port 0: chosen by the kernel).
    // Errors: kUnavailable if the address cannot be bound. Preconditions: the handler and the
    // context outlive the server.
    static Result<std::unique_ptr<HttpServer>> Make(asio::io_context& context,
                                                    const Endpoint& endpoint,
                                                    const HttpLimits& limits, Handler handler);

    // The address it listens on. Preconditions: none.
    Endpoint endpoint() const { return m_endpoint; }

    // Requests being answered. Preconditions: none.
    size_t active() const { return m_active; }

private:
    using OpenStreams = std::list<boost::beast::tcp_stream*>;
    class OpenPlace;

    HttpServer(Tcp::acceptor acceptor, const HttpLimits& limits, Handler handler);
    Task<> serve(Tcp::socket socket);
    void makePlace();
    // Serves one request; false if the connection ends with it.
    Task<bool> serveOne(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);
    Task<bool> awaitFirstByte(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);
    Task<> answerUnreadable(HttpExchange& exchange, boost::beast::error_code why);
    Task<> callHandler(HttpExchange& exchange);

    Tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    HttpLimits m_limits;
    Handler m_handler;
    size_t m_active = 0;
    // In the order in which they came. Shared, since tasks may be destroyed after the server.
    std::shared_ptr<OpenStreams> m_open = std::make_shared<OpenStreams>();
};

}  // namespace onyx
