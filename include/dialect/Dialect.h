// The seam between the gateway and the spelling of what it speaks: names of headers, fields and
// calls. The gateway decides; a dialect only translates. It owns nothing, and relies on the types
// of routing and store. `platform/` has the deployed one.
#pragma once

#include "include/base/Result.h"
#include "include/routing/Catalog.h"
#include "include/routing/UpstreamTable.h"
#include "include/store/ObjectStore.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

using HttpFields = boost::beast::http::fields;
using RequestHead = boost::beast::http::request_header<HttpFields>;
using ResponseHead = boost::beast::http::response_header<HttpFields>;

// What the gateway needs to know of a caller's request, besides method, target and host.
struct CallerFacts {
    std::string id;
    std::string credential;                // Stands for the team; empty if there is none.
    std::optional<Millis> clientTimeout;   // How long the caller waits.
    std::vector<std::string> sharedParts;  // Of the prompt, in its order; its own part is left out.
    int64_t promptTokens = 0;
    std::optional<uint64_t> lastEventId;
    // The request that brought the first event of the stream that this one takes up; empty if the
    // caller names none.
    std::string resumes;

    // Whether the caller has a part of the stream already. Preconditions: none.
    bool takesUpStream() const { return lastEventId.has_value() || !resumes.empty(); }
    // The request that brought, or is to bring, the first event of the stream: names the stream
    // over all tries of its caller. Preconditions: none.
    const std::string& streamId() const { return resumes.empty() ? id : resumes; }
};

// What the gateway sets on a request to an upstream.
struct UpstreamRequest {
    std::string upstreamId;
    Millis timeLeft = 0;
    std::string team;                     // Empty: none.
    int priority = 5;                     // 0 is the most urgent.
    std::optional<uint64_t> resumeAfter;  // Events up to this one are with the caller.
    std::string fetchFrom;                // Address of an upstream that holds the prompt.
    bool model = false;
};

// What an upstream's answer says of itself.
struct UpstreamFacts {
    std::string id;            // Of the request that it answers; empty if it names none.
    bool declined = false;     // It says that it did not run the request.
    bool misdirected = false;  // It is not the upstream that was meant.
    bool authentic = false;    // It carries the upstream's mark.
    bool leaving = false;      // It is about to end.
    std::optional<int> load;   // Requests running and waiting there.
    // How long work takes there right now, in percent of the usual time.
    std::optional<int> workTimePercent;
    // It wants no requests from this box for so long.
    std::optional<Millis> backoff;
    // It is brittle: it ends if it has to turn away more requests than this in a second.
    std::optional<int> bearableRefusals;
    std::optional<Millis> coldLeft;  // How much longer it is cold, in milliseconds; 0: it is not.
    std::string unreadable;          // Names a header that cannot be read; empty: none.
    std::optional<Millis> keepAlive;
};

// Implementations hold no state. Thread safety: all methods from any thread.
class Dialect {
public:
    virtual ~Dialect() = default;

    // Reads the head of a caller's request. Errors: kBadInput naming the header.
    // Preconditions: none.
    virtual Result<CallerFacts> readCaller(const RequestHead& head) const = 0;

    // Takes out of `fields` what a caller may not set, and sets what `request` says.
    // Preconditions: `fields` are a copy of the caller's.
    virtual void writeUpstreamRequest(HttpFields& fields, const UpstreamRequest& request) const = 0;

    // Sets how long the caller of a request waits from now on. Preconditions: none.
    virtual void setTimeLeft(HttpFields& fields, Millis timeLeft) const = 0;

    // Reads the head of an upstream's answer. Preconditions: none.
    virtual UpstreamFacts readUpstream(const ResponseHead& head) const = 0;

    // Marks an answer of our own with the request that it belongs to. Preconditions: none.
    virtual void markAnswer(HttpFields& fields, std::string_view requestId) const = 0;

    // Header that tells a refused caller when to retry, with its value.
    // Preconditions: wait >= 0.
    virtual std::pair<std::string, std::string> retryAfter(Millis wait) const = 0;

    // Path of the readiness question. Preconditions: none.
    virtual std::string_view readinessTarget() const = 0;

    // Target of a list call that goes on after the object `after` (empty: from the start).
    // Preconditions: none.
    virtual std::string listTarget(ObjectKind kind, std::string_view after,
                                   ListSource source) const = 0;

    // Target of a watch call for changes since `revision`, held for at most `wait`.
    // Preconditions: wait >= 0.
    virtual std::string watchTarget(ObjectKind kind, uint64_t revision, Millis wait) const = 0;

    // Bodies of list and watch answers. Errors: kProtocol naming the field; an object whose content
    // cannot be read is an error in its place, kBadInput. Preconditions: none.
    virtual Result<ObjectPage> readPage(ObjectKind kind, std::string_view body) const = 0;
    virtual Result<ObjectChanges> readChanges(ObjectKind kind, std::string_view body) const = 0;

    // The call that writes the status of an order, provided that the order has not changed since
    // it was read. Preconditions: none.
    virtual StoreWrite rolloutStatusWrite(const RolloutOrder& order,
                                          const RolloutStatus& status) const = 0;

    // Body of an answer to such a call: the order as it is now. Errors: kBadInput naming the field.
    // Preconditions: none.
    virtual Result<RolloutOrder> readRollout(std::string_view body) const = 0;

    // Target of a list call for stored streams that goes on after the object `after`, from a copy
    // of the store; one page of its answer; the call that makes or replaces the object of a box,
    // provided that it is at the revision that `stored` names (0: there is none yet); and the
    // object in the answer to such a call. Errors: kProtocol of a page, kBadInput of an object,
    // naming the field. Preconditions: none.
    virtual std::string storedStreamsTarget(std::string_view after) const = 0;
    virtual Result<StoredStreamsPage> readStoredStreamsPage(std::string_view body) const = 0;
    virtual StoreWrite storedStreamsWrite(const StoredStreams& stored) const = 0;
    virtual Result<StoredStreams> readStoredStreams(std::string_view body) const = 0;

    // Target of a list call for the records of versions (RecordedVersions) that goes on after the
    // object `after`, and one page of its answer. An object that cannot be read is an error in its
    // place. Errors: kProtocol. Preconditions: none.
    virtual std::string versionRecordsTarget(std::string_view after) const = 0;
    virtual Result<VersionRecordPage> readVersionRecords(std::string_view body) const = 0;

    // The call that makes a record, or replaces it provided that it is at the revision that
    // `record` names; 0: there is none yet. Preconditions: none.
    virtual StoreWrite versionRecordWrite(const RecordedVersions& record) const = 0;

    // Body of an answer to such a call: the record as it is now. Errors: kBadInput naming the
    // field. Preconditions: none.
    virtual Result<RecordedVersions> readVersionRecord(std::string_view body) const = 0;

    // A configuration as another box passed it on. Errors: kBadInput naming the field.
    // Preconditions: none.
    virtual Result<StoredConfiguration> readConfiguration(std::string_view text) const = 0;
};

}  // namespace onyx
