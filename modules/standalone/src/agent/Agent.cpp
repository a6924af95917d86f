#include "modules/standalone/include/agent/Agent.h"

#include "include/observe/Events.h"

#include <nlohmann/json.hpp>

namespace onyx {

using nlohmann::json;

namespace {

wire::PlatformStatus StatusOf(ErrorCode code) {
    switch (code) {
        case ErrorCode::kConflict:
            return wire::PlatformStatus::Conflict;
        case ErrorCode::kNotFound:
            return wire::PlatformStatus::Missing;
        case ErrorCode::kUnavailable:
            return wire::PlatformStatus::Unavailable;
        default:
            return wire::PlatformStatus::Unknown;
    }
}

}  // namespace

std::string ShardPath(const std::string& name, const std::string& digest) {
    return "/config/shard/" + name + "-" + digest;
}

Agent::Agent(asio::io_context& io, AgentSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_platform(io.get_executor(), m_settings.platform) {}

void Agent::start() {
    Spawn(m_io.get_executor(), linkLoop());
    Spawn(m_io.get_executor(), watchLoop());
    Spawn(m_io.get_executor(), boxLoop());
}

void Agent::setPlatformUp(bool up) {
    if (up != m_platformUp) {
        m_platformUp = up;
        logEvent(up ? Event::kPlatformUp : Event::kPlatformDown,
                 {{"platform", EndpointText(m_settings.platform)}});
    }
}

Task<> Agent::linkLoop() {
    while (true) {
        if (!m_router || !m_router->open()) {
            wire::HelloT hello;
            hello.box = m_settings.box;
            hello.zone = m_settings.zone;
            hello.role = wire::LinkRole::Agent;
            auto connected = co_await FrameLink::Connect(m_settings.router, std::move(hello));
            if (connected.has_value()) {
                m_router = connected.value();
                m_router->start([this](FrameLink&, wire::BodyUnion& body) { onFrame(body); },
                                [](FrameLink&) {});
                sendConfig();
                m_router->send(m_boxes);
            }
        }
        co_await SleepFor(m_settings.retryPause);
    }
}

void Agent::sendConfig() {
    if (m_revision == 0 || !m_router) {
        return;
    }
    wire::ConfigSnapshotT message;
    message.revision = m_revision;
    for (const auto& [name, shard] : m_shards) {
        auto entry = std::make_unique<wire::ConfigShardT>();
        entry->name = shard.name;
        entry->content = shard.content;
        message.shards.push_back(std::move(entry));
    }
    m_router->send(std::move(message));
}

Task<> Agent::watchLoop() {
    uint64_t known = 0;
    while (true) {
        auto changed =
            co_await m_platform.watch(std::string(kHeadPath), known, m_settings.watchWait);
        setPlatformUp(changed.has_value() || changed.error().code == ErrorCode::kProtocol);
        if (changed.has_error()) {
            co_await SleepFor(m_settings.retryPause);
            continue;
        }
        if (!changed.value().has_value()) {
            continue;
        }
        const PlatformObject head = std::move(*changed.value());
        if (co_await fetchConfig(head)) {
            known = head.version;
        } else {
            co_await SleepFor(m_settings.retryPause);
        }
    }
}

// Reads the shards that changed; true if the head is dealt with, for good or ill.
Task<bool> Agent::fetchConfig(PlatformObject head) {
    const json document = json::parse(head.value, nullptr, false);
    const bool valid = document.is_object() && document.contains("revision") &&
                       document["revision"].is_number_unsigned() && document.contains("shards") &&
                       document["shards"].is_object();
    if (!valid) {
        logEvent(Event::kConfigCorrupt, {{"path", std::string(kHeadPath)}, {"source", "platform"}});
        co_return true;
    }
    std::map<std::string, ConfigShard> shards;
    std::map<std::string, std::string> digests;
    for (const auto& [name, digest] : document["shards"].items()) {
        const auto wanted = digest.is_string() ? digest.get<std::string>() : "";
        digests[name] = wanted;
        const auto held = m_digests.find(name);
        if (held != m_digests.end() && held->second == wanted) {
            shards[name] = m_shards[name];
            continue;
        }
        auto object = co_await m_platform.get(ShardPath(name, wanted));
        if (object.has_error()) {
            co_return false;
        }
        if (ShardDigest(object.value().value) != wanted) {
            logEvent(Event::kConfigCorrupt,
                     {{"path", ShardPath(name, wanted)}, {"source", "platform"}});
            co_return true;
        }
        shards[name] = {name, object.value().value};
    }
    m_revision = document["revision"].get<uint64_t>();
    m_shards = std::move(shards);
    m_digests = std::move(digests);
    sendConfig();
    co_return true;
}

Task<> Agent::boxLoop() {
    uint64_t version = 0;
    while (true) {
        auto boxes = co_await m_platform.boxesSince(version);
        if (boxes.has_value() && boxes.value().has_value()) {
            m_boxes.boxes.clear();
            for (const PlatformBox& box : *boxes.value()) {
                auto entry = std::make_unique<wire::BoxEntryT>();
                entry->box = box.name;
                entry->zone = box.zone;
                entry->address = box.address;
                entry->leaving = box.leaving;
                m_boxes.boxes.push_back(std::move(entry));
            }
            if (m_router) {
                m_router->send(m_boxes);
            }
        }
        co_await SleepFor(m_settings.boxListPeriod);
    }
}

void Agent::onFrame(wire::BodyUnion& body) {
    if (auto* call = body.AsPlatformCall()) {
        Spawn(m_io.get_executor(), carry(std::move(*call)));
    }
}

Task<> Agent::carry(wire::PlatformCallT call) {
    wire::PlatformReplyT reply;
    reply.id = call.id;
    if (call.op == wire::PlatformOp::Get) {
        auto object = co_await m_platform.get(call.path);
        if (object.has_error()) {
            reply.status = StatusOf(object.error().code);
        } else {
            reply.version = object.value().version;
            reply.value = object.value().value;
            reply.status =
                reply.version == 0 ? wire::PlatformStatus::Missing : wire::PlatformStatus::Ok;
        }
    } else {
        auto written = co_await m_platform.put(call.path, call.expect, call.value);
        if (written.has_error()) {
            reply.status = StatusOf(written.error().code);
        } else {
            reply.version = written.value();
        }
    }
    if (m_router) {
        m_router->send(std::move(reply));
    }
}

}  // namespace onyx
