#include "include/placement/UpstreamLoads.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cstdlib>

namespace onyx {

namespace {

// In requests. A load that has changed by less since it was last forwarded is forwarded again only
// after kForwardInterval.
constexpr int kSignificantChange = 2;
// In milliseconds. How often a load that has barely changed is forwarded.
constexpr Millis kForwardInterval = 250;
// In milliseconds. An older report is not forwarded, because a newer one is on its way.
constexpr Millis kMaxForwardedAge = 700;
// Number of answers over which the typical load is averaged: about two seconds of answers to one of
// many boxes.
constexpr double kTypicalLoadSamples = 16;
// In requests above the typical load. Only loads at least this far above it are forwarded: other
// boxes need to know which upstreams are nearly full, and the bandwidth budget is small.
constexpr double kHighLoadMargin = 2;

}  // namespace

void UpstreamLoads::addRequest(const std::string& upstream) {
    ++m_records[ShortHash(upstream)].own;
}

void UpstreamLoads::removeRequest(const std::string& upstream) {
    const auto it = m_records.find(ShortHash(upstream));
    if (it != m_records.end() && it->second.own > 0) {
        --it->second.own;
    }
}

void UpstreamLoads::noteReportedLoad(const std::string& upstream, int load, MonoTime now) {
    const uint32_t number = ShortHash(upstream);
    m_typicalLoad += (load - m_typicalLoad) / kTypicalLoadSamples;
    store({number, load, now});
}

void UpstreamLoads::noteForwardedReport(const LoadReport& report, MonoTime now) {
    if (now - report.asOf <= kReportAge) {
        store(report);
    }
}

void UpstreamLoads::store(const LoadReport& report) {
    Record& record = m_records[report.upstream];
    if (record.report && record.report->asOf >= report.asOf) {
        return;
    }
    record.report = {report.load, std::max(0, report.load - record.own), report.asOf};
    record.unforwarded = true;
}

bool UpstreamLoads::isHighLoad(int load) const {
    return load >= m_typicalLoad + kHighLoadMargin;
}

bool UpstreamLoads::isDue(const Record& record, MonoTime now) const {
    if (!record.unforwarded || now - record.report->asOf > kMaxForwardedAge) {
        return false;
    }
    // Boxes that received a report of a high load also receive the report that ends it.
    const bool corrects = record.lastForwarded && now - record.lastForwarded->at <= kReportAge &&
                          isHighLoad(record.lastForwarded->load);
    if (!isHighLoad(record.report->load) && !corrects) {
        return false;
    }
    return !record.lastForwarded || now - record.lastForwarded->at >= kForwardInterval ||
           std::abs(record.report->load - record.lastForwarded->load) >= kSignificantChange;
}

bool UpstreamLoads::hasDueReports(MonoTime now) const {
    return std::any_of(m_records.begin(), m_records.end(),
                       [&](const auto& entry) { return isDue(entry.second, now); });
}

std::vector<LoadReport> UpstreamLoads::takeDueReports(size_t maxCount, MonoTime now) {
    dropExpired(now);
    std::vector<LoadReport> due;
    for (const auto& [number, record] : m_records) {
        if (isDue(record, now)) {
            due.push_back({number, record.report->load, record.report->asOf});
        }
    }
    // High loads first: an upstream whose load other boxes underestimate receives too many
    // requests, while one whose load they overestimate only receives too few.
    std::sort(due.begin(), due.end(), [](const LoadReport& a, const LoadReport& b) {
        return a.load != b.load ? a.load > b.load : a.upstream < b.upstream;
    });
    due.resize(std::min(maxCount, due.size()));
    for (const LoadReport& report : due) {
        Record& record = m_records[report.upstream];
        record.unforwarded = false;
        record.lastForwarded = {report.load, now};
    }
    return due;
}

// Without this, reports forwarded by other boxes about upstreams that this box never used would be
// kept forever.
void UpstreamLoads::dropExpired(MonoTime now) {
    std::erase_if(m_records, [&](const auto& entry) {
        const Record& record = entry.second;
        return record.own == 0 && record.report && now - record.report->asOf > kReportRetention;
    });
}

const UpstreamLoads::Record* UpstreamLoads::find(const std::string& upstream) const {
    const auto it = m_records.find(ShortHash(upstream));
    return it == m_records.end() ? nullptr : &it->second;
}

int UpstreamLoads::own(const std::string& upstream) const {
    const Record* record = find(upstream);
    return record == nullptr ? 0 : record->own;
}

std::optional<int> UpstreamLoads::reported(const std::string& upstream, MonoTime now) const {
    const Record* record = find(upstream);
    if (record == nullptr || !record->report || now - record->report->asOf > kReportAge) {
        return std::nullopt;
    }
    return record->own + record->report->otherBoxes;
}

std::optional<AgedReport> UpstreamLoads::lastReport(const std::string& upstream,
                                                    MonoTime now) const {
    const Record* record = find(upstream);
    if (record == nullptr || !record->report || now - record->report->asOf > kReportRetention) {
        return std::nullopt;
    }
    const Report& report = *record->report;
    return AgedReport{record->own + report.otherBoxes, std::max<Millis>(0, now - report.asOf)};
}

std::optional<Millis> UpstreamLoads::reportAge(const std::string& upstream, MonoTime now) const {
    const Record* record = find(upstream);
    if (record == nullptr || !record->report) {
        return std::nullopt;
    }
    return now - record->report->asOf;
}

int UpstreamLoads::total(const std::string& upstream, MonoTime now) const {
    return reported(upstream, now).value_or(own(upstream));
}

PeerCounts::Counts UpstreamLoads::counts() const {
    PeerCounts::Counts out;
    for (const auto& [number, record] : m_records) {
        if (record.own > 0) {
            out.emplace_back(number, record.own);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

void UpstreamLoads::forget(const std::string& upstream) {
    const auto it = m_records.find(ShortHash(upstream));
    if (it != m_records.end() && it->second.own == 0) {
        m_records.erase(it);
    }
}

}  // namespace onyx
