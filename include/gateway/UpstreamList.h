// Owns the list of upstreams and its age. What a change of the list means for what else is known of
// an upstream is decided here alone.
//
// Relies on UpstreamTable for the entries and on UpstreamRecords, which it tells of upstreams that
// drain or are removed. The store's watch and other boxes bring the list; requests only read it.
#pragma once

#include "include/freshness/KnowledgeAge.h"
#include "include/gateway/UpstreamRecords.h"
#include "include/routing/UpstreamTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace onyx {

// Not thread safe: one io_context.
class UpstreamList {
public:
    // Preconditions: the records outlive the list.
    explicit UpstreamList(UpstreamRecords& records) : m_records(records) {}

    // Takes in a list or changes of it. `source`: who has them, for the log ("store" or "peer").
    // Preconditions: times do not fall.
    void apply(const UpstreamChanges& changes, std::string_view source, MonoTime now);

    // The list holds all changes of before `asOf`. Preconditions: as KnowledgeAge::confirm().
    void confirm(MonoTime asOf) { m_age.confirm(asOf); }

    // Whether there was a list yet. Preconditions: none.
    bool hasList() const { return m_hasList; }
    // Whether any upstream of it says when it started. Preconditions: none.
    bool reportsStartTimes() const;
    // The list. Preconditions: none.
    const UpstreamTable& table() const { return m_table; }
    // How much longer an upstream is cold, in milliseconds; 0: it is not. Preconditions: as above.
    Millis coldLeft(const std::string& id, MonoTime now) const;
    // Its age in milliseconds, or nothing before the first confirmation. Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }

private:
    void take(Upstream upstream, uint64_t revision, std::string_view source, MonoTime now);
    bool isChange(const Upstream& upstream, MonoTime now) const;
    void recordStart(const Upstream& upstream, std::string_view source);
    void put(const Upstream& upstream, uint64_t revision, std::string_view source, MonoTime now);
    void remove(const std::string& id, uint64_t revision, std::string_view source);

    UpstreamRecords& m_records;
    UpstreamTable m_table;
    bool m_hasList = false;
    KnowledgeAge m_age;
};

}  // namespace onyx
