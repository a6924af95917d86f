// The router's side of the link to the box's agent: configuration and box list come from it, and
// the router's calls to the platform go through it. Without an agent the platform is out of reach.
#pragma once

#include "include/wire/FrameLink.h"
#include "modules/standalone/include/router/RouterContext.h"
#include "modules/standalone/include/store/ObjectClient.h"

#include <functional>
#include <map>
#include <memory>

namespace onyx {

// Not thread safe: one io_context.
class AgentLink {
public:
    using OnReply = std::function<void(const wire::PlatformReplyT&)>;
    using OnBoxes = std::function<void(const wire::BoxListT&)>;

    // Preconditions: the context outlives the link.
    explicit AgentLink(RouterContext& context) : m_context(context) {}

    // Who takes the box list. Preconditions: set before the first link.
    void setOnBoxes(OnBoxes onBoxes) { m_onBoxes = std::move(onBoxes); }

    // Takes an accepted, greeted link from the agent; an older one is closed. Preconditions: not
    // started.
    void accepted(std::shared_ptr<FrameLink> link);

    // Sends a call to the platform. `onReply` is called once: with Unavailable if there is no
    // agent, with Unknown if the agent goes away before it answered. Preconditions: none.
    void call(wire::PlatformCallT call, OnReply onReply);

    // Whether an agent is connected. Preconditions: none.
    bool connected() const { return m_link != nullptr; }

private:
    void onFrame(wire::BodyUnion& body);
    void closed(const FrameLink& link);

    RouterContext& m_context;
    std::shared_ptr<FrameLink> m_link;
    std::map<uint64_t, OnReply> m_waiting;
    OnBoxes m_onBoxes;
    uint64_t m_lastCall = 0;
};

}  // namespace onyx
