// One request as its caller sent it, and what it was admitted for: what all steps of its handling
// read (see RequestHandler).
#pragma once

#include "include/admission/Admission.h"
#include "include/dialect/Dialect.h"
#include "include/request/CallerConnection.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace onyx {

// Not thread safe: one io_context, one task.
class CallerRequest {
public:
    // `draw`: a random number of this request's own. `fromBox`: another box relays it.
    // Preconditions: none.
    CallerRequest(ReadRequest request, uint64_t draw, bool fromBox)
        : message(std::move(request.message)),
          body(std::move(request.body)),
          arrived(request.arrived),
          draw(draw),
          fromBox(fromBox) {}

    // Stands for this request wherever it comes again. Preconditions: it was admitted.
    uint64_t fingerprint();
    // The request's own and those of the shared parts of its prompt. Preconditions: as above.
    const std::vector<uint64_t>& fingerprints();

    CallerMessage message;                    // Without the body.
    std::shared_ptr<const RequestBody> body;  // Not null.
    MonoTime arrived;
    uint64_t draw;
    bool fromBox;
    CallerFacts facts;    // Once the head is read.
    Admission admission;  // Of the last admission; without a route before the first.

private:
    std::optional<uint64_t> m_fingerprint;  // Once it was asked for.
    std::vector<uint64_t> m_fingerprints;   // Empty until they were asked for.
};

}  // namespace onyx
