#include "include/request/CallerServer.h"

#include "include/base/HttpStatus.h"
#include "include/request/HttpText.h"
#include "include/request/RequestHandler.h"

#include <iterator>
#include <utility>
#include <vector>

namespace onyx {

namespace {

// For the next request on a connection that is to be closed, in milliseconds.
constexpr Millis kNextRequestTime = 500;

unsigned StatusOf(ReadEnd end) {
    switch (end) {
        case ReadEnd::kTooLarge:
            return HttpStatus::kPayloadTooLarge;
        case ReadEnd::kSlow:
            return HttpStatus::kRequestTimeout;
        default:
            return HttpStatus::kBadRequest;
    }
}

}  // namespace

Result<bool> CallerServer::start() {
    const ListenQueue queue{static_cast<int>(MachineShares::kAcceptQueue),
                            m_context.shares.receiveBuffer};
    BOOST_OUTCOME_TRY(m_acceptor,
                      Listen(m_context.io, m_context.settings.callers, "gateway.listen", queue));
    const auto take = [this](Tcp::socket socket) { accept(std::move(socket)); };
    Spawn(m_context.io.get_executor(), AcceptAll(m_acceptor, take));
    return true;
}

void CallerServer::accept(Tcp::socket socket) {
    if (m_callers.size() >= m_context.shares.callerConnections && !makePlace()) {
        m_context.log.callerTurnedAway();
        return;
    }
    auto caller = std::make_shared<CallerConnection>(std::move(socket), m_context.requestMemory);
    m_callers.insert(caller);
    Spawn(m_context.io.get_executor(), serveCaller(std::move(caller)));
}

// Closes a connection for a new one; false if none may be closed.
bool CallerServer::makePlace() {
    std::vector<CallerActivity> activities;
    activities.reserve(m_callers.size());
    for (const auto& caller : m_callers) {
        activities.push_back(caller->activity());
    }
    const auto chosen = ChooseConnectionToClose(activities, ReadClocks().mono);
    if (!chosen) {
        return false;
    }
    const auto victim = std::next(m_callers.begin(), static_cast<std::ptrdiff_t>(*chosen));
    m_context.log.callerEvicted((*victim)->activity());
    (*victim)->abort();
    m_callers.erase(victim);
    return true;
}

Task<> CallerServer::serveCaller(std::shared_ptr<CallerConnection> caller) {
    std::shared_ptr<CallerConnection> served = caller;
    co_await serve(std::move(served));
    m_callers.erase(caller);
}

void CallerServer::takeRelayed(Tcp::socket socket) {
    auto box = std::make_shared<CallerConnection>(std::move(socket), m_context.requestMemory,
                                                  RequestOrigin::kBox);
    Spawn(m_context.io.get_executor(), serveBox(std::move(box)));
}

Task<> CallerServer::serveBox(std::shared_ptr<CallerConnection> box) {
    m_context.relays.recordTakenStart();
    m_boxes.insert(box);
    std::shared_ptr<CallerConnection> served = box;
    co_await serve(std::move(served));
    m_boxes.erase(box);
    m_context.relays.recordTakenEnd();
}

// Connections that wait to be accepted would be reset, with the requests on them unread.
void CallerServer::stopAccepting() {
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec && m_acceptor.is_open()) {
        Tcp::socket socket(m_context.io);
        m_acceptor.accept(socket, ec);
        if (!ec) {
            accept(std::move(socket));
        }
    }
    m_acceptor.close(ec);
}

void CallerServer::close(MonoTime now) {
    stopAccepting();
    const std::set<std::shared_ptr<CallerConnection>> reading = m_idle;
    for (const auto& caller : reading) {
        if (caller->hasBegun() || now - caller->activity().since >= kNextRequestTime) {
            caller->stopWaiting();
        }
    }
}

void CallerServer::endRequests() {
    for (const auto* connections : {&m_callers, &m_boxes}) {
        for (const auto& connection : *connections) {
            if (!m_idle.contains(connection)) {
                connection->endRequest();
            }
        }
    }
}

void CallerServer::abort() {
    for (const auto* connections : {&m_callers, &m_boxes}) {
        for (const auto& connection : *connections) {
            connection->abort();
        }
    }
}

Task<> CallerServer::serve(std::shared_ptr<CallerConnection> caller) {
    while (true) {
        std::optional<ReadRequest> request = co_await read(*caller);
        if (!request) {
            co_return;
        }
        RequestHandler handler(m_context, *caller, std::move(*request));
        const AfterAnswer after = co_await handler.run();
        if (after == AfterAnswer::kAborted) {
            caller->abort();
            co_return;
        }
        if (after == AfterAnswer::kClose) {
            co_await caller->linger();
            co_return;
        }
    }
}

// Reads the next request; nothing if there is none, and the connection has ended. A large one is
// read on only if its head lets it be served.
Task<std::optional<ReadRequest>> CallerServer::read(CallerConnection& caller) {
    const auto& catalog = m_context.configuration.catalog();
    const CallerLimits limits = catalog ? catalog->limits() : CallerLimits();
    m_idle.insert(caller.shared_from_this());
    ReadEnd end = co_await caller.read(limits);
    if (end == ReadEnd::kLarge) {
        RequestHandler handler(m_context, caller, *caller.headOnly());
        if (co_await handler.refuseByHead()) {
            m_idle.erase(caller.shared_from_this());
            co_await caller.linger();
            co_return std::nullopt;
        }
        caller.widenReceiveBuffer();
        end = co_await caller.readOn();
    }
    m_idle.erase(caller.shared_from_this());
    if (end != ReadEnd::kRequest) {
        co_await refuseUnread(caller, end);
        co_return std::nullopt;
    }
    co_return caller.takeRequest(end);
}

Task<> CallerServer::refuseUnread(CallerConnection& caller, ReadEnd end) {
    const bool isOurs = end == ReadEnd::kNoMemory || (end == ReadEnd::kClosed && !caller.gone());
    if (std::optional<ReadRequest> head = isOurs ? caller.headOnly() : std::nullopt) {
        const RefusalReason reason =
            end == ReadEnd::kNoMemory ? RefusalReason::kNoMemory : RefusalReason::kDraining;
        co_await refuseByHead(caller, std::move(*head), reason);
        co_return;
    }
    end = isOurs ? ReadEnd::kClosed : end;
    if (end == ReadEnd::kClosed) {
        caller.abort();
        co_return;
    }
    const ReadRequest request = caller.takeRequest(end);
    co_await answerBad(caller, request);
}

Task<> CallerServer::refuseByHead(CallerConnection& caller, ReadRequest head,
                                  RefusalReason reason) {
    RequestHandler handler(m_context, caller, std::move(head));
    co_await handler.refuse(reason);
    co_await caller.linger();
}

Task<> CallerServer::answerBad(CallerConnection& caller, const ReadRequest& request) {
    const unsigned status = StatusOf(request.end);
    m_context.log.badRequest(status, request.problem);
    const HttpFields fields;
    std::string text = RefusalText(status, request.problem, fields, true);
    co_await caller.write(std::move(text));
    co_await caller.linger();
}

}  // namespace onyx
