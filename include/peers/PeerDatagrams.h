// The datagrams that boxes send each other, one frame in each, on the port of their links: for
// messages that need no link and whose loss the next one makes up for.
//
// Owns the socket. StreamController and RoomController set the handlers of their messages.
#pragma once

#include "include/net/Net.h"
#include "include/observe/Metrics.h"
#include "include/peers/OutgoingFrame.h"
#include "include/wire/FrameCodec.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <span>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class PeerDatagrams {
public:
    // Longest datagram that is received, in bytes; a longer one cannot be decoded.
    static constexpr size_t kMaxSize = 2048;

    // Preconditions: both arguments outlive the datagrams.
    PeerDatagrams(asio::io_context& io, Metrics& metrics);

    // Sets what handles messages of a type, such as wire::StreamOriginsT. `from`: the address of
    // the sender. Datagrams of other types are passed over. Preconditions: start() was not called.
    template <class Message>
    void setHandler(std::function<void(const std::string& from, const Message& message)> handler) {
        const wire::Body type = wire::BodyUnionTraits<Message>::enum_value;
        m_handlers[type] = [handler = std::move(handler)](const std::string& from,
                                                          const wire::BodyUnion& body) {
            handler(from, *static_cast<const Message*>(body.value));
        };
    }

    // Opens the socket on the address of this box's links. Errors: kUnavailable.
    // Preconditions: called once.
    Result<bool> start(const Endpoint& address);

    // Sends a frame to a box. One that cannot be sent is lost like any other.
    // Preconditions: start() succeeded.
    void send(const std::string& box, const std::string& frame);
    // Sends frames to the boxes that they name. Preconditions: as above.
    void sendAll(std::span<const OutgoingFrame> frames);

private:
    using Udp = asio::ip::udp;
    using Handler = std::function<void(const std::string& from, const wire::BodyUnion& body)>;

    Task<> receive();
    void handle(const Udp::endpoint& from, std::span<const char> datagram);

    asio::io_context& m_io;
    Metrics& m_metrics;
    Udp::socket m_socket;
    std::map<wire::Body, Handler> m_handlers;
};

}  // namespace onyx
