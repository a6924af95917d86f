// The box's session with the platform: watches the configuration, reads the box list, and carries
// the router's calls. Stateless: it may die and start again at any time.
#pragma once

#include "include/wire/FrameLink.h"
#include "modules/standalone/include/agent/AgentSettings.h"
#include "modules/standalone/include/config/Snapshot.h"
#include "modules/standalone/include/store/ObjectClient.h"

#include <map>
#include <memory>
#include <string>

namespace onyx {

// Paths in the platform. The head names the shards by digest; a shard never changes.
inline constexpr std::string_view kHeadPath = "/config/head";
std::string ShardPath(const std::string& name, const std::string& digest);

// Not thread safe: one io_context.
class Agent {
public:
    // Preconditions: the context outlives the agent.
    Agent(asio::io_context& io, AgentSettings settings);

    // Starts its tasks. Preconditions: called once.
    void start();

private:
    Task<> linkLoop();
    Task<> watchLoop();
    Task<> boxLoop();
    Task<bool> fetchConfig(PlatformObject head);
    Task<> carry(wire::PlatformCallT call);
    void sendConfig();
    void onFrame(wire::BodyUnion& body);
    void setPlatformUp(bool up);

    asio::io_context& m_io;
    AgentSettings m_settings;
    ObjectClient m_platform;
    std::shared_ptr<FrameLink> m_router;
    uint64_t m_revision = 0;
    std::map<std::string, std::string> m_digests;  // By shard name, of what is held.
    std::map<std::string, ConfigShard> m_shards;
    wire::BoxListT m_boxes;
    bool m_platformUp = true;
};

}  // namespace onyx
