// The last step of a request: passes the end of its answer on, refuses it, or breaks its stream
// off, and logs that.
#pragma once

#include "include/request/AdmitStep.h"
#include "include/request/CallerRequest.h"
#include "include/request/JudgeStep.h"
#include "include/request/RequestContext.h"
#include "include/request/RequestProgress.h"

namespace onyx {

// What is to become of the caller's connection after a request.
enum class AfterAnswer : uint8_t { kKeep, kClose, kAborted };

// One request. Not thread safe: one io_context, one task.
class AnswerStep {
public:
    // Preconditions: all arguments outlive the step.
    AnswerStep(RequestContext& context, CallerConnection& caller, CallerRequest& request,
               RequestProgress& progress, const AdmitStep& admit, const JudgeStep& judge)
        : m_context(context),
          m_caller(caller),
          m_request(request),
          m_progress(progress),
          m_admit(admit),
          m_judge(judge) {}

    // Sends what is left of the answer. Preconditions: the last attempt has one.
    Task<AfterAnswer> deliver();
    // Answers that the request is not served. Preconditions: the caller has no head of an answer.
    Task<AfterAnswer> refuse(const Refusal& refusal);
    // Ends the connection without an answer's end, so that the caller sees that it is not whole.
    // `why`: as RequestLog::done() has it. Preconditions: none.
    AfterAnswer abandon(std::string_view outcome, std::optional<StepReason> why = std::nullopt);

private:
    void markNotRun(HttpFields& fields, const Refusal& refusal) const;
    AfterAnswer afterAnswer(bool saidClose) const;
    RequestReport report() const;

    RequestContext& m_context;
    CallerConnection& m_caller;
    CallerRequest& m_request;
    RequestProgress& m_progress;
    const AdmitStep& m_admit;
    const JudgeStep& m_judge;
};

}  // namespace onyx
