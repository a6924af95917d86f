#include "include/request/RequestParser.h"

#include <utility>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

ReadEnd EndOf(const beast::error_code& ec) {
    const bool large = ec == http::error::body_limit || ec == http::error::header_limit ||
                       ec == http::error::buffer_overflow;
    return large ? ReadEnd::kTooLarge : ReadEnd::kBad;
}

bool HasFoldedHeader(const beast::flat_buffer& buffer) {
    const auto data = buffer.data();
    const std::string_view text(static_cast<const char*>(data.data()), data.size());
    const std::string_view head = text.substr(0, text.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

RequestParser::RequestParser(const CallerLimits& limits, std::shared_ptr<RequestMemory> memory,
                             std::function<void()> onEvict)
    : m_memory(std::move(memory)), m_onEvict(std::move(onEvict)) {
    m_parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    m_parser.body_limit(limits.bodyBytes);
}

std::optional<ReadEnd> RequestParser::parse(beast::flat_buffer& buffer, MonoTime now) {
    if (!hasHead()) {
        const std::optional<ReadEnd> end = parseHead(buffer);
        if (end || !hasHead()) {
            return end;
        }
    }
    return parseBody(buffer, now);
}

std::optional<ReadEnd> RequestParser::parseHead(beast::flat_buffer& buffer) {
    if (HasFoldedHeader(buffer)) {
        m_problem = "folded header line";
        return ReadEnd::kBad;
    }
    m_needsMore = false;
    while (buffer.size() > 0 && !m_needsMore && !hasHead()) {
        if (const auto end = put(buffer)) {
            return end;
        }
    }
    return hasHead() ? checkFraming() : std::nullopt;
}

std::optional<ReadEnd> RequestParser::parseBody(beast::flat_buffer& buffer, MonoTime now) {
    m_needsMore = false;
    m_parser.eager(true);
    while (!m_parser.is_done()) {
        if (isLarge() && !std::exchange(m_largeReported, true)) {
            return ReadEnd::kLarge;
        }
        if (const auto end = provideSpace(now)) {
            return end;
        }
        if (buffer.size() == 0 || m_needsMore) {
            return std::nullopt;
        }
        const size_t room = m_parser.get().body().size;
        const auto end = put(buffer);
        m_body->commit(room - m_parser.get().body().size, now);
        if (end) {
            return end;
        }
    }
    // Trailers may have added fields.
    const auto end = checkFraming();
    return end ? end : ReadEnd::kRequest;
}

std::optional<ReadEnd> RequestParser::put(beast::flat_buffer& buffer) {
    beast::error_code ec;
    buffer.consume(m_parser.put(buffer.data(), ec));
    m_needsMore = ec == http::error::need_more;
    if (!ec || m_needsMore || ec == http::error::need_buffer) {
        return std::nullopt;
    }
    m_problem = ec.message();
    return EndOf(ec);
}

// A message whose framing callers and upstreams could read differently is no request.
std::optional<ReadEnd> RequestParser::checkFraming() {
    const auto& message = m_parser.get();
    if (message.count(http::field::content_length) > 1 || message.count(http::field::host) != 1) {
        m_problem = "expected one Host and at most one Content-Length";
        return ReadEnd::kBad;
    }
    return std::nullopt;
}

bool RequestParser::isLarge() const {
    const auto length = m_parser.content_length();
    return std::max<uint64_t>(length.value_or(0), m_body ? m_body->size() : 0) >
           RequestMemory::kSmallBytes;
}

// Has the parser write to room in the body. A body whose length has arrived needs none.
std::optional<ReadEnd> RequestParser::provideSpace(MonoTime now) {
    if (!m_body && !beginBody(now)) {
        return ReadEnd::kNoMemory;
    }
    const std::span<char> space = m_body->space(now);
    if (space.empty()) {
        return ReadEnd::kNoMemory;
    }
    m_parser.get().body().data = space.data();
    m_parser.get().body().size = space.size();
    return std::nullopt;
}

bool RequestParser::beginBody(MonoTime now) {
    MemoryShare share(m_memory, now, m_onEvict);
    const auto length = m_parser.content_length();
    m_body = RequestBody::Make(std::move(share),
                               length ? std::optional<uint64_t>(*length) : std::nullopt, now);
    return m_body != nullptr;
}

std::shared_ptr<const RequestBody> RequestParser::takeBody() {
    if (!m_body) {
        return std::make_shared<const RequestBody>();
    }
    m_body->finish();
    return std::exchange(m_body, nullptr);
}

}  // namespace onyx
