// Module net: sockets, HTTP and how a process starts and stops. It owns the connections of its
// clients and servers, and relies on base, config and observe.
//
// Short names for the parts of Boost.Asio and Beast that the processes use, and the one clock read.
#pragma once

#include "include/base/Result.h"
#include "include/base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace onyx {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Endpoint = Tcp::endpoint;
template <class T = void>
using Task = asio::awaitable<T>;

// Reads both clocks of this box; the monotonic one counts the time in which the machine is
// suspended. Timers do not: those of a suspended box run on when it is back.
// Thread safety: any thread.
Now ReadClocks();

// Parses "ip:port" (IPv4) or "[ip]:port" (IPv6). Names are not looked up.
// Errors: kBadInput, with the text as peer. Thread safety: any thread.
Result<Endpoint> ParseEndpoint(std::string_view text);

// What the system holds for a listening socket before the process takes it.
struct ListenQueue {
    int connections = asio::socket_base::max_listen_connections;  // That are not accepted yet.
    size_t receiveBuffer = 0;  // Bytes of each connection, also later; 0: the system's choice.
};

// Opens a listening socket on `endpoint` (port 0: chosen by the kernel); `step` names the caller in
// errors. Errors: kUnavailable. Thread safety: that of the context.
Result<Tcp::acceptor> Listen(asio::io_context& context, const Endpoint& endpoint,
                             std::string_view step, const ListenQueue& queue = {});

// Accepts connections until `acceptor` is closed, and hands each to `take`. After an error, such as
// no descriptor left, it waits a little. Preconditions: the acceptor outlives the task.
// Thread safety: the acceptor's executor.
Task<> AcceptAll(Tcp::acceptor& acceptor, std::function<void(Tcp::socket)> take);

// The endpoint as "ip:port". Thread safety: any thread.
std::string EndpointText(const Endpoint& endpoint);

// Waits. Preconditions: called in a coroutine. Thread safety: that coroutine's executor.
Task<> SleepFor(Millis wait);

// Runs `task` on its own; an exception that leaves it is logged as event 1002 and ends the task.
// Thread safety: any thread.
void Spawn(asio::any_io_executor executor, Task<> task);

}  // namespace onyx
