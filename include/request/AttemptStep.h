// Makes one attempt of a request and records what its end says of the upstream and its version.
#pragma once

#include "include/request/Attempt.h"
#include "include/request/CallerRequest.h"
#include "include/request/JudgeStep.h"
#include "include/request/RequestContext.h"
#include "include/request/RequestProgress.h"

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class AttemptStep {
public:
    // Preconditions: all arguments outlive the step.
    AttemptStep(RequestContext& context, CallerConnection& caller, CallerRequest& request,
                RequestProgress& progress, JudgeStep& judge)
        : m_context(context),
          m_caller(caller),
          m_request(request),
          m_progress(progress),
          m_judge(judge) {}

    // Makes an attempt and returns what follows. `mayGiveUp`: as AttemptRequest has it.
    // Preconditions: the request was admitted; the arguments outlive the call.
    Task<Verdict> run(const AttemptPlace& place, const std::function<bool()>& mayGiveUp);

private:
    void noteBegin(const AttemptPlace& place);
    void noteEnd(const AttemptPlace& place, AttemptReport& report);
    void noteAnswer(const AttemptPlace& place, const AttemptReport& report);
    void noteBroken(const Upstream& upstream, const AttemptReport& report);

    RequestContext& m_context;
    CallerConnection& m_caller;
    CallerRequest& m_request;
    RequestProgress& m_progress;
    JudgeStep& m_judge;
};

}  // namespace onyx
