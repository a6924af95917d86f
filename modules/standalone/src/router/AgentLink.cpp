#include "modules/standalone/include/router/AgentLink.h"

#include <utility>

namespace onyx {

void AgentLink::accepted(std::shared_ptr<FrameLink> link) {
    if (m_link) {
        m_link->close();
    }
    m_link = link;
    link->start([this](FrameLink&, wire::BodyUnion& body) { onFrame(body); },
                [this](FrameLink& closedLink) { closed(closedLink); });
}

void AgentLink::onFrame(wire::BodyUnion& body) {
    if (const auto* reply = body.AsPlatformReply()) {
        const auto it = m_waiting.find(reply->id);
        if (it != m_waiting.end()) {
            const OnReply onReply = std::move(it->second);
            m_waiting.erase(it);
            onReply(*reply);
        }
    } else if (const auto* snapshot = body.AsConfigSnapshot()) {
        m_context.config.offer(*snapshot, "agent");
    } else if (const auto* boxes = body.AsBoxList()) {
        m_onBoxes(*boxes);
    }
}

void AgentLink::closed(const FrameLink& link) {
    if (m_link.get() != &link) {
        return;
    }
    m_link.reset();
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& [id, onReply] : waiting) {
        wire::PlatformReplyT reply;
        reply.id = id;
        reply.status = wire::PlatformStatus::Unknown;
        onReply(reply);
    }
}

void AgentLink::call(wire::PlatformCallT call, OnReply onReply) {
    call.id = ++m_lastCall;
    if (!m_link) {
        wire::PlatformReplyT reply;
        reply.id = call.id;
        reply.status = wire::PlatformStatus::Unavailable;
        onReply(reply);
        return;
    }
    m_waiting[call.id] = std::move(onReply);
    m_link->send(std::move(call));
}

}  // namespace onyx
