#include "modules/standalone/include/standin/StandinMain.h"

#include "include/net/Program.h"
#include "include/observe/Events.h"

namespace onyx {

int ServeStandin(std::string_view name, const std::string& listen, asio::io_context& io,
                 HttpServer::Handler handler) {
    const auto endpoint = ParseEndpoint(listen);
    if (endpoint.has_error()) {
        return FailWith(endpoint.error());
    }
    SetUpLog(name, "info");
    auto server = HttpServer::Make(io, endpoint.value(), {}, std::move(handler));
    if (server.has_error()) {
        return FailWith(server.error());
    }
    logEvent(Event::kStarted, {{"address", EndpointText(server.value()->endpoint())}});
    RunUntilStopped(io, [&] { io.stop(); });
    std::_Exit(kExitOk);
}

}  // namespace onyx
