#include "include/store/StoreWatch.h"

#include "include/base/HttpStatus.h"
#include "include/freshness/StateAge.h"
#include "include/freshness/StorePacing.h"
#include "include/net/AnswerForm.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Millis kConnectTimeout = 1000;  // One lost packet of the opening is sent again.
// Bounds the memory that a call takes, whatever the store sends.
constexpr uint64_t kMaxAnswerBytes = uint64_t{8} << 20;
// In milliseconds. A revision this old can still be watched from: well within the shortest history
// of the stores so far (20 s).
constexpr Millis kRecent = 5000;
// Half of the smallest part in which the stores so far return what is too long for one answer.
constexpr size_t kMinPartBytes = size_t{512} << 10;
constexpr size_t kMinPartObjects = 250;

// Whether changes of this size may lack others that were made before the answer.
bool MayBePart(size_t bytes, size_t objects) {
    return bytes >= kMinPartBytes || objects >= kMinPartObjects;
}

}  // namespace

std::string_view StoreCallCauseName(StoreCallCause cause) {
    switch (cause) {
        case StoreCallCause::kStart:
            return "start";
        case StoreCallCause::kNewer:
            return "newer-elsewhere";
        case StoreCallCause::kNothingKnown:
            return "nothing-known";
        case StoreCallCause::kPage:
            return "page";
        case StoreCallCause::kPagesDiffer:
            return "pages-differ";
        case StoreCallCause::kHistoryGone:
            return "history-gone";
        case StoreCallCause::kRestored:
            return "restored";
        case StoreCallCause::kUnreadable:
            return "unreadable";
        case StoreCallCause::kUnchanged:
            return "unchanged";
        case StoreCallCause::kChanged:
            return "changed";
        case StoreCallCause::kConfirm:
            return "confirm";
        case StoreCallCause::kRetry:
            return "retry";
        case StoreCallCause::kSilentElsewhere:
            return "silent-elsewhere";
        case StoreCallCause::kNewerRevision:
            return "newer-revision";
    }
    return "invalid";
}

StoreWatch::StoreWatch(asio::any_io_executor executor, const Dialect& dialect,
                       StoreWatchSettings settings, Sink sink)
    : m_executor(std::move(executor)),
      m_dialect(dialect),
      m_settings(settings),
      m_sink(std::move(sink)),
      m_wake(m_executor, asio::steady_timer::time_point::max()),
      m_check(m_executor) {}

void StoreWatch::readCopySoon() {
    m_copyWanted = true;
    m_cause = StoreCallCause::kNewer;
    m_wake.cancel();
}

Task<> StoreWatch::run() {
    while (true) {
        co_await waitUntilAllowed();
        co_await callOnce();
    }
}

// The connection is closed, since the store may do so too, and without a word.
Task<> StoreWatch::waitUntilAllowed() {
    const MonoTime since = ReadClocks().mono;
    bool waited = false;
    while (!m_copyWanted && !m_sink.mayCall()) {
        waited = true;
        disconnect();
        m_wake.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ec;
        co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (waited && !m_copyWanted) {
        startAfterWait(since);
    }
}

// Other boxes told what changed meanwhile: the watch goes on from there, and at first only asks
// whether that is all. Where they do not tell revisions, a list costs no more than a watch that
// starts too far back.
void StoreWatch::startAfterWait(MonoTime waitedSince) {
    const uint64_t known = m_sink.knownRevision();
    if (known > 0) {
        m_listed = true;
        m_revision = known;
    } else if (ReadClocks().mono - waitedSince > kRecent) {
        m_listed = false;
    }
    m_asOf = MonoTime{};
    m_cause = m_listed ? StoreCallCause::kConfirm : StoreCallCause::kNothingKnown;
}

Task<Result<bool>> StoreWatch::makeCall() {
    if (m_copyWanted) {
        Result<bool> done = co_await list(ListSource::kCopy);
        // A copy that was asked for meanwhile is the one that has been read.
        m_copyWanted = false;
        co_return done;
    }
    if (!m_listed) {
        co_return co_await list(ListSource::kStore);
    }
    co_return co_await watch();
}

// Calls once, and pauses as is due after a failure.
Task<> StoreWatch::callOnce() {
    const Result<bool> done = co_await makeCall();
    if (done.has_value()) {
        noteSuccess();
        co_return;
    }
    disconnect();
    m_failed = true;
    if (std::exchange(m_abandoned, false)) {
        co_return;  // Sent again at once: nothing says that the store fails.
    }
    m_cause = StoreCallCause::kRetry;
    noteReachable(done.error().text());
    const Millis pause = pauseAfterFailure();
    co_await SleepFor(pause);
}

void StoreWatch::noteSuccess() {
    noteReachable("");
    // A list is of use only if it can be watched from.
    m_pause = m_isListNew ? m_pause : 0;
    m_failed = false;
    if (const auto silentAt = std::exchange(m_silentAt, std::nullopt)) {
        m_sink.onSilenceEnded(*silentAt);
    }
}

void StoreWatch::replaceConnection(MonoTime silentAt) {
    if (m_lastHeard >= silentAt) {
        return;
    }
    if (m_watchPending) {
        abandonWatch(StoreCallCause::kSilentElsewhere);
    } else if (!m_callPending) {
        disconnect();
    }
}

void StoreWatch::noteStoreRevision(uint64_t revision, Millis margin) {
    if (!m_watchPending || revision <= m_revision || m_checkedWatch == m_watches) {
        return;
    }
    m_checkedWatch = m_watches;
    m_check.expires_after(std::chrono::milliseconds(margin));
    m_check.async_wait([this, watch = m_watches](const boost::system::error_code& ec) {
        if (!ec && m_watchPending && watch == m_watches) {
            abandonWatch(StoreCallCause::kNewerRevision);
        }
    });
}

void StoreWatch::abandonWatch(StoreCallCause cause) {
    m_abandoned = true;
    m_cause = cause;
    m_stream->cancel();
}

Millis StoreWatch::pauseAfterFailure() {
    m_pause = m_sink.pauseAfterFailure(m_pause);
    return std::uniform_int_distribution<Millis>(m_pause / 2, m_pause)(m_random);
}

void StoreWatch::noteReachable(const std::string& why) {
    const bool changed = why.empty() != m_unreachable.empty();
    m_unreachable = why;
    if (changed) {
        m_sink.onReachable(why);
    }
}

Error StoreWatch::badStatus(const char* step, unsigned status) const {
    return Error{ErrorCode::kUnavailable, step, EndpointText(m_settings.store),
                 "status " + std::to_string(status)};
}

Task<Result<ObjectPage>> StoreWatch::readPage(std::string after, ListSource source) {
    std::string target = m_dialect.listTarget(m_settings.kind, after, source);
    const Result<Answer> answer =
        co_await call(std::move(target), m_settings.timeout, CallKind::kList);
    if (answer.has_error()) {
        co_return answer.error();
    }
    if (answer.value().status != HttpStatus::kOk) {
        co_return badStatus("store.list", answer.value().status);
    }
    co_return m_dialect.readPage(m_settings.kind, answer.value().body);
}

Task<Result<bool>> StoreWatch::list(ListSource source) {
    const MonoTime begun = ReadClocks().mono;
    PagedList list;
    while (list.hasMorePages()) {
        m_cause = list.pages() > 0 ? StoreCallCause::kPage : m_cause;
        std::string after = list.lastName();
        Result<ObjectPage> page = co_await readPage(std::move(after), source);
        if (page.has_error()) {
            co_return page.error();
        }
        list.addPage(std::move(page.value()));
        if (list.isStuck()) {
            co_return Error{ErrorCode::kProtocol, "store.list", EndpointText(m_settings.store),
                            "the pages repeat after " + list.lastName()};
        }
        const bool isLong = list.pages() == 1 && list.hasMorePages() &&
                            source == ListSource::kCopy &&
                            m_settings.kind == ObjectKind::kUpstreams;
        if (!isLong) {
            continue;
        }
        const bool isKnown = m_sink.knownRevision() > 0;
        const bool leavesRest = m_sink.leavesRestToPeers();
        if (isKnown) {
            continue;
        }
        reportFirstPage(list);
        if (leavesRest) {
            co_return true;
        }
        // Confirms the first page before the rest is read, which takes seconds for a long list.
        const Result<bool> confirmed = co_await watch();
        if (confirmed.has_error() || !m_listed) {
            co_return confirmed;
        }
    }
    m_isListNew = source == ListSource::kStore;
    if (!list.isConsistent()) {
        co_return co_await catchUp(list);
    }
    reportList(list, source, begun);
    co_return true;
}

void StoreWatch::reportFirstPage(const PagedList& list) {
    m_listed = true;
    m_cause = StoreCallCause::kConfirm;
    StoreUpdate update;
    update.isCopy = true;
    update.objects.assign(list.pageObjects().begin(), list.pageObjects().end());
    update.revision = list.revision();
    report(std::move(update));
}

void StoreWatch::reportList(PagedList& list, ListSource source, MonoTime begun) {
    m_listed = true;
    m_cause = source == ListSource::kCopy ? StoreCallCause::kConfirm : StoreCallCause::kChanged;
    StoreUpdate update;
    update.whole = true;
    update.isCopy = source == ListSource::kCopy;
    if (!update.isCopy) {
        update.asOf = begun;
    }
    update.revision = list.revision();
    update.objects = list.takeObjects();
    report(std::move(update));
}

// Reads the changes since the oldest page. Nothing is reported before they are known: a change that
// a page lacks would be missed here, and by all boxes that take their list from this one.
Task<Result<bool>> StoreWatch::catchUp(PagedList& list) {
    std::optional<MonoTime> asOf;
    while (!list.isConsistent()) {
        m_cause = StoreCallCause::kPagesDiffer;
        Result<std::optional<Changes>> read =
            co_await readChanges(list.revision(), kMinWatchWaitMs);
        if (read.has_error()) {
            co_return read.error();
        }
        if (!read.value()) {
            co_return true;
        }
        Changes& changes = *read.value();
        asOf = changes.asOf;
        const bool unchanged = changes.content.objects.empty();
        list.addChanges(std::move(changes.content), !asOf);
        if (unchanged && !list.isConsistent()) {
            listAgain(StoreCallCause::kRestored);  // The store is behind one of its copies.
            co_return true;
        }
    }
    reportCaughtUp(list, asOf);
    co_return true;
}

void StoreWatch::reportCaughtUp(PagedList& list, std::optional<MonoTime> asOf) {
    m_listed = true;
    m_cause = StoreCallCause::kChanged;
    StoreUpdate update;
    update.asOf = asOf;
    update.revision = list.revision();
    const uint64_t known = m_sink.knownRevision();
    if (known > 0 && known >= list.oldestPage()) {
        // What is known here already may be a part of the list; then the changes tell it also what
        // was removed from the rest.
        update.objects.assign(list.changes().begin(), list.changes().end());
        report(update);
    }
    update.whole = true;
    update.objects = list.takeObjects();
    report(std::move(update));
}

void StoreWatch::report(StoreUpdate update) {
    m_revision = update.revision;
    m_asOf = update.asOf.value_or(MonoTime{});
    m_sink.onUpdate(update);
}

void StoreWatch::listAgain(StoreCallCause cause) {
    m_listed = false;
    m_cause = cause;
}

Millis StoreWatch::nextWait() {
    const Millis wait = m_sink.wait();
    if (m_failed) {
        return std::min(kMinWatchWaitMs, wait);
    }
    const Millis most = m_settings.staggered ? StaggeredWait(wait, m_random()) : wait;
    return WaitForMaxAge(most, ReadClocks().mono - m_asOf, std::min(kMinWatchWaitMs, most));
}

Task<Result<bool>> StoreWatch::watch() {
    Result<std::optional<Changes>> read = co_await readChanges(m_revision, nextWait());
    if (read.has_error()) {
        co_return read.error();
    }
    if (!read.value()) {
        co_return true;
    }
    Changes& changes = *read.value();
    StoreUpdate update;
    update.objects = std::move(changes.content.objects);
    update.revision = changes.content.revision;
    update.asOf = changes.asOf;
    const bool unchanged = update.objects.empty();
    m_cause = unchanged ? StoreCallCause::kUnchanged : StoreCallCause::kChanged;
    report(std::move(update));
    const Millis pause = unchanged ? 0 : m_sink.pauseAfterChanges();
    if (pause > 0) {
        co_await SleepFor(pause);
    }
    co_return true;
}

Task<Result<std::optional<StoreWatch::Changes>>> StoreWatch::readChanges(uint64_t revision,
                                                                         Millis wait) {
    const MonoTime sent = ReadClocks().mono;
    std::string target = m_dialect.watchTarget(m_settings.kind, revision, wait);
    const Millis timeout = wait + answerTime(wait);
    const Result<Answer> answer = co_await call(std::move(target), timeout, CallKind::kWatch);
    if (answer.has_error()) {
        co_return answer.error();
    }
    const bool isListNew = std::exchange(m_isListNew, false);
    if (answer.value().status == HttpStatus::kGone) {
        listAgain(StoreCallCause::kHistoryGone);
        if (isListNew) {
            // The next list may be too old as soon as it has been read as well: pause first.
            co_return badStatus("store.watch", HttpStatus::kGone);
        }
        co_return std::nullopt;
    }
    if (answer.value().status != HttpStatus::kOk) {
        co_return badStatus("store.watch", answer.value().status);
    }
    Result<ObjectChanges> read = m_dialect.readChanges(m_settings.kind, answer.value().body);
    if (read.has_error()) {
        listAgain(StoreCallCause::kUnreadable);
        co_return read.error();
    }
    if (read.value().revision < revision) {
        listAgain(StoreCallCause::kRestored);  // What is here may be ahead of it.
        co_return std::nullopt;
    }
    Changes changes{std::move(read.value()), std::nullopt};
    const size_t count = changes.content.objects.size();
    if (count == 0) {
        m_lateness = std::max<Millis>(0, ReadClocks().mono - sent - wait);
    }
    if (!MayBePart(answer.value().body.size(), count)) {
        changes.asOf = WatchConfirmedAsOf(sent, ReadClocks().mono, wait, count == 0);
    }
    co_return std::optional<Changes>(std::move(changes));
}

// After a failure all the time is given: a second call that is abandoned too early would be one
// more of many.
Millis StoreWatch::answerTime(Millis wait) const {
    return m_failed ? m_settings.timeout : m_sink.answerTime(wait, m_lateness);
}

void StoreWatch::disconnect() {
    m_stream.reset();
    m_buffer.clear();
}

Task<Result<bool>> StoreWatch::connect() {
    m_stream = std::make_unique<beast::tcp_stream>(m_executor);
    m_buffer.clear();
    m_stream->expires_after(std::chrono::milliseconds(kConnectTimeout));
    beast::error_code ec;
    co_await m_stream->async_connect(m_settings.store,
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Error{ErrorCode::kUnavailable, "store.connect", EndpointText(m_settings.store),
                        ec.message()};
    }
    m_stream->socket().set_option(Tcp::no_delay(true), ec);
    m_lastHeard = ReadClocks().mono;
    co_return true;
}

Task<Result<StoreWatch::Answer>> StoreWatch::call(std::string target, Millis timeout,
                                                  CallKind kind) {
    const MonoTime sent = ReadClocks().mono;
    StoreCall call{m_cause, std::move(target)};
    m_callPending = true;
    Result<Answer> answer = co_await exchangeOnce(call.target, timeout, kind);
    m_callPending = false;
    call.took = ReadClocks().mono - sent;
    call.bytes = answer.has_value() ? answer.value().body.size() : 0;
    call.end = answer.has_error() ? answer.error().text() : std::to_string(answer.value().status);
    m_sink.onCall(call);
    co_return answer;
}

Task<Result<StoreWatch::Answer>> StoreWatch::exchangeOnce(const std::string& target, Millis timeout,
                                                          CallKind kind) {
    if (!m_stream) {
        const Result<bool> connected = co_await connect();
        if (connected.has_error()) {
            co_return connected.error();
        }
    }
    m_stream->expires_after(std::chrono::milliseconds(timeout));
    Parser parser;
    parser.body_limit(kMaxAnswerBytes);
    m_watchPending = kind == CallKind::kWatch;
    m_watches += m_watchPending ? 1 : 0;
    const beast::error_code ec = co_await exchange(target, parser);
    m_watchPending = false;
    if (ec) {
        // An answer that was lost may still come: nothing more is read from this connection.
        disconnect();
        if (ec == beast::error::timeout) {
            m_silentAt = ReadClocks().mono;
        }
        co_return Error{ErrorCode::kTimeout, "store.call", EndpointText(m_settings.store),
                        ec.message()};
    }
    m_abandoned = false;  // The answer came all the same.
    m_lastHeard = ReadClocks().mono;
    if (!IsAnswerHead(parser.get())) {
        disconnect();
        co_return Error{ErrorCode::kProtocol, "store.call", EndpointText(m_settings.store),
                        "no answer"};
    }
    Answer answer{parser.get().result_int(), std::move(parser.get().body())};
    if (!parser.get().keep_alive()) {
        disconnect();
    }
    co_return answer;
}

Task<beast::error_code> StoreWatch::exchange(const std::string& target, Parser& parser) {
    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, EndpointText(m_settings.store));
    beast::error_code ec;
    co_await http::async_write(*m_stream, request, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        co_await http::async_read(*m_stream, m_buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec;
}

}  // namespace onyx
