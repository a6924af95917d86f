// Owns the list of upstreams and its age. Only this class decides how a change of the list affects
// the other records of an upstream.
//
// Relies on UpstreamTable for the entries. Updates UpstreamRecords when an upstream starts, is
// cold, drains or is removed. StoreController and PeerSync supply the list; requests only read it.
#pragma once

#include "include/freshness/StateAge.h"
#include "include/routing/Catalog.h"
#include "include/routing/UpstreamTable.h"
#include "include/state/UpstreamRecords.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace onyx {

// Not thread safe: one io_context.
class UpstreamList {
public:
    // Preconditions: the records outlive the list.
    explicit UpstreamList(UpstreamRecords& records) : m_records(records) {}

    // Applies a list or changes of it. `source`: their origin for the log ("store" or "peer").
    // The first page of a list is applied as changes: the list is then partial, with all changes
    // since the revision of that page. Preconditions: `now` never decreases between calls.
    void apply(const UpstreamChanges& changes, std::string_view source, MonoTime now);

    // Completes a partial list with a whole one that is older. Does nothing if the list is not
    // partial, or if the whole one is older than its first page. Preconditions: as above.
    void complete(const UpstreamChanges& list, std::string_view source, MonoTime now);

    // Records that the list includes all changes made before `asOf`. Preconditions: as for
    // StateAge::confirm().
    void confirm(MonoTime asOf) { m_age.confirm(asOf); }

    // Whether a whole list has been applied yet. Preconditions: none.
    bool hasList() const { return m_hasList; }
    // Whether only a part of the list is known. Preconditions: none.
    bool isPartial() const { return !m_hasList && m_table.revision() > 0; }
    // Whether the changes since `revision` can be sent to another box: a partial list has no
    // changes from before its first page. Preconditions: none.
    bool hasChangesSince(uint64_t revision) const {
        return m_hasList || (isPartial() && revision >= m_table.oldestKnownRevision());
    }
    // Whether requests for each of the services can be placed: the list is whole, or the part that
    // is known has upstreams of each of them. Preconditions: none.
    bool covers(std::span<const ServiceSpec> services) const;
    // Whether any upstream in the list reports its start time. Preconditions: none.
    bool reportsStartTimes() const;
    // The list. Preconditions: none.
    const UpstreamTable& table() const { return m_table; }
    // How much longer an upstream stays cold, in milliseconds, or 0 if it is not cold or not in the
    // list. Preconditions: `now` never decreases between calls.
    Millis coldLeft(const std::string& id, MonoTime now) const;
    // The age of the list in milliseconds, or nothing before the first confirmation.
    // Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }

private:
    void noteWhole(std::string_view source);
    void applyEntry(Upstream upstream, uint64_t revision, std::string_view source, MonoTime now);
    bool isChange(const Upstream& upstream, MonoTime now) const;
    void recordStart(const Upstream& upstream, std::string_view source);
    void put(const Upstream& upstream, uint64_t revision, std::string_view source, MonoTime now);
    void remove(const std::string& id, uint64_t revision, std::string_view source);

    UpstreamRecords& m_records;
    UpstreamTable m_table;
    bool m_hasList = false;
    StateAge m_age;
};

}  // namespace onyx
