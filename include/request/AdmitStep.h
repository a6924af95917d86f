// The first step of a request: whether this box handles it, by Admit and RequestQuarantine, and
// whether it takes what another box relays.
#pragma once

#include "include/request/CallerRequest.h"
#include "include/request/RequestContext.h"

#include <optional>
#include <string_view>
#include <variant>

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class AdmitStep {
public:
    // Preconditions: both arguments outlive the step.
    AdmitStep(RequestContext& context, CallerRequest& request)
        : m_context(context), m_request(request) {}

    // Decides when the request arrives. Returns why it is refused, nothing if it is admitted.
    // Preconditions: the head was read; called once.
    std::optional<Refusal> admitFirst();
    // Decides by the head alone, before a large body is read. Returns why the request is refused.
    // Preconditions: the head was read; admitFirst() is not called.
    std::optional<Refusal> admitByHead();
    // Decides again: before each further attempt, so that a request that waited is not handled by
    // what is no longer in force, and for the service that began its stream. A request that this
    // box has taken goes on through a planned stop. A refusal leaves the admission before it as it
    // is. `service`: that one; empty: any. Preconditions: as above.
    std::optional<Refusal> admit(std::string_view service);

    // Whether a further attempt would be admitted now, which changes nothing. An answer that has
    // begun (`begun`) is not a new request: only what crashes upstreams is kept from them.
    // `service` and preconditions: as for admit().
    bool wouldAdmit(std::string_view service, bool begun) const;
    // Why an answer that has begun is not continued. Preconditions: as above.
    std::optional<Refusal> admitRest() { return checkQuarantine(ReadClocks().mono); }

    // The configuration at the last admission or its refusal. Preconditions: none.
    ConfigurationReport decidedOn() const;

private:
    std::variant<Admission, Refusal> ask(std::string_view service,
                                         const AdmissionState& knowledge) const;
    std::optional<Refusal> decide(std::string_view service, MonoTime now);
    std::optional<Refusal> checkRelayed();
    std::optional<Refusal> checkRelayedService() const;
    std::optional<Refusal> checkQuarantine(MonoTime now);

    RequestContext& m_context;
    CallerRequest& m_request;
    bool m_taken = false;  // admitFirst() has admitted it.
    std::optional<ConfigurationReport> m_decidedOn;
    std::optional<Millis> m_catalogAge;  // At the last admission.
};

}  // namespace onyx
