// Has another box handle a request, because this one reaches no upstream of its service.
#pragma once

#include "include/request/CallerRequest.h"
#include "include/request/JudgeStep.h"
#include "include/request/RelayAttempt.h"
#include "include/request/RequestContext.h"
#include "include/request/RequestProgress.h"

#include <optional>
#include <set>
#include <string>

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class RelayStep {
public:
    // Preconditions: all arguments outlive the step.
    RelayStep(RequestContext& context, CallerConnection& caller, CallerRequest& request,
              RequestProgress& progress, JudgeStep& judge)
        : m_context(context),
          m_caller(caller),
          m_request(request),
          m_progress(progress),
          m_judge(judge) {}

    // Whether another box should handle the request. Preconditions: it was admitted.
    bool isDue() const;
    // Has another box handle it; nothing if none took it. Preconditions: isDue().
    Task<std::optional<Verdict>> run();
    // Whether the request should be refused without further attempts. Preconditions: as for
    // isDue().
    bool cannotServe() const;
    // When the other box says that the caller may retry. Preconditions: none.
    std::optional<Millis> retryAfter() const { return m_retryAfter; }

private:
    Verdict judge(const RelayReport& report);

    RequestContext& m_context;
    CallerConnection& m_caller;
    CallerRequest& m_request;
    RequestProgress& m_progress;
    JudgeStep& m_judge;
    std::set<std::string> m_triedBoxes;  // To which the request was to be relayed.
    std::optional<Millis> m_retryAfter;
};

}  // namespace onyx
