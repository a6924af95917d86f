// The messages that one running request receives from its home (or its key's owner), whether the
// home is this box or another.
#pragma once

#include "generated/frames_generated.h"
#include "include/net/Net.h"
#include "modules/standalone/include/base/Outcome.h"

#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <variant>

namespace onyx {

// The hop to the home was lost: what became of the request there is not known.
struct HopLost {};
// The caller closed its connection.
struct CallerGone {};
// receive() waited as long as it was told to.
struct WaitOver {};

using RunMessage =
    std::variant<wire::RunVerdictT, wire::RunChunkT, wire::RunEndT, HopLost, CallerGone, WaitOver>;

// A refusal as the message about run `id`, and back. Thread safety: any thread.
wire::RunVerdictT RefusalVerdict(uint64_t id, const Refusal& refusal);
Refusal RefusalOf(const wire::RunVerdictT& verdict);

// Not thread safe: one io_context. Held by shared_ptr by both ends.
class RunChannel {
public:
    static constexpr size_t kMostWaiting = 65536;  // Messages; beyond, the hop counts as lost.

    // Preconditions: none.
    explicit RunChannel(asio::any_io_executor executor);

    // Puts a message in; never blocks. Preconditions: none.
    void post(RunMessage message);

    // The next message, or WaitOver after `timeout`. Preconditions: no other receive is pending.
    Task<RunMessage> receive(Millis timeout);

private:
    using Channel = asio::experimental::channel<void(boost::system::error_code, RunMessage)>;

    Channel m_channel;
    asio::steady_timer m_timer;
    uint64_t m_waits = 0;
    bool m_overflowed = false;
};

}  // namespace onyx
