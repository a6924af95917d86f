#include "include/net/Net.h"

#include "include/net/SystemClock.h"
#include "include/observe/Events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <chrono>

namespace onyx {

namespace {

// In milliseconds, after an accept that failed: no descriptor is left, and one may soon be. A
// choice.
constexpr Millis kAcceptPause = 10;

}  // namespace

Now ReadClocks() {
    return {{ReadSystemClock(CLOCK_BOOTTIME)}, {ReadSystemClock(CLOCK_REALTIME)}};
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
    const auto fail = [&](const char* why) {
        return Error{ErrorCode::kBadInput, "address", std::string(text), why};
    };
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail("expected ip:port");
    }
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return fail("expected a port from 0 to 65535");
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(ip, ec);
    if (ec) {
        return fail("expected an IP number");
    }
    return Endpoint(address, port);
}

Result<Tcp::acceptor> Listen(asio::io_context& context, const Endpoint& endpoint,
                             std::string_view step, const ListenQueue& queue) {
    boost::system::error_code ec;
    Tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec && queue.receiveBuffer > 0) {
        // Accepted connections inherit it.
        const auto size = static_cast<int>(queue.receiveBuffer);
        acceptor.set_option(asio::socket_base::receive_buffer_size(size), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(queue.connections, ec);
    }
    if (ec) {
        return Error{ErrorCode::kUnavailable, std::string(step), EndpointText(endpoint),
                     ec.message()};
    }
    return acceptor;
}

Task<> AcceptAll(Tcp::acceptor& acceptor, std::function<void(Tcp::socket)> take) {
    while (acceptor.is_open()) {
        boost::system::error_code ec;
        Tcp::socket socket =
            co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_await SleepFor(kAcceptPause);
            continue;
        }
        take(std::move(socket));
    }
}

std::string EndpointText(const Endpoint& endpoint) {
    const std::string ip = endpoint.address().to_string();
    const std::string host = endpoint.address().is_v6() ? "[" + ip + "]" : ip;
    return host + ":" + std::to_string(endpoint.port());
}

Task<> SleepFor(Millis wait) {
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(wait));
    co_await timer.async_wait(asio::use_awaitable);
}

void Spawn(asio::any_io_executor executor, Task<> task) {
    asio::co_spawn(executor, std::move(task), [](const std::exception_ptr& failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& e) {
            logEvent(Event::kTaskFailed, {{"what", e.what()}});
        }
    });
}

}  // namespace onyx
