// Follows and writes the records of which versions begin the streams of each service
// (RecordedVersions), and answers from them at which version a stream begins or was begun.
//
// Owns the records, their age and the calls of the store for them. While a service has one version
// and its record says so, no call is made; otherwise the records are read every few seconds. Boxes
// that watch the store write them, and any box whose callers can take streams up for longer than
// the record says; the store takes a record only at the revision that its writer had read. Relies
// on VersionRecordPlanner for what is written, on UpstreamList for the versions that are listed and
// on the configuration for the services that have streams.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/observe/Metrics.h"
#include "include/placement/VersionRule.h"
#include "include/rollout/RecordedVersions.h"
#include "include/state/ConfigurationState.h"
#include "include/state/GatewaySettings.h"
#include "include/state/UpstreamList.h"
#include "include/store/StoreCaller.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class VersionRecordController {
public:
    struct Sink {
        std::function<bool()> writes;  // Whether this box writes records: it watches the store.
        // Whether boxes of earlier builds serve, which no record binds.
        std::function<bool()> meetsEarlierBuilds;
        // Whether the operators roll out a version of the service: the rollout places its requests.
        std::function<bool(const ServiceId&)> isRolledOut;
        // Whether other boxes may not list the version yet.
        std::function<bool(const ServiceId&, const std::string& version)> isNew;
    };

    // Preconditions: all arguments outlive the controller.
    VersionRecordController(asio::io_context& io, const GatewaySettings& settings,
                            const Dialect& dialect, const ConfigurationState& configuration,
                            const UpstreamList& upstreams, Metrics& metrics, Sink sink);

    // Follows the records until the process ends. Preconditions: called once.
    Task<> run();

    // Whether this box knows the records of all services. Preconditions: none.
    bool knowsAll() const;

    // Whether this box has known the records of all services that have upstreams, or has found that
    // it cannot know them soon; true from then on. Preconditions: run() was called.
    bool hasSettled() const { return m_settled; }

    // Returns at which versions a new stream with `fingerprint` may begin whose caller can take it
    // up for `takeUpTime` milliseconds: NoVersion as long as this box does not know a record that
    // allows for so long. Preconditions: `now` does not decrease between calls.
    VersionRule ruleToBegin(const ServiceId& service, uint64_t fingerprint, Millis takeUpTime,
                            MonoTime now) const;

    // Returns the only version that can have begun a stream with `fingerprint`, by the record as it
    // is in the store after the call; nullopt if there may be several, or if the store does not
    // answer soon. Preconditions: none.
    Task<std::optional<std::string>> findVersion(ServiceId service, uint64_t fingerprint);

    // Returns after which time in milliseconds findVersion() finds the version of more streams
    // than now, unless its versions change again. Preconditions: as for ruleToBegin().
    Millis settlesIn(const ServiceId& service, MonoTime now) const;

    // Whether the record alone determines that a stream with `fingerprint` has this origin.
    // Preconditions: none.
    bool determines(const StreamOrigin& origin, uint64_t fingerprint) const;

    // Records that a caller of the service may take its stream up for `time` milliseconds, and
    // waits for a moment, at most for `time`, until the record is known and allows for that, unless
    // the store fails. Preconditions: none.
    Task<> noteStreamTime(ServiceId service, Millis time);
    // The same, and waits until ruleToBegin() does not lack a recent read of the record either.
    // Preconditions: none.
    Task<> prepareToBegin(ServiceId service, Millis time);
    // Returns for how long streams of the service can be taken up, in milliseconds.
    // Preconditions: none.
    Millis streamTime(const ServiceId& service) const;

private:
    struct Service {
        std::optional<RecordedVersions> record;
        bool isUnreadable = false;  // The object in the store, at the last read.
        VersionRecordPlanner planner;
        VersionRecordPlanner::Inputs inputs;
        bool holdsBack = false;  // A version is listed that is not to be recorded yet.
        // The list of upstreams agreed with the record then, so nothing was added to it before.
        std::optional<MonoTime> agreed;
        std::optional<MonoTime> dueSince;  // The record is to be changed since then.
    };

    // What a read of all records brought.
    struct ReadRecords {
        std::map<ServiceId, RecordedVersions> records;
        std::set<ServiceId> unreadable;
    };

    void step(MonoTime now);
    void countVersions();
    void updateServices(MonoTime now);
    void updateInputs(const ServiceId& name, Service& service, MonoTime now);
    bool isHeldBack(const ServiceId& name, const Service& service,
                    const std::string& version) const;
    bool mayWrite(const Service& service, const RecordedVersions& next, MonoTime now) const;
    bool needsRead(MonoTime now) const;
    Task<> read();
    Task<Result<bool>> readPages(ReadRecords& read);
    Task<> write(RecordedVersions record);
    void put(Service& service, RecordedVersions record, MonoTime now);
    std::optional<MonoTime> knownAsOf(const Service& service) const;
    // Whether the record allows for streams that can be taken up for `time` milliseconds.
    static bool allows(const Service& service, Millis time);
    // Whether the record is recent enough for a stream to begin by it.
    bool isRecent(const Service& service, MonoTime now) const;
    void noteTime(Service& service, Millis time);
    void readNow();
    void settle(MonoTime now);

    asio::io_context& m_io;
    const Dialect& m_dialect;
    const ConfigurationState& m_configuration;
    const UpstreamList& m_upstreams;
    Metrics& m_metrics;
    Sink m_sink;
    StoreCaller m_store;
    std::map<ServiceId, Service> m_services;       // Those with streams that can be taken up.
    uint64_t m_configurationVersion = 0;           // Of m_services.
    uint64_t m_countedRevision = 0;                // Of the list of upstreams, at the last count.
    std::map<ServiceId, VersionWeights> m_listed;  // Ready slots, by that count.
    std::optional<MonoTime> m_earlierBuild;        // When a box of an earlier build was last met.
    std::optional<MonoTime> m_asOf;                // All changes made before are known.
    std::optional<MonoTime> m_failed;              // When the last call failed; empty: it did not.
    std::optional<MonoTime> m_begun;               // When this box could read the records first.
    bool m_settled = false;
    bool m_unsure = false;  // Whether the store took the last write is not known.
    bool m_reading = false;
    bool m_writing = false;
    asio::steady_timer m_readEnded;  // Cancelled whenever a read ends.
    Millis m_readDelay = 0;          // Random for each box; in milliseconds.
    Millis m_writeDelay = 0;
};

}  // namespace onyx
