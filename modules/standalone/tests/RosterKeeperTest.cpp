#include "modules/standalone/include/membership/RosterKeeper.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

Now At(Millis ms) {
    return {{ms}, {ms}};
}

template <class Action>
const Action* Find(const std::vector<KeeperAction>& actions) {
    for (const KeeperAction& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

// A keeper of box a that holds its lease in a roster of `members`, at time 1000.
RosterKeeper MemberA(const std::vector<MemberId>& members, const KeeperSettings& settings = {}) {
    RosterKeeper keeper(MemberId("a#1"), settings);
    const auto start = keeper.step(KeeperTick{}, At(1000));
    const RosterReply roster{Find<ReadRoster>(start)->call, CallStatus::kOk, 1, {1, members, {0}}};
    const auto lease = keeper.step(roster, At(1000));
    const LeaseReply none{Find<ReadLease>(lease)->call, CallStatus::kMissing, 0, {}};
    const auto write = keeper.step(none, At(1000));
    keeper.step(LeaseReply{Find<WriteLease>(write)->call, CallStatus::kOk, 5, {}}, At(1000));
    return keeper;
}

const MemberId kA("a#1.0");
const MemberId kB("b#1.1");

}  // namespace

// Found by the walks of KeyOwnerExploreTest (seed 35): the lease still named the member's earlier
// life, which was taken for "its box has a newer life", and the member took the lease afterwards.
TEST_CASE("A member that is removed before it ever took its lease is revoked all the same") {
    RosterKeeper keeper = MemberA({kA, kB});
    const auto read = keeper.step(KeeperTick{}, At(4000));
    REQUIRE(Find<ReadLease>(read) != nullptr);
    const LeaseRecord earlier{MemberId("b#1.0"), {MemberId("b#1.0")}};
    const auto revoke =
        keeper.step(LeaseReply{Find<ReadLease>(read)->call, CallStatus::kOk, 7, earlier}, At(4000));
    const auto* write = Find<WriteLease>(revoke);
    REQUIRE(write != nullptr);
    CHECK(write->expect == 7);
    CHECK(write->record.holder == MemberId("b#1.0"));
    CHECK(write->record.revoked == std::vector<MemberId>{MemberId("b#1.0"), kB});
}

TEST_CASE("A member that finds itself revoked joins again under another id") {
    RosterKeeper keeper = MemberA({kA, kB});
    const auto renew = keeper.step(KeeperTick{}, At(3000));
    const LeaseReply conflict{Find<WriteLease>(renew)->call, CallStatus::kConflict, 0, {}};
    keeper.step(conflict, At(3000));
    const auto read = keeper.step(KeeperTick{}, At(3001));
    const LeaseReply revoked{Find<ReadLease>(read)->call, CallStatus::kOk, 9, {kA, {kA}}};
    const auto actions = keeper.step(revoked, At(3001));
    REQUIRE(Find<Rejoined>(actions) != nullptr);
    CHECK(keeper.self() == MemberId("a#1.1"));
    CHECK_FALSE(keeper.leaseValid(At(3001)));
}

TEST_CASE("A lost answer to a renewal does not lose the lease") {
    RosterKeeper keeper = MemberA({kA});
    const auto renew = keeper.step(KeeperTick{}, At(3000));
    const LeaseReply lost{Find<WriteLease>(renew)->call, CallStatus::kUnknown, 0, {}};
    keeper.step(lost, At(3100));
    CHECK(keeper.leaseValid(At(6999)));
    const auto read = keeper.step(KeeperTick{}, At(5000));
    const auto again = keeper.step(
        LeaseReply{Find<ReadLease>(read)->call, CallStatus::kOk, 6, {kA, {}}}, At(5000));
    const auto* write = Find<WriteLease>(again);
    REQUIRE(write != nullptr);
    CHECK(write->expect == 6);
    keeper.step(LeaseReply{write->call, CallStatus::kOk, 7, {}}, At(5100));
    CHECK(keeper.leaseValid(At(10999)));
    CHECK_FALSE(keeper.leaseValid(At(11000)));
}

TEST_CASE("A lease counts from when the renewal was sent, however late the answer is") {
    RosterKeeper keeper = MemberA({kA});
    const auto renew = keeper.step(KeeperTick{}, At(3000));
    keeper.step(LeaseReply{Find<WriteLease>(renew)->call, CallStatus::kOk, 6, {}}, At(8500));
    CHECK(keeper.leaseValid(At(8999)));
    CHECK_FALSE(keeper.leaseValid(At(9000)));
}

TEST_CASE("Who promised does not consent to a removal before the promise is over") {
    RosterKeeper keeper = MemberA({kA, kB, MemberId("c#1.0")});
    const auto promise = keeper.step(PromiseAsked{kB, 1, 1}, At(2000));
    CHECK(Find<AnswerPromise>(promise)->granted);
    const ConsentAsked removal{MemberId("c#1.0"), 2, {kA, MemberId("c#1.0")}};
    CHECK_FALSE(Find<AnswerConsent>(keeper.step(removal, At(2100)))->granted);
    // It was asked to: it promises nothing more to the one that is to go.
    CHECK_FALSE(Find<AnswerPromise>(keeper.step(PromiseAsked{kB, 2, 1}, At(2200)))->granted);
    const auto late = keeper.step(removal, At(2000 + 4000 + 500));
    CHECK(Find<AnswerConsent>(late)->granted);
    CHECK(keeper.joint());
}

TEST_CASE("A box that no roster has takes no lease while others own the keys") {
    RosterKeeper keeper(MemberId("z#1"), KeeperSettings{});
    const auto start = keeper.step(KeeperTick{}, At(1000));
    const RosterReply roster{Find<ReadRoster>(start)->call, CallStatus::kOk, 1, {1, {kA, kB}, {0}}};
    CHECK(Find<ReadLease>(keeper.step(roster, At(1000))) == nullptr);
    CHECK(Find<ReadLease>(keeper.step(KeeperTick{}, At(3000))) == nullptr);
}
