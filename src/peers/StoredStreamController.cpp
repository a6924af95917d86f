#include "include/peers/StoredStreamController.h"

#include "include/base/Hash.h"
#include "include/store/ListCursor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kStepPeriod = 50;
constexpr Millis kMinPeriod = 400;    // Between two writes of one box.
constexpr double kWriteShare = 0.25;  // Of the writes that the store takes.
constexpr Millis kReadGap = 300;      // Between the beginnings of two reads.
constexpr Millis kFindTimeout = 500;  // A caller waits no longer for the store.

}  // namespace

StoredStreamController::StoredStreamController(asio::io_context& io,
                                               const GatewaySettings& settings,
                                               const Dialect& dialect, Metrics& metrics, Sink sink)
    : m_io(io),
      m_settings(settings),
      m_dialect(dialect),
      m_metrics(metrics),
      m_sink(std::move(sink)),
      m_store(io.get_executor(), settings.store, settings.storeTimeout),
      m_readEnded(io, asio::steady_timer::time_point::max()) {}

Task<> StoredStreamController::run() {
    while (true) {
        step(ReadClocks().mono);
        co_await SleepFor(kStepPeriod);
    }
}

void StoredStreamController::add(const std::string& stream, const StreamOrigin& origin,
                                 uint64_t fingerprint, MonoTime until) {
    const uint64_t hash = HashText(stream);
    if (m_streams.size() < kMaxStreams || m_streams.contains(hash)) {
        m_streams[hash] = {origin, fingerprint, until, false};
    }
}

Millis StoredStreamController::period() const {
    const double writes = m_settings.storeWrites * kWriteShare;
    return std::max(kMinPeriod,
                    static_cast<Millis>(static_cast<double>(m_sink.boxes()) * 1000 / writes));
}

// Ended streams stay: their callers may be on their way back.
void StoredStreamController::step(MonoTime now) {
    std::erase_if(m_streams, [&](const auto& entry) { return entry.second.until <= now; });
    if (m_writing || (m_written && now - *m_written < period())) {
        return;
    }
    StoredStreams stored{m_settings.box, m_revision, {}};
    std::map<uint64_t, MonoTime> due;
    for (const auto& [id, stream] : m_streams) {
        if (stream.isAdopted || !m_sink.isDetermined(stream.origin, stream.fingerprint)) {
            stored.streams.push_back({id, stream.origin, stream.until - now});
            due[id] = stream.until;
        }
    }
    // Streams that are over are left in the object until something else changes.
    const bool isStored = std::all_of(due.begin(), due.end(), [&](const auto& stream) {
        const auto found = m_stored.find(stream.first);
        return found != m_stored.end() && found->second >= stream.second;
    });
    if (isStored) {
        return;
    }
    if (!m_adopted) {
        if (!m_reading && (!m_readFailed || now - *m_readFailed >= kReadGap)) {
            m_reading = true;
            Spawn(m_io.get_executor(), read());
        }
        return;
    }
    m_writing = true;
    m_written = now;
    m_stored = std::move(due);
    Spawn(m_io.get_executor(), write(std::move(stored)));
}

Task<> StoredStreamController::write(StoredStreams stored) {
    StoreWrite call = m_dialect.storedStreamsWrite(stored);
    const auto answer = co_await m_store.write(std::move(call));
    m_writing = false;
    const std::string end =
        answer.has_error() ? answer.error().text() : std::to_string(answer.value().status);
    m_metrics.count("onyx_stored_streams_calls_total",
                    {{"call", "write"}, {"end", answer.has_error() ? "error" : end}});
    const auto current = answer.has_error() ? Result<StoredStreams>(answer.error())
                                            : m_dialect.readStoredStreams(answer.value().body);
    const bool isOwn = current.has_value() && current.value().box == m_settings.box;
    if (isOwn) {
        m_revision = current.value().revision;
    }
    if (!isOwn || current.value().streams.size() != stored.streams.size()) {
        m_stored.clear();  // It is not known to be there: written again.
    }
    // Without the object's revision it cannot be replaced.
    m_adopted = m_adopted && isOwn;
}

Task<> StoredStreamController::read() {
    const MonoTime begun = ReadClocks().mono;
    const auto result = co_await readPages();
    m_reading = false;
    m_metrics.count("onyx_stored_streams_calls_total",
                    {{"call", "read"}, {"end", result.has_error() ? "error" : "ok"}});
    if (result.has_error()) {
        m_readFailed = ReadClocks().mono;
    } else {
        m_readFailed.reset();
        m_readBegun = begun;
        m_adopted = true;
    }
    m_readEnded.cancel();
}

Task<Result<bool>> StoredStreamController::readPages() {
    std::unordered_map<uint64_t, StreamOrigin> streams;
    ListCursor cursor;
    while (cursor.hasMore()) {
        const auto body = co_await m_store.read(m_dialect.storedStreamsTarget(cursor.after()));
        if (body.has_error()) {
            co_return body.error();
        }
        const auto page = m_dialect.readStoredStreamsPage(body.value());
        if (page.has_error()) {
            co_return page.error();
        }
        for (const StoredStreams& stored : page.value().objects) {
            for (const StoredStream& entry : stored.streams) {
                streams[entry.stream] = entry.origin;
            }
            if (stored.box == m_settings.box && !m_adopted) {
                adopt(stored, ReadClocks().mono);
            }
        }
        cursor.addPage(page.value().lastName, page.value().more);
        if (cursor.isStuck()) {
            co_return Error{ErrorCode::kProtocol, "store.list", "", "the pages repeat"};
        }
    }
    m_read = std::move(streams);
    co_return true;
}

// An earlier life of this box had stored streams that callers may be about to take up; this box's
// own object is to keep them.
void StoredStreamController::adopt(const StoredStreams& stored, MonoTime now) {
    m_revision = std::max(m_revision, stored.revision);
    for (const StoredStream& entry : stored.streams) {
        m_streams.try_emplace(entry.stream, Stream{entry.origin, 0, now + entry.left, true});
    }
}

Task<std::optional<StreamOrigin>> StoredStreamController::find(std::string stream,
                                                               std::string service) {
    const uint64_t hash = HashText(stream);
    const MonoTime begun = ReadClocks().mono;
    const MonoTime until = begun + kFindTimeout;
    // What was read a moment ago is good enough: the stream broke off before it was taken up.
    const MonoTime recent = begun - kReadGap;
    while (!m_read.contains(hash) && (!m_readBegun || *m_readBegun < recent)) {
        const MonoTime now = ReadClocks().mono;
        if (now >= until || (m_readFailed && *m_readFailed >= begun)) {
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
    const auto found = m_read.find(hash);
    const bool isKnown = found != m_read.end() && found->second.service == service;
    co_return isKnown ? std::optional(found->second) : std::nullopt;
}

}  // namespace onyx
