// One TCP connection that carries frames. Owns its socket; others talk to it by messages.
#pragma once

#include "include/net/Net.h"
#include "include/wire/FrameCodec.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace onyx {

// A greeted link. Not thread safe: one io_context. Lives until closed; hold it by shared_ptr.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
public:
    // Bytes that wait for a peer; one that does not read for so long is dropped.
    static constexpr size_t kMaxQueuedBytes = size_t{64} * 1024 * 1024;
    // Milliseconds for the peer's greeting.
    static constexpr Millis kGreetingTimeout = 3000;

    using OnFrame = std::function<void(FrameLink&, wire::BodyUnion&)>;
    using OnClosed = std::function<void(FrameLink&)>;

    // Connects to `peer` and exchanges greetings. `timeout`: milliseconds for each of the two.
    // Errors: kUnavailable, kTimeout, kProtocol.
    // Preconditions: called in a coroutine of the link's io_context.
    static Task<Result<std::shared_ptr<FrameLink>>> Connect(Endpoint peer, wire::HelloT hello,
                                                            Millis timeout = kGreetingTimeout);

    // Takes an accepted socket and exchanges greetings. Errors as for Connect.
    static Task<Result<std::shared_ptr<FrameLink>>> Accept(Tcp::socket socket, wire::HelloT hello,
                                                           Millis timeout = kGreetingTimeout);

    // Hands over the socket of a greeted connection that carries no frames from now on.
    // Preconditions: start() was not called; the link is not used afterwards.
    Tcp::socket releaseSocket() { return std::move(m_socket); }

    // Starts to read: `onFrame` for each message, `onClosed` once. A broken frame closes the link
    // with event 1102; a message of a kind that this version does not know is handed on
    // (IsKnownMessage). Preconditions: called once.
    void start(OnFrame onFrame, OnClosed onClosed);

    // Queues a message. One that is sent to a closed link is dropped. Preconditions: none.
    template <class Message>
    void send(Message message) {
        sendEncoded(EncodeMessage(std::move(message)));
    }

    // Queues an encoded frame. Preconditions: it comes from EncodeFrame.
    void sendEncoded(std::string frame);

    // Closes the link. Preconditions: none.
    void close();

    // What the peer said of itself. Preconditions: none.
    const wire::HelloT& peer() const { return m_peer; }
    // Whether the link still carries messages. Preconditions: none.
    bool open() const { return m_open; }
    // Bytes sent so far, frames' lengths included. Preconditions: none.
    uint64_t bytesSent() const { return m_bytesSent; }
    // Bytes received so far. Preconditions: none.
    uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    explicit FrameLink(Tcp::socket socket);
    Task<Result<bool>> greet(wire::HelloT hello);
    Task<Result<wire::BodyUnion>> readFrame();
    Task<> readLoop(std::shared_ptr<FrameLink> self);
    Task<> writeLoop(std::shared_ptr<FrameLink> self);

    Tcp::socket m_socket;
    asio::steady_timer m_wake;  // Cancelled when there is something to write.
    std::string m_address;
    wire::HelloT m_peer;
    std::deque<std::string> m_queue;
    size_t m_queuedBytes = 0;
    OnFrame m_onFrame;
    OnClosed m_onClosed;
    bool m_open = true;
    uint64_t m_bytesSent = 0;
    uint64_t m_bytesReceived = 0;
};

}  // namespace onyx
