// onyx-admin: the operators' gRPC service.
#include "include/admin/AdminService.h"
#include "include/net/Program.h"
#include "include/observe/Events.h"

#include <grpcpp/server_builder.h>
#include <CLI/CLI.hpp>

using namespace onyx;

namespace {

struct AdminSettings {
    Endpoint platform;
    Endpoint listen;
    std::string logLevel = "info";
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Operators' service of onyxcleat"};
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "Settings file (TOML)")->required();
    app.add_flag("--check", check, "Check the settings and exit");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    AdminSettings settings;
    const auto read = [&](SettingsReader& reader) {
        settings.platform = reader.address("platform.address");
        settings.listen = reader.address("listen.operators");
        settings.logLevel = reader.text("log.level", "info");
    };
    if (!ReadSettingsFile(path, read)) {
        return kExitBadInput;
    }
    if (check) {
        return kExitOk;
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
