#include "include/admission/RoomCounts.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace onyx {

namespace {

// Of two objectives; 0 stands for none.
Millis ShorterObjective(Millis a, Millis b) {
    if (a == 0 || b == 0) {
        return std::max(a, b);
    }
    return std::min(a, b);
}

using Classes = std::map<DemandClass, ClassCounts>;
using Priorities = std::map<int, PriorityCounts>;

void AddClass(Classes& classes, const ClassCounts& added) {
    ClassCounts& counts = classes.try_emplace(added.of, ClassCounts{added.of}).first->second;
    counts.arrived += added.arrived;
    counts.admitted += added.admitted;
}

void AddPriority(Priorities& priorities, const PriorityCounts& added) {
    PriorityCounts& counts =
        priorities.try_emplace(added.priority, PriorityCounts{added.priority}).first->second;
    const double finished = counts.finished + added.finished;
    if (finished > 0) {
        counts.firstByteMs =
            (counts.firstByteMs * counts.finished + added.firstByteMs * added.finished) / finished;
    }
    counts.objective = ShorterObjective(counts.objective, added.objective);
    counts.finished = finished;
    counts.late += added.late;
    counts.busyMs += added.busyMs;
}

// Returns the last priority that is counted by itself; less urgent ones are counted with it.
int LastPriority(const std::set<int>& priorities) {
    if (priorities.size() <= RoomCounts::kMaxPriorities) {
        return std::numeric_limits<int>::max();
    }
    return *std::next(priorities.begin(), RoomCounts::kMaxPriorities - 1);
}

std::set<int> PrioritiesOf(const RoomCounts& counts) {
    std::set<int> priorities;
    for (const ClassCounts& entry : counts.classes) {
        priorities.insert(entry.of.priority);
    }
    for (const PriorityCounts& entry : counts.priorities) {
        priorities.insert(entry.priority);
    }
    return priorities;
}

void MergePriorities(RoomCounts& counts, int last) {
    Priorities merged;
    for (PriorityCounts entry : counts.priorities) {
        entry.priority = std::min(entry.priority, last);
        AddPriority(merged, entry);
    }
    counts.priorities.clear();
    for (const auto& [priority, entry] : merged) {
        counts.priorities.push_back(entry);
    }
}

// Counts the teams with the fewest arrivals together, as team 0 of their priority. `priorities`:
// how many there are.
void BoundClasses(std::vector<ClassCounts>& classes, size_t priorities) {
    if (classes.size() <= RoomCounts::kMaxClasses) {
        return;
    }
    std::sort(classes.begin(), classes.end(), [](const ClassCounts& a, const ClassCounts& b) {
        return a.arrived != b.arrived ? a.arrived > b.arrived : a.of < b.of;
    });
    size_t places = RoomCounts::kMaxClasses - priorities;
    Classes kept;
    for (ClassCounts entry : classes) {
        if (entry.of.team != 0 && places > 0) {
            --places;
        } else {
            entry.of.team = 0;
        }
        AddClass(kept, entry);
    }
    classes.clear();
    for (const auto& [of, entry] : kept) {
        classes.push_back(entry);
    }
}

void MergeClasses(RoomCounts& counts, int last, size_t priorities) {
    Classes merged;
    for (ClassCounts entry : counts.classes) {
        entry.of.priority = std::min(entry.of.priority, last);
        AddClass(merged, entry);
    }
    counts.classes.clear();
    for (const auto& [of, entry] : merged) {
        counts.classes.push_back(entry);
    }
    BoundClasses(counts.classes, priorities);
}

}  // namespace

void RoomCounts::add(const RoomCounts& other) {
    boxes += other.boxes;
    pressed = pressed || other.pressed;
    inFlight += other.inFlight;
    declined += other.declined;
    classes.insert(classes.end(), other.classes.begin(), other.classes.end());
    priorities.insert(priorities.end(), other.priorities.begin(), other.priorities.end());
    const std::set<int> all = PrioritiesOf(*this);
    const int last = LastPriority(all);
    MergePriorities(*this, last);
    MergeClasses(*this, last, std::min(all.size(), kMaxPriorities));
}

double RoomShares::fractionOf(const DemandClass& of) const {
    if (!limited) {
        return 1;
    }
    double others = 1;
    for (const ClassShare& share : classes) {
        if (share.of == of) {
            return share.fraction;
        }
        if (share.of == DemandClass{of.priority, 0}) {
            others = share.fraction;
        }
    }
    return others;
}

}  // namespace onyx
