#include "include/admin/AdminService.h"

#include "include/admin/ConfigStore.h"
#include "include/wire/FrameLink.h"

#include <boost/asio/this_coro.hpp>

#include <optional>

namespace onyx {

namespace v1 = admin::v1;

namespace {

constexpr Millis kStatusTimeout = 2000;
constexpr Millis kStatusStep = 5;

grpc::Status ToGrpc(const Error& error) {
    switch (error.code) {
        case ErrorCode::kBadInput:
            return {grpc::StatusCode::INVALID_ARGUMENT, error.text()};
        case ErrorCode::kConflict:
            return {grpc::StatusCode::ABORTED, error.text()};
        case ErrorCode::kNotFound:
            return {grpc::StatusCode::NOT_FOUND, error.text()};
        case ErrorCode::kUnavailable:
            return {grpc::StatusCode::UNAVAILABLE, error.text()};
        default:
            return {grpc::StatusCode::UNKNOWN, error.text()};
    }
}

template <class T>
Task<> StoreResult(Task<T> task, std::optional<T>* out) {
    out->emplace(co_await std::move(task));
}

// Runs a task to its end in a context of its own.
template <class T>
T RunTask(asio::io_context& io, Task<T> task) {
    std::optional<T> result;
    Spawn(io.get_executor(), StoreResult(std::move(task), &result));
    io.run();
    return std::move(*result);
}

Task<Result<uint64_t>> ApplyTask(PlatformClient& platform, const v1::ApplyRequest& request) {
    ConfigStore store(platform);
    auto base = co_await store.read();
    if (base.has_error()) {
        co_return std::move(base).error();
    }
    const ConfigHead& head = base.value().head;
    const uint64_t made = head.revisionOfChange(request.change_id());
    if (made > 0) {
        co_return made;
    }
    if (head.revision != request.against_revision()) {
        co_return Error{ErrorCode::kConflict, "config.commit", "",
                        "current revision is " + std::to_string(head.revision)};
    }
    ConfigEditor editor(base.value().shards);
    for (const v1::Change& change : request.changes()) {
        auto applied = editor.apply(change);
        if (applied.has_error()) {
            co_return std::move(applied).error();
        }
    }
    const auto good = editor.check();
    if (good.has_error()) {
        co_return good.error();
    }
    co_return co_await store.commit(std::move(base).value(), editor.shards(), request.change_id());
}

// What one box says in its first digest.
Task<> AskBox(Endpoint address, v1::BoxStatus* out, int* pending) {
    wire::HelloT hello;
    hello.box = "operator";
    hello.role = wire::LinkRole::Operator;
    auto connected = co_await FrameLink::Connect(address, std::move(hello));
    if (connected.has_error()) {
        out->set_detail(connected.error().text());
        --*pending;
        co_return;
    }
    const std::shared_ptr<FrameLink> link = connected.value();
    auto answered = std::make_shared<bool>(false);
    link->start(
        [out, answered](FrameLink& self, wire::BodyUnion& body) {
            if (const auto* digest = body.AsDigest()) {
                out->set_reachable(true);
                out->set_revision(digest->config_revision);
                out->set_roster_epoch(digest->roster_epoch);
                out->set_detail(digest->draining ? "draining" : "");
                *answered = true;
                self.close();
            }
        },
        [](FrameLink&) {});
    const MonoTime end = ReadClocks().mono + kStatusTimeout;
    while (!*answered && link->open() && ReadClocks().mono < end) {
        co_await SleepFor(kStatusStep);
    }
    link->close();
    --*pending;
}

Task<Result<bool>> StatusTask(PlatformClient& platform, v1::StatusReply& reply) {
    ConfigStore store(platform);
    auto stored = co_await store.read();
    if (stored.has_error()) {
        co_return std::move(stored).error();
    }
    reply.set_accepted_revision(stored.value().head.revision);
    auto boxes = co_await platform.boxes();
    if (boxes.has_error()) {
        co_return std::move(boxes).error();
    }
    int pending = 0;
    const auto executor = co_await asio::this_coro::executor;
    for (const PlatformBox& box : boxes.value()) {
        const auto address = ParseEndpoint(box.address);
        if (address.has_error()) {
            continue;  // An upstream's box.
        }
        v1::BoxStatus* out = reply.add_boxes();
        out->set_box(box.name);
        out->set_zone(box.zone);
        out->set_address(box.address);
        out->set_leaving(box.leaving);
        ++pending;
        Spawn(executor, AskBox(address.value(), out, &pending));
    }
    while (pending > 0) {
        co_await SleepFor(kStatusStep);
    }
    co_return true;
}

}  // namespace

grpc::Status AdminService::Apply(grpc::ServerContext*, const v1::ApplyRequest* request,
                                 v1::ApplyReply* reply) {
    if (request->change_id().empty()) {
        return {grpc::StatusCode::INVALID_ARGUMENT, "change_id: expected a value"};
    }
    if (request->changes().empty()) {
        return {grpc::StatusCode::INVALID_ARGUMENT, "changes: expected at least one"};
    }
    asio::io_context io(1);
    PlatformClient platform(io.get_executor(), m_platform);
    const auto revision = RunTask(io, ApplyTask(platform, *request));
    if (revision.has_error()) {
        return ToGrpc(revision.error());
    }
    reply->set_revision(revision.value());
    return grpc::Status::OK;
}

grpc::Status AdminService::Get(grpc::ServerContext*, const v1::GetRequest*, v1::GetReply* reply) {
    asio::io_context io(1);
    PlatformClient platform(io.get_executor(), m_platform);
    ConfigStore store(platform);
    const auto stored = RunTask(io, store.read());
    if (stored.has_error()) {
        return ToGrpc(stored.error());
    }
    const ConfigEditor editor(stored.value().shards);
    const auto described = editor.describe(stored.value().head.revision, *reply);
    return described.has_error() ? ToGrpc(described.error()) : grpc::Status::OK;
}

grpc::Status AdminService::Status(grpc::ServerContext*, const v1::StatusRequest*,
                                  v1::StatusReply* reply) {
    asio::io_context io(1);
    PlatformClient platform(io.get_executor(), m_platform);
    const auto done = RunTask(io, StatusTask(platform, *reply));
    return done.has_error() ? ToGrpc(done.error()) : grpc::Status::OK;
}

grpc::Status AdminService::Leave(grpc::ServerContext*, const v1::LeaveRequest* request,
                                 v1::LeaveReply*) {
    asio::io_context io(1);
    PlatformClient platform(io.get_executor(), m_platform);
    const auto done = RunTask(io, platform.setLeaving(request->box()));
    return done.has_error() ? ToGrpc(done.error()) : grpc::Status::OK;
}

}  // namespace onyx
