// One connection of a caller: requests are read from it one after the other, strictly framed, and
// its end is noticed while a request is being answered.
//
// Owns the socket and what was read ahead. Relies on RequestParser for parsing.
#pragma once

#include "include/admission/ConnectionEviction.h"
#include "include/net/Net.h"
#include "include/request/RequestParser.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace onyx {

// Who sends the requests of a connection.
enum class RequestOrigin : uint8_t {
    kCaller,
    kBox,  // Another box relays requests of its callers.
};

// Not thread safe: one io_context. Held by shared_ptr, since reads outlive the caller's task.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    // Preconditions: `memory` is not null.
    CallerConnection(Tcp::socket socket, std::shared_ptr<RequestMemory> memory,
                     RequestOrigin origin = RequestOrigin::kCaller);

    // Whether another box relays the requests of this connection. Preconditions: none.
    bool isFromBox() const { return m_origin == RequestOrigin::kBox; }

    // Reads the next request. kLarge: readOn() reads the rest.
    // Preconditions: the one before is answered.
    Task<ReadEnd> read(CallerLimits limits);

    // Reads on after kLarge. Preconditions: read() or this returned kLarge.
    Task<ReadEnd> readOn();

    // Lets more of a large body arrive at once, until the next request.
    // Preconditions: read() returned kLarge.
    void widenReceiveBuffer();

    // Returns the request, or why there is none. Preconditions: reading has ended with `end`;
    // called once.
    ReadRequest takeRequest(ReadEnd end);

    // Returns the request without its body; nothing if its head was not read.
    // Preconditions: read() has ended, and takeRequest() was not called since.
    std::optional<ReadRequest> headOnly() const;

    // What it is doing. Preconditions: none.
    const CallerActivity& activity() const { return m_activity; }

    // Sends bytes; false if the caller is gone. Preconditions: no other write is pending.
    Task<bool> write(std::string bytes);

    // Watches for the caller's end until the next read(); `onGone` is called at most once.
    // Preconditions: a request was read.
    void watch(std::function<void()> onGone);

    // Ends the request under way as if the caller had left: the watcher is called. The caller can
    // still be answered. Preconditions: a request was read.
    void endRequest();

    // Stops calling the watcher. Preconditions: none.
    void unwatch() { m_onGone = nullptr; }

    // Closes at once. An answer under way is seen to be broken. Preconditions: none.
    void abort();

    // Ends the connection after an answer, giving the caller time to read it. Preconditions: none.
    Task<> linger();

    // Ends a pending read, and those of this connection's next request, unless bytes of a request
    // have arrived and its head is not complete: that is read first. Preconditions: none.
    void stopWaiting();

    // Whether bytes of a request have arrived that is not read yet, or only in part.
    // Preconditions: none.
    bool hasBegun() const { return m_parser.has_value() || m_buffer.size() > 0; }

    // Whether the caller has closed or reset the connection, or endRequest() was called: the end of
    // an attempt says nothing of its upstream then. Preconditions: none.
    bool gone() const { return m_gone || m_requestEnded; }
    // Whether the caller has closed or reset the connection. Preconditions: none.
    bool hasLeft() const { return m_gone; }

private:
    void startRead();
    bool isWaitOver() const;
    void callWatcher();
    Task<bool> readMore(MonoTime until);
    Task<bool> waitForFirstByte(const CallerLimits& limits);
    ReadEnd endWithoutBytes() const;
    bool growBuffer();
    void trimBuffer();
    void dropBuffer();
    void resetReceiveBuffer();
    std::function<void()> evictHandler();
    void evict();
    void enter(CallerPhase phase);

    Tcp::socket m_socket;
    std::shared_ptr<RequestMemory> m_memory;
    RequestOrigin m_origin;
    CallerActivity m_activity;
    std::string m_arrived;  // Of one read; a pending read leaves m_buffer free to be dropped.
    boost::beast::flat_buffer m_buffer;
    MemoryShare m_bufferShare;              // For m_buffer, once it is larger than one read.
    size_t m_bufferHeld = 0;                // Of that share, in bytes.
    std::optional<RequestParser> m_parser;  // Of the request that is being read.
    size_t m_maxUnparsed = 0;               // Bytes of it.
    MonoTime m_headUntil;                   // By when its head has to be there,
    MonoTime m_bodyUntil;                   // and its body.
    size_t m_usualReceive = 0;              // Receive buffer before it was widened, 0: it was not.
    bool m_evicted = false;
    bool m_isTaking = false;        // Memory for the request.
    asio::steady_timer m_readDone;  // Cancelled when a pending read ends.
    bool m_reading = false;
    bool m_gone = false;
    bool m_waitStopped = false;
    bool m_requestEnded = false;
    std::function<void()> m_onGone;
};

}  // namespace onyx
