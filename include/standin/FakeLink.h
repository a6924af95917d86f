// Stand-in for the network between two boxes: takes connections on one address, passes the bytes
// to another, and can be cut: then nothing passes in either direction and connections stay open.
// POST /control on its HTTP address with {"cut": true} or {"cut": false}.
#pragma once

#include "include/net/HttpServer.h"

namespace onyx {

// Not thread safe: one io_context.
class FakeLink {
public:
    // Preconditions: the context outlives the link.
    FakeLink(asio::io_context& io, const Endpoint& to) : m_io(io), m_to(to) {}

    // Listens on a port chosen by the kernel and starts. Errors: kUnavailable.
    Result<Endpoint> listen();

    // Lets nothing pass from now on, or everything again. Preconditions: none.
    void setCut(bool cut) { m_cut = cut; }

    // Serves a control request. Preconditions: called in a coroutine of the context.
    Task<> handle(HttpExchange& exchange);

private:
    Task<> accept(Tcp::acceptor acceptor);
    Task<> serve(Tcp::socket from);
    Task<> pump(std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to);

    asio::io_context& m_io;
    Endpoint m_to;
    bool m_cut = false;
};

}  // namespace onyx
