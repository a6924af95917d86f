// One kind of objects of the store, followed: read once from a copy, then watched, listed after a
// gap. Before each call it asks whether it may make one: a box that relies on others makes none.
//
// A connection may go silent for good, without a word. Besides a time-out, two things speak against
// the connection of a watch that is under way: another watch of the box had to be sent again on a
// new connection (replaceConnection()), or the answer of another one tells a newer revision and
// none comes here (noteStoreRevision()). The watch is then abandoned and sent again on a new
// connection.
//
// Owns its connection to the store. Relies on StorePacing and StateAge for when to call and for
// what an answer covers, and on the dialect for the words.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/net/Net.h"
#include "include/store/PagedList.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace onyx {

// All times in milliseconds.
struct StoreWatchSettings {
    Endpoint store;
    ObjectKind kind = ObjectKind::kConfiguration;
    Millis timeout = 1500;   // The most for an answer, beyond the time that a watch is held.
    bool staggered = false;  // Watches are held for StaggeredWait of their time, not for all of it.
};

// Why the store is called.
enum class StoreCallCause : uint8_t {
    kStart,         // The first call of the process: a copy is read.
    kNewer,         // Another box has something newer: a copy is read.
    kNothingKnown,  // Nothing to watch from is known: a list.
    kPage,          // The next page of a list.
    kPagesDiffer,   // The pages of a list are as of different revisions: a watch from the oldest.
    kHistoryGone,   // The store has forgotten the changes since: a list.
    kRestored,      // The store is at a lower revision than before: a list.
    kUnreadable,    // The last answer could not be read: a list.
    kUnchanged,     // The last watch ended without changes: a watch.
    kChanged,       // The last call brought something: a watch.
    kConfirm,       // This box relied on others, or just started: a short watch.
    kRetry,         // The last call failed.
    kSilentElsewhere,  // The connection is as old as one that was silent: a short watch.
    kNewerRevision,    // Another answer tells a newer revision, and none came here: a short watch.
};

// The cause as it stands in the log and in metrics. Thread safety: any thread.
std::string_view StoreCallCauseName(StoreCallCause cause);

// One call and its end.
struct StoreCall {
    StoreCallCause cause = StoreCallCause::kStart;
    std::string target;
    std::string end;   // The status, or the error.
    Millis took = 0;   // In milliseconds.
    size_t bytes = 0;  // Of the answer's body.
};

// What the store answered: a list, or changes of one.
struct StoreUpdate {
    std::vector<StoredObject> objects;
    // The objects are all that there are. Otherwise they are changes, or the first page of a long
    // list, which the changes since its revision follow.
    bool whole = false;
    bool isCopy = false;  // It may be behind the store.
    // Everything acknowledged before this is covered. Nothing: it was read from a copy, or there
    // may be more changes.
    std::optional<MonoTime> asOf;
    uint64_t revision = 0;
};

// Keeps one connection and has one call under way at a time. Not thread safe: one io_context.
class StoreWatch {
public:
    struct Sink {
        std::function<void(const StoreUpdate&)> onUpdate;
        // The store answers again (empty text), or does not, and why. Called on changes only.
        std::function<void(const std::string&)> onReachable;
        std::function<void(const StoreCall&)> onCall;  // A call has ended.
        std::function<bool()> mayCall;  // Whether the store may be called now; see StoreCallPolicy.
        // Whether the rest of a copy, whose first page was read, is left to other boxes: the page
        // is reported then, and the next call is made once it is allowed. Asked after the first
        // page.
        std::function<bool()> leavesRestToPeers;
        // The store's revision up to which this box knows the objects, whoever told it; 0: unknown.
        std::function<uint64_t()> knownRevision;
        std::function<Millis()> wait;               // How long the next watch is held.
        std::function<Millis()> pauseAfterChanges;  // The others: see StorePacing.
        std::function<Millis(Millis previous)> pauseAfterFailure;
        // How late the answer to a watch may be that is held for `wait`, by how late the last one
        // was; see AnswerTime.
        std::function<Millis(Millis wait, Millis lateness)> answerTime;
        // No answer came on the connection until `silentAt`, and a new one works.
        std::function<void(MonoTime silentAt)> onSilenceEnded;
    };

    // Preconditions: the dialect outlives the watch.
    StoreWatch(asio::any_io_executor executor, const Dialect& dialect, StoreWatchSettings settings,
               Sink sink);

    // Follows the objects until the process ends. Preconditions: called once.
    Task<> run();

    // Asks again whether it may call. Preconditions: none.
    void wake() { m_wake.cancel(); }

    // Reads a copy once more, also while it may not call: that costs little. Preconditions: none.
    void readCopySoon();

    // Another connection to the store was found silent at `silentAt`, and a new one works: one on
    // which nothing has come since is replaced, and a watch under way there is sent again.
    // Preconditions: none.
    void replaceConnection(MonoTime silentAt);

    // The store has reached `revision`, by the answer to another watch. If this one has not heard
    // of it and hears nothing within `margin` milliseconds, its connection is replaced.
    // Preconditions: margin >= 0.
    void noteStoreRevision(uint64_t revision, Millis margin);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    // Bytes that are read ahead of the parser.
    static constexpr size_t kMaxBuffered = size_t{64} * 1024;

    enum class CallKind : uint8_t { kList, kWatch };

    struct Answer {
        unsigned status = 0;
        std::string body;
    };

    // One answer of a watch.
    struct Changes {
        ObjectChanges content;
        // Everything acknowledged before this is covered. Nothing: more changes may follow, which
        // the next watch, a short one, brings.
        std::optional<MonoTime> asOf;
    };

    Task<Result<bool>> list(ListSource source);
    Task<Result<bool>> catchUp(PagedList& list);
    void reportFirstPage(const PagedList& list);
    void reportList(PagedList& list, ListSource source, MonoTime begun);
    void reportCaughtUp(PagedList& list, std::optional<MonoTime> asOf);
    Task<Result<ObjectPage>> readPage(std::string after, ListSource source);
    Task<Result<bool>> watch();
    // Reads the changes since `revision`. Nothing: they are not to be had, and a list is due.
    Task<Result<std::optional<Changes>>> readChanges(uint64_t revision, Millis wait);
    Task<> waitUntilAllowed();
    Task<> callOnce();
    Task<Result<bool>> makeCall();
    void startAfterWait(MonoTime waitedSince);
    void listAgain(StoreCallCause cause);
    Millis nextWait();
    Millis answerTime(Millis wait) const;
    void noteSuccess();
    void abandonWatch(StoreCallCause cause);
    Task<Result<Answer>> call(std::string target, Millis timeout, CallKind kind);
    Task<Result<Answer>> exchangeOnce(const std::string& target, Millis timeout, CallKind kind);
    Task<boost::beast::error_code> exchange(const std::string& target, Parser& parser);
    Task<Result<bool>> connect();
    void disconnect();
    Error badStatus(const char* step, unsigned status) const;
    Millis pauseAfterFailure();
    void noteReachable(const std::string& why);
    void report(StoreUpdate update);

    asio::any_io_executor m_executor;
    const Dialect& m_dialect;
    StoreWatchSettings m_settings;
    Sink m_sink;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer{kMaxBuffered};
    asio::steady_timer m_wake;                        // Cancelled when a call may be allowed.
    StoreCallCause m_cause = StoreCallCause::kStart;  // Of the next call.
    bool m_copyWanted = true;
    bool m_listed = false;  // There is a revision to watch from.
    // The last list was read from the store itself, and no answer of a watch has come since.
    bool m_isListNew = false;
    uint64_t m_revision = 0;
    MonoTime m_asOf;  // Everything acknowledged before this is known.
    std::minstd_rand m_random{std::random_device{}()};
    Millis m_pause = 0;
    bool m_failed = false;               // The last call.
    bool m_callPending = false;          // A call is under way.
    bool m_watchPending = false;         // A watch waits for its answer on the connection.
    uint64_t m_watches = 0;              // Sent so far.
    uint64_t m_checkedWatch = 0;         // That noteStoreRevision() waits for; by number.
    asio::steady_timer m_check;          // Of noteStoreRevision().
    bool m_abandoned = false;            // The watch under way; it ends with an error.
    MonoTime m_lastHeard;                // The connection was opened, or an answer came on it.
    std::optional<MonoTime> m_silentAt;  // The last call timed out then.
    Millis m_lateness = 0;  // Of the last answer to a watch that ended without changes.
    std::string m_unreachable = "not asked yet";
};

}  // namespace onyx
