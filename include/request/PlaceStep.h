// Chooses the upstream of a request's next attempt, by PlaceAttempt and the rules on versions.
#pragma once

#include "include/request/CallerRequest.h"
#include "include/request/RequestContext.h"
#include "include/request/StreamStep.h"

#include <optional>
#include <set>
#include <string>

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class PlaceStep {
public:
    // Preconditions: all arguments outlive the step.
    PlaceStep(RequestContext& context, const CallerRequest& request, const StreamStep& stream)
        : m_context(context), m_request(request), m_stream(stream) {}

    // Returns where the next attempt goes; nothing if no upstream may be chosen.
    // Preconditions: the request was admitted.
    std::optional<AttemptPlace> place();
    // Records that an attempt was made at the upstream `id`. Preconditions: none.
    void noteTried(const std::string& id) { m_tried.insert(id); }
    // Whether a further attempt would go to an upstream that has not had the request, is not
    // `current` and is not ejected. Preconditions: as for place().
    bool hasOther(const std::string& current) const;
    // Where no upstream may be sent to, sets when the first one is back. Preconditions: as above.
    void noteLeftOut(Refusal& refusal) const;

private:
    PlacementQuestion question(VersionRule versions, const std::set<std::string>& tried) const;
    VersionRule versionRule(bool mayTry, MonoTime now) const;
    VersionRule heldRule(bool mayTry, MonoTime now) const;
    uint64_t promptHash() const;

    RequestContext& m_context;
    const CallerRequest& m_request;
    const StreamStep& m_stream;
    std::set<std::string> m_tried;  // Upstreams of the attempts so far.
};

}  // namespace onyx
