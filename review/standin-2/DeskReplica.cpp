#include "DeskReplica.h"

#include <fmt/format.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace onyx::review {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// An address of its own in 127.2.0.0/16.
asio::ip::address_v4 NextAddress() {
    static uint32_t next = 0x7F020000;
    return asio::ip::address_v4(++next);
}

}  // namespace

DeskReplica::DeskReplica(asio::io_context& io, Tcp::acceptor acceptor, std::string id,
                         std::string service, std::string zone, uint64_t seed)
    : m_io(io),
      m_acceptor(std::move(acceptor)),
      m_endpoint(m_acceptor.local_endpoint()),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_random(static_cast<std::minstd_rand::result_type>(seed)) {}

Result<std::unique_ptr<DeskReplica>> DeskReplica::Make(asio::io_context& io, std::string id,
                                                       std::string service, std::string zone,
                                                       uint64_t seed) {
    auto acceptor = Listen(io, Endpoint(NextAddress(), 0), "replica.listen");
    if (acceptor.has_error()) {
        return acceptor.error();
    }
    std::unique_ptr<DeskReplica> replica(new DeskReplica(
        io, std::move(acceptor.value()), std::move(id), std::move(service), std::move(zone), seed));
    const auto take = [raw = replica.get()](Tcp::socket socket) {
        Spawn(raw->m_io.get_executor(), raw->serve(std::move(socket)));
    };
    Spawn(io.get_executor(), AcceptAll(replica->m_acceptor, take));
    return replica;
}

nlohmann::json DeskReplica::object(const std::string& state) const {
    return {{"service", m_service},   {"address", EndpointText(m_endpoint)},
            {"zone", m_zone},         {"config_version", "v1"},
            {"slots", m_slots},       {"state", state},
            {"cold_remaining_ms", 0}, {"sequence", 1}};
}

std::string DeskReplica::head(unsigned status, const std::string& requestId,
                              const std::string& more, size_t length) const {
    return fmt::format("HTTP/1.1 {} Status\r\nRequest-Id: {}\r\n{}Content-Length: {}\r\n\r\n",
                       status, requestId, more, length);
}

// Runs the request, or says that it did not.
Task<std::string> DeskReplica::answer(std::string requestId, std::string meant) {
    if (meant != m_id) {
        co_return head(421, requestId, "Not-Executed: 1\r\n", 0);
    }
    if (m_working >= m_slots && m_waiting >= m_places) {
        ++m_declined;
        co_return head(503, requestId, "Not-Executed: 1\r\n", 0);
    }
    ++m_waiting;
    while (m_working >= m_slots) {
        co_await SleepFor(1);
    }
    --m_waiting;
    ++m_working;
    m_runs.push_back({ReadClocks().mono, requestId});
    co_await SleepFor(m_work / 2 +
                      static_cast<Millis>(m_random() % static_cast<uint64_t>(m_work + 1)));
    --m_working;
    const std::string body(800, 'b');
    co_return head(200, requestId,
                   fmt::format("Upstream-Signature: {}.{}\r\n", m_id, m_runs.size()), body.size()) +
        body;
}

Task<> DeskReplica::serve(Tcp::socket socket) {
    error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    beast::flat_buffer buffer;
    std::string surplus;
    while (true) {
        http::request_parser<http::string_body> parser;
        co_await http::async_read(socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        if (!surplus.empty()) {
            ++m_surplusSent;
            co_await asio::async_write(socket, asio::buffer(surplus),
                                       asio::redirect_error(asio::use_awaitable, ec));
            surplus.clear();
        }
        std::string requestId(parser.get()["Request-Id"]);
        std::string meant(parser.get()["Expected-Instance"]);
        const std::string text = co_await answer(std::move(requestId), std::move(meant));
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        const bool doubled = std::uniform_real_distribution<double>(0, 1)(m_random) < m_surplus;
        surplus = doubled ? text : std::string();
    }
}

}  // namespace onyx::review
