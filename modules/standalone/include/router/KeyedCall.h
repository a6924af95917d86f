// Serves one request that may not be repeated at its entry box: asks the key's owner and passes on
// what it says. Only the owner says "not run"; whatever goes wrong on the way is "unknown".
#pragma once

#include "modules/standalone/include/router/KeyController.h"
#include "modules/standalone/include/router/PlacedCall.h"

namespace onyx {

// One request; not thread safe. Preconditions: the call passed the filters and has a key.
class KeyedCall {
public:
    static constexpr Millis kMostMovingWait = 1500;  // For a key that is on its way.

    KeyedCall(RouterContext& context, Dispatch& dispatch, KeyController& keys, CallContext& call);

    // Serves the request to its end. Preconditions: called once.
    Task<CallResult> serve();

private:
    Task<Refusal> askOwner();
    wire::RunRequestT makeRequest() const;
    Task<Refusal> awaitAnswer(RunChannel& channel);
    Millis left() const;

    RouterContext& m_context;
    Dispatch& m_dispatch;
    KeyController& m_keys;
    CallContext& m_call;
    CallResult m_result;
    bool m_answered = false;
};

}  // namespace onyx
