#include "modules/standalone/include/admin/AdminService.h"

#include "modules/standalone/include/admin/BoxQuery.h"
#include "modules/standalone/include/admin/ConfigStore.h"

#include <optional>

namespace onyx {

namespace v1 = admin::v1;

namespace {

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

// The newest accepted configuration. A platform that was restored to an older version may have
// forgotten what the boxes have in force; what was accepted never reverts, so theirs counts then.
Task<Result<StoredConfig>> ReadNewest(ObjectClient& platform) {
    ConfigStore store(platform);
    auto stored = co_await store.read();
    if (stored.has_error()) {
        co_return std::move(stored).error();
    }
    auto boxes = co_await platform.boxes();
    if (boxes.has_error()) {
        co_return stored;
    }
    const std::vector<BoxAnswer> answers = co_await QueryBoxes(std::move(boxes).value());
    const BoxAnswer* newest = nullptr;
    for (const BoxAnswer& answer : answers) {
        const uint64_t known = newest == nullptr ? stored.value().head.revision : newest->revision;
        newest = answer.revision > known ? &answer : newest;
    }
    if (newest == nullptr) {
        co_return stored;
    }
    const Endpoint address = ParseEndpoint(newest->box.address).value();
    auto shards = co_await ReadConfigOf(address);
    if (shards.has_error()) {
        co_return std::move(shards).error();
    }
    StoredConfig healed = stored.value();
    healed.head.revision = newest->revision;
    healed.head.shards.clear();  // None is known to be in the platform: all are written again.
    healed.shards = std::move(shards).value();
    co_return healed;
}

Task<Result<uint64_t>> ApplyTask(ObjectClient& platform, const v1::ApplyRequest& request) {
    ConfigStore store(platform);
    auto base = co_await ReadNewest(platform);
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

Task<Result<bool>> StatusTask(ObjectClient& platform, v1::StatusReply& reply) {
    auto stored = co_await ReadNewest(platform);
    if (stored.has_error()) {
        co_return std::move(stored).error();
    }
    reply.set_accepted_revision(stored.value().head.revision);
    auto boxes = co_await platform.boxes();
    if (boxes.has_error()) {
        co_return std::move(boxes).error();
    }
    const std::vector<BoxAnswer> answers = co_await QueryBoxes(std::move(boxes).value());
    for (const BoxAnswer& answer : answers) {
        v1::BoxStatus* out = reply.add_boxes();
        out->set_box(answer.box.name);
        out->set_zone(answer.box.zone);
        out->set_address(answer.box.address);
        out->set_leaving(answer.box.leaving);
        out->set_reachable(answer.reachable);
        out->set_revision(answer.revision);
        out->set_roster_epoch(answer.rosterEpoch);
        out->set_detail(answer.draining ? "draining" : answer.detail);
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
    ObjectClient platform(io.get_executor(), m_platform);
    const auto revision = RunTask(io, ApplyTask(platform, *request));
    if (revision.has_error()) {
        return ToGrpc(revision.error());
    }
    reply->set_revision(revision.value());
    return grpc::Status::OK;
}

grpc::Status AdminService::Get(grpc::ServerContext*, const v1::GetRequest*, v1::GetReply* reply) {
    asio::io_context io(1);
    ObjectClient platform(io.get_executor(), m_platform);
    const auto stored = RunTask(io, ReadNewest(platform));
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
    ObjectClient platform(io.get_executor(), m_platform);
    const auto done = RunTask(io, StatusTask(platform, *reply));
    return done.has_error() ? ToGrpc(done.error()) : grpc::Status::OK;
}

grpc::Status AdminService::Leave(grpc::ServerContext*, const v1::LeaveRequest* request,
                                 v1::LeaveReply*) {
    asio::io_context io(1);
    ObjectClient platform(io.get_executor(), m_platform);
    const auto done = RunTask(io, platform.setLeaving(request->box()));
    return done.has_error() ? ToGrpc(done.error()) : grpc::Status::OK;
}

}  // namespace onyx
