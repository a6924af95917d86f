#include "modules/standalone/include/admin/BoxQuery.h"

#include "include/wire/FrameLink.h"

#include <boost/asio/this_coro.hpp>

namespace onyx {

namespace {

constexpr Millis kTimeout = 2000;
constexpr Millis kStep = 5;

wire::HelloT OperatorHello() {
    wire::HelloT hello;
    hello.box = "operator";
    hello.role = wire::LinkRole::Operator;
    return hello;
}

// Waits until `done`, the link's end or the time limit.
Task<> WaitFor(std::shared_ptr<FrameLink> link, std::shared_ptr<bool> done) {
    const MonoTime end = ReadClocks().mono + kTimeout;
    while (!*done && link->open() && ReadClocks().mono < end) {
        co_await SleepFor(kStep);
    }
    link->close();
}

// A box sends a digest as soon as it has greeted.
Task<> QueryBox(Endpoint address, BoxAnswer* out, size_t* pending) {
    auto connected = co_await FrameLink::Connect(address, OperatorHello());
    if (connected.has_error()) {
        out->detail = connected.error().text();
        --*pending;
        co_return;
    }
    const std::shared_ptr<FrameLink> link = connected.value();
    const auto done = std::make_shared<bool>(false);
    const FrameLink::OnFrame onFrame = [out, done](FrameLink&, wire::BodyUnion& body) {
        const auto* digest = body.AsDigest();
        if (digest != nullptr && !*done) {
            out->reachable = true;
            out->draining = digest->draining;
            out->revision = digest->config_revision;
            out->rosterEpoch = digest->roster_epoch;
            *done = true;
        }
    };
    link->start(onFrame, [](FrameLink&) {});
    co_await WaitFor(link, done);
    --*pending;
}

}  // namespace

Task<std::vector<BoxAnswer>> QueryBoxes(std::vector<PlatformBox> boxes) {
    std::vector<BoxAnswer> answers;
    for (PlatformBox& box : boxes) {
        if (ParseEndpoint(box.address).has_value()) {
            answers.push_back({std::move(box)});
        }
    }
    size_t pending = answers.size();
    const auto executor = co_await asio::this_coro::executor;
    for (BoxAnswer& answer : answers) {
        const Endpoint address = ParseEndpoint(answer.box.address).value();
        Spawn(executor, QueryBox(address, &answer, &pending));
    }
    while (pending > 0) {
        co_await SleepFor(kStep);
    }
    co_return answers;
}

Task<Result<std::vector<ConfigShard>>> ReadConfigOf(Endpoint box) {
    auto connected = co_await FrameLink::Connect(box, OperatorHello());
    if (connected.has_error()) {
        co_return std::move(connected).error();
    }
    const std::shared_ptr<FrameLink> link = connected.value();
    const auto done = std::make_shared<bool>(false);
    const auto shards = std::make_shared<std::vector<ConfigShard>>();
    const FrameLink::OnFrame onFrame = [done, shards](FrameLink&, wire::BodyUnion& body) {
        if (const auto* snapshot = body.AsConfigSnapshot()) {
            for (const auto& shard : snapshot->shards) {
                shards->push_back({shard->name, shard->content});
            }
            *done = true;
        }
    };
    link->start(onFrame, [](FrameLink&) {});
    link->send(wire::ConfigAskT());
    co_await WaitFor(link, done);
    if (!*done) {
        co_return Error{ErrorCode::kTimeout, "box.config", EndpointText(box), "no answer"};
    }
    co_return *shards;
}

}  // namespace onyx
