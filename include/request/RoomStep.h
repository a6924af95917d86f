// Asks once, when a request arrives, whether its service has room for it (RoomController).
#pragma once

#include "include/request/CallerRequest.h"
#include "include/request/RequestContext.h"
#include "include/request/StreamStep.h"

#include <optional>

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class RoomStep {
public:
    // Preconditions: all arguments outlive the step.
    RoomStep(RequestContext& context, CallerRequest& request, const StreamStep& stream)
        : m_context(context), m_request(request), m_stream(stream) {}

    // Returns why the request is refused; nothing if there is room. A request that another box
    // relays was asked about there, and one that takes up a stream has run already: neither is
    // refused. Preconditions: the request was admitted and not sent; called once.
    std::optional<Refusal> ask();

private:
    RequestContext& m_context;
    CallerRequest& m_request;
    const StreamStep& m_stream;
};

}  // namespace onyx
