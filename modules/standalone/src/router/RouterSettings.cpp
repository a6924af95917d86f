#include "modules/standalone/include/router/RouterSettings.h"

namespace onyx {

namespace {

constexpr int64_t kDay = 24LL * 3600 * 1000;

void ReadHome(SettingsReader& reader, HomeSettings& home) {
    home.queue.most = static_cast<size_t>(reader.number("queue.most", 256, 1, 1000000));
    home.queue.mostOfTeam =
        static_cast<size_t>(reader.number("queue.most_of_team", 64, 1, 1000000));
    home.queue.mostWait = reader.number("queue.most_wait_ms", 10000, 1, kDay);
    home.mostNotes = static_cast<size_t>(reader.number("placement.most_notes", 20000, 1, 10000000));
    home.noteAge = reader.number("placement.note_age_ms", 4LL * 3600 * 1000, 1, kDay);
    home.digestAge = reader.number("placement.digest_age_ms", 2000, 1, kDay);
    home.gainStep = static_cast<int>(reader.number("placement.gain_step", 2, 1, 1000));
    home.gainSettle = reader.number("placement.gain_settle_ms", 3000, 0, kDay);
}

void ReadKeys(SettingsReader& reader, RouterSettings& settings) {
    settings.leaseDuration = reader.number("keys.lease_ms", 6000, 100, kDay);
    settings.leaseRenew = reader.number("keys.lease_renew_ms", 2000, 50, kDay);
    settings.driftMargin = reader.number("keys.drift_margin_ms", 500, 0, kDay);
    settings.skewLimit = reader.number("keys.skew_limit_ms", 500, 0, kDay);
    settings.ledgerHorizon = reader.number("keys.ledger_horizon_ms", 600000, 1000, kDay);
    settings.ledgerMost = reader.number("keys.ledger_most", 100000, 1, 10000000);
    settings.rosterMost = reader.number("keys.roster_most", 16, 1, 1000);
}

}  // namespace

RouterSettings RouterSettings::Read(SettingsReader& reader) {
    RouterSettings settings;
    settings.box = reader.requiredText("box.name");
    settings.zone = reader.requiredText("box.zone");
    settings.site = reader.requiredText("box.site");
    settings.callers = reader.address("listen.callers");
    settings.peers = reader.address("listen.peers");
    settings.metrics = reader.address("listen.metrics");
    settings.advertised = reader.text("listen.advertised_peers", "");
    settings.seeds = reader.addresses("peers.seeds");
    settings.logLevel = reader.text("log.level", "info");
    settings.record = reader.text("log.record", "");
    settings.digestPeriod = reader.number("peers.digest_ms", 250, 10, 60000);
    settings.digestBudget = reader.number("peers.digest_bytes_per_second", 800, 50, 1000000);
    settings.digestPeers = reader.number("peers.digest_peers", 16, 1, 10000);
    settings.peerTimeout = reader.number("peers.timeout_ms", 1500, 50, kDay);
    settings.loadPollPeriod = reader.number("upstream.load_poll_ms", 500, 10, kDay);
    settings.hopTimeout = reader.number("upstream.hop_timeout_ms", 1000, 10, kDay);
    settings.stallTimeout = reader.number("upstream.stall_timeout_ms", 2000, 10, kDay);
    settings.defaultDeadline = reader.number("callers.default_deadline_ms", 30000, 1, kDay);
    settings.drainLimit = reader.number("callers.drain_limit_ms", 30000, 0, kDay);
    settings.retryShare = reader.real("upstream.retry_share", 0.1, 0.0, 1.0);
    ReadHome(reader, settings.home);
    ReadKeys(reader, settings);
    return settings;
}

}  // namespace onyx
