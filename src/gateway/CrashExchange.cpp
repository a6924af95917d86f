#include "include/gateway/CrashExchange.h"

#include "include/membership/DrawBoxes.h"
#include "include/wire/FrameCodec.h"

#include <algorithm>
#include <limits>

namespace onyx {

namespace {

constexpr size_t kFanOut = 4;  // Boxes that are told in one round.
// Rounds in which a box tells what is new to it, and all crashes of a request that is new in
// quarantine.
constexpr int kRounds = 2;
constexpr int kQuarantineRounds = 6;
constexpr size_t kMaxNews = 512;
constexpr size_t kMaxGreeting = 512;  // Sightings that a newly linked box is told of.
// Bytes a second for rounds, and how many of them may be saved for a burst.
constexpr double kBytesPerSecond = 1000;
constexpr double kMaxSaved = 16000;
// Of these, kept for requests with more than one crash: after the loss of many upstreams a cause
// is not to wait behind all that was there only.
constexpr double kReserved = 8000;
// Bytes of a frame without its entries, and of an entry.
constexpr double kFrameBytes = 80;
constexpr double kEntryBytes = sizeof(wire::CrashEntry);

uint32_t WireMillis(Millis span) {
    return static_cast<uint32_t>(std::clamp<Millis>(span, 0, std::numeric_limits<uint32_t>::max()));
}

void AddCrash(const CrashSighting& sighting, MonoTime now, wire::CrashReportsT& reports) {
    reports.crashes.emplace_back(sighting.request, sighting.id, sighting.upstream,
                                 WireMillis(now - sighting.crashed),
                                 WireMillis(sighting.crashed - sighting.sent));
}

}  // namespace

bool CrashExchange::noteCrash(const CrashSighting& sighting, MonoTime now) {
    using Learned = RequestQuarantine::Learned;
    const Learned learned = m_quarantine.noteCrash(sighting, now);
    if (learned == Learned::kSighting) {
        add(sighting, kRounds);
    }
    if (learned == Learned::kQuarantine) {
        addAll(sighting.request, now);
    }
    return learned == Learned::kQuarantine;
}

// What makes a request the cause is told anew as a whole: a box that missed one of its crashes gets
// them from each box that learns of the quarantine.
void CrashExchange::addAll(uint64_t request, MonoTime now) {
    std::erase_if(m_crashes,
                  [&](const CrashNews& news) { return news.sighting.request == request; });
    for (const CrashSighting& sighting : m_quarantine.sightingsOf(request, now)) {
        add(sighting, kQuarantineRounds);
    }
}

void CrashExchange::noteAnswer(uint64_t request, MonoTime now) {
    if (m_quarantine.noteAnswer(request, now, now)) {
        addAnswer(request, now);
    }
}

std::vector<uint64_t> CrashExchange::take(const wire::CrashReportsT& reports, MonoTime now) {
    for (const wire::AnsweredEntry& entry : reports.answered) {
        const MonoTime at = now - Millis{entry.age_ms()};
        if (m_quarantine.noteAnswer(entry.request(), at, now)) {
            addAnswer(entry.request(), at);
        }
    }
    std::vector<uint64_t> quarantined;
    for (const wire::CrashEntry& entry : reports.crashes) {
        const MonoTime crashed = now - Millis{entry.age_ms()};
        const MonoTime sent = crashed - Millis{entry.ran_ms()};
        if (noteCrash({entry.request(), entry.id(), entry.upstream(), sent, crashed}, now)) {
            quarantined.push_back(entry.request());
        }
    }
    return quarantined;
}

void CrashExchange::add(const CrashSighting& sighting, int rounds) {
    if (m_crashes.size() >= kMaxNews) {
        m_crashes.pop_back();
    }
    m_crashes.push_back({sighting, rounds});
}

void CrashExchange::addAnswer(uint64_t request, MonoTime at) {
    if (m_answers.size() < kMaxNews) {
        m_answers.push_back({request, at, kRounds});
    }
}

void CrashExchange::earnAllowance(MonoTime now) {
    const Millis elapsed = m_allowedAt ? now - *m_allowedAt : 0;
    const double earned = kBytesPerSecond * static_cast<double>(elapsed) / 1000;
    m_allowance = m_allowedAt ? std::min(m_allowance + earned, kMaxSaved) : kMaxSaved;
    m_allowedAt = now;
}

// Takes what is to be told in this round, for so many boxes: of the requests with the most crashes
// first.
wire::CrashReportsT CrashExchange::takeNews(size_t boxes, MonoTime now) {
    const auto crashesOf = [&](const CrashNews& news) {
        return m_quarantine.crashes(news.sighting.request);
    };
    std::stable_sort(
        m_crashes.begin(), m_crashes.end(),
        [&](const CrashNews& a, const CrashNews& b) { return crashesOf(a) > crashesOf(b); });
    wire::CrashReportsT reports;
    double left = m_allowance / static_cast<double>(boxes) - kFrameBytes;
    const double reserved = kReserved / static_cast<double>(boxes);
    const auto pays = [&](double kept) {
        const bool enough = left - kEntryBytes >= kept;
        left -= enough ? kEntryBytes : 0;
        return enough;
    };
    for (AnswerNews& news : m_answers) {
        if (pays(0)) {
            reports.answered.emplace_back(news.request, WireMillis(now - news.at));
            --news.rounds;
        }
    }
    for (CrashNews& news : m_crashes) {
        if (pays(crashesOf(news) > 1 ? 0 : reserved)) {
            AddCrash(news.sighting, now, reports);
            --news.rounds;
        }
    }
    std::erase_if(m_answers, [](const AnswerNews& news) { return news.rounds <= 0; });
    std::erase_if(m_crashes, [](const CrashNews& news) { return news.rounds <= 0; });
    return reports;
}

std::vector<OutgoingFrame> CrashExchange::round(const std::string& self,
                                                std::span<const std::string> linked, MonoTime now) {
    if (linked.empty()) {
        // A box that is linked later is greeted with all of it.
        m_crashes.clear();
        m_answers.clear();
        return {};
    }
    earnAllowance(now);
    std::vector<std::string> to =
        DrawBoxes({linked.begin(), linked.end()}, kFanOut, self, ++m_round);
    wire::CrashReportsT reports = takeNews(to.size(), now);
    if (reports.crashes.empty() && reports.answered.empty()) {
        return {};
    }
    std::vector<OutgoingFrame> frames;
    frames.push_back({std::move(to), EncodeMessage(std::move(reports))});
    m_allowance -= static_cast<double>(frames[0].frame.size() * frames[0].to.size());
    return frames;
}

std::optional<std::string> CrashExchange::greeting(MonoTime now) const {
    wire::CrashReportsT reports;
    for (const CrashSighting& sighting : m_quarantine.sightings(kMaxGreeting, now)) {
        AddCrash(sighting, now, reports);
    }
    if (reports.crashes.empty()) {
        return std::nullopt;
    }
    return EncodeMessage(std::move(reports));
}

}  // namespace onyx
