// What the stand-ins' programs share: one HTTP server on an address, until stopped.
#pragma once

#include "include/net/HttpServer.h"

#include <string>
#include <string_view>

namespace onyx {

// Serves `handler` on `listen` ("ip:port", port 0: chosen by the kernel, and printed) until a
// signal; returns the exit code. Preconditions: called once. Thread safety: none.
int ServeStandin(std::string_view name, const std::string& listen, asio::io_context& io,
                 HttpServer::Handler handler);

}  // namespace onyx
