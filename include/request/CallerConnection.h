// One connection of a caller: requests are read from it one after the other, strictly framed, and
// its end is noticed while a request is being answered.
//
// Owns the socket and what was read ahead. Relies on Beast for parsing.
#pragma once

#include "include/net/Net.h"
#include "include/routing/Catalog.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace onyx {

using CallerMessage = boost::beast::http::request<boost::beast::http::string_body>;

// Who sends the requests of a connection.
enum class RequestOrigin : uint8_t {
    kCaller,
    kBox,  // Another box relays requests of its callers.
};

// How reading a request ended.
enum class ReadEnd : uint8_t {
    kRequest,   // One whole request.
    kClosed,    // The caller closed, or was idle for too long, between requests.
    kBad,       // What came is no request; see `problem`.
    kTooLarge,  // A bound was passed.
    kSlow,      // The request did not come in time.
};

// One request, or why there is none.
struct ReadRequest {
    ReadEnd end = ReadEnd::kClosed;
    CallerMessage message;
    std::string problem;
    MonoTime arrived;  // When its last byte was read.
};

// Not thread safe: one io_context. Held by shared_ptr, since reads outlive the caller's task.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    // Preconditions: none.
    explicit CallerConnection(Tcp::socket socket, RequestOrigin origin = RequestOrigin::kCaller);

    // Whether another box relays the requests of this connection. Preconditions: none.
    bool isFromBox() const { return m_origin == RequestOrigin::kBox; }

    // Reads the next request. Preconditions: the one before is answered.
    Task<ReadRequest> read(const CallerLimits& limits);

    // Sends bytes; false if the caller is gone. Preconditions: no other write is pending.
    Task<bool> write(std::string bytes);

    // Watches for the caller's end until the next read(); `onGone` is called at most once.
    // Preconditions: a request was read.
    void watch(std::function<void()> onGone);

    // Stops calling the watcher. Preconditions: none.
    void unwatch() { m_onGone = nullptr; }

    // Closes at once. An answer under way is seen to be broken. Preconditions: none.
    void abort();

    // Ends the connection after an answer, giving the caller time to read it. Preconditions: none.
    Task<> linger();

    // Ends a pending wait for the next request's first byte. Preconditions: none.
    void stopWaiting();

    // Whether the caller has closed or reset the connection. Preconditions: none.
    bool gone() const { return m_gone; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void startRead();
    Task<bool> readMore(MonoTime until);
    Task<bool> waitForFirstByte(const CallerLimits& limits);
    bool parse(Parser& parser, ReadRequest& result);
    static void takeMessage(CallerMessage message, ReadRequest& result);
    bool hasFoldedHeader() const;

    Tcp::socket m_socket;
    RequestOrigin m_origin;
    boost::beast::flat_buffer m_buffer;
    asio::steady_timer m_readDone;  // Cancelled when a pending read ends.
    bool m_reading = false;
    bool m_gone = false;
    bool m_waitStopped = false;
    std::function<void()> m_onGone;
};

}  // namespace onyx
