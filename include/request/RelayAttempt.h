// One try to have a request handled by another box: opens a connection to it, sends the request as
// its caller did, and passes the answer on. The other box places the request, retries it and counts
// it; this box only passes bytes.
//
// A request that was sent to another box is sent nowhere else, so that it runs at most as often as
// at one box.
#pragma once

#include "include/request/Attempt.h"

#include <memory>
#include <optional>
#include <string>

namespace onyx {

// Not thread safe: one io_context, one task.
class RelayAttempt {
public:
    // Preconditions: all arguments but `box` outlive the attempt.
    RelayAttempt(RequestContext& context, CallerConnection& caller, AnswerRelay& relay,
                 const AttemptRequest& request, std::string box);

    // Relays the request. Preconditions: called once.
    Task<RelayReport> run();

private:
    Task<RelayReport> exchange();
    Task<RelayReport> readAnswer();
    std::string requestHead() const;
    MonoTime deadline() const;

    RequestContext& m_context;
    CallerConnection& m_caller;
    AnswerRelay& m_relay;
    const AttemptRequest& m_request;
    std::string m_box;
    std::shared_ptr<UpstreamExchange> m_exchange;
};

}  // namespace onyx
