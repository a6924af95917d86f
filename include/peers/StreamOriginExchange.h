// StreamOriginExchange decides what boxes tell each other of the origins of streams: to which boxes
// a record goes, when it is sent again, and what follows from the replies to a query.
//
// A box that passes the first event of a stream on keeps its origin and sends it to the stream's
// keepers (StreamKeepers), unless it can prove that the service has one version (VersionHistory).
// It sends it again every kRepeatMs while the stream runs, so that lost datagrams and keepers that
// start later are made up for, and so that streams begun before a second version appeared become
// known. A box at which a caller takes a stream up queries the same keepers.
//
// Inputs: the boxes of the site, the versions listed, the streams that begin and end here, the
// messages of other boxes. All state machines, without socket, clock or thread, so that a test can
// replay a whole site.
#pragma once

#include "generated/frames_generated.h"
#include "include/membership/StreamKeepers.h"
#include "include/peers/OutgoingFrame.h"
#include "include/relay/StreamRecords.h"
#include "include/rollout/VersionHistory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// How the origin of a stream was found, as the log has it.
enum class StreamOriginSource : uint8_t {
    kUnknown,           // It was not.
    kOwnRecord,         // This box has the record.
    kPeerRecord,        // Another box has it.
    kOnlyVersion,       // The service had one version for as long as streams last.
    kStored,            // A box has stored it; see StoredStreamController.
    kRecordedVersions,  // The store's record allows for one version only; see RecordedVersions.
};

// Returns the name of `source` in logs and metrics. Thread safety: any thread.
std::string_view StreamOriginSourceName(StreamOriginSource source);

// What is known of the version that began a stream.
struct FoundOrigin {
    StreamOriginSource source = StreamOriginSource::kUnknown;
    StreamOrigin origin;  // Empty if unknown.
};

// A query for the origin of one stream. Not thread safe: one task owns it.
class StreamOriginQuery {
public:
    // What the box that queries knows itself.
    struct Own {
        std::optional<StreamOrigin> record;
        std::optional<OnlyVersionProof> proof;
        bool several = false;  // Its list had several versions.
    };

    // `asked`: the boxes that are queried. Preconditions: none.
    StreamOriginQuery(std::string service, Millis span, std::set<std::string> asked, Own own);

    // Takes in the reply of the box `from`. Preconditions: none.
    void handleReply(const std::string& from, const wire::StreamOriginReplyT& reply);

    // Whether no reply is needed or will come any more. Preconditions: none.
    bool isComplete() const { return m_found || m_open.empty(); }
    // The boxes that have not replied. Preconditions: none.
    const std::set<std::string>& open() const { return m_open; }

    // Returns what is known with the replies so far. Preconditions: none.
    FoundOrigin result() const;

private:
    std::string m_service;
    Millis m_span;
    std::set<std::string> m_open;
    std::vector<OnlyVersionProof> m_proofs;
    bool m_several;
    std::optional<StreamOrigin> m_found;
    bool m_ownRecord;
};

// Not thread safe: one task owns it.
class StreamOriginExchange {
public:
    // Time in milliseconds after which the origins of running streams are sent again.
    static constexpr Millis kRepeatMs = 1000;
    // Origins in one datagram, so that it is not fragmented.
    static constexpr size_t kMaxPerDatagram = 8;

    // `self`, `zone`: address and zone of this box. Preconditions: none.
    StreamOriginExchange(std::string self, std::string zone)
        : m_self(std::move(self)), m_zone(std::move(zone)) {}

    // Sets the boxes of the site. Preconditions: none.
    void setBoxes(const std::vector<KnownBox>& boxes) { m_keepers.setBoxes(boxes); }
    // The versions that are and were listed. Preconditions: none.
    VersionHistory& versions() { return m_versions; }
    const VersionHistory& versions() const { return m_versions; }

    // Records that this box passed on the first event of `stream`, whose caller can take it up
    // until `until`; returns what is to be sent. `span`: how long streams of its route can last.
    // Preconditions: `now` does not decrease between calls.
    std::vector<OutgoingFrame> begin(uint64_t stream, const StreamOrigin& origin, Millis span,
                                     MonoTime until, MonoTime now);
    // Records that the stream no longer runs here. Preconditions: none.
    void end(uint64_t stream) { m_running.erase(stream); }
    // Returns the origins of running streams that are due to be sent again.
    // Preconditions: as for begin().
    std::vector<OutgoingFrame> makeDueFrames(MonoTime now);

    // Takes in the records of another box. Preconditions: as for begin().
    void handleOrigins(const wire::StreamOriginsT& origins, MonoTime now);
    // Returns the reply to another box's query. Preconditions: as for begin().
    wire::StreamOriginReplyT reply(const wire::StreamOriginAskT& ask, MonoTime now) const;

    // Starts a query for `stream`, which must be one of `service`. Preconditions: as for begin().
    StreamOriginQuery query(uint64_t stream, const std::string& service, Millis span,
                            MonoTime now) const;

    // Returns the version of all streams of `service`, if this box can prove that there was one
    // only. Preconditions: as for begin().
    FoundOrigin findOnlyVersion(const ServiceId& service, Millis span) const;

    // Returns the number of records. Preconditions: none.
    size_t recordCount() const { return m_records.size(); }

private:
    struct Running {
        StreamOrigin origin;
        Millis span = 0;
        MonoTime until;
        std::optional<MonoTime> sent;  // When the record was last sent to the keepers.
    };

    using OriginsByBox = std::map<std::string, std::vector<wire::StreamOriginT>>;

    bool isProved(const Running& stream) const;
    void addIfDue(uint64_t id, Running& stream, MonoTime now, OriginsByBox& byBox) const;
    static std::vector<OutgoingFrame> MakeFrames(const OriginsByBox& byBox);

    std::string m_self;
    std::string m_zone;
    StreamKeepers m_keepers;
    VersionHistory m_versions;
    StreamRecords m_records;
    std::map<uint64_t, Running> m_running;
};

}  // namespace onyx
