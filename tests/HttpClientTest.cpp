// The HTTP client: how it leaves a connection.
#include "include/net/HttpClient.h"
#include "include/net/SocketTools.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace onyx;

namespace {

// What a server does after its answer.
enum class AfterAnswer : uint8_t { kStays, kCloses, kResets };

// A server that takes one connection and answers with `answer`, or never if that is empty.
class OneAnswerServer {
public:
    OneAnswerServer(asio::io_context& io, std::string answer,
                    AfterAnswer after = AfterAnswer::kStays)
        : m_acceptor(io, Endpoint(asio::ip::address_v4::loopback(), 0)),
          m_socket(io),
          m_answer(std::move(answer)) {
        m_acceptor.async_accept(m_socket, [this, after](const boost::system::error_code&) {
            boost::system::error_code ec;
            if (!m_answer.empty()) {
                asio::write(m_socket, asio::buffer(m_answer), ec);
            }
            if (after == AfterAnswer::kCloses) {
                m_socket.shutdown(Tcp::socket::shutdown_send, ec);
            } else if (after == AfterAnswer::kResets) {
                SetResetOnClose(m_socket);
                m_socket.close(ec);
            }
        });
    }

    Endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    // Reads what came and tells how the client ended the connection.
    SocketPeek end() {
        SocketPeek seen = SocketPeek::kQuiet;
        while (seen == SocketPeek::kQuiet || seen == SocketPeek::kReadable) {
            seen = PeekSocket(m_socket);
            if (seen == SocketPeek::kReadable) {
                char bytes[1024];
                boost::system::error_code ec;
                m_socket.read_some(asio::buffer(bytes), ec);
            }
        }
        return seen;
    }

private:
    Tcp::acceptor m_acceptor;
    Tcp::socket m_socket;
    std::string m_answer;
};

std::optional<Result<HttpAnswer>> Call(asio::io_context& io, const Endpoint& server,
                                       Millis timeout) {
    HttpClient client(io.get_executor());
    std::optional<Result<HttpAnswer>> seen;
    const auto call = [&]() -> Task<> {
        HttpOutgoing request;
        request.method = "POST";
        request.body = "fee";
        seen = co_await client.call(server, std::move(request), timeout);
    };
    asio::co_spawn(io, call(), asio::detached);
    io.run();
    return seen;
}

}  // namespace

TEST_CASE("A call that is given up is reset, so that nothing of it arrives later") {
    asio::io_context io;
    OneAnswerServer server(io, "");
    const auto answer = Call(io, server.endpoint(), 100);
    REQUIRE(answer.has_value());
    CHECK(answer->has_error());
    CHECK(server.end() == SocketPeek::kReset);
}

TEST_CASE("A call that is answered whole leaves its connection in order") {
    asio::io_context io;
    OneAnswerServer server(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const auto answer = Call(io, server.endpoint(), 5000);
    REQUIRE(answer.has_value());
    REQUIRE(answer->has_value());
    CHECK(answer->value().body == "ok");
    CHECK(server.end() == SocketPeek::kEnded);
}

// Guards against an answer of the store that breaks off and is taken for a whole one.
TEST_CASE("An answer without a length is whole unless its connection is reset") {
    const auto after = GENERATE(AfterAnswer::kCloses, AfterAnswer::kResets);
    asio::io_context io;
    OneAnswerServer server(io, "HTTP/1.1 200 OK\r\n\r\na part", after);
    const auto answer = Call(io, server.endpoint(), 5000);
    REQUIRE(answer.has_value());
    CHECK(answer->has_value() == (after == AfterAnswer::kCloses));
}

// Guards against heads that are none of an answer, whose bodies look like one.
TEST_CASE("A call that gets a status or a transfer coding that is none has no answer") {
    const std::string head =
        GENERATE("HTTP/1.1 000 None", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 None",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked");
    asio::io_context io;
    OneAnswerServer server(io, head + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                           AfterAnswer::kCloses);
    const auto answer = Call(io, server.endpoint(), 5000);
    REQUIRE(answer.has_value());
    REQUIRE(answer->has_error());
    CHECK(answer->error().code == ErrorCode::kUnknown);
}

// The body was read for as long as it came.
TEST_CASE("A call whose answer has no end fails once its body is too long") {
    asio::io_context io;
    const Endpoint any(asio::ip::address_v4::loopback(), 0);
    const auto flood = [](HttpExchange& exchange) -> Task<> {
        const std::string piece(size_t{256} * 1024, 'p');
        const HttpHeaders headers;
        bool open = co_await exchange.startStream(200, headers, "text/plain");
        while (open) {
            open = co_await exchange.write(piece);
        }
    };
    const auto server = HttpServer::Make(io, any, HttpLimits{}, flood);
    REQUIRE(server.has_value());
    std::optional<ErrorCode> seen;
    HttpClient client(io.get_executor());
    const auto call = [&]() -> Task<> {
        HttpOutgoing request;
        const auto answer =
            co_await client.call(server.value()->endpoint(), std::move(request), 20000);
        seen = answer.has_error() ? answer.error().code : ErrorCode::kUnknown;
        io.stop();
    };
    asio::co_spawn(io, call(), asio::detached);
    io.run();
    CHECK(seen == ErrorCode::kProtocol);
}
