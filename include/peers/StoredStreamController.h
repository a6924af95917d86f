// Keeps the origins of streams in the store, for the case that all boxes that know them are lost.
//
// A box stores the origins of those of its streams whose version does not follow from the record of
// versions (VersionRecordController::determines), which is the case for some seconds after the
// versions of a service have changed. It writes them in one object of its own, at most so often
// that all boxes together use a part of the writes that the store takes. A box at which a stream is
// taken up that no box knows reads the objects of all boxes. Streams that began since the last
// write are not found then, and their takeovers are refused.
//
// Owns the box's object and its streams. Relies on Dialect for the words.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/observe/Metrics.h"
#include "include/state/GatewaySettings.h"
#include "include/store/StoreCaller.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// Not thread safe: one io_context.
class StoredStreamController {
public:
    struct Sink {
        std::function<size_t()> boxes;  // Of the site.
        // Whether the record of versions determines the origin of a stream.
        std::function<bool(const StreamOrigin&, uint64_t fingerprint)> isDetermined;
    };

    // Preconditions: settings, dialect and metrics outlive the controller.
    StoredStreamController(asio::io_context& io, const GatewaySettings& settings,
                           const Dialect& dialect, Metrics& metrics, Sink sink);

    // Writes what is due until the process ends. Preconditions: called once.
    Task<> run();

    // Records that this box has passed on the first event of the stream that the request `stream`
    // began, or goes on with it; its caller can take it up until `until`.
    // Preconditions: `until` is at most ten minutes away.
    void add(const std::string& stream, const StreamOrigin& origin, uint64_t fingerprint,
             MonoTime until);

    // Returns the origin of a stream of `service` by what boxes have stored; nullopt if they have
    // not, or if the store does not answer soon. Preconditions: none.
    Task<std::optional<StreamOrigin>> find(std::string stream, std::string service);

private:
    // Streams of one box that are kept at most. Beyond it none is added.
    static constexpr size_t kMaxStreams = 4096;

    struct Stream {
        StreamOrigin origin;
        uint64_t fingerprint = 0;
        MonoTime until;
        bool isAdopted = false;  // Of an earlier life of this box: stored whatever the record says.
    };

    void step(MonoTime now);
    Millis period() const;
    Task<> write(StoredStreams stored);
    Task<> read();
    Task<Result<bool>> readPages();
    void adopt(const StoredStreams& stored, MonoTime now);

    asio::io_context& m_io;
    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    Metrics& m_metrics;
    Sink m_sink;
    StoreCaller m_store;
    std::map<uint64_t, Stream> m_streams;
    std::unordered_map<uint64_t, StreamOrigin> m_read;  // Of all boxes, as last read.
    std::optional<MonoTime> m_readBegun;                // Of the last read that succeeded.
    std::optional<MonoTime> m_readFailed;
    bool m_reading = false;
    bool m_adopted = false;  // What an earlier life of this box had stored is known.
    uint64_t m_revision = 0;
    std::optional<MonoTime> m_written;
    std::map<uint64_t, MonoTime> m_stored;  // What the object has, with its end.
    bool m_writing = false;
    asio::steady_timer m_readEnded;  // Cancelled whenever a read ends.
};

}  // namespace onyx
