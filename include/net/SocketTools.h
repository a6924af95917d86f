// Options of TCP sockets that Asio has no names for, and a look at one without reading from it.
#pragma once

#include "include/net/Net.h"

#include <cstddef>
#include <optional>

namespace onyx {

// Ends the connection when bytes stay unacknowledged for `timeout`. Errors: the system's, then the
// connection is without it. Preconditions: the socket is open; timeout > 0. Thread safety: one task
// at a time.
boost::system::error_code SetUserTimeout(Tcp::socket& socket, Millis timeout);

// Sends keep-alive probes: the first after `idle` of silence, and ends the connection when `count`
// of them, at the same distance, were not answered. What was written before may still be delivered
// then: not for connections on which a request may be under way to the peer. Errors, preconditions
// and thread safety as above; idle in whole seconds, at least 1000.
boost::system::error_code StartKeepAlive(Tcp::socket& socket, Millis idle, int count);

// Sends no more keep-alive probes. Errors, preconditions and thread safety as above.
boost::system::error_code StopKeepAlive(Tcp::socket& socket);

// Makes the next close reset the connection, or not: with a reset, bytes that are still on their
// way are lost, and the peer sees at once that nobody waits. Errors, preconditions and thread
// safety as above.
boost::system::error_code SetResetOnClose(Tcp::socket& socket, bool reset = true);

// The bytes that may arrive on a connection before they are read; 0 if the system does not say.
// Thread safety as above.
size_t ReceiveBufferSize(Tcp::socket& socket);

// Sets them, and with them how much the peer may send at once. Errors, preconditions and thread
// safety as above.
boost::system::error_code SetReceiveBufferSize(Tcp::socket& socket, size_t bytes);

// Bytes that were written and that the peer's system has not acknowledged yet, unsent ones
// included; nothing if this system does not say, or the socket is closed. Thread safety as above.
std::optional<size_t> UnacknowledgedBytes(Tcp::socket& socket);

// What a look at a socket finds.
enum class SocketPeek : uint8_t {
    kQuiet,     // Nothing came.
    kReadable,  // Bytes wait to be read.
    kEnded,     // The peer closed the connection, or the socket is closed.
    kReset,     // The peer reset the connection. Told once; after that it has ended.
};

// Looks without reading and without waiting. Thread safety: one task at a time.
SocketPeek PeekSocket(Tcp::socket& socket);

}  // namespace onyx
