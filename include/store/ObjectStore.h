// What an object store answers: pages of objects and changes since a revision. The store itself is
// the operators'; how its calls and bodies are spelled is the dialect's matter, which hands out
// values of the product only.
#pragma once

#include "include/base/Error.h"
#include "include/relay/StreamRecords.h"
#include "include/rollout/RecordedVersions.h"
#include "include/rollout/RolloutOrder.h"
#include "include/routing/Catalog.h"
#include "include/routing/UpstreamTable.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace onyx {

// The kinds of objects that a box reads.
enum class ObjectKind : uint8_t { kConfiguration, kUpstreams, kEvacuations, kRollouts };

// What a list is read from.
enum class ListSource : uint8_t {
    kStore,  // The store itself: all that it has acknowledged is there.
    kCopy,   // A copy of it, at a tenth of the price: it may be seconds behind.
};

// A configuration as the store, or another box, has it.
struct StoredConfiguration {
    CatalogParts parts;
    std::string text;  // The same in the dialect's words, to be passed on to other boxes.
};

// The operators evacuate an availability zone as long as its object is there.
struct Evacuation {
    ZoneId zone;
};

// An object that was removed, or that no box reads.
using NoContent = std::monostate;

// One object of the store. An Error: its content cannot be read.
struct StoredObject {
    std::string name;
    bool removed = false;
    std::variant<NoContent, StoredConfiguration, Upstream, Evacuation, RolloutOrder, Error> content;
};

// A call that changes an object.
struct StoreWrite {
    std::string method;
    std::string target;
    std::string body;
};

// One answer of a list call.
struct ObjectPage {
    std::vector<StoredObject> objects;
    std::string lastName;
    bool more = false;  // Go on after `lastName`.
    uint64_t revision = 0;
};

// The origin of a stream, as a box stores it for the others.
struct StoredStream {
    uint64_t stream = 0;  // Hash of the id of the request that began it.
    StreamOrigin origin;
    Millis left = 0;  // For how long it can be taken up, when this was written.
    friend bool operator==(const StoredStream&, const StoredStream&) = default;
};

// The streams that one box has stored.
struct StoredStreams {
    std::string box;
    uint64_t revision = 0;  // Of the object; a condition for writing it.
    std::vector<StoredStream> streams;
};

// One answer of a list call for stored streams.
struct StoredStreamsPage {
    std::vector<StoredStreams> objects;
    std::string lastName;
    bool more = false;  // Go on after `lastName`.
};

// A record of versions that cannot be read.
struct UnreadableRecord {
    ServiceId service;  // By its name.
    Error why;
};

// One answer of a list call for the records of versions.
struct VersionRecordPage {
    std::vector<RecordedVersions> records;
    std::vector<UnreadableRecord> unreadable;
    std::string lastName;
    bool more = false;  // Go on after `lastName`.
};

// One answer of a watch call.
struct ObjectChanges {
    std::vector<StoredObject> objects;
    uint64_t revision = 0;  // Go on from here.
};

}  // namespace onyx
