#include "include/peers/PeerMessages.h"

#include "include/base/FieldValue.h"

namespace onyx {

namespace {

std::unique_ptr<wire::UpstreamEntryT> EncodeUpstream(const Upstream& upstream) {
    auto entry = std::make_unique<wire::UpstreamEntryT>();
    entry->id = upstream.id;
    entry->service = upstream.service.value;
    entry->address = upstream.address;
    entry->zone = upstream.zone.value;
    entry->leaving = upstream.draining;
    entry->slots = upstream.slots;
    entry->started_ms = upstream.startedMs;
    entry->cold_ms = static_cast<uint32_t>(upstream.coldLeft);
    entry->software = upstream.version;
    return entry;
}

Upstream DecodeUpstream(const wire::UpstreamEntryT& entry) {
    return {entry.id,         ServiceId(entry.service),
            entry.address,    ZoneId(entry.zone),
            entry.leaving,    entry.slots,
            entry.started_ms, Millis{entry.cold_ms},
            entry.software};
}

}  // namespace

std::optional<UpstreamChanges> ReadUpstreamChanges(const wire::KnowledgeReplyT& reply) {
    if (!reply.upstreams_told) {
        return std::nullopt;
    }
    UpstreamChanges changes;
    changes.whole = reply.upstreams_whole;
    changes.revision = reply.upstreams_revision;
    changes.removed = reply.removed;
    for (const auto& entry : reply.upstreams) {
        // Boxes of an earlier build pass on entries whose texts no request can name.
        if (entry && IsFieldValue(entry->id) && IsFieldValue(entry->address)) {
            changes.changed.push_back(DecodeUpstream(*entry));
        }
    }
    return changes;
}

void AddUpstreamChanges(const UpstreamTable& table, const wire::KnowledgeAskT& ask,
                        wire::KnowledgeReplyT& reply) {
    const UpstreamChanges changes = table.changesSince(ask.upstreams_revision);
    // A box sends the same ask to many boxes, so a whole list goes only into the reply to a fetch.
    if (changes.whole && (ask.follows || ask.no_content)) {
        return;
    }
    reply.upstreams_told = true;
    reply.upstreams_whole = changes.whole;
    for (const Upstream& upstream : changes.changed) {
        reply.upstreams.push_back(EncodeUpstream(upstream));
    }
    reply.removed = changes.removed;
}

}  // namespace onyx
