#include "include/net/HttpServer.h"

#include "include/base/HttpStatus.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadSize = 4096;  // Bytes of a connection's first read.

template <class Message>
void SetHeaders(Message& message, const HttpHeaders& headers, std::string_view contentType) {
    if (!contentType.empty()) {
        message.set(http::field::content_type, contentType);
    }
    for (const auto& [name, value] : headers) {
        message.set(name, value);
    }
}

}  // namespace

// A stream's place in the list, until its task has ended.
class HttpServer::OpenPlace {
public:
    OpenPlace(const std::shared_ptr<OpenStreams>& open, beast::tcp_stream& stream)
        : m_open(open), m_place(open->insert(open->end(), &stream)) {}
    OpenPlace(const OpenPlace&) = delete;
    OpenPlace& operator=(const OpenPlace&) = delete;
    ~OpenPlace() { m_open->erase(m_place); }

private:
    std::shared_ptr<OpenStreams> m_open;
    OpenStreams::iterator m_place;
};

std::string_view HttpExchange::header(std::string_view name) const {
    const auto it = m_request.find(name);
    return it == m_request.end() ? std::string_view() : std::string_view(it->value());
}

Task<> HttpExchange::respond(unsigned status, const HttpHeaders& headers,
                             std::string_view contentType, std::string_view body) {
    http::response<http::string_body> response{static_cast<http::status>(status),
                                               m_request.version()};
    SetHeaders(response, headers, contentType);
    response.keep_alive(m_request.keep_alive());
    response.body() = std::string(body);
    response.prepare_payload();
    m_started = true;
    m_stream.expires_after(std::chrono::milliseconds(m_limits.writeTimeout));
    beast::error_code ec;
    co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, ec));
    m_complete = !ec;
    m_aborted = m_aborted || ec;
}

Task<bool> HttpExchange::startStream(unsigned status, const HttpHeaders& headers,
                                     std::string_view contentType) {
    http::response<http::empty_body> response{static_cast<http::status>(status),
                                              m_request.version()};
    SetHeaders(response, headers, contentType);
    response.keep_alive(m_request.keep_alive());
    response.chunked(true);
    m_started = true;
    m_stream.expires_after(std::chrono::milliseconds(m_limits.writeTimeout));
    http::response_serializer<http::empty_body> serializer{response};
    beast::error_code ec;
    co_await http::async_write_header(m_stream, serializer,
                                      asio::redirect_error(asio::use_awaitable, ec));
    m_aborted = m_aborted || ec;
    co_return !ec;
}

Task<bool> HttpExchange::writeRaw(std::string data) {
    m_stream.expires_after(std::chrono::milliseconds(m_limits.writeTimeout));
    beast::error_code ec;
    co_await asio::async_write(m_stream, asio::buffer(data),
                               asio::redirect_error(asio::use_awaitable, ec));
    m_aborted = m_aborted || ec;
    co_return !ec;
}

Task<bool> HttpExchange::write(std::string_view data) {
    if (data.empty() || m_aborted) {
        co_return !m_aborted;
    }
    m_stream.expires_after(std::chrono::milliseconds(m_limits.writeTimeout));
    beast::error_code ec;
    co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(data)),
                               asio::redirect_error(asio::use_awaitable, ec));
    m_aborted = m_aborted || ec;
    co_return !ec;
}

Task<> HttpExchange::finish() {
    if (!m_aborted) {
        m_complete = co_await writeRaw("0\r\n\r\n");
    }
}

void HttpExchange::abort() {
    m_aborted = true;
    beast::error_code ec;
    m_stream.socket().close(ec);
}

void HttpExchange::watchCaller(std::function<void()> gone) {
    auto& socket = m_stream.socket();
    std::weak_ptr<bool> alive = m_alive;
    socket.async_wait(Tcp::socket::wait_read, [this, alive, gone](beast::error_code ec) {
        if (ec || alive.expired() || m_complete) {
            return;
        }
        // Readable with nothing to read is the end of the connection; bytes would be the next
        // request, which is left where it is.
        beast::error_code peekError;
        if (m_stream.socket().available(peekError) == 0 || peekError) {
            m_aborted = true;
            gone();
        }
    });
}

HttpServer::HttpServer(Tcp::acceptor acceptor, const HttpLimits& limits, Handler handler)
    : m_acceptor(std::move(acceptor)),
      m_endpoint(m_acceptor.local_endpoint()),
      m_limits(limits),
      m_handler(std::move(handler)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Make(asio::io_context& context,
                                                     const Endpoint& endpoint,
                                                     const HttpLimits& limits, Handler handler) {
    BOOST_OUTCOME_TRY(Tcp::acceptor acceptor, Listen(context, endpoint, "http.listen"));
    std::unique_ptr<HttpServer> server(
        new HttpServer(std::move(acceptor), limits, std::move(handler)));
    const auto serveOn = [raw = server.get()](Tcp::socket socket) {
        Spawn(raw->m_acceptor.get_executor(), raw->serve(std::move(socket)));
    };
    Spawn(context.get_executor(), AcceptAll(server->m_acceptor, serveOn));
    return server;
}

Task<> HttpServer::serve(Tcp::socket socket) {
    beast::error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    beast::tcp_stream stream(std::move(socket));
    makePlace();
    const OpenPlace place(m_open, stream);
    beast::flat_buffer buffer;
    while (co_await serveOne(stream, buffer)) {
    }
    stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
}

// The task of a connection that is closed here leaves the list when it goes on.
void HttpServer::makePlace() {
    if (m_limits.connections == 0 || m_open->size() < m_limits.connections) {
        return;
    }
    const auto oldest = std::find_if(m_open->begin(), m_open->end(),
                                     [](auto* stream) { return stream->socket().is_open(); });
    if (oldest != m_open->end()) {
        beast::error_code ec;
        (*oldest)->socket().close(ec);
    }
}

Task<bool> HttpServer::awaitFirstByte(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
    if (buffer.size() > 0) {
        co_return true;
    }
    stream.expires_after(std::chrono::milliseconds(m_limits.idleTimeout));
    beast::error_code ec;
    const size_t got = co_await stream.async_read_some(
        buffer.prepare(kReadSize), asio::redirect_error(asio::use_awaitable, ec));
    buffer.commit(got);
    co_return !ec;
}

Task<bool> HttpServer::serveOne(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
    if (!co_await awaitFirstByte(stream, buffer)) {
        co_return false;
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(m_limits.header));
    parser.body_limit(m_limits.body);
    stream.expires_after(std::chrono::milliseconds(m_limits.readTimeout));
    beast::error_code ec;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec == http::error::end_of_stream || ec == asio::error::eof) {
        co_return false;
    }
    HttpIncoming request = parser.release();
    HttpExchange exchange(stream, request, m_limits);
    if (ec) {
        request.keep_alive(false);
        co_await answerUnreadable(exchange, ec);
        co_return false;
    }
    co_await callHandler(exchange);
    co_return exchange.m_complete && !exchange.m_aborted && request.keep_alive();
}

Task<> HttpServer::answerUnreadable(HttpExchange& exchange, beast::error_code why) {
    const bool tooLarge = why == http::error::body_limit || why == http::error::header_limit;
    const unsigned status = tooLarge                       ? HttpStatus::kPayloadTooLarge
                            : why == beast::error::timeout ? HttpStatus::kRequestTimeout
                                                           : HttpStatus::kBadRequest;
    const std::string body =
        R"({"type":"bad-request","title":"the request could not be read: )" + why.message() + "\"}";
    const HttpHeaders headers = {{"Onyx-Outcome", "not-run"}};
    co_await exchange.respond(status, headers, "application/problem+json", body);
}

Task<> HttpServer::callHandler(HttpExchange& exchange) {
    ++m_active;
    try {
        co_await m_handler(exchange);
    } catch (...) {
        --m_active;
        throw;
    }
    --m_active;
}

}  // namespace onyx
