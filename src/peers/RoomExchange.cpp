#include "include/peers/RoomExchange.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace onyx {

namespace {

std::optional<size_t> IndexOf(const std::vector<std::string>& addresses, const std::string& box) {
    const auto found = std::find(addresses.begin(), addresses.end(), box);
    return found == addresses.end() ? std::nullopt
                                    : std::optional<size_t>(found - addresses.begin());
}

// Whether the shares refuse a notable part of some class.
bool Limits(const RoomShares& shares) {
    constexpr double kNotable = 0.95;
    return shares.limited &&
           std::any_of(shares.classes.begin(), shares.classes.end(),
                       [](const ClassShare& share) { return share.fraction < kNotable; });
}

}  // namespace

RoomExchange::Service::Service(std::string service)
    : name(std::move(service)), hash(HashText(name)) {}

RoomExchange::RoomExchange(std::string self, std::string zone)
    : m_self(std::move(self)), m_zone(std::move(zone)) {}

void RoomExchange::setBoxes(const std::vector<KnownBox>& boxes) {
    m_keepers.setBoxes(boxes);
    for (auto& [name, service] : m_services) {
        service.keepers.reset();
    }
}

void RoomExchange::setSlots(const ServiceId& service, double slots) {
    if (Service* followed = follow(service)) {
        followed->slots = slots;
    }
}

void RoomExchange::forget(const ServiceId& service) {
    m_services.erase(service.value);
}

RoomExchange::Service* RoomExchange::follow(const ServiceId& service) {
    if (Service* known = find(service.value)) {
        return known;
    }
    if (m_services.size() >= kMaxServices || !IsRoomServiceName(service.value)) {
        return nullptr;
    }
    return &m_services.emplace(service.value, service.value).first->second;
}

RoomExchange::Service* RoomExchange::find(const std::string& service) {
    const auto known = m_services.find(service);
    return known == m_services.end() ? nullptr : &known->second;
}

const RoomExchange::Service* RoomExchange::find(const std::string& service) const {
    const auto known = m_services.find(service);
    return known == m_services.end() ? nullptr : &known->second;
}

const RoomExchange::Keepers& RoomExchange::keepersOf(Service& service) {
    if (!service.keepers) {
        Keepers keepers;
        keepers.collectors = m_keepers.collectorsOf(service.hash, m_self);
        keepers.roots = m_keepers.rootsOf(service.hash, m_zone);
        keepers.asCollector = IndexOf(keepers.collectors, m_self);
        keepers.asRoot = IndexOf(keepers.roots, m_self);
        service.keepers = std::move(keepers);
    }
    return *service.keepers;
}

bool RoomExchange::isReportWanted(const ServiceId& service, MonoTime now) const {
    const Service* known = find(service.value);
    return known != nullptr && IsReportWanted(*known, now);
}

bool RoomExchange::IsReportWanted(const Service& service, MonoTime now) {
    const auto& wantedAt = service.reporter.wantedAt;
    return wantedAt && now - *wantedAt <= kReportTime;
}

void RoomExchange::setOwnCounts(const ServiceId& service, RoomCounts counts, MonoTime now) {
    if (Service* followed = follow(service)) {
        followed->reporter.counts = std::move(counts);
        followed->reporter.countsAt = now;
    }
}

std::optional<SiteShares> RoomExchange::sharesOf(const ServiceId& service) const {
    const Service* known = find(service.value);
    return known ? known->reporter.shares : std::nullopt;
}

std::vector<OutgoingFrame> RoomExchange::makeDueFrames(MonoTime now) {
    Frames frames;
    for (auto& [name, service] : m_services) {
        report(service, now, frames);
        collect(service, now, frames);
        decide(service, now, frames);
    }
    return frames;
}

void RoomExchange::report(Service& service, MonoTime now, Frames& frames) {
    Reporter& reporter = service.reporter;
    if (!reporter.counts || now - reporter.countsAt > kPeriod ||
        (!reporter.counts->pressed && !IsReportWanted(service, now))) {
        return;
    }
    const std::vector<std::string>& collectors = keepersOf(service).collectors;
    if (collectors.empty()) {
        return;
    }
    const auto counts = std::exchange(reporter.counts, std::nullopt);
    const std::string& to = collectors[reporter.choice.choose(collectors.size(), now)];
    if (to == m_self) {
        service.collector.reports.put(m_self, *counts, now);
    } else {
        frames.push_back({{to}, EncodeRoomReport(service.name, *counts, false)});
    }
}

void RoomExchange::collect(Service& service, MonoTime now, Frames& frames) {
    const auto sum = service.collector.reports.sum(now);
    if (!sum) {
        return;
    }
    service.collector.sumSentAt = now;
    std::vector<std::string> to;
    for (const std::string& root : keepersOf(service).roots) {
        if (root == m_self) {
            service.root.sums.put(m_self, *sum, now);
        } else {
            to.push_back(root);
        }
    }
    if (!to.empty()) {
        frames.push_back({std::move(to), EncodeRoomReport(service.name, *sum, true)});
    }
}

void RoomExchange::decide(Service& service, MonoTime now, Frames& frames) {
    const auto sum = service.root.sums.sum(now);
    if (!IsActive(service, sum, now) || !sum || service.slots <= 0 || !keepersOf(service).asRoot) {
        return;
    }
    SharesMessage message = makeShares(service, *sum, now);
    std::vector<std::string> to = activeCollectors(service, now);
    const bool isCollector = std::erase(to, m_self) > 0;
    if (!to.empty()) {
        frames.push_back({std::move(to), EncodeRoomShares(service.name, message, true)});
    }
    if (isCollector) {
        passOn(service, std::move(message), now, frames);
    }
}

// Without shares as long as it only asks for reports.
SharesMessage RoomExchange::makeShares(Service& service, const RoomCounts& sum,
                                       MonoTime now) const {
    Root& root = service.root;
    const double boxes = static_cast<double>(m_keepers.boxCount());
    root.decides = root.decides || static_cast<double>(sum.boxes) >= kEnoughBoxes * boxes ||
                   now - root.activeSince >= kMaxAskTime;
    SharesMessage message;
    message.rank = *service.keepers->asRoot;
    message.report = true;
    if (root.decides) {
        message.round = ++root.round;
        std::erase_if(root.sent, [&](const auto& sent) { return now - sent.second > kMaxRoomAge; });
        root.sent.emplace_back(message.round, now);
        // The reports take as long as the shares.
        const Millis age = kPeriod + 2 * static_cast<Millis>(root.transit);
        message.shares = root.room.update(sum, {service.slots, m_keepers.boxCount(), age}, now);
    }
    if (message.rank == 0 && Limits(message.shares)) {
        root.pressedAt = now;
    }
    return message;
}

// Measures how long shares take to the boxes, where this box gets its own as others do.
void RoomExchange::NoteTransit(Service& service, const SharesMessage& message, MonoTime now) {
    constexpr double kSmoothing = 0.25;
    Root& root = service.root;
    std::erase_if(root.sent, [&](const auto& sent) { return now - sent.second > kMaxRoomAge; });
    const auto sent = std::find_if(root.sent.begin(), root.sent.end(),
                                   [&](const auto& known) { return known.first == message.round; });
    if (sent != root.sent.end() && service.keepers->asRoot == message.rank) {
        root.transit += kSmoothing * (static_cast<double>(now - sent->second) - root.transit);
    }
}

// Follows whether there is a shortage, or was one lately; forgets it afterwards. While enough is
// refused, no box may see a sign of it; so the shares that are in force count as well.
bool RoomExchange::IsActive(Service& service, const std::optional<RoomCounts>& sum, MonoTime now) {
    Root& root = service.root;
    if (sum && sum->pressed) {
        root.activeSince = root.pressedAt ? root.activeSince : now;
        root.pressedAt = now;
    }
    const auto& inForce = service.reporter.shares;
    if (root.pressedAt && inForce && now - inForce->asOf <= kMaxRoomAge &&
        Limits(inForce->shares)) {
        root.pressedAt = now;
    }
    if (root.pressedAt && now - *root.pressedAt > kAfterShortage) {
        root.pressedAt.reset();
        root.decides = false;
        root.room = ServiceRoom();
    }
    return root.pressedAt.has_value();
}

// The first collector of each group, and the second where it sends sums or the first does not.
std::vector<std::string> RoomExchange::activeCollectors(const Service& service,
                                                        MonoTime now) const {
    const Root& root = service.root;
    const auto siteRoots = m_keepers.rootsOf(service.hash, {});
    const auto groups = IndexOf(siteRoots, m_self) ? m_keepers.allCollectors(service.hash)
                                                   : m_keepers.collectorsIn(service.hash, m_zone);
    const bool hadTime = now - root.activeSince > kMaxRoomAge;
    std::vector<std::string> active;
    for (const std::vector<std::string>& collectors : groups) {
        const bool isFirstSilent = hadTime && !root.sums.contains(collectors.front());
        for (const std::string& collector : collectors) {
            if (collector == collectors.front() || isFirstSilent || root.sums.contains(collector)) {
                active.push_back(collector);
            }
        }
    }
    return active;
}

std::vector<OutgoingFrame> RoomExchange::handleReport(const std::string& from,
                                                      const wire::RoomReportT& report,
                                                      MonoTime now) {
    Frames frames;
    Service* service = find(report.service);
    auto counts = service ? DecodeRoomReport(report) : std::nullopt;
    if (!counts) {
        return frames;
    }
    counts->boxes = std::clamp<size_t>(counts->boxes, 1, std::max<size_t>(m_keepers.boxCount(), 1));
    RoomReports& reports = report.summed ? service->root.sums : service->collector.reports;
    reports.put(from, std::move(*counts), now);
    if (report.pressed) {
        hurry(*service, report.summed, now, frames);
    }
    return frames;
}

// Passes the first sign of a shortage on before the next period.
void RoomExchange::hurry(Service& service, bool isSummed, MonoTime now, Frames& frames) {
    const auto& sentAt = service.collector.sumSentAt;
    if (!isSummed && (!sentAt || now - *sentAt >= kPeriod)) {
        collect(service, now, frames);
    }
    if (!service.root.pressedAt && !service.root.sums.empty()) {
        decide(service, now, frames);
    }
}

std::vector<OutgoingFrame> RoomExchange::handleShares(const std::string& from,
                                                      const wire::RoomSharesT& shares,
                                                      MonoTime now) {
    Frames frames;
    Service* service = find(shares.service);
    auto message = service ? DecodeRoomShares(shares) : std::nullopt;
    if (!message) {
        return frames;
    }
    const Keepers& keepers = keepersOf(*service);
    const bool isFromRoot = shares.rank == 0;
    const auto sender = IndexOf(isFromRoot ? keepers.roots : keepers.collectors, from);
    if (!sender) {
        return frames;
    }
    const bool wasWanted = IsReportWanted(*service, now);
    if (!isFromRoot) {
        NoteTransit(*service, *message, now);
        Take(*service, std::move(*message), *sender, now);
    } else if (keepers.asCollector) {
        message->rank = *sender;
        passOn(*service, std::move(*message), now, frames);
    }
    if (!wasWanted) {
        report(*service, now, frames);  // The counts of the last period, if they are not sent yet.
    }
    return frames;
}

// To the boxes of the group, and to those that report here since they know different boxes.
void RoomExchange::passOn(Service& service, SharesMessage message, MonoTime now, Frames& frames) {
    Collector& collector = service.collector;
    const bool isNew = message.round > 0
                           ? collector.rounds.accept(message.rank, message.round, now)
                           : !collector.askedAt || now - *collector.askedAt >= kPeriod;
    if (!isNew) {
        return;
    }
    collector.askedAt = now;
    const std::vector<std::string> group = m_keepers.groupOf(m_self);
    std::set<std::string> to(group.begin(), group.end());
    collector.reports.forEachSender([&](const std::string& box) { to.insert(box); });
    to.erase(m_self);
    if (!to.empty()) {
        frames.push_back({{to.begin(), to.end()}, EncodeRoomShares(service.name, message, false)});
    }
    Take(service, std::move(message), *keepersOf(service).asCollector, now);
}

void RoomExchange::Take(Service& service, SharesMessage message, size_t collector, MonoTime now) {
    Reporter& reporter = service.reporter;
    reporter.choice.noteShares(collector);
    if (message.round == 0) {
        reporter.wantedAt = now;
        return;
    }
    if (!reporter.rounds.accept(message.rank, message.round, now)) {
        return;
    }
    reporter.wantedAt = message.report ? std::optional(now) : std::nullopt;
    const MonoTime asOf = now - message.age;
    if (!reporter.shares || asOf >= reporter.shares->asOf) {
        reporter.shares = SiteShares{std::move(message.shares), asOf};
    }
}

}  // namespace onyx
