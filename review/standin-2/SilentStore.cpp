// The connections of all boxes to the store go silent, without a reset, while new ones work; then a
// model replica says that it drains. Judges DRAIN: no request reaches the replica later than
// drain_ms after the store took that, sent on by a box that is in touch.
#include "Site.h"

#include <algorithm>

namespace onyx::review {

namespace {

constexpr Millis kDrainMs = 2000;      // drain_ms
constexpr Millis kConnectedMs = 3000;  // connected_ms
constexpr Millis kLinger = 1500;       // The replica serves on for drain_ms and this much.
constexpr size_t kModels = 3;
constexpr size_t kBoxes = 6;  // Two in each of three zones.

}  // namespace

int RunSilentStore(asio::io_context& io, const CaseOptions& options) {
    Record record(options.record);
    SmallSite site(io, options, record);
    if (!site.start(kBoxes, kModels, SmallSiteSettings())) {
        return kCannotRun;
    }
    site.startLoad();
    platform::RunFor(io, 6000);

    // An ordinary moment: most boxes have their watch of the list open for up to a second.
    const auto recentWatches = [&] {
        const MonoTime now = ReadClocks().mono;
        return std::count_if(site.links().begin(), site.links().end(), [&](const auto& link) {
            const Millis open = now - link->lastListWatch();
            return open >= 100 && open <= 1100;
        });
    };
    platform::RunUntil(
        io, [&] { return recentWatches() > static_cast<long>(kBoxes / 2); }, 9000);
    const MonoTime silentAt = ReadClocks().mono;
    if (options.trouble) {
        for (const auto& link : site.links()) {
            link->silence();
        }
    }
    record.line(
        std::string(options.trouble ? "the boxes' open connections to the store go silent"
                                    : "nothing goes silent") +
        "; boxes whose watch of the list is 0.1 to 1.1 s old: " + std::to_string(recentWatches()));
    platform::RunFor(io, 200);
    FakeReplica& leaver = *site.replicas()[1];  // A model replica in the second zone.
    const MonoTime ack = site.drain(leaver, kDrainMs + kLinger);
    platform::RunFor(io, 4000);
    site.stopLoad();
    platform::RunFor(io, 2500);

    // From then on the boxes are in touch again: the silence counts as a reset of connections.
    const MonoTime inTouch = options.trouble ? silentAt + kConnectedMs : ack;
    return site.judgeDrain(leaver, ack, std::max(ack + kDrainMs, inTouch)) > 0 ? kBroken : kHeld;
}

}  // namespace onyx::review
