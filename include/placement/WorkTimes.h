// How long work takes at upstreams right now, as they report it in their answers. Upstreams share
// their machines with others, so this changes several times a second; a report is used only while
// it is very recent, and only to choose between upstreams that are otherwise equally suitable.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace onyx {

// Not thread safe: one task owns it.
class WorkTimes {
public:
    static constexpr int kUsualPercent = 100;
    // How long a report counts, in milliseconds.
    static constexpr Millis kMaxAge = 400;

    // Records that work takes `percent` of the usual time at `upstream`. Preconditions:
    // percent > 0; `now` does not decrease between calls.
    void note(const std::string& upstream, int percent, MonoTime now);

    // Returns the time that work takes there, in percent of the usual one; kUsualPercent if there
    // is no recent report. Preconditions: as above.
    int percent(const std::string& upstream, MonoTime now) const;

    // Returns the number of reports kept. Preconditions: none.
    size_t size() const { return m_reports.size(); }

private:
    struct Report {
        int percent = kUsualPercent;
        MonoTime at;
    };

    std::unordered_map<uint32_t, Report> m_reports;  // By the ShortHash of the upstream's id.
    MonoTime m_cleanedAt;
};

}  // namespace onyx
