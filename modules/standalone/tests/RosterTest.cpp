#include "modules/standalone/include/idempotency/Key.h"
#include "modules/standalone/include/membership/Roster.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

std::vector<MemberId> Members(std::initializer_list<const char*> names) {
    std::vector<MemberId> members;
    for (const char* name : names) {
        members.emplace_back(name);
    }
    return members;
}

// A key that `owner` has among `members`.
std::string KeyOf(const MemberId& owner, const std::vector<MemberId>& members,
                  const std::vector<MemberId>& then, const MemberId& next) {
    for (int i = 0;; ++i) {
        std::string key = "key" + std::to_string(i);
        if (OwnerAmong(key, members) == owner && OwnerAmong(key, then) == next) {
            return key;
        }
    }
}

const MemberId kA("a#1.0");
const MemberId kB("b#1.0");
const MemberId kC("c#1.0");

}  // namespace

TEST_CASE("A key is gained in the first epoch since which it never changed hands") {
    RosterHistory history;
    const auto both = Members({"a#1.0", "b#1.0"});
    const auto one = Members({"a#1.0"});
    const std::string moved = KeyOf(kB, both, one, kA);
    const std::string kept = KeyOf(kA, both, one, kA);
    history.add({1, both, {100}});
    history.add({2, one, {200}});
    history.add({3, one, {300}});
    CHECK(history.gainedAt(kept, kA, {}) == WallTime{100});
    CHECK(history.gainedAt(moved, kA, {}) == WallTime{200});
    CHECK_FALSE(history.gainedAt(moved, kB, {}));
}

TEST_CASE("A gap in the epochs counts as gaining all keys") {
    RosterHistory history;
    const auto one = Members({"a#1.0"});
    history.add({1, one, {100}});
    history.add({3, one, {300}});
    CHECK(history.gainedAt("key", kA, {}) == WallTime{300});
    CHECK_FALSE(history.add({2, one, {200}}));
}

TEST_CASE("A handover speaks for the change that it was made for, and for no other") {
    RosterHistory history;
    const auto three = Members({"a#1.0", "b#1.0", "c#1.0"});
    const auto without = Members({"a#1.0", "c#1.0"});
    const auto only = Members({"a#1.0"});
    const std::string key = KeyOf(kB, three, without, kA);
    history.add({1, three, {100}});
    history.add({2, without, {200}});
    const Handovers right = {{{2, kB}, {{100}, three, without}}};
    const Handovers other = {{{2, kB}, {{100}, three, only}}};
    const Handovers stranger = {{{2, kC}, {{100}, three, without}}};
    CHECK(history.gainedAt(key, kA, right) == WallTime{100});
    CHECK(history.gainedAt(key, kA, other) == WallTime{200});
    CHECK(history.gainedAt(key, kA, stranger) == WallTime{200});
}

// Found by drain_all.sh: a box that joins sees no epoch before its own.
TEST_CASE("A newcomer takes the roster before its first from the handover") {
    RosterHistory history;
    const auto one = Members({"a#1.0"});
    const auto both = Members({"a#1.0", "c#1.0"});
    const std::string key = KeyOf(kA, one, both, kC);
    history.add({5, both, {500}});
    CHECK(history.gainedAt(key, kC, {}) == WallTime{500});
    CHECK(history.knownSince(kC, {}) == WallTime{500});
    const Handovers fromA = {{{5, kA}, {{100}, one, both}}};
    CHECK(history.gainedAt(key, kC, fromA) == WallTime{100});
    CHECK(history.knownSince(kC, fromA) == WallTime{100});
}

TEST_CASE("Knowledge of all keys begins with the last gain that was not handed over") {
    RosterHistory history;
    const auto both = Members({"a#1.0", "b#1.0"});
    const auto one = Members({"a#1.0"});
    const auto other = Members({"a#1.0", "c#1.0"});
    history.add({1, both, {100}});
    CHECK(history.knownSince(kA, {}) == WallTime{100});
    history.add({2, one, {200}});
    CHECK(history.knownSince(kA, {}) == WallTime{200});
    const Handovers fromB = {{{2, kB}, {{50}, both, one}}};
    CHECK(history.knownSince(kA, fromB) == WallTime{100});
    history.add({3, other, {300}});
    CHECK(history.knownSince(kA, fromB) == WallTime{100});
    CHECK(history.knownSince(kC, fromB) == WallTime{300});
    const Handovers toC = {{{3, kA}, {{100}, one, other}}};
    CHECK(history.knownSince(kC, toC) == WallTime{100});
}

TEST_CASE("Only a UUID of version 7 has a mint time") {
    CHECK(KeyMintTime("0192d3a0-1234-7abc-8def-0123456789ab") == WallTime{0x0192d3a01234});
    CHECK_FALSE(KeyMintTime("0192d3a0-1234-4abc-8def-0123456789ab"));
    CHECK_FALSE(KeyMintTime("0192d3a0-1234-7abc-cdef-0123456789ab"));
    CHECK_FALSE(KeyMintTime("0192d3a0-1234-7abc-8def-0123456789a"));
    CHECK_FALSE(KeyMintTime("0192d3a0x1234-7abc-8def-0123456789ab"));
}
