#include "modules/standalone/include/router/RunChannel.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace onyx {

wire::RunVerdictT RefusalVerdict(uint64_t id, const Refusal& refusal) {
    wire::RunVerdictT verdict;
    verdict.id = id;
    verdict.verdict = wire::Verdict::Refused;
    verdict.reason = static_cast<uint8_t>(refusal.reason);
    verdict.outcome = static_cast<uint8_t>(refusal.outcome);
    verdict.retry_after_ms = refusal.retryAfter;
    verdict.detail = refusal.detail;
    return verdict;
}

Refusal RefusalOf(const wire::RunVerdictT& verdict) {
    return {static_cast<RefusalReason>(verdict.reason), static_cast<RunOutcome>(verdict.outcome),
            verdict.retry_after_ms, verdict.detail};
}

RunChannel::RunChannel(asio::any_io_executor executor)
    : m_channel(executor, kMostWaiting), m_timer(executor) {}

void RunChannel::post(RunMessage message) {
    if (!m_channel.try_send(boost::system::error_code(), std::move(message))) {
        m_overflowed = true;
    }
}

Task<RunMessage> RunChannel::receive(Millis timeout) {
    std::optional<RunMessage> ready;
    m_channel.try_receive(
        [&](boost::system::error_code, RunMessage message) { ready = std::move(message); });
    if (ready) {
        co_return std::move(*ready);
    }
    if (m_overflowed) {
        co_return RunMessage(HopLost{});
    }
    // The timer speaks through the channel as everybody else does; a wait that is over by then
    // leaves a message with an old number, which is dropped here.
    const uint64_t wait = ++m_waits;
    m_timer.expires_after(std::chrono::milliseconds(timeout));
    m_timer.async_wait([this, wait](boost::system::error_code ec) {
        if (!ec && wait == m_waits) {
            post(WaitOver{});
        }
    });
    boost::system::error_code ec;
    RunMessage message =
        co_await m_channel.async_receive(asio::redirect_error(asio::use_awaitable, ec));
    ++m_waits;
    m_timer.cancel();
    co_return message;
}

}  // namespace onyx
