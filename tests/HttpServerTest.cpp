#include "include/net/HttpServer.h"

#include "include/base/HttpStatus.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <deque>
#include <string>

using namespace onyx;

namespace {

constexpr size_t kConnections = 4;

struct LimitedServer {
    LimitedServer() {
        HttpLimits limits;
        limits.connections = kConnections;
        server = HttpServer::Make(io, Endpoint(asio::ip::address_v4::loopback(), 0), limits,
                                  [](HttpExchange& exchange) -> Task<> {
                                      const HttpHeaders headers;
                                      co_await exchange.respond(HttpStatus::kOk, headers,
                                                                "text/plain", "ready");
                                  })
                     .value();
    }

    Tcp::socket connect() {
        Tcp::socket socket(io);
        socket.connect(server->endpoint());
        io.run_for(std::chrono::milliseconds(20));
        return socket;
    }

    bool answers(Tcp::socket& socket) {
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), ec);
        io.run_for(std::chrono::milliseconds(20));
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "ready", ec);
        return !ec && answer.starts_with("HTTP/1.1 200");
    }

    asio::io_context io;
    std::unique_ptr<HttpServer> server;
};

}  // namespace

// Guards against a listener all of whose connections one peer holds.
TEST_CASE("A listener with all connections taken closes the oldest for a new one") {
    LimitedServer limited;
    std::deque<Tcp::socket> open;
    for (size_t i = 0; i < 3 * kConnections; ++i) {
        open.push_back(limited.connect());
    }
    CHECK(limited.answers(open.back()));
    CHECK(limited.answers(open.back()));
    CHECK_FALSE(limited.answers(open.front()));
}

// Guards against a list of connections that ends with the server although tasks still use it, or
// with a connection although the server does.
TEST_CASE("A server and its connections may end in either order") {
    LimitedServer limited;
    {
        Tcp::socket first = limited.connect();
        CHECK(limited.answers(first));
    }
    limited.io.run_for(std::chrono::milliseconds(20));
    Tcp::socket second = limited.connect();
    CHECK(limited.answers(second));
    limited.server.reset();
}
