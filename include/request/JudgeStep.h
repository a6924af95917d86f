// Decides what follows an attempt of a request, by RequestAttempts and the retry budget.
//
// Owns how the attempts of the request ended.
#pragma once

#include "include/relay/RequestAttempts.h"
#include "include/request/CallerRequest.h"
#include "include/request/RequestContext.h"
#include "include/request/RequestProgress.h"

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class JudgeStep {
public:
    // Preconditions: all arguments outlive the step.
    JudgeStep(RequestContext& context, const CallerRequest& request, const CallerConnection& caller,
              const RequestProgress& progress)
        : m_context(context), m_request(request), m_caller(caller), m_progress(progress) {}

    // Sets what the route allows. Preconditions: called once, before the first attempt.
    void setRoute(const Route& route);

    // What follows an attempt at an upstream. Preconditions: the request was admitted.
    Verdict judge(AttemptEnd end);
    // What follows what another box made of the request; it is not sent anywhere else.
    // Preconditions: as above.
    Verdict judgeRelayed(AttemptEnd end);
    // Whether another attempt may follow the one under way if that is given up now.
    // Preconditions: an attempt is under way.
    bool mayRetry() const;
    // Takes what that attempt needs from the retry budget, and keeps it for it; false if nothing is
    // left. Preconditions: as above.
    bool reserveRetry();
    // How the request ends without another attempt. Preconditions: as above.
    Verdict withoutRetry(StepReason reason) const;

    // The attempts so far. Preconditions: none.
    const RequestAttempts& attempts() const { return m_attempts; }

private:
    AttemptFacts factsOf(bool timeLeft) const;
    bool hasTime(MonoTime now) const;
    bool takeRetry(MonoTime now);

    RequestContext& m_context;
    const CallerRequest& m_request;
    const CallerConnection& m_caller;
    const RequestProgress& m_progress;
    RequestAttempts m_attempts{AttemptRules{}};
    bool m_hasRetry = false;  // Taken from the retry budget, and not used yet.
};

}  // namespace onyx
