#include "include/net/HttpClient.h"

#include "include/net/AnswerForm.h"
#include "include/net/SocketTools.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kPieceSize = size_t{16} * 1024;
constexpr Millis kConnectTimeout = 1000;

std::string Lower(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

Error StreamError(const char* step, const std::string& peer, const beast::error_code& ec) {
    const bool late = ec == beast::error::timeout;
    return Error{late ? ErrorCode::kTimeout : ErrorCode::kUnknown, step, peer, ec.message()};
}

}  // namespace

std::string_view HttpAnswer::header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

Task<Result<std::shared_ptr<HttpStream>>> HttpClient::open(Endpoint peer, HttpOutgoing request,
                                                           Millis timeout) {
    auto stream = std::make_shared<HttpStream>(m_executor);
    stream->m_peer = EndpointText(peer);
    beast::error_code ec;
    stream->m_stream.expires_after(std::chrono::milliseconds(std::min(timeout, kConnectTimeout)));
    co_await stream->m_stream.async_connect(peer, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Error{ErrorCode::kUnavailable, "http.connect", stream->m_peer, ec.message()};
    }
    // A call that is given up would otherwise still be delivered, and carried out, when a cut on
    // the way is mended.
    stream->m_stream.socket().set_option(Tcp::no_delay(true), ec);
    if (!ec) {
        ec = SetResetOnClose(stream->m_stream.socket());
    }
    if (ec) {
        co_return Error{ErrorCode::kUnavailable, "http.options", stream->m_peer, ec.message()};
    }
    http::request<http::string_body> message{http::string_to_verb(request.method), request.target,
                                             11};
    message.set(http::field::host, stream->m_peer);
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.keep_alive(false);
    message.body() = std::move(request.body);
    message.prepare_payload();
    stream->m_stream.expires_after(std::chrono::milliseconds(timeout));
    co_await http::async_write(stream->m_stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return StreamError("http.write", stream->m_peer, ec);
    }
    stream->m_parser.body_limit(std::numeric_limits<uint64_t>::max());
    co_await http::async_read_header(stream->m_stream, stream->m_buffer, stream->m_parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return StreamError("http.head", stream->m_peer, ec);
    }
    const auto& head = stream->m_parser.get();
    if (!IsAnswerHead(head)) {
        co_return Error{ErrorCode::kUnknown, "http.head", stream->m_peer, "no answer"};
    }
    stream->m_head.status = head.result_int();
    stream->m_head.contentType = std::string(head[http::field::content_type]);
    for (const auto& field : head) {
        stream->m_head.headers.emplace_back(Lower(field.name_string()), std::string(field.value()));
    }
    co_return stream;
}

Task<Result<std::optional<std::string>>> HttpStream::read(Millis timeout) {
    if (m_cancelled) {
        co_return Error{ErrorCode::kUnknown, "http.read", m_peer, "cancelled"};
    }
    if (m_parser.is_done()) {
        endInOrder();
        co_return std::optional<std::string>();
    }
    std::array<char, kPieceSize> piece;
    auto& body = m_parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    m_stream.expires_after(std::chrono::milliseconds(timeout));
    beast::error_code ec;
    co_await http::async_read_some(m_stream, m_buffer, m_parser,
                                   asio::redirect_error(asio::use_awaitable, ec));
    if (ec && ec != http::error::need_buffer) {
        co_return StreamError("http.read", m_peer, ec);
    }
    if (m_parser.is_done()) {
        endInOrder();
    }
    const size_t got = piece.size() - body.size;
    if (got == 0 && m_parser.is_done()) {
        co_return std::optional<std::string>();
    }
    co_return std::optional<std::string>(std::string(piece.data(), got));
}

// Nothing is due any more: closing needs no reset. A connection that takes no option has ended.
void HttpStream::endInOrder() {
    SetResetOnClose(m_stream.socket(), false);
}

void HttpStream::cancel() {
    m_cancelled = true;
    beast::error_code ec;
    m_stream.socket().close(ec);
}

Task<Result<HttpAnswer>> HttpClient::call(Endpoint peer, HttpOutgoing request, Millis timeout) {
    const MonoTime until = ReadClocks().mono + timeout;
    auto opened = co_await open(peer, std::move(request), timeout);
    if (opened.has_error()) {
        co_return std::move(opened).error();
    }
    const std::shared_ptr<HttpStream> stream = opened.value();
    HttpAnswer answer = stream->head();
    while (true) {
        const Millis left = until - ReadClocks().mono;
        if (left <= 0) {
            co_return Error{ErrorCode::kTimeout, "http.read", EndpointText(peer), "too late"};
        }
        auto piece = co_await stream->read(left);
        if (piece.has_error()) {
            co_return std::move(piece).error();
        }
        if (!piece.value().has_value()) {
            co_return answer;
        }
        answer.body += *piece.value();
        if (answer.body.size() > kMaxBody) {
            co_return Error{ErrorCode::kProtocol, "http.read", EndpointText(peer),
                            "the body is too long"};
        }
    }
}

}  // namespace onyx
