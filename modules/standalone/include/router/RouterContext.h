// What the router's controllers and handlers share: the executor, the settings, the metrics and
// the configuration. Owned by Router, which outlives all of them.
#pragma once

#include "include/net/Net.h"
#include "include/observe/Metrics.h"
#include "modules/standalone/include/router/ConfigController.h"
#include "modules/standalone/include/router/RouterSettings.h"

namespace onyx {

// Not thread safe: one io_context.
struct RouterContext {
    RouterContext(asio::any_io_executor ioExecutor, RouterSettings routerSettings)
        : executor(std::move(ioExecutor)),
          settings(std::move(routerSettings)),
          self(settings.box + "#" + std::to_string(ReadClocks().wall.ms)) {}

    asio::any_io_executor executor;
    RouterSettings settings;
    MemberId self;  // A box's life: its name and when this process started.
    Metrics metrics;
    ConfigController config;
    bool draining = false;

    // An id that no other attempt of any box has: box, incarnation, sequence. Preconditions: none.
    std::string nextUpstreamId() { return self.value + "-" + std::to_string(++m_sequence); }

private:
    uint64_t m_sequence = 0;
};

}  // namespace onyx
