#include "modules/standalone/include/admin/Ctl.h"

#include "include/net/Program.h"
#include "modules/standalone/generated/onyx_admin.grpc.pb.h"

#include <google/protobuf/util/json_util.h>
#include <grpcpp/create_channel.h>
#include <CLI/CLI.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace onyx {

namespace v1 = admin::v1;

namespace {

constexpr std::chrono::seconds kCallTimeout{15};

struct Options {
    std::string admin = "127.0.0.1:7400";
    bool json = false;
    int64_t against = -1;
    std::string changeId;
};

int ExitCodeOf(const grpc::Status& status) {
    switch (status.error_code()) {
        case grpc::StatusCode::OK:
            return kExitOk;
        case grpc::StatusCode::ABORTED:
            return kExitConflict;
        case grpc::StatusCode::INVALID_ARGUMENT:
        case grpc::StatusCode::NOT_FOUND:
            return kExitBadInput;
        case grpc::StatusCode::UNAVAILABLE:
        case grpc::StatusCode::DEADLINE_EXCEEDED:
            return kExitUnavailable;
        default:
            return kExitFailed;
    }
}

int Fail(const grpc::Status& status) {
    std::fprintf(stderr, "%s\n", status.error_message().c_str());
    return ExitCodeOf(status);
}

void PrintJson(const google::protobuf::Message& message) {
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    if (status.ok()) {
        std::cout << text;
    }
}

std::string FreshChangeId() {
    std::random_device random;
    std::ostringstream id;
    id << std::hex << random() << random() << random() << random();
    return id.str();
}

// One call's client side.
class Client {
public:
    explicit Client(const Options& options) : m_options(options) {}

    int apply(std::vector<v1::Change> changes) {
        v1::ApplyRequest request;
        request.set_change_id(m_options.changeId.empty() ? FreshChangeId() : m_options.changeId);
        for (v1::Change& change : changes) {
            *request.add_changes() = std::move(change);
        }
        if (m_options.against >= 0) {
            request.set_against_revision(static_cast<uint64_t>(m_options.against));
        } else {
            v1::GetReply current;
            const grpc::Status status = get(current);
            if (!status.ok()) {
                return Fail(status);
            }
            request.set_against_revision(current.revision());
        }
        grpc::ClientContext context;
        setDeadline(context);
        v1::ApplyReply reply;
        const grpc::Status status = stub().Apply(&context, request, &reply);
        if (!status.ok()) {
            return Fail(status);
        }
        if (m_options.json) {
            PrintJson(reply);
        } else {
            std::cout << "accepted as revision " << reply.revision() << "\n";
        }
        return kExitOk;
    }

    int show() {
        v1::GetReply reply;
        const grpc::Status status = get(reply);
        if (!status.ok()) {
            return Fail(status);
        }
        if (m_options.json) {
            PrintJson(reply);
            return kExitOk;
        }
        std::printf("revision %llu\n", static_cast<unsigned long long>(reply.revision()));
        std::printf("\n%-20s %8s %14s\n", "TEAM", "WEIGHT", "MAX IN FLIGHT");
        for (const v1::Team& team : reply.teams()) {
            std::printf("%-20s %8.2f %14u\n", team.name().c_str(), team.weight(),
                        team.max_in_flight());
        }
        std::printf("\n%-20s %-6s %-10s %8s %6s %9s\n", "SERVICE", "KIND", "REPEATABLE", "MULTIPLE",
                    "FLOOR", "CAPACITY");
        for (const v1::Service& service : reply.services()) {
            std::printf("%-20s %-6s %-10s %8.2f %6u %9u\n", service.name().c_str(),
                        service.kind() == v1::Service::CHAT ? "chat" : "plain",
                        service.repeatable() ? "yes" : "no", service.multiple(), service.floor(),
                        service.capacity());
        }
        std::printf("\n%-20s %-16s %-12s %-22s %s\n", "ENGINE", "SERVICE", "ZONE", "ADDRESS",
                    "LEAVING");
        for (const v1::Engine& engine : reply.engines()) {
            std::printf("%-20s %-16s %-12s %-22s %s\n", engine.name().c_str(),
                        engine.service().c_str(), engine.zone().c_str(), engine.address().c_str(),
                        engine.leaving() ? "yes" : "no");
        }
        for (const v1::MigrationStep& step : reply.steps()) {
            std::printf("\nfrom %lld: share %.3f", static_cast<long long>(step.from_ms()),
                        step.share());
        }
        if (!reply.other_site().empty()) {
            std::printf("\nother site: %s\n", reply.other_site().c_str());
        }
        return kExitOk;
    }

    int status() {
        v1::StatusReply reply;
        grpc::ClientContext context;
        setDeadline(context);
        const grpc::Status status = stub().Status(&context, v1::StatusRequest(), &reply);
        if (!status.ok()) {
            return Fail(status);
        }
        int inForce = 0;
        for (const v1::BoxStatus& box : reply.boxes()) {
            inForce += box.reachable() && box.revision() == reply.accepted_revision() ? 1 : 0;
        }
        if (m_options.json) {
            PrintJson(reply);
        } else {
            std::printf("revision %llu is in force on %d of %d\n",
                        static_cast<unsigned long long>(reply.accepted_revision()), inForce,
                        reply.boxes_size());
            std::printf("\n%-16s %-12s %-22s %9s %6s %s\n", "BOX", "ZONE", "ADDRESS", "REVISION",
                        "EPOCH", "STATE");
            for (const v1::BoxStatus& box : reply.boxes()) {
                const std::string state = !box.reachable()       ? "unreachable " + box.detail()
                                          : box.leaving()        ? "leaving"
                                          : box.detail().empty() ? "ok"
                                                                 : box.detail();
                std::printf("%-16s %-12s %-22s %9llu %6llu %s\n", box.box().c_str(),
                            box.zone().c_str(), box.address().c_str(),
                            static_cast<unsigned long long>(box.revision()),
                            static_cast<unsigned long long>(box.roster_epoch()), state.c_str());
            }
        }
        return inForce == reply.boxes_size() ? kExitOk : kExitNotInForce;
    }

    int leave(const std::string& box) {
        v1::LeaveRequest request;
        request.set_box(box);
        v1::LeaveReply reply;
        grpc::ClientContext context;
        setDeadline(context);
        const grpc::Status status = stub().Leave(&context, request, &reply);
        return status.ok() ? kExitOk : Fail(status);
    }

private:
    static void setDeadline(grpc::ClientContext& context) {
        context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    }

    grpc::Status get(v1::GetReply& reply) {
        grpc::ClientContext context;
        setDeadline(context);
        return stub().Get(&context, v1::GetRequest(), &reply);
    }

    // Made on first use: the options are known only once the command line is parsed.
    v1::Admin::Stub& stub() {
        if (!m_stub) {
            m_stub = v1::Admin::NewStub(
                grpc::CreateChannel(m_options.admin, grpc::InsecureChannelCredentials()));
        }
        return *m_stub;
    }

    const Options& m_options;
    std::unique_ptr<v1::Admin::Stub> m_stub;
};

// Reads {"changes": [...]} in the JSON form of the .proto.
int ApplyFile(Client& client, const std::string& path) {
    std::ifstream in(path);
    if (!in) {
        std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
        return kExitBadInput;
    }
    std::ostringstream text;
    text << in.rdbuf();
    v1::ApplyRequest request;
    const auto parsed = google::protobuf::util::JsonStringToMessage(text.str(), &request);
    if (!parsed.ok()) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), parsed.ToString().c_str());
        return kExitBadInput;
    }
    return client.apply({request.changes().begin(), request.changes().end()});
}

void AddTeamCommands(CLI::App& app, Client& client, int& code) {
    CLI::App* team = app.add_subcommand("team", "Teams");
    team->require_subcommand(1);
    CLI::App* put = team->add_subcommand("put", "Create or change a team");
    auto name = std::make_shared<std::string>();
    auto token = std::make_shared<std::string>();
    auto weight = std::make_shared<double>(1.0);
    auto limit = std::make_shared<uint32_t>(0);
    put->add_option("name", *name, "Name")->required();
    put->add_option("--token", *token, "Bearer token of its callers");
    put->add_option("--weight", *weight, "Share against other teams");
    put->add_option("--max-in-flight", *limit, "Most requests in flight, 0 for none");
    put->callback([=, &client, &code] {
        v1::Change change;
        v1::Team* out = change.mutable_put_team();
        out->set_name(*name);
        out->set_token(*token);
        out->set_weight(*weight);
        out->set_max_in_flight(*limit);
        code = client.apply({change});
    });
    CLI::App* erase = team->add_subcommand("delete", "Delete a team");
    erase->add_option("name", *name, "Name")->required();
    erase->callback([=, &client, &code] {
        v1::Change change;
        change.set_delete_team(*name);
        code = client.apply({change});
    });
}

void AddEngineCommands(CLI::App& app, Client& client, int& code) {
    CLI::App* engine = app.add_subcommand("engine", "Engines and plain services' replicas");
    engine->require_subcommand(1);
    CLI::App* put = engine->add_subcommand("put", "Create or change an engine");
    auto fields = std::make_shared<std::array<std::string, 4>>();
    auto leaving = std::make_shared<bool>(false);
    put->add_option("name", (*fields)[0], "Name")->required();
    put->add_option("--service", (*fields)[1], "Service that it serves")->required();
    put->add_option("--zone", (*fields)[2], "Availability zone")->required();
    put->add_option("--address", (*fields)[3], "ip:port")->required();
    put->add_flag("--leaving", *leaving, "Give it no new work");
    put->callback([=, &client, &code] {
        v1::Change change;
        v1::Engine* out = change.mutable_put_engine();
        out->set_name((*fields)[0]);
        out->set_service((*fields)[1]);
        out->set_zone((*fields)[2]);
        out->set_address((*fields)[3]);
        out->set_leaving(*leaving);
        code = client.apply({change});
    });
    CLI::App* erase = engine->add_subcommand("delete", "Delete an engine");
    erase->add_option("name", (*fields)[0], "Name")->required();
    erase->callback([=, &client, &code] {
        v1::Change change;
        change.set_delete_engine((*fields)[0]);
        code = client.apply({change});
    });
}

void AddServiceCommands(CLI::App& app, Client& client, int& code) {
    CLI::App* service = app.add_subcommand("service", "Services: models and plain services");
    service->require_subcommand(1);
    CLI::App* put = service->add_subcommand("put", "Create or change a service");
    auto name = std::make_shared<std::string>();
    auto kind = std::make_shared<std::string>("chat");
    auto priority = std::make_shared<std::string>("normal");
    auto zones = std::make_shared<std::vector<std::string>>();
    auto once = std::make_shared<bool>(false);
    auto fenced = std::make_shared<bool>(false);
    auto multiple = std::make_shared<double>(0);
    auto numbers = std::make_shared<std::array<uint32_t, 3>>();
    put->add_option("name", *name, "Name")->required();
    put->add_option("--kind", *kind, "chat or plain")->check(CLI::IsMember({"chat", "plain"}));
    put->add_flag("--once", *once, "Its requests may not be repeated");
    put->add_option("--zone", *zones, "Home zone of its keys (repeat)");
    put->add_flag("--checks-fence", *fenced, "The upstream checks the fencing token");
    put->add_option("--multiple", *multiple, "c of the load bound");
    put->add_option("--floor", (*numbers)[0], "Load below which the bound does not bind");
    put->add_option("--capacity", (*numbers)[1], "Most in flight on one engine");
    put->add_option("--objective-ms", (*numbers)[2], "First byte within this time");
    put->add_option("--priority", *priority, "Default: urgent, normal or deferrable");
    put->callback([=, &client, &code] {
        v1::Change change;
        v1::Service* out = change.mutable_put_service();
        out->set_name(*name);
        out->set_kind(*kind == "chat" ? v1::Service::CHAT : v1::Service::PLAIN);
        out->set_repeatable(!*once);
        out->set_checks_fence(*fenced);
        out->set_multiple(*multiple);
        out->set_floor((*numbers)[0]);
        out->set_capacity((*numbers)[1]);
        out->set_objective_ms((*numbers)[2]);
        out->set_default_priority(*priority);
        for (const std::string& zone : *zones) {
            out->add_zones(zone);
        }
        code = client.apply({change});
    });
    CLI::App* erase = service->add_subcommand("delete", "Delete a service");
    erase->add_option("name", *name, "Name")->required();
    erase->callback([=, &client, &code] {
        v1::Change change;
        change.set_delete_service(*name);
        code = client.apply({change});
    });
}

void AddStepCommand(CLI::App& app, Client& client, int& code) {
    CLI::App* step = app.add_subcommand("step", "Add a migration step");
    auto from = std::make_shared<int64_t>(0);
    auto share = std::make_shared<double>(1.0);
    step->add_option("--from-ms", *from, "Start, milliseconds since 1970")->required();
    step->add_option("--share", *share, "Share of the keys that are this site's")->required();
    step->callback([=, &client, &code] {
        v1::Change change;
        change.mutable_add_step()->set_from_ms(*from);
        change.mutable_add_step()->set_share(*share);
        code = client.apply({change});
    });
}

}  // namespace

int RunCtl(int argc, char** argv) {
    CLI::App app{"Command line of onyxcleat's operators"};
    Options options;
    int code = kExitOk;
    std::string path;
    std::string box;
    app.add_option("--admin", options.admin, "Address of onyx-admin, ip:port");
    app.add_flag("--json", options.json, "Print JSON");
    app.add_option("--against", options.against, "Revision that the change was made against");
    app.add_option("--change-id", options.changeId, "Id that makes a repeated change apply once");
    app.set_version_flag("--version", std::string(kVersion));
    app.require_subcommand(1);
    CLI::App* show = app.add_subcommand("show", "Print the configuration");
    CLI::App* status = app.add_subcommand("status", "What each box has in force");
    CLI::App* apply = app.add_subcommand("apply", "Apply the changes in a JSON file");
    apply->add_option("file", path, "File with {\"changes\": [...]}")->required();
    CLI::App* leave = app.add_subcommand("leave", "Tell the platform that a box leaves");
    leave->add_option("box", box, "Name of the box")->required();
    Client client(options);
    show->callback([&] { code = client.show(); });
    status->callback([&] { code = client.status(); });
    apply->callback([&] { code = ApplyFile(client, path); });
    leave->callback([&] { code = client.leave(box); });
    AddTeamCommands(app, client, code);
    AddServiceCommands(app, client, code);
    AddEngineCommands(app, client, code);
    AddStepCommand(app, client, code);
    CLI11_PARSE(app, argc, argv);
    return code;
}

}  // namespace onyx
