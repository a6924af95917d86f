#include "include/peers/StreamOriginExchange.h"

#include "include/wire/FrameCodec.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace onyx {

namespace {

// Records are kept for at most this long, in milliseconds, whatever the box that sends them says.
constexpr Millis kMaxRecordMs = Millis{10} * 60 * 1000;

uint32_t WireMillis(Millis span) {
    return static_cast<uint32_t>(std::clamp<Millis>(span, 0, std::numeric_limits<uint32_t>::max()));
}

}  // namespace

std::string_view StreamOriginSourceName(StreamOriginSource source) {
    switch (source) {
        case StreamOriginSource::kUnknown:
            return "unknown";
        case StreamOriginSource::kOwnRecord:
            return "own-record";
        case StreamOriginSource::kPeerRecord:
            return "peer-record";
        case StreamOriginSource::kOnlyVersion:
            return "only-version";
        case StreamOriginSource::kStored:
            return "stored";
        case StreamOriginSource::kRecordedVersions:
            return "recorded-versions";
    }
    return "invalid";
}

StreamOriginQuery::StreamOriginQuery(std::string service, Millis span, std::set<std::string> asked,
                                     Own own)
    : m_service(std::move(service)),
      m_span(span),
      m_open(std::move(asked)),
      m_several(own.several),
      m_found(std::move(own.record)),
      m_ownRecord(m_found.has_value()) {
    if (own.proof) {
        m_proofs.push_back(std::move(*own.proof));
    }
}

void StreamOriginQuery::handleReply(const std::string& from,
                                    const wire::StreamOriginReplyT& reply) {
    if (m_open.erase(from) == 0) {
        return;
    }
    if (reply.origin) {
        const StreamOrigin origin{reply.origin->service, reply.origin->version};
        if (m_found && *m_found != origin) {
            m_found->version.clear();
        } else {
            m_found = origin;
        }
    }
    m_several = m_several || reply.several;
    if (!reply.only_version.empty()) {
        m_proofs.push_back(
            {reply.only_version, Millis{reply.only_span_ms}, Millis{reply.only_age_ms}});
    }
}

FoundOrigin StreamOriginQuery::result() const {
    if (m_found) {
        const bool agreed = !m_found->version.empty();
        const auto source =
            m_ownRecord ? StreamOriginSource::kOwnRecord : StreamOriginSource::kPeerRecord;
        return agreed ? FoundOrigin{source, *m_found} : FoundOrigin{};
    }
    const auto proved = m_several ? std::nullopt : ProvedVersion(m_proofs, m_span);
    if (proved) {
        return {StreamOriginSource::kOnlyVersion, {m_service, *proved}};
    }
    return {};
}

bool StreamOriginExchange::isProved(const Running& stream) const {
    const auto proof = m_versions.onlyVersion(ServiceId{stream.origin.service}, stream.span);
    return proof && proof->age <= VersionHistory::kHoldMs;
}

std::vector<OutgoingFrame> StreamOriginExchange::begin(uint64_t stream, const StreamOrigin& origin,
                                                       Millis span, MonoTime until, MonoTime now) {
    m_records.put(stream, origin, std::min(until, now + kMaxRecordMs), now);
    Running& running = m_running[stream];
    running = {origin, span, until, std::nullopt};
    OriginsByBox byBox;
    addIfDue(stream, running, now, byBox);
    return MakeFrames(byBox);
}

std::vector<OutgoingFrame> StreamOriginExchange::makeDueFrames(MonoTime now) {
    OriginsByBox byBox;
    for (auto& [id, stream] : m_running) {
        addIfDue(id, stream, now, byBox);
    }
    return MakeFrames(byBox);
}

void StreamOriginExchange::addIfDue(uint64_t id, Running& stream, MonoTime now,
                                    OriginsByBox& byBox) const {
    const bool isDue = !stream.sent || now - *stream.sent >= kRepeatMs;
    if (!isDue || stream.until <= now || isProved(stream)) {
        return;
    }
    stream.sent = now;
    for (const std::string& box : m_keepers.keepersOf(id, m_zone)) {
        if (box == m_self) {
            continue;
        }
        wire::StreamOriginT entry;
        entry.stream = id;
        entry.service = stream.origin.service;
        entry.version = stream.origin.version;
        entry.left_ms = WireMillis(stream.until - now);
        byBox[box].push_back(std::move(entry));
    }
}

std::vector<OutgoingFrame> StreamOriginExchange::MakeFrames(const OriginsByBox& byBox) {
    std::vector<OutgoingFrame> frames;
    for (const auto& [box, entries] : byBox) {
        for (size_t from = 0; from < entries.size(); from += kMaxPerDatagram) {
            const size_t to = std::min(entries.size(), from + kMaxPerDatagram);
            wire::StreamOriginsT message;
            for (size_t i = from; i < to; ++i) {
                message.origins.push_back(std::make_unique<wire::StreamOriginT>(entries[i]));
            }
            frames.push_back({{box}, EncodeMessage(std::move(message))});
        }
    }
    return frames;
}

void StreamOriginExchange::handleOrigins(const wire::StreamOriginsT& origins, MonoTime now) {
    for (const auto& entry : origins.origins) {
        if (entry) {
            const Millis left = std::min(Millis{entry->left_ms}, kMaxRecordMs);
            m_records.put(entry->stream, {entry->service, entry->version}, now + left, now);
        }
    }
}

wire::StreamOriginReplyT StreamOriginExchange::reply(const wire::StreamOriginAskT& ask,
                                                     MonoTime now) const {
    wire::StreamOriginReplyT reply;
    reply.stream = ask.stream;
    if (const auto origin = m_records.find(ask.stream, now)) {
        reply.origin = std::make_unique<wire::StreamOriginT>();
        reply.origin->stream = ask.stream;
        reply.origin->service = origin->service;
        reply.origin->version = origin->version;
        return reply;
    }
    const ServiceId service{ask.service};
    reply.several = m_versions.hadSeveral(service, Millis{ask.span_ms});
    if (const auto proof = m_versions.onlyVersion(service, Millis{ask.span_ms})) {
        reply.only_version = proof->version;
        reply.only_span_ms = WireMillis(proof->span);
        reply.only_age_ms = WireMillis(proof->age);
    }
    return reply;
}

FoundOrigin StreamOriginExchange::findOnlyVersion(const ServiceId& service, Millis span) const {
    const auto proof = m_versions.onlyVersion(service, span);
    return proof && proof->age <= VersionHistory::kHoldMs
               ? FoundOrigin{StreamOriginSource::kOnlyVersion, {service.value, proof->version}}
               : FoundOrigin{};
}

StreamOriginQuery StreamOriginExchange::query(uint64_t stream, const std::string& service,
                                              Millis span, MonoTime now) const {
    std::set<std::string> asked;
    for (const std::string& box : m_keepers.keepersOf(stream, m_zone)) {
        if (box != m_self) {
            asked.insert(box);
        }
    }
    const ServiceId id{service};
    return {service,
            span,
            std::move(asked),
            {m_records.find(stream, now), m_versions.onlyVersion(id, span),
             m_versions.hadSeveral(id, span)}};
}

}  // namespace onyx
