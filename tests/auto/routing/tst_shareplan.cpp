#include "whintack/routing/shareplan.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::routing;

static ShareMember member(const std::string &Name, uint64_t Incarnation = 1) {
  return {EntryName(Name), Incarnation};
}

static SharePlan acknowledgedByAll(SharePlan Plan) {
  for (const auto &Members : {Plan.Members, Plan.Previous})
    for (const ShareMember &Each : Members)
      Plan = withAcknowledgement(Plan, Each);
  return Plan;
}

TEST_CASE("shares add up to the slots for any number of members") {
  std::vector<ShareMember> Members;
  for (int Count = 1; Count <= 12; ++Count) {
    Members.push_back(member("e" + std::to_string(Count)));
    for (int Executor = 0; Executor < 20; ++Executor) {
      const VmName Name("vm" + std::to_string(Executor));
      int64_t Sum = 0;
      for (const ShareMember &Each : Members)
        Sum += shareOf(Members, Each, Name, 8);
      REQUIRE(Sum == 8);
    }
  }
}

TEST_CASE("until a step is settled members use the smaller of their shares") {
  SharePlan Plan = acknowledgedByAll(withMember({}, member("a")));
  Plan = withMember(Plan, member("b"));
  const VmName Vm("vm");
  REQUIRE(usableShare(Plan, member("b"), Vm, 8) == 0);
  REQUIRE(usableShare(Plan, member("a"), Vm, 8) == 4);
  Plan = withAcknowledgement(Plan, member("b"));
  REQUIRE(usableShare(Plan, member("b"), Vm, 8) == 0);
  Plan = withAcknowledgement(Plan, member("a"));
  REQUIRE(Plan.isSettled());
  REQUIRE(usableShare(Plan, member("b"), Vm, 8) == 4);
}

TEST_CASE("no step begins before the previous one is settled") {
  const SharePlan FirstPlan = acknowledgedByAll(withMember({}, member("a")));
  const SharePlan SecondPlan = withMember(FirstPlan, member("b"));
  REQUIRE(withMember(SecondPlan, member("c")) == SecondPlan);
  REQUIRE(withoutMember(SecondPlan, member("a")) == SecondPlan);
}

TEST_CASE("a restarted process is a new member") {
  const SharePlan FirstPlan = acknowledgedByAll(withMember({}, member("a", 1)));
  const SharePlan SecondPlan = withMember(FirstPlan, member("a", 2));
  REQUIRE(SecondPlan.isMember(member("a", 2)));
  REQUIRE_FALSE(SecondPlan.isMember(member("a", 1)));
  REQUIRE(SecondPlan.Lost == std::vector<ShareMember>{member("a", 1)});
}

TEST_CASE("the loss of a member during a step needs new acknowledgements") {
  SharePlan Plan = acknowledgedByAll(withMember({}, member("a")));
  Plan = withMember(Plan, member("b"));
  Plan = withAcknowledgement(Plan, member("b"));
  REQUIRE_FALSE(Plan.isSettled());
  Plan = withLostMember(Plan, member("a"));
  // The acknowledgement of b is outdated: b gave it before it had to wait for
  // the end of the requests that a had sent.
  REQUIRE_FALSE(Plan.isSettled());
  Plan = withAcknowledgement(Plan, member("b"));
  REQUIRE(Plan.isSettled());
  REQUIRE(Plan.isMember(member("a")));
  Plan = withLostMember(Plan, member("a"));
  REQUIRE_FALSE(Plan.isMember(member("a")));
}

TEST_CASE("a joining member waits for the lost ones if there are no others") {
  SharePlan Plan = acknowledgedByAll(withMember({}, member("a", 1)));
  Plan = withLostMember(Plan, member("a", 1));
  REQUIRE(Plan.Members.empty());
  Plan = withMember(Plan, member("b"));
  REQUIRE(Plan.Lost == std::vector<ShareMember>{member("a", 1)});
  REQUIRE_FALSE(Plan.isSettled());
}
