#include "include/admission/FairShares.h"

#include <algorithm>
#include <map>

namespace onyx {

namespace {

using Indices = std::vector<size_t>;

double TotalDemand(std::span<const ClassDemand> classes, const Indices& members) {
    double total = 0;
    for (const size_t i : members) {
        total += classes[i].demand;
    }
    return total;
}

// Returns the part of the room that each priority gets, in the order of `priorities`.
std::vector<double> DividePriorities(const std::vector<double>& demands, double room) {
    const double reservable =
        std::min(kReservedFraction, 1.0 / static_cast<double>(std::max<size_t>(1, demands.size())));
    std::vector<double> parts;
    double left = room;
    for (const double demand : demands) {
        parts.push_back(std::min(demand, reservable * room));
        left -= parts.back();
    }
    for (size_t i = 0; i < demands.size(); ++i) {
        const double more = std::clamp(left, 0.0, demands[i] - parts[i]);
        parts[i] += more;
        left -= more;
    }
    return parts;
}

// Weighted max-min: classes that ask for the least for their weight are served first, and what they
// leave raises the share of the others.
void DivideClasses(std::span<const ClassDemand> classes, Indices members, double room,
                   std::vector<double>& fractions) {
    std::sort(members.begin(), members.end(), [&](size_t a, size_t b) {
        return classes[a].demand / classes[a].weight < classes[b].demand / classes[b].weight;
    });
    double weight = 0;
    for (const size_t i : members) {
        weight += classes[i].weight;
    }
    for (const size_t i : members) {
        const double share = std::max(0.0, room) * classes[i].weight / weight;
        const double part = std::min(classes[i].demand, share);
        fractions[i] = classes[i].demand > 0 ? part / classes[i].demand : 1;
        room -= part;
        weight -= classes[i].weight;
    }
}

}  // namespace

std::vector<double> FairShares(std::span<const ClassDemand> classes, double room) {
    std::map<int, Indices> byPriority;
    for (size_t i = 0; i < classes.size(); ++i) {
        byPriority[classes[i].of.priority].push_back(i);
    }
    std::vector<double> demands;
    demands.reserve(byPriority.size());
    for (const auto& [priority, members] : byPriority) {
        demands.push_back(TotalDemand(classes, members));
    }
    const std::vector<double> parts = DividePriorities(demands, room);
    std::vector<double> fractions(classes.size(), 1);
    size_t next = 0;
    for (const auto& [priority, members] : byPriority) {
        DivideClasses(classes, members, parts[next++], fractions);
    }
    return fractions;
}

}  // namespace onyx
