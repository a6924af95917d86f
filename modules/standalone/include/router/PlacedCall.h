// Serves one repeatable request (a chat, or a call of a plain service) at its entry box: finds an
// engine through its home, relays the answer, and resumes elsewhere when a stream breaks, so that
// the caller sees each token once or an error.
#pragma once

#include "modules/standalone/include/admission/RetryBudget.h"
#include "modules/standalone/include/placement/EntryPlacement.h"
#include "modules/standalone/include/router/CallContext.h"
#include "modules/standalone/include/router/PeerController.h"
#include "modules/standalone/include/router/Problem.h"
#include "modules/standalone/include/upstream/TokenSequence.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace onyx {

// What the handlers of requests share beside the context. Owned by Router.
struct Dispatch {
    PeerController& peers;
    PeerTable& table;
    HomeController& home;
    RetryBudget& retries;
};

// What came of a request, for the service-level report.
struct CallResult {
    bool good = false;        // Answered whole.
    bool callerGone = false;  // Counts neither way.
    Millis firstByte = -1;    // Until the first byte to the caller; -1: none was sent.
};

// One request; not thread safe. Preconditions: the call passed the filters.
class PlacedCall {
public:
    PlacedCall(RouterContext& context, Dispatch& dispatch, CallContext& call);

    // Serves the request to its end. Preconditions: called once.
    Task<CallResult> serve();

private:
    enum class Step { kNextEngine, kAnotherAttempt, kFinished };

    std::vector<EngineChoice> choices() const;
    Task<Step> askHome(const PlacementAsk& ask);
    Task<Step> awaitVerdict(const PlacementAsk& ask);
    Task<Step> relay();
    Task<bool> forward(const wire::RunChunkT& chunk);
    Task<Step> streamEnded(const wire::RunEndT& end);
    Step broken(bool retrySafe, const std::string& why);
    Task<> finish(const wire::RunEndT& end);
    Task<> finishStream(const wire::RunEndT& end);
    Task<> finishWhole(const wire::RunEndT& end);
    Task<> giveUp(const Refusal& refusal);
    wire::RunRequestT makeRequest(const PlacementAsk& ask);
    Millis left() const;
    Refusal refusal(RefusalReason reason, const char* detail) const;
    void leaveNote();

    RouterContext& m_context;
    Dispatch& m_dispatch;
    CallContext& m_call;
    EntryPlacement m_placement;
    TokenSequence m_tokens;
    std::set<EngineId> m_failed;
    std::string m_id;
    std::string m_text;  // The answer so far, for callers that want it whole.
    std::shared_ptr<RunChannel> m_channel;
    MemberId m_home;
    uint64_t m_run = 0;
    EngineId m_engine;
    std::optional<Refusal> m_refusal;
    bool m_written = false;  // An upstream may have seen the request.
    bool m_callerGone = false;
    CallResult m_result;
};

}  // namespace onyx
