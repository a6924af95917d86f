// The stream of a request: finds what began a stream that the caller takes up, and records what
// begins a new one, so that it goes on at the same version wherever the caller comes back.
#pragma once

#include "include/request/CallerRequest.h"
#include "include/request/RequestContext.h"
#include "include/request/RequestProgress.h"

#include <optional>
#include <string_view>
#include <vector>

namespace onyx {

// One request. Not thread safe: one io_context, one task.
class StreamStep {
public:
    // Preconditions: all arguments outlive the step.
    StreamStep(RequestContext& context, CallerRequest& request, const RequestProgress& progress)
        : m_context(context), m_request(request), m_progress(progress) {}

    // Finds what began the stream which the request takes up; a refusal if no box knows it, nothing
    // if one does or the request takes none up. Preconditions: the request was admitted.
    Task<std::optional<Refusal>> findOrigin();

    // Records that the caller is about to get the first event. Preconditions: as above.
    void noteBegun();
    // Records that the request has ended. Preconditions: none.
    void end();

    // What began the stream, once its first event is on its way to the caller, or at once where the
    // caller takes the stream up. Preconditions: none.
    const std::optional<StreamOrigin>& origin() const { return m_origin; }
    // What the version of a stream that begins here follows from: see RecordedVersions.
    // Preconditions: findOrigin() has returned nothing.
    uint64_t fingerprint() const { return m_fingerprint; }
    // For how long the caller can take the stream up, in milliseconds. Preconditions: the request
    // was admitted.
    Millis takeUpTime() const;
    // The service that began the stream; empty: not known. Preconditions: none.
    std::string_view service() const {
        return m_origin ? std::string_view(m_origin->service) : std::string_view();
    }

private:
    Task<StreamOriginReport> find();
    Millis span() const;

    RequestContext& m_context;
    CallerRequest& m_request;
    const RequestProgress& m_progress;
    std::optional<StreamOrigin> m_origin;
    uint64_t m_fingerprint = 0;
    bool m_recorded = false;  // The origin was given to StreamController.
};

}  // namespace onyx
