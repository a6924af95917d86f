// One request of a caller, from its head to the last byte of its answer, as an order of steps:
//
//   AdmitStep    whether this box handles it
//   StreamStep   what began the stream that it takes up
//   RoomStep     whether its service has room for it
//   RelayStep    whether another box handles it
//   PlaceStep    to which upstream its next attempt goes
//   AttemptStep  the attempt
//   JudgeStep    what follows; perhaps another attempt
//   AnswerStep   what its caller gets
//
// Each step asks a rule (docs/DECISIONS.md), carries out what it says, and owns the state that only
// it needs. This class owns the steps and what they share.
#pragma once

#include "include/request/AdmitStep.h"
#include "include/request/AnswerStep.h"
#include "include/request/AttemptStep.h"
#include "include/request/CallerRequest.h"
#include "include/request/JudgeStep.h"
#include "include/request/PlaceStep.h"
#include "include/request/RelayStep.h"
#include "include/request/RequestContext.h"
#include "include/request/RequestProgress.h"
#include "include/request/RoomStep.h"
#include "include/request/StreamStep.h"

#include <optional>

namespace onyx {

// Not thread safe: one io_context, one task.
class RequestHandler {
public:
    // Preconditions: context and caller outlive the request.
    RequestHandler(RequestContext& context, CallerConnection& caller, ReadRequest request);
    // The steps refer to each other.
    RequestHandler(const RequestHandler&) = delete;
    RequestHandler& operator=(const RequestHandler&) = delete;

    // Answers the request. Preconditions: called once.
    Task<AfterAnswer> run();

    // Refuses a request whose body was not read if its head shows that it cannot be served. Returns
    // whether it was. Preconditions: run() is not called; the connection is closed afterwards.
    Task<bool> refuseByHead();

    // Refuses a request whose body was not read. Preconditions: as above.
    Task<> refuse(RefusalReason reason);

private:
    Task<> refuseUnread(Refusal refusal);
    std::optional<Refusal> readHead();
    Task<std::optional<Refusal>> admit();
    Task<AfterAnswer> serve();
    Task<std::optional<Verdict>> attempt();
    // Whether a planned stop leaves no time for more.
    bool isStopping() const { return m_context.lifecycle.ending(ReadClocks().mono); }
    Task<AfterAnswer> endForStop();
    std::optional<Refusal> admitAgain();
    bool mayGiveUp();
    // Carries out what is the last step of a request.
    Task<AfterAnswer> conclude(const Verdict& verdict);

    RequestContext& m_context;
    CallerConnection& m_caller;
    CallerRequest m_request;
    RequestProgress m_progress;
    AdmitStep m_admit;
    StreamStep m_stream;
    RoomStep m_room;
    PlaceStep m_place;
    JudgeStep m_judge;
    RelayStep m_relay;
    AttemptStep m_attempt;
    AnswerStep m_answer;
};

}  // namespace onyx
