#include "include/peers/VersionRecordController.h"

#include "include/observe/Events.h"
#include "include/rollout/VersionHistory.h"
#include "include/store/ListCursor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kStepPeriod = 50;
constexpr Millis kReadPeriod = 1200;    // While a record has several versions.
constexpr Millis kMaxReadDelay = 1000;  // The boxes of a large site do not read all at once,
constexpr Millis kMaxWriteDelay = 200;  // and mostly one box writes.
constexpr Millis kRetryDelay = 500;     // After a call that failed.
constexpr Millis kFindTimeout = 500;    // A caller waits no longer for the store.
// A box is ready without the records if it does not know them within this time, in which it reads
// them more often.
constexpr Millis kSettleReadPeriod = 200;
constexpr Millis kSettleTimeout = 1500;
// A site's first record is made by a box that has had time to link to the others: boxes of an
// earlier build bind themselves to none.
constexpr Millis kFirstRecordDelay = 300;
// Boxes of an earlier build may be linked again within this time.
constexpr Millis kEarlierBuildGone = 5000;
// Callers that wait for longer than this count as if they waited so long.
constexpr Millis kMaxStreamTime = VersionHistory::kRetentionMs;

bool HasOneVersion(const RecordedVersions& record) {
    return record.sets.size() == 1 && record.sets.front().weights.size() == 1;
}

// One text for the log: sets newest first, each "v1=64 v2=8"; "any" where other rules choose.
std::string SetsText(const RecordedVersions& record) {
    std::string text;
    for (const RecordedWeights& set : record.sets) {
        text += text.empty() ? "" : ", ";
        std::string versions;
        for (const auto& [version, slots] : set.weights) {
            versions += (versions.empty() ? "" : " ") + version + "=" + std::to_string(slots);
        }
        text += versions.empty() ? "any" : versions;
    }
    return text;
}

}  // namespace

VersionRecordController::VersionRecordController(asio::io_context& io,
                                                 const GatewaySettings& settings,
                                                 const Dialect& dialect,
                                                 const ConfigurationState& configuration,
                                                 const UpstreamList& upstreams, Metrics& metrics,
                                                 Sink sink)
    : m_io(io),
      m_dialect(dialect),
      m_configuration(configuration),
      m_upstreams(upstreams),
      m_metrics(metrics),
      m_sink(std::move(sink)),
      m_store(io.get_executor(), settings.store, settings.storeTimeout),
      m_readEnded(io, asio::steady_timer::time_point::max()) {
    std::minstd_rand random{std::random_device{}()};
    m_readDelay = std::uniform_int_distribution<Millis>(0, kMaxReadDelay)(random);
    m_writeDelay = std::uniform_int_distribution<Millis>(0, kMaxWriteDelay)(random);
}

Task<> VersionRecordController::run() {
    while (true) {
        step(ReadClocks().mono);
        co_await SleepFor(kStepPeriod);
    }
}

void VersionRecordController::step(MonoTime now) {
    if (m_sink.meetsEarlierBuilds()) {
        m_earlierBuild = now;
    }
    if (!m_configuration.catalog() || !(m_upstreams.hasList() || m_upstreams.isPartial())) {
        return;
    }
    countVersions();
    if (m_upstreams.hasList()) {
        updateServices(now);
    } else {
        m_countedRevision = 0;  // The whole list may have the revision of this part.
    }
    if (needsRead(now)) {
        m_reading = true;
        Spawn(m_io.get_executor(), read());
    }
    settle(now);
}

void VersionRecordController::updateServices(MonoTime now) {
    for (auto& [name, service] : m_services) {
        updateInputs(name, service, now);
        if (service.isUnreadable) {
            service.dueSince.reset();
            continue;
        }
        const RecordedVersions* record = service.record ? &*service.record : nullptr;
        service.planner.observe(record, now);
        const auto next = service.planner.next(record, service.inputs, now);
        if (!next) {
            service.dueSince.reset();
            const auto age = m_upstreams.age(now);
            if (record != nullptr && HasOneVersion(*record) && !service.holdsBack && age) {
                service.agreed = now - *age;
            }
            continue;
        }
        service.dueSince = service.dueSince.value_or(now);
        if (mayWrite(service, *next, now)) {
            m_writing = true;
            Spawn(m_io.get_executor(), write(*next));
        }
    }
}

// A service that comes later does not make a box that serves the others unready.
void VersionRecordController::settle(MonoTime now) {
    m_begun = m_begun.value_or(now);
    const bool knowsListed =
        std::all_of(m_services.begin(), m_services.end(), [&](const auto& service) {
            return service.second.record || service.second.isUnreadable ||
                   !m_listed.contains(service.first);
        });
    m_settled = m_settled || (m_asOf && knowsListed) || m_services.empty() || m_failed ||
                now - *m_begun >= kSettleTimeout;
    if (!m_settled && (!m_asOf || now - *m_asOf >= kSettleReadPeriod)) {
        readNow();
    }
}

// Has the records read for those who wait.
void VersionRecordController::readNow() {
    if (!m_reading && !m_writing && !m_failed) {
        m_reading = true;
        Spawn(m_io.get_executor(), read());
    }
}

// Counts the ready slots of each version after each change of the list.
void VersionRecordController::countVersions() {
    if (m_configurationVersion != m_configuration.version()) {
        m_configurationVersion = m_configuration.version();
        std::set<ServiceId> used;
        for (const Route& route : m_configuration.catalog()->routes()) {
            for (const WeightedService& service : route.services) {
                if (route.stream && route.resumable) {
                    used.insert(service.service);
                    Millis& time = m_services[service.service].inputs.streamTime;
                    time = std::max(time, route.timeout);
                }
            }
        }
        std::erase_if(m_services,
                      [&](const auto& service) { return !used.contains(service.first); });
    }
    if (m_countedRevision == m_upstreams.table().revision()) {
        return;
    }
    m_countedRevision = m_upstreams.table().revision();
    m_listed.clear();
    for (const auto& [id, entry] : m_upstreams.table().all()) {
        if (!entry.upstream.draining && m_services.contains(entry.upstream.service)) {
            m_listed[entry.upstream.service][entry.upstream.version] +=
                static_cast<uint32_t>(entry.upstream.slots);
        }
    }
}

void VersionRecordController::updateInputs(const ServiceId& name, Service& service, MonoTime now) {
    const auto listed = m_listed.find(name);
    VersionWeights& ready = service.inputs.ready;
    service.inputs.service = name;
    ready = listed == m_listed.end() ? VersionWeights{} : listed->second;
    const bool isUnnamed = ready.contains("");
    service.holdsBack = std::erase_if(ready, [&](const auto& version) {
                            return isHeldBack(name, service, version.first);
                        }) > 0;
    const bool meetsEarlier = m_earlierBuild && now - *m_earlierBuild < kEarlierBuildGone;
    service.inputs.isFree = isUnnamed || meetsEarlier || m_sink.isRolledOut(name);
}

// Another box may still prove that the versions on record are the only ones, so a further version
// is recorded only when boxes that do not list it prove nothing. The first record has no streams
// before it.
bool VersionRecordController::isHeldBack(const ServiceId& name, const Service& service,
                                         const std::string& version) const {
    return service.record && !service.record->sets.front().weights.contains(version) &&
           m_sink.isNew(name, version);
}

// Boxes that watch the store may have no callers that wait as long as those of another box, so any
// box writes for how long streams can be taken up, unless a read shows that this is done.
bool VersionRecordController::mayWrite(const Service& service, const RecordedVersions& next,
                                       MonoTime now) const {
    const bool hasFailed = m_failed && now - *m_failed < kRetryDelay;
    if (!m_asOf || m_unsure || m_writing || m_reading || hasFailed) {
        return false;
    }
    if (m_sink.writes()) {
        const Millis delay = m_writeDelay + (service.record ? 0 : kFirstRecordDelay);
        return now - *service.dueSince >= delay;
    }
    return service.record && next.streamTime > service.record->streamTime &&
           *m_asOf >= *service.dueSince;
}

bool VersionRecordController::needsRead(MonoTime now) const {
    if (m_reading || m_writing || (m_failed && now - *m_failed < kRetryDelay)) {
        return false;
    }
    if (!m_asOf || m_unsure) {
        return !m_services.empty();
    }
    const bool isOld = now - *m_asOf >= kReadPeriod;
    return std::any_of(m_services.begin(), m_services.end(), [&](const auto& entry) {
        const Service& service = entry.second;
        const bool waits = service.dueSince && !m_sink.writes() && *m_asOf < *service.dueSince &&
                           now - *service.dueSince >= m_readDelay;
        const bool isSettled =
            service.record && HasOneVersion(*service.record) && !service.isUnreadable;
        return waits || (isOld && !isSettled);
    });
}

Task<> VersionRecordController::read() {
    const MonoTime begun = ReadClocks().mono;
    ReadRecords read;
    const auto result = co_await readPages(read);
    const MonoTime now = ReadClocks().mono;
    m_reading = false;
    m_metrics.count("onyx_version_record_calls_total",
                    {{"call", "read"}, {"end", result.has_error() ? "error" : "ok"}});
    if (result.has_error()) {
        m_failed = now;
    } else {
        m_failed.reset();
        m_unsure = false;
        m_asOf = begun;
        for (auto& [name, service] : m_services) {
            service.isUnreadable = read.unreadable.contains(name);
            const auto found = read.records.find(name);
            if (found != read.records.end()) {
                put(service, found->second, now);
            }
        }
    }
    m_readEnded.cancel();
}

Task<Result<bool>> VersionRecordController::readPages(ReadRecords& read) {
    ListCursor cursor;
    while (cursor.hasMore()) {
        const auto body = co_await m_store.read(m_dialect.versionRecordsTarget(cursor.after()));
        if (body.has_error()) {
            co_return body.error();
        }
        const auto page = m_dialect.readVersionRecords(body.value());
        if (page.has_error()) {
            co_return page.error();
        }
        for (const RecordedVersions& record : page.value().records) {
            read.records[record.service] = record;
        }
        for (const UnreadableRecord& record : page.value().unreadable) {
            read.unreadable.insert(record.service);
        }
        cursor.addPage(page.value().lastName, page.value().more);
        if (cursor.isStuck()) {
            co_return Error{ErrorCode::kProtocol, "store.list", "", "the pages repeat"};
        }
    }
    co_return true;
}

// The store takes the record only at the revision that this box had read, so a late call changes
// nothing once another box has written one.
Task<> VersionRecordController::write(RecordedVersions record) {
    StoreWrite call = m_dialect.versionRecordWrite(record);
    const auto answer = co_await m_store.write(std::move(call));
    const MonoTime now = ReadClocks().mono;
    m_writing = false;
    const std::string end =
        answer.has_error() ? answer.error().text() : std::to_string(answer.value().status);
    m_metrics.count("onyx_version_record_calls_total",
                    {{"call", "write"}, {"end", answer.has_error() ? "error" : end}});
    const auto current = answer.has_error() ? Result<RecordedVersions>(answer.error())
                                            : m_dialect.readVersionRecord(answer.value().body);
    const auto service = m_services.find(record.service);
    if (current.has_value() && current.value().service == record.service &&
        service != m_services.end()) {
        put(service->second, current.value(), now);
    } else {
        m_failed = now;
        m_unsure = true;
    }
}

void VersionRecordController::put(Service& service, RecordedVersions record, MonoTime now) {
    if (service.record && service.record->revision >= record.revision) {
        return;
    }
    logEvent(Event::kStreamVersions, {{"service", record.service.value},
                                      {"sets", SetsText(record)},
                                      {"stream_ms", std::to_string(record.streamTime)},
                                      {"revision", std::to_string(record.revision)}});
    service.record = std::move(record);
    service.agreed.reset();
    service.dueSince.reset();
    service.planner.observe(&*service.record, now);
}

// A record that cannot be read may hold any version.
std::optional<MonoTime> VersionRecordController::knownAsOf(const Service& service) const {
    if (service.isUnreadable) {
        return std::nullopt;
    }
    return service.agreed && m_asOf ? std::max(*service.agreed, *m_asOf) : m_asOf;
}

bool VersionRecordController::knowsAll() const {
    return m_asOf && std::all_of(m_services.begin(), m_services.end(), [](const auto& service) {
               return service.second.record.has_value();
           });
}

VersionRule VersionRecordController::ruleToBegin(const ServiceId& service, uint64_t fingerprint,
                                                 Millis takeUpTime, MonoTime now) const {
    const auto found = m_services.find(service);
    const auto asOf = found == m_services.end() ? std::nullopt : knownAsOf(found->second);
    if (!asOf) {
        return NoVersion{};
    }
    const auto& record = found->second.record;
    if (!record) {
        return NoVersion{};  // The first record will not allow for streams from before it.
    }
    if (!allows(found->second, takeUpTime)) {
        return NoVersion{};  // The record may be settled while the stream can be taken up.
    }
    if (!isRecent(found->second, now)) {
        return NoVersion{};
    }
    const auto version = record->versionToBegin(fingerprint);
    return version ? VersionRule(OnlyVersion{*version}) : VersionRule(AnyVersion{});
}

Task<std::optional<std::string>> VersionRecordController::findVersion(ServiceId service,
                                                                      uint64_t fingerprint) {
    const MonoTime begun = ReadClocks().mono;
    const MonoTime until = begun + kFindTimeout;
    while (!m_asOf || *m_asOf < begun) {
        const MonoTime now = ReadClocks().mono;
        if (now >= until || (m_failed && *m_failed >= begun)) {
            co_return std::nullopt;
        }
        if (!m_reading) {
            m_reading = true;
            Spawn(m_io.get_executor(), read());
        }
        boost::system::error_code ec;
        asio::steady_timer limit(m_io, std::chrono::milliseconds(until - now));
        limit.async_wait([this](const boost::system::error_code& failed) {
            if (!failed) {
                m_readEnded.cancel();
            }
        });
        co_await m_readEnded.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const auto found = m_services.find(service);
    const bool isKnown =
        found != m_services.end() && found->second.record && !found->second.isUnreadable;
    co_return isKnown ? found->second.record->versionThatBegan(fingerprint) : std::nullopt;
}

bool VersionRecordController::determines(const StreamOrigin& origin, uint64_t fingerprint) const {
    const auto found = m_services.find(ServiceId{origin.service});
    return found != m_services.end() && found->second.record && !found->second.isUnreadable &&
           found->second.record->versionThatBegan(fingerprint) == origin.version;
}

Millis VersionRecordController::settlesIn(const ServiceId& service, MonoTime now) const {
    const auto found = m_services.find(service);
    return found == m_services.end() || !found->second.record
               ? 0
               : found->second.planner.settlesIn(*found->second.record, now);
}

// Where one version was there all the time, as far as this box can know, it goes on without the
// store. A part of the list does not tell that.
bool VersionRecordController::isRecent(const Service& service, MonoTime now) const {
    const auto asOf = knownAsOf(service);
    const bool isAlone = service.record && HasOneVersion(*service.record) && !service.dueSince &&
                         m_upstreams.hasList();
    return asOf && (isAlone || now - *asOf <= VersionRecordPlanner::kMaxAgeMs);
}

// Rounded up, so that few callers change the record.
void VersionRecordController::noteTime(Service& service, Millis time) {
    Millis& known = service.inputs.streamTime;
    while (!allows(service, time) && known < std::min(time, kMaxStreamTime)) {
        known = std::min(std::max<Millis>(2 * known, 1), kMaxStreamTime);
    }
}

Task<> VersionRecordController::noteStreamTime(ServiceId service, Millis time) {
    const MonoTime until = ReadClocks().mono + std::min(kFindTimeout, time);
    for (auto found = m_services.find(service); found != m_services.end();
         found = m_services.find(service)) {
        noteTime(found->second, time);
        if (allows(found->second, time) || m_failed || ReadClocks().mono >= until) {
            co_return;
        }
        co_await SleepFor(kStepPeriod);
    }
}

Task<> VersionRecordController::prepareToBegin(ServiceId service, Millis time) {
    const MonoTime until = ReadClocks().mono + std::min(kFindTimeout, time);
    for (auto found = m_services.find(service); found != m_services.end();
         found = m_services.find(service)) {
        noteTime(found->second, time);
        const MonoTime now = ReadClocks().mono;
        const bool may = allows(found->second, time) && isRecent(found->second, now);
        if (may || m_failed || found->second.isUnreadable || now >= until) {
            co_return;
        }
        if (found->second.record && !isRecent(found->second, now)) {
            readNow();
        }
        co_await SleepFor(kStepPeriod);
    }
}

bool VersionRecordController::allows(const Service& service, Millis time) {
    return service.record && std::min(time, kMaxStreamTime) <= service.record->streamTime;
}

Millis VersionRecordController::streamTime(const ServiceId& service) const {
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return 0;
    }
    const auto& record = found->second.record;
    return std::max(found->second.inputs.streamTime, record ? record->streamTime : 0);
}

}  // namespace onyx
