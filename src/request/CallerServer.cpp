#include "include/request/CallerServer.h"

#include "include/base/HttpStatus.h"
#include "include/request/HttpText.h"
#include "include/request/RequestHandler.h"

namespace onyx {

namespace {

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
    BOOST_OUTCOME_TRY(m_acceptor,
                      Listen(m_context.io, m_context.settings.callers, "gateway.listen"));
    const auto executor = m_context.io.get_executor();
    const auto take = [this, executor](Tcp::socket socket) {
        Spawn(executor, serve(std::make_shared<CallerConnection>(std::move(socket))));
    };
    Spawn(executor, AcceptAll(m_acceptor, take));
    return true;
}

void CallerServer::takeRelayed(Tcp::socket socket) {
    auto box = std::make_shared<CallerConnection>(std::move(socket), RequestOrigin::kBox);
    Spawn(m_context.io.get_executor(), serveBox(std::move(box)));
}

Task<> CallerServer::serveBox(std::shared_ptr<CallerConnection> box) {
    m_context.relays.recordTakenStart();
    co_await serve(std::move(box));
    m_context.relays.recordTakenEnd();
}

void CallerServer::close() {
    boost::system::error_code ec;
    m_acceptor.close(ec);
    const std::set<std::shared_ptr<CallerConnection>> idle = m_idle;
    for (const auto& caller : idle) {
        caller->stopWaiting();
    }
}

Task<> CallerServer::serve(std::shared_ptr<CallerConnection> caller) {
    while (true) {
        const auto& catalog = m_context.configuration.catalog();
        const CallerLimits limits = catalog ? catalog->limits() : CallerLimits();
        m_idle.insert(caller);
        ReadRequest request = co_await caller->read(limits);
        m_idle.erase(caller);
        if (request.end == ReadEnd::kClosed) {
            caller->abort();
            co_return;
        }
        if (request.end != ReadEnd::kRequest) {
            co_await answerBad(*caller, request);
            co_return;
        }
        RequestHandler handler(m_context, *caller, std::move(request));
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

Task<> CallerServer::answerBad(CallerConnection& caller, const ReadRequest& request) {
    const unsigned status = StatusOf(request.end);
    m_context.log.badRequest(status, request.problem);
    const HttpFields fields;
    std::string text = RefusalText(status, request.problem, fields, true);
    co_await caller.write(std::move(text));
    co_await caller.linger();
}

}  // namespace onyx
