// onyx-admin: the operators' gRPC service.
#include "include/net/Launch.h"
#include "include/net/Program.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/admin/AdminService.h"

#include <grpcpp/server_builder.h>

using namespace onyx;

namespace {

struct AdminSettings {
    Endpoint platform;
    Endpoint listen;
    std::string logLevel = "info";
};

}  // namespace

int main(int argc, char** argv) {
    AdminSettings settings;
    const auto read = [&](SettingsReader& reader) {
        settings.platform = reader.address("platform.address");
        settings.listen = reader.address("listen.operators");
        settings.logLevel = reader.text("log.level", "info");
    };
    const Launch launch = ReadLaunch(argc, argv, "Operators' service of onyxcleat", read);
    if (launch.exitCode) {
        return *launch.exitCode;
    }
    SetUpLog("onyx-admin", settings.logLevel);
    AdminService service(settings.platform);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(EndpointText(settings.listen), grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(&service);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    if (!server || port == 0) {
        logEvent(Event::kListenFailed, {{"address", EndpointText(settings.listen)}});
        return kExitFailed;
    }
    logEvent(Event::kStarted,
             {{"operators", settings.listen.address().to_string() + ":" + std::to_string(port)}});
    asio::io_context io(1);
    RunUntilStopped(io, [&] { io.stop(); });
    server->Shutdown();
    return kExitOk;
}
