#include "include/admission/FairShares.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace onyx;

namespace {

// Slots that the admitted requests keep busy.
std::vector<double> Admitted(const std::vector<ClassDemand>& classes, double room) {
    std::vector<double> parts = FairShares(classes, room);
    for (size_t i = 0; i < parts.size(); ++i) {
        parts[i] *= classes[i].demand;
    }
    return parts;
}

double Sum(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
}

}  // namespace

TEST_CASE("With room for all, everything is admitted") {
    CHECK(FairShares(std::vector<ClassDemand>{{{1, 1}, 3}, {{5, 2}, 4}}, 7) ==
          std::vector<double>{1, 1});
    CHECK(FairShares(std::vector<ClassDemand>{{{1, 1}, 0}}, 0) == std::vector<double>{1});
    CHECK(FairShares({}, 7).empty());
}

TEST_CASE("A team that sends many times its usual displaces only its own surplus") {
    const std::vector<double> parts = Admitted({{{5, 1}, 80}, {{5, 2}, 10}, {{5, 3}, 10}}, 40);
    CHECK(parts[0] == Approx(20));
    CHECK(parts[1] == Approx(10));
    CHECK(parts[2] == Approx(10));
}

TEST_CASE("Teams that ask for more than their share get it by weight") {
    const std::vector<double> parts =
        Admitted({{{5, 1}, 50, 1}, {{5, 2}, 50, 3}, {{5, 0}, 4, 2}}, 24);
    CHECK(parts[0] == Approx(5));
    CHECK(parts[1] == Approx(15));
    CHECK(parts[2] == Approx(4));
}

TEST_CASE("A less urgent priority yields first and keeps a tenth") {
    CHECK(Admitted({{{1, 1}, 100}, {{5, 1}, 100}}, 50)[0] == Approx(45));
    CHECK(Admitted({{{1, 1}, 100}, {{5, 1}, 100}}, 50)[1] == Approx(5));
    CHECK(Admitted({{{1, 1}, 100}, {{5, 1}, 2}}, 50)[1] == Approx(2));
    CHECK(Admitted({{{1, 1}, 30}, {{5, 1}, 100}}, 50)[0] == Approx(30));
    CHECK(Admitted({{{1, 1}, 30}, {{5, 1}, 100}}, 50)[1] == Approx(20));
}

TEST_CASE("Any demands share the whole room and never more") {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int round = 0; round < 500; ++round) {
        std::vector<ClassDemand> classes;
        const auto count = static_cast<uint32_t>(1 + uniform(random) * 40);
        for (uint32_t team = 0; team < count; ++team) {
            const int priority = static_cast<int>(uniform(random) * 15);
            classes.push_back({{priority, team}, 10 * uniform(random), 0.1 + uniform(random)});
        }
        const double room = 100 * uniform(random);
        double demand = 0;
        for (const ClassDemand& entry : classes) {
            demand += entry.demand;
        }
        const std::vector<double> parts = Admitted(classes, room);
        CHECK(Sum(parts) == Approx(std::min(room, demand)));
        for (size_t i = 0; i < parts.size(); ++i) {
            CHECK(parts[i] >= 0);
            CHECK(parts[i] <= classes[i].demand * (1 + 1e-9));
        }
    }
}
