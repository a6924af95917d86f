#include "include/store/PagedList.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace onyx {

void PagedList::addPage(ObjectPage page) {
    m_oldestPage = m_pages == 0 ? page.revision : std::min(m_oldestPage, page.revision);
    m_newestPage = std::max(m_newestPage, page.revision);
    m_revision = m_oldestPage;
    ++m_pages;
    m_cursor.addPage(page.lastName, page.more && !page.objects.empty());
    std::move(page.objects.begin(), page.objects.end(), std::back_inserter(m_objects));
}

void PagedList::addChanges(ObjectChanges changes, bool isPart) {
    m_revision = changes.revision;
    m_lacksChanges = isPart;
    std::move(changes.objects.begin(), changes.objects.end(), std::back_inserter(m_changes));
}

std::vector<StoredObject> PagedList::takeObjects() {
    std::map<std::string, StoredObject> last;
    for (StoredObject& change : m_changes) {
        last.insert_or_assign(change.name, std::move(change));
    }
    m_changes.clear();
    std::erase_if(m_objects,
                  [&](const StoredObject& object) { return last.contains(object.name); });
    for (auto& [name, change] : last) {
        if (!change.removed) {
            m_objects.push_back(std::move(change));
        }
    }
    return std::exchange(m_objects, {});
}

}  // namespace onyx
