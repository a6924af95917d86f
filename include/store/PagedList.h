// A list of the store's objects that is read in pages, and brought up to one revision.
//
// Inputs: the pages, each with the revision that it is as of, and the changes since the oldest of
// them. The pages of a list need not be as of the same revision: the store changes while they are
// read, and copies of the store may lag behind it by different times. Such a list proves nothing:
// it may have a change and lack an earlier one. The changes since the oldest page, up to no earlier
// than the newest one, replace whatever the pages have of the objects that changed, so that the
// list is as of the end of the changes.
#pragma once

#include "include/store/ListCursor.h"
#include "include/store/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// Deterministic. Not thread safe: one task owns it.
class PagedList {
public:
    // Appends the next page. Preconditions: no changes were added.
    void addPage(ObjectPage page);

    // Adds the changes that follow revision(). `isPart`: more of them may follow.
    // Preconditions: there is a page; changes.revision >= revision().
    void addChanges(ObjectChanges changes, bool isPart);

    // Whether another page follows the last one. Preconditions: none.
    bool hasMorePages() const { return m_cursor.hasMore(); }
    // Whether the next page would be one that was read already. Preconditions: none.
    bool isStuck() const { return m_cursor.isStuck(); }
    // The number of pages so far. Preconditions: none.
    size_t pages() const { return m_pages; }
    // The name after which the next page starts; empty before the first one. Preconditions: none.
    const std::string& lastName() const { return m_cursor.after(); }

    // The revision since which changes are missing: that of the oldest page, or of the last
    // changes. Preconditions: there is a page.
    uint64_t revision() const { return m_revision; }
    // The revision of the oldest page. Preconditions: there is a page.
    uint64_t oldestPage() const { return m_oldestPage; }
    // Whether the list is exactly as of revision(). Preconditions: none.
    bool isConsistent() const { return m_revision >= m_newestPage && !m_lacksChanges; }

    // The objects of the pages, each as of its page. Preconditions: none.
    std::span<const StoredObject> pageObjects() const { return m_objects; }
    // The changes so far, in their order. Preconditions: none.
    std::span<const StoredObject> changes() const { return m_changes; }
    // Returns the objects as of revision(), and leaves the list empty.
    // Preconditions: isConsistent().
    std::vector<StoredObject> takeObjects();

private:
    std::vector<StoredObject> m_objects;
    std::vector<StoredObject> m_changes;
    ListCursor m_cursor;
    size_t m_pages = 0;
    bool m_lacksChanges = false;
    uint64_t m_oldestPage = 0;
    uint64_t m_newestPage = 0;
    uint64_t m_revision = 0;
};

}  // namespace onyx
