// Takes callers' connections and serves the requests on them, one after the other.
//
// Owns the listening socket and the connections. There are at most as many as MachineShares says;
// beyond that ChooseConnectionToClose gives place to a new one. When a planned stop begins to
// refuse requests, the listening socket is closed, and each connection once it has waited for a
// request for some time. A request that has begun to arrive is refused as soon as its head is
// there. Relies on CallerConnection for reading and on RequestHandler for answering.
#pragma once

#include "include/request/CallerConnection.h"
#include "include/request/RequestContext.h"

#include <memory>
#include <optional>
#include <set>

namespace onyx {

// Not thread safe: one io_context.
class CallerServer {
public:
    // Preconditions: the context outlives the server.
    explicit CallerServer(RequestContext& context) : m_context(context), m_acceptor(context.io) {}

    // Listens and begins to serve. Errors: kUnavailable if the address cannot be bound.
    // Preconditions: called once.
    Result<bool> start();

    // Serves the requests that another box relays on a connection. Preconditions: none.
    void takeRelayed(Tcp::socket socket);

    // Takes no more connections, and refuses those requests that are still arriving. Closes the
    // connections that have waited for a request for long enough at `now`: one whose last answer
    // promised to keep it may bring another. Called again and again until all are closed.
    // Preconditions: start() succeeded; new requests are refused.
    void close(MonoTime now);

    // Ends the requests under way: their handlers tell the callers what became of them.
    // Preconditions: the box is in the phase kEnding.
    void endRequests();

    // Closes all connections at once. Answers under way are seen to be broken. Preconditions: none.
    void abort();

    // How many connections of callers, and of boxes that relay, are open. Preconditions: none.
    size_t connections() const { return m_callers.size() + m_boxes.size(); }

    // Where it listens. Preconditions: start() succeeded.
    Endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    void stopAccepting();
    void accept(Tcp::socket socket);
    bool makePlace();
    Task<> serveCaller(std::shared_ptr<CallerConnection> caller);
    Task<> serve(std::shared_ptr<CallerConnection> caller);
    Task<> serveBox(std::shared_ptr<CallerConnection> box);
    Task<std::optional<ReadRequest>> read(CallerConnection& caller);
    Task<> refuseUnread(CallerConnection& caller, ReadEnd end);
    Task<> refuseByHead(CallerConnection& caller, ReadRequest head, RefusalReason reason);
    Task<> answerBad(CallerConnection& caller, const ReadRequest& request);

    RequestContext& m_context;
    Tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerConnection>> m_callers;
    std::set<std::shared_ptr<CallerConnection>> m_boxes;  // Connections of boxes that relay.
    std::set<std::shared_ptr<CallerConnection>> m_idle;   // Wait for a request.
};

}  // namespace onyx
