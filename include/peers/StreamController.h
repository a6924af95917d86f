// Finds and announces the origins of streams: which service and software version began each of
// them, so that whichever box a caller comes back to sends it to the same version.
//
// Owns the queries under way. Relies on StreamOriginExchange for all decisions, on PeerDatagrams
// for sending, on UpstreamList for the versions that are listed and on PeerMesh for the boxes of
// the site.
#pragma once

#include "include/base/Hash.h"
#include "include/peers/PeerDatagrams.h"
#include "include/peers/PeerMesh.h"
#include "include/peers/StreamOriginExchange.h"
#include "include/state/UpstreamList.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace onyx {

// What a takeover's log line says of the search for the stream's origin.
struct StreamOriginReport {
    FoundOrigin found;
    size_t asked = 0;    // Boxes that were queried.
    size_t replied = 0;  // Those of them that replied.
    Millis took = 0;
};

// Not thread safe: one io_context.
class StreamController {
public:
    // Longest time in milliseconds that a caller waits for the replies of other boxes.
    static constexpr Millis kQueryTimeout = 100;

    // Preconditions: all arguments outlive the controller.
    StreamController(asio::io_context& io, const GatewaySettings& settings,
                     const UpstreamList& upstreams, PeerMesh& mesh, PeerDatagrams& datagrams,
                     Metrics& metrics);

    // Begins to exchange origins with other boxes. Preconditions: the mesh was started; called
    // once, before the datagrams are started.
    void start();

    // Records that this box passed on the first event of the stream that the request `stream` began
    // and that its caller can take up until `until`. `span`: how long streams of its route can
    // last, in milliseconds.
    // Preconditions: start() was called.
    void begin(const std::string& stream, const StreamOrigin& origin, Millis span, MonoTime until);
    // Records that the stream no longer runs here. Preconditions: as above.
    void end(const std::string& stream) { m_exchange->end(HashText(stream)); }

    // Finds the origin of a stream, within kQueryTimeout. Preconditions: start() was called.
    Task<StreamOriginReport> find(std::string stream, std::string service, Millis span);
    // What this box can prove by itself of a stream of `service` that its caller does not name.
    // Preconditions: as above.
    FoundOrigin findOnlyVersion(const ServiceId& service, Millis span) const {
        return m_exchange->findOnlyVersion(service, span);
    }

    // The versions of `service` that get no new streams yet. Preconditions: start() was called.
    std::set<std::string> heldBack(const ServiceId& service) const {
        return m_exchange->versions().heldBack(service);
    }
    // Whether other boxes may not list `version` of `service` yet. Preconditions: as above.
    bool isNewVersion(const ServiceId& service, const std::string& version) const {
        return m_exchange->versions().isNew(service, version);
    }

private:
    struct OpenQuery {
        StreamOriginQuery query;
        asio::steady_timer done;  // Cancelled when the query is complete.
    };

    Task<> run();
    void handleReply(const std::string& from, const wire::StreamOriginReplyT& reply);
    void sendTo(const std::set<std::string>& boxes, const std::string& frame);

    asio::io_context& m_io;
    const UpstreamList& m_upstreams;
    PeerMesh& m_mesh;
    PeerDatagrams& m_datagrams;
    Metrics& m_metrics;
    std::string m_zone;
    std::optional<StreamOriginExchange> m_exchange;  // Set once this box knows its address.
    std::unordered_map<uint64_t, std::vector<std::shared_ptr<OpenQuery>>> m_queries;
    uint64_t m_directoryVersion = 0;
};

}  // namespace onyx
