// A model replica goes down and up twice under its id; the clock of its machine is ahead at the
// first start and right again at the second. Then it drains. Judges DRAIN: no request reaches it
// later than drain_ms after the store took that.
#include "Site.h"

namespace onyx::review {

namespace {

constexpr Millis kDrainMs = 5000;      // drain_ms of the site whose page tells of `born`.
constexpr Millis kConnectedMs = 6000;  // connected_ms
constexpr Millis kLinger = 1500;       // The replica serves on for drain_ms and this much.
constexpr Millis kAheadMs = 2000;      // clock_step, x
constexpr Millis kFlapMs = 1000;       // srv_flap, gap_s
constexpr Millis kDownMs = 500;
constexpr size_t kModels = 7;  // One of them is 0.14: srv_flap, share 0.15.
constexpr size_t kBoxes = 6;
constexpr int64_t kEpoch = 1764000000000;  // Unix milliseconds of the start of the case.

std::string FleetSettings() {
    return "writes_per_second = 3200\n"
           "leaving_bound_ms = 5000\n"
           "configuration_bound_ms = 5000\n"
           "key_bound_ms = 5000\n"
           "[retry]\nwindow_s = 10\nshare = 0.2\nslack = 1040\n"
           "[limits]\nmemory_mb = 260\nmax_fds = 4100\n";
}

}  // namespace

int RunClockBack(asio::io_context& io, const CaseOptions& options) {
    Record record(options.record);
    SmallSite site(io, options, record);
    if (!site.start(kBoxes, kModels, FleetSettings())) {
        return kCannotRun;
    }
    site.startLoad();
    platform::RunFor(io, 3000);
    FakeReplica& flapping = *site.replicas()[1];
    const MonoTime begun = ReadClocks().mono;
    // Its entry, with the time of day of its machine at its last start.
    int64_t born = 0;
    const auto entry = [&](const std::string& state) {
        nlohmann::json object = flapping.object(state);
        object["born"] = born;
        return object;
    };
    const auto start = [&](Millis ahead) {
        born = kEpoch + (ReadClocks().mono - begun) + ahead;
        site.store().put("servers", flapping.id(), entry("ready"));
        record.line(flapping.id() + " has started, born " + std::to_string(born - kEpoch) +
                    " ms after the first start of all");
    };
    born = flapping.object().at("born").get<int64_t>();
    flapping.crash(kDownMs, [&] { start(options.trouble ? kAheadMs : 0); });
    record.line(flapping.id() + " is down");
    platform::RunFor(io, kFlapMs);
    flapping.crash(kDownMs, [&] { start(0); });
    record.line(flapping.id() + " is down again");
    platform::RunFor(io, kFlapMs + kConnectedMs);
    site.store().put("servers", flapping.id(), entry("draining"));
    const MonoTime ack = ReadClocks().mono;
    record.line("the store has taken that " + flapping.id() + " drains");
    platform::RunFor(io, kDrainMs + kLinger);
    site.store().remove("servers", flapping.id());
    record.line(flapping.id() + " ends");
    flapping.crash(600000, [] {});
    platform::RunFor(io, 3000);
    site.stopLoad();
    platform::RunFor(io, 2500);
    return site.judgeDrain(flapping, ack, ack + kDrainMs) > 0 ? kBroken : kHeld;
}

}  // namespace onyx::review
