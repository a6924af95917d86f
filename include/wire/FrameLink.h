// One TCP connection that carries frames. Owns its socket; others talk to it by messages.
#pragma once

#include "include/net/Net.h"
#include "include/wire/FrameCodec.h"
#include "include/wire/FrameMemory.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace onyx {

// A greeted link. Not thread safe: one io_context. Lives until closed; hold it by shared_ptr.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
public:
    // Bytes that wait for a peer; one that does not read for so long is dropped.
    static constexpr size_t kMaxQueuedBytes = size_t{64} * 1024 * 1024;
    // Longest greeting, in bytes: anything may connect, and send a first frame.
    static constexpr size_t kMaxGreetingBytes = size_t{4} * 1024;
    // A frame takes memory as it arrives, in parts of at least this many bytes; the first part is
    // the link's own and not counted.
    static constexpr size_t kFramePart = size_t{64} * 1024;
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
    // (IsKnownMessage). `memory`: what frames larger than kFramePart take while they are read, and
    // what is queued beyond that; a link that gets none is closed. Null: nothing is counted.
    // Preconditions: called once.
    void start(OnFrame onFrame, OnClosed onClosed, std::shared_ptr<FrameMemory> memory = nullptr);

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
    Task<Result<wire::BodyUnion>> readFrame(size_t maxSize);
    Task<Result<std::string>> readContent(size_t size);
    Task<> readLoop(std::shared_ptr<FrameLink> self);
    Task<> writeLoop(std::shared_ptr<FrameLink> self);

    Tcp::socket m_socket;
    asio::steady_timer m_wake;  // Cancelled when there is something to write.
    std::string m_address;
    wire::HelloT m_peer;
    std::deque<std::string> m_queue;
    size_t m_queuedBytes = 0;
    std::optional<FrameShare> m_unsent;  // Of what is queued; once it has started.
    std::shared_ptr<FrameMemory> m_memory;
    OnFrame m_onFrame;
    OnClosed m_onClosed;
    bool m_open = true;
    uint64_t m_bytesSent = 0;
    uint64_t m_bytesReceived = 0;
};

}  // namespace onyx
