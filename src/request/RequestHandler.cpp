#include "include/request/RequestHandler.h"

namespace onyx {

RequestHandler::RequestHandler(RequestContext& context, CallerConnection& caller,
                               ReadRequest request)
    : m_context(context),
      m_caller(caller),
      m_request(std::move(request), context.random(), caller.isFromBox()),
      m_admit(context, m_request),
      m_stream(context, m_request, m_progress),
      m_room(context, m_request, m_stream),
      m_place(context, m_request, m_stream),
      m_judge(context, m_request, caller, m_progress),
      m_relay(context, caller, m_request, m_progress, m_judge),
      m_attempt(context, caller, m_request, m_progress, m_judge),
      m_answer(context, caller, m_request, m_progress, m_admit, m_judge) {}

Task<AfterAnswer> RequestHandler::run() {
    m_context.lifecycle.recordRequestStart();
    std::optional<Refusal> refusal = readHead();
    if (!refusal) {
        refusal = co_await admit();
    }
    AfterAnswer after = AfterAnswer::kClose;
    if (refusal) {
        after = co_await m_answer.refuse(*refusal);
    } else {
        after = co_await serve();
    }
    m_stream.end();
    m_context.lifecycle.recordRequestEnd();
    co_return after;
}

Task<bool> RequestHandler::refuseByHead() {
    std::optional<Refusal> refusal = readHead();
    if (!refusal) {
        refusal = m_admit.admitByHead();
    }
    if (refusal) {
        co_await refuseUnread(std::move(*refusal));
    }
    co_return refusal.has_value();
}

Task<> RequestHandler::refuse(RefusalReason reason) {
    const std::optional<Refusal> bad = readHead();
    co_await refuseUnread(bad.value_or(MakeRefusal(reason)));
}

// The rest of the body may still come, so nothing follows on the connection.
Task<> RequestHandler::refuseUnread(Refusal refusal) {
    m_request.message.keep_alive(false);
    co_await m_answer.refuse(refusal);
}

std::optional<Refusal> RequestHandler::readHead() {
    Result<CallerFacts> facts = m_context.dialect.readCaller(m_request.message.base());
    if (facts.has_error()) {
        return MakeRefusal(RefusalReason::kBadHead, facts.error().text());
    }
    m_request.facts = std::move(facts.value());
    if (m_request.facts.id.empty()) {
        return MakeRefusal(RefusalReason::kNoRequestId);
    }
    m_progress.answer.emplace(m_context.lifecycle, m_context.answerMemory, m_caller,
                              m_request.facts.lastEventId);
    m_progress.answer->setBeginHandler([this] {
        m_stream.noteBegun();
        if (m_progress.isAtUpstream) {
            m_context.quarantine.noteAnswerBegun(m_request.fingerprints(), m_progress.attemptStart);
        }
    });
    return std::nullopt;
}

// Why the request is refused before anything is sent; nothing if it is served.
Task<std::optional<Refusal>> RequestHandler::admit() {
    std::optional<Refusal> refusal = m_admit.admitFirst();
    if (refusal) {
        co_return refusal;
    }
    m_judge.setRoute(*m_request.admission.route);
    refusal = co_await m_stream.findOrigin();
    if (!refusal && m_stream.origin()) {
        refusal = m_admit.admit(m_stream.service());
    }
    co_return refusal ? refusal : m_room.ask();
}

Task<AfterAnswer> RequestHandler::serve() {
    while (true) {
        std::optional<Verdict> verdict;
        if (!isStopping()) {
            verdict = co_await attempt();
        }
        if (verdict && m_caller.hasLeft()) {
            co_return m_answer.abandon(kCallerGone);
        }
        if (isStopping() && (!verdict || verdict->step != NextStep::kDeliver)) {
            co_return co_await endForStop();
        }
        if (!verdict) {
            co_return co_await conclude(m_judge.withoutRetry(StepReason::kNoUpstream));
        }
        if (verdict->step != NextStep::kRetry) {
            co_return co_await conclude(*verdict);
        }
        const std::optional<Refusal> refusal = admitAgain();
        if (!refusal) {
            continue;
        }
        const Verdict last = m_judge.withoutRetry(StepReason::kRefusedSince);
        if (last.step == NextStep::kRefuse) {
            co_return co_await m_answer.refuse(*refusal);
        }
        co_return co_await conclude(last);
    }
}

// Before the process exits, the caller learns whether its request may have run; an answer that has
// begun is broken off.
Task<AfterAnswer> RequestHandler::endForStop() {
    const Verdict verdict = m_judge.withoutRetry(StepReason::kBoxStopping);
    if (verdict.step == NextStep::kRefuse) {
        const Refusal refusal = MakeRefusal(RefusalReason::kDraining);
        co_return co_await m_answer.refuse(refusal);
    }
    m_progress.timedOut = true;
    co_return co_await conclude(verdict);
}

// Why no further attempt is made. The rest of an answer is not asked for like a new request: the
// caller has its beginning, and nobody else could end it.
std::optional<Refusal> RequestHandler::admitAgain() {
    return m_progress.answer->headSent() ? m_admit.admitRest() : m_admit.admit(m_stream.service());
}

// Whether the attempt under way, whose upstream is silent, may be given up: all that the next one
// needs is there. The cheap questions come first, and what is taken from the retry budget last.
bool RequestHandler::mayGiveUp() {
    const bool begun = m_progress.answer->headSent();
    return m_judge.mayRetry() && !m_context.reach.isInDoubt(m_request.admission.service) &&
           m_admit.wouldAdmit(m_stream.service(), begun) && m_place.hasOther(m_progress.upstream) &&
           m_judge.reserveRetry();
}

// What follows an attempt at an upstream, or at another box where that is due; nothing if neither
// can be made.
Task<std::optional<Verdict>> RequestHandler::attempt() {
    if (m_relay.isDue()) {
        const std::optional<Verdict> relayed = co_await m_relay.run();
        if (relayed || m_caller.gone()) {
            co_return relayed.value_or(m_judge.withoutRetry(StepReason::kNoTime));
        }
    }
    if (m_relay.cannotServe()) {
        co_return std::nullopt;
    }
    const std::optional<AttemptPlace> place = m_place.place();
    if (!place) {
        co_return std::nullopt;
    }
    const std::function<bool()> rule = [this] { return mayGiveUp(); };
    const Verdict verdict = co_await m_attempt.run(*place, rule);
    m_place.noteTried(place->upstream.id);
    co_return verdict;
}

Task<AfterAnswer> RequestHandler::conclude(const Verdict& verdict) {
    if (verdict.step == NextStep::kDeliver) {
        co_return co_await m_answer.deliver();
    }
    if (verdict.step == NextStep::kBreak) {
        co_return m_answer.abandon(kStreamBroken, verdict.reason);
    }
    const RefusalReason failed =
        m_progress.timedOut ? RefusalReason::kTimedOut : RefusalReason::kUnclear;
    const bool notRun = verdict.step == NextStep::kRefuse;
    Refusal refusal = MakeRefusal(notRun ? RefusalReason::kNoUpstream : failed);
    if (notRun) {
        m_place.noteLeftOut(refusal);
        refusal.retryAfter = m_relay.retryAfter() ? m_relay.retryAfter() : refusal.retryAfter;
    }
    co_return co_await m_answer.refuse(refusal);
}

}  // namespace onyx
