// One kind of objects of the store, followed: listed once, then watched, listed again after a gap.
// It can be paused while another box is followed.
//
// Owns its connection to the store. Relies on StorePacing and KnowledgeAge for when to call and for
// what an answer covers, and on the dialect for the words.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/net/Net.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace onyx {

// All times in milliseconds.
struct StoreWatchSettings {
    Endpoint store;
    ObjectKind kind = ObjectKind::kConfiguration;
    Millis timeout = 1500;   // For an answer, beyond the time that a watch is held.
    bool staggered = false;  // Watches are held for StaggeredWait of their time, not for all of it.
};

// What the store answered: a list, or changes of one.
struct StoreUpdate {
    std::vector<StoredObject> objects;
    bool whole = false;  // The objects are all that there are, not changes.
    MonoTime asOf;       // Everything acknowledged before this is covered.
    uint64_t revision = 0;
};

// Keeps one connection and has one call under way at a time. Not thread safe: one io_context.
class StoreWatch {
public:
    struct Sink {
        std::function<void(const StoreUpdate&)> onUpdate;
        // The store answers again (empty text), or does not, and why. Called on changes only.
        std::function<void(const std::string&)> onReachable;
        std::function<void()> onCall;               // A call was sent.
        std::function<Millis()> wait;               // How long the next watch is held.
        std::function<Millis()> pauseAfterChanges;  // The others: see StorePacing.
        std::function<Millis()> pauseAfterList;
        std::function<Millis()> maxPauseAfterFailure;
    };

    // Preconditions: the dialect outlives the watch.
    StoreWatch(asio::any_io_executor executor, const Dialect& dialect, StoreWatchSettings settings,
               Sink sink);

    // Follows the objects until the process ends. Preconditions: called once.
    Task<> run();

    // Makes no more calls once the one under way has ended, until resume() or refresh().
    // Preconditions: none.
    void pause() { m_paused = true; }

    // Goes on, with a list. Preconditions: none.
    void resume();

    // Lists once more, also while it is paused. Preconditions: none.
    void refresh();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    struct Answer {
        unsigned status = 0;
        std::string body;
    };

    Task<Result<bool>> list();
    Task<Result<ObjectPage>> readPage(std::string after);
    Task<Result<bool>> watch();
    Task<Result<bool>> takeChanges(std::string_view body, MonoTime sent, Millis wait);
    Task<> callOnce();
    Millis nextWait();
    Task<> waitWhilePaused();
    Task<> pauseAfterList();
    Task<Result<Answer>> call(std::string target, Millis timeout);
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
    boost::beast::flat_buffer m_buffer;
    asio::steady_timer m_wake;  // Cancelled when a pause may be over.
    bool m_paused = false;
    bool m_urgent = false;  // A pause after a list is to end.
    bool m_listed = false;
    uint64_t m_revision = 0;
    MonoTime m_asOf;  // Everything acknowledged before this is known.
    std::minstd_rand m_random{std::random_device{}()};
    Millis m_pause = 0;
    bool m_failed = false;  // The last call.
    std::string m_unreachable = "not asked yet";
};

}  // namespace onyx
