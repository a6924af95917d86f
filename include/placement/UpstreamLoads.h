// How loaded each upstream is, an input of ChooseUpstream, as far as this box can tell: its own
// requests there, and what the upstream's answers report of all boxes' requests.
#pragma once

#include "include/base/Hash.h"
#include "include/base/Time.h"
#include "include/placement/PeerCounts.h"

#include <algorithm>
#include <map>
#include <string>

namespace onyx {

// Not thread safe: one task owns it.
class UpstreamLoads {
public:
    // In milliseconds. A reported load counts for this long: some runs of a short request. A
    // choice.
    static constexpr Millis kReportAge = 1000;

    // Counts a request that is sent to `upstream`. Preconditions: none.
    void enter(const std::string& upstream) { ++m_records[upstream].own; }

    // Counts it out. Preconditions: enter() counted it.
    void leave(const std::string& upstream) {
        const auto it = m_records.find(upstream);
        if (it != m_records.end() && it->second.own > 0) {
            --it->second.own;
        }
    }

    // Takes in the load that an answer reports. Preconditions: none.
    void noteReportedLoad(const std::string& upstream, int load, MonoTime now) {
        Record& record = m_records[upstream];
        record.foreign = std::max(0, load - record.own);
        record.reportedAt = now;
        record.reported = true;
    }

    // This box's requests there. Preconditions: none.
    int own(const std::string& upstream) const {
        const auto it = m_records.find(upstream);
        return it == m_records.end() ? 0 : it->second.own;
    }

    // All boxes' requests there, or this box's if nothing fresh is known. Preconditions: none.
    int total(const std::string& upstream, MonoTime now) const {
        const auto it = m_records.find(upstream);
        if (it == m_records.end()) {
            return 0;
        }
        const Record& record = it->second;
        const bool fresh = record.reported && now - record.reportedAt <= kReportAge;
        return record.own + (fresh ? record.foreign : 0);
    }

    // This box's requests at each upstream that has any, by upstream number.
    // Preconditions: none.
    PeerCounts::Counts counts() const {
        PeerCounts::Counts out;
        for (const auto& [upstream, record] : m_records) {
            if (record.own > 0) {
                out.emplace_back(ShortHash(upstream), record.own);
            }
        }
        return out;
    }

    // Forgets an upstream that is gone and has no request. Preconditions: none.
    void forget(const std::string& upstream) {
        const auto it = m_records.find(upstream);
        if (it != m_records.end() && it->second.own == 0) {
            m_records.erase(it);
        }
    }

private:
    struct Record {
        int own = 0;
        int foreign = 0;
        bool reported = false;
        MonoTime reportedAt;
    };

    std::map<std::string, Record> m_records;
};

}  // namespace onyx
