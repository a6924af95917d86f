#include "include/admission/RoomCounts.h"

#include <algorithm>
#include <limits>
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

void AddClass(std::vector<ClassCounts>& classes, const ClassCounts& added) {
    const auto known = std::find_if(classes.begin(), classes.end(), [&](const ClassCounts& counts) {
        return counts.of == added.of;
    });
    if (known == classes.end()) {
        classes.push_back(added);
        return;
    }
    known->arrived += added.arrived;
    known->admitted += added.admitted;
}

void MergePriority(PriorityCounts& counts, const PriorityCounts& added) {
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

void AddPriority(std::vector<PriorityCounts>& priorities, const PriorityCounts& added) {
    const auto known = std::find_if(
        priorities.begin(), priorities.end(),
        [&](const PriorityCounts& counts) { return counts.priority == added.priority; });
    if (known == priorities.end()) {
        priorities.push_back(added);
    } else {
        MergePriority(*known, added);
    }
}

// Returns the last priority that is counted by itself; less urgent ones are counted with it.
int LastPriority(const RoomCounts& counts) {
    std::set<int> priorities;
    for (const ClassCounts& entry : counts.classes) {
        priorities.insert(entry.of.priority);
    }
    for (const PriorityCounts& entry : counts.priorities) {
        priorities.insert(entry.priority);
    }
    if (priorities.size() <= RoomCounts::kMaxPriorities) {
        return std::numeric_limits<int>::max();
    }
    return *std::next(priorities.begin(), RoomCounts::kMaxPriorities - 1);
}

void FoldPriorities(RoomCounts& counts) {
    const int last = LastPriority(counts);
    std::vector<ClassCounts> classes;
    for (ClassCounts entry : counts.classes) {
        entry.of.priority = std::min(entry.of.priority, last);
        AddClass(classes, entry);
    }
    std::vector<PriorityCounts> priorities;
    for (PriorityCounts entry : counts.priorities) {
        entry.priority = std::min(entry.priority, last);
        AddPriority(priorities, entry);
    }
    counts.classes = std::move(classes);
    counts.priorities = std::move(priorities);
}

// Counts the teams with the fewest arrivals together, as team 0 of their priority.
void FoldClasses(std::vector<ClassCounts>& classes) {
    if (classes.size() <= RoomCounts::kMaxClasses) {
        return;
    }
    std::set<int> priorities;
    for (const ClassCounts& entry : classes) {
        priorities.insert(entry.of.priority);
    }
    std::sort(classes.begin(), classes.end(), [](const ClassCounts& a, const ClassCounts& b) {
        return a.arrived != b.arrived ? a.arrived > b.arrived : a.of < b.of;
    });
    size_t places = RoomCounts::kMaxClasses - priorities.size();
    std::vector<ClassCounts> kept;
    for (ClassCounts entry : classes) {
        if (entry.of.team != 0 && places > 0) {
            --places;
        } else {
            entry.of.team = 0;
        }
        AddClass(kept, entry);
    }
    classes = std::move(kept);
}

}  // namespace

void RoomCounts::add(const RoomCounts& other) {
    boxes += other.boxes;
    pressed = pressed || other.pressed;
    inFlight += other.inFlight;
    declined += other.declined;
    for (const ClassCounts& entry : other.classes) {
        AddClass(classes, entry);
    }
    for (const PriorityCounts& entry : other.priorities) {
        AddPriority(priorities, entry);
    }
    FoldPriorities(*this);
    FoldClasses(classes);
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
