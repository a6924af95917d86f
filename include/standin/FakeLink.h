// Stand-in for the network between two boxes: takes connections on one address, passes the bytes
// to another, and can be cut: then nothing passes in either direction and connections stay open.
// What a cut holds is delivered when it is mended, also if its sender has closed its connection
// meanwhile; if the sender has reset it, what is held is lost.
#pragma once

#include "include/net/Net.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Replaces `text` by `by` wherever `bytes` hold it. Preconditions: both are of one length, and not
// empty. Thread safety: any thread.
void ReplaceAll(std::span<char> bytes, std::string_view text, std::string_view by);

// What a link does with connections.
enum class LinkState : uint8_t {
    kOpen,
    kHangs,       // Nothing passes on open connections, and new ones do not come up.
    kResets,      // Open connections are reset and new ones refused.
    kRefusesNew,  // Open connections live on, new ones are refused.
};

// Not thread safe: one io_context.
class FakeLink {
public:
    // Preconditions: the context outlives the link.
    FakeLink(asio::io_context& io, const Endpoint& to) : m_io(io), m_to(to) {}

    // Listens on a port chosen by the kernel and starts. Errors: kUnavailable.
    Result<Endpoint> listen();
    // The same on `endpoint`. Errors: kUnavailable.
    Result<Endpoint> listenAt(const Endpoint& endpoint);

    // Lets nothing pass from now on, or everything again. Preconditions: none.
    void setCut(bool cut) { m_cut = cut; }

    // Lets nothing pass any more on the connections that are open, for good and without a word:
    // their ends learn nothing. New ones work. Only those whose last forwarded bytes hold `text`;
    // empty: all. Preconditions: none.
    void silence(std::string_view text = {});

    // Treats connections as `state` says from now on. Preconditions: listen() succeeded.
    void setState(LinkState state);

    // Passes at most so many bytes a millisecond in each direction of a connection from now on; 0:
    // any number. Preconditions: none.
    void setRate(size_t bytesPerMs) { m_bytesPerMs = bytesPerMs; }

    // Passes at most so many bytes at once from now on, so that the other end receives them in
    // pieces; 0: any number. Preconditions: none.
    void setPieces(size_t bytes) { m_pieceBytes = bytes; }

    // Replaces `text` by `by` in what it passes back from now on, where it comes in one piece.
    // Preconditions: both are of one length.
    void setReplacement(std::string text, std::string by);
    // The same in what it passes on. Preconditions: as above.
    void setForwardReplacement(std::string text, std::string by);

    // Leads new connections to `to` from now on. Preconditions: none.
    void setTarget(const Endpoint& to) { m_to = to; }

    // Bytes that a cut holds now, and that were lost since their sender reset its connection.
    // Preconditions: none.
    size_t heldBytes() const { return m_held; }
    size_t lostBytes() const { return m_lost; }

private:
    Result<bool> bind(const Endpoint& endpoint);
    void startListening(int backlog);
    Task<> accept();
    void fillBacklog();
    void resetConnections();
    Task<> serve(Tcp::socket from);
    struct Replacement {
        std::string text;  // Empty: nothing is replaced.
        std::string by;
    };
    // What was passed on over a connection last, and whether it is silent.
    struct Traffic {
        std::string forwarded;
        bool isSilent = false;
    };
    Task<> pump(std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to,
                std::shared_ptr<Traffic> traffic, bool isForward);
    Task<bool> hold(Tcp::socket& from, size_t bytes);

    asio::io_context& m_io;
    Endpoint m_to;
    Tcp::acceptor m_acceptor{m_io};
    Endpoint m_endpoint;
    LinkState m_state = LinkState::kOpen;
    std::vector<std::weak_ptr<Tcp::socket>> m_sockets;  // Of both sides of all connections.
    std::vector<std::weak_ptr<Traffic>> m_traffic;      // Of all connections.
    std::vector<Tcp::socket> m_fillers;                 // Connections that nobody accepts.
    bool m_cut = false;
    size_t m_bytesPerMs = 0;
    size_t m_pieceBytes = 0;
    Replacement m_forward;
    Replacement m_back;
    size_t m_held = 0;
    size_t m_lost = 0;
};

}  // namespace onyx
