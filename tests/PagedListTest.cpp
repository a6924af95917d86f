#include "include/store/PagedList.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace onyx;

namespace {

constexpr uint64_t kRevisions = 60;
constexpr int kNames = 12;
constexpr size_t kPageSize = 4;

StoredObject ObjectOf(const std::string& name, uint64_t revision) {
    Upstream upstream;
    upstream.id = name;
    upstream.slots = static_cast<int>(revision);  // Tells which state of the object this is.
    StoredObject object;
    object.name = name;
    object.content = upstream;
    return object;
}

struct Change {
    uint64_t revision = 0;
    StoredObject object;
};

// A store whose objects change, appear and go at random.
class History {
public:
    explicit History(uint32_t seed) : m_random(seed) {
        for (uint64_t revision = 1; revision <= kRevisions; ++revision) {
            const std::string name = "u" + std::to_string(100 + m_random() % kNames);
            StoredObject object = ObjectOf(name, revision);
            object.removed = m_random() % 4 == 0;
            m_changes.push_back({revision, object});
        }
    }

    uint64_t draw(uint64_t from, uint64_t to) { return from + m_random() % (to - from + 1); }

    // Names with the states that they have at `revision`.
    std::map<std::string, int> at(uint64_t revision) const {
        std::map<std::string, int> objects;
        for (const Change& change : m_changes) {
            if (change.revision > revision) {
                break;
            }
            if (change.object.removed) {
                objects.erase(change.object.name);
            } else {
                objects[change.object.name] = static_cast<int>(change.revision);
            }
        }
        return objects;
    }

    ObjectPage page(const std::string& after, uint64_t revision) const {
        ObjectPage page;
        page.revision = revision;
        const auto objects = at(revision);
        auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
        for (; it != objects.end() && page.objects.size() < kPageSize; ++it) {
            page.objects.push_back(ObjectOf(it->first, static_cast<uint64_t>(it->second)));
            page.lastName = it->first;
        }
        page.more = it != objects.end();
        return page;
    }

    ObjectChanges since(uint64_t revision, uint64_t upTo) const {
        ObjectChanges changes;
        for (const Change& change : m_changes) {
            if (change.revision > revision && change.revision <= upTo) {
                changes.objects.push_back(change.object);
            }
        }
        changes.revision = upTo;
        return changes;
    }

private:
    std::minstd_rand m_random;
    std::vector<Change> m_changes;
};

std::map<std::string, int> StatesOf(const std::vector<StoredObject>& objects) {
    std::map<std::string, int> states;
    for (const StoredObject& object : objects) {
        CHECK(states.emplace(object.name, std::get<Upstream>(object.content).slots).second);
    }
    return states;
}

}  // namespace

// A change that a page from an older copy lacked was missed for good.
TEST_CASE("Pages of any ages and the changes since the oldest make the list as it was") {
    for (uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        History history(seed);
        PagedList list;
        while (list.hasMorePages()) {
            list.addPage(history.page(list.lastName(), history.draw(20, 45)));
        }
        while (!list.isConsistent()) {
            // In parts, the last of which ends after the newest page.
            const bool isPart = history.draw(0, 2) > 0 && list.revision() < 45;
            const uint64_t upTo = isPart ? history.draw(list.revision(), 45) : kRevisions;
            list.addChanges(history.since(list.revision(), upTo), isPart);
        }
        const auto expected = history.at(list.revision());
        CHECK(StatesOf(list.takeObjects()) == expected);
    }
}

TEST_CASE("Pages of one revision are a list without any changes") {
    const History history(7);
    PagedList list;
    while (list.hasMorePages()) {
        list.addPage(history.page(list.lastName(), 40));
    }
    CHECK(list.pages() > 1);
    CHECK(list.isConsistent());
    CHECK(list.revision() == 40);
    CHECK(StatesOf(list.takeObjects()) == history.at(40));
}

TEST_CASE("A list is not consistent before the changes reach its newest page") {
    const History history(7);
    PagedList list;
    list.addPage(history.page("", 40));
    list.addPage(history.page(list.lastName(), 30));
    CHECK_FALSE(list.isConsistent());
    CHECK(list.revision() == 30);
    list.addChanges(history.since(30, 39), false);
    CHECK_FALSE(list.isConsistent());
    list.addChanges(history.since(39, 45), true);
    CHECK_FALSE(list.isConsistent());
    list.addChanges(history.since(45, 45), false);
    CHECK(list.isConsistent());
    CHECK(list.oldestPage() == 30);
}
