#include "whintack/routing/claimtable.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::routing;

static Claim makeClaim(const std::string &Request) {
  Claim NewClaim;
  NewClaim.State = ClaimState::Running;
  NewClaim.Holder = EntryName("e1");
  NewClaim.Request = RequestId(Request);
  NewClaim.Digest = "d";
  return NewClaim;
}

static ClaimTable makeTable(size_t MaxBytes = 1000000) {
  ClaimTable NewTable(std::chrono::minutes(10), MaxBytes);
  NewTable.setSynchronized(true);
  return NewTable;
}

static OwnerAnswer ownerAnswer(const Claim &Before) {
  return {EntryName("o"), true, Before};
}

TEST_CASE("the first claim on a key holds and a second one is told of it") {
  ClaimTable Table = makeTable();
  const TimePoint Now{};
  REQUIRE(Table.claim("k", makeClaim("r1"), Now).State ==
          ClaimState::Unclaimed);
  const Claim Second = Table.claim("k", makeClaim("r2"), Now);
  REQUIRE(Second.State == ClaimState::Running);
  REQUIRE(Second.Request == RequestId("r1"));
}

TEST_CASE("only the request that holds a claim can settle or remove it") {
  ClaimTable Table = makeTable();
  const TimePoint Now{};
  Table.claim("k", makeClaim("r1"), Now);
  Table.forget("k", RequestId("r2"));
  REQUIRE(Table.size() == 1);
  Claim Other = makeClaim("r2");
  Other.State = ClaimState::Done;
  Table.settle("k", Other, Now);
  REQUIRE(Table.claim("k", makeClaim("r3"), Now).State == ClaimState::Running);
  Table.forget("k", RequestId("r1"));
  REQUIRE(Table.claim("k", makeClaim("r3"), Now).State ==
          ClaimState::Unclaimed);
}

TEST_CASE("an unsynchronized owner is unsure about keys that it lacks") {
  ClaimTable Table(std::chrono::minutes(10), 1000000);
  REQUIRE(Table.claim("k", makeClaim("r1"), {}).State == ClaimState::Unsure);
}

TEST_CASE("a full owner is unsure about a key that it cannot record") {
  ClaimTable Table = makeTable(300);
  REQUIRE(Table.claim("k1", makeClaim("r1"), {}).State ==
          ClaimState::Unclaimed);
  REQUIRE(Table.claim("k2", makeClaim("r2"), {}).State ==
          ClaimState::Unclaimed);
  REQUIRE(Table.claim("k3", makeClaim("r3"), {}).State == ClaimState::Unsure);
}

TEST_CASE("claims and their bytes are removed after the retention period") {
  ClaimTable Table = makeTable();
  TimePoint Now{};
  Table.claim("k", makeClaim("r1"), Now);
  Claim Ended = makeClaim("r1");
  Ended.State = ClaimState::Done;
  Ended.Answer = std::string(1000, 'x');
  Now += std::chrono::minutes(5);
  Table.settle("k", Ended, Now);
  Now += std::chrono::minutes(6);
  Table.expire(Now);
  REQUIRE(Table.size() == 1);
  Now += std::chrono::minutes(5);
  Table.expire(Now);
  REQUIRE(Table.size() == 0);
  REQUIRE(Table.bytes() == 0);
}

TEST_CASE("merging keeps the claim that is further advanced") {
  ClaimTable Table = makeTable();
  Claim Done = makeClaim("r1");
  Done.State = ClaimState::Done;
  Table.merge({"k", Done}, {});
  Table.merge({"k", makeClaim("r1")}, {});
  REQUIRE(Table.claim("k", makeClaim("r2"), {}).State == ClaimState::Done);
}

TEST_CASE("a key has two owners, or one if there is only one member") {
  const std::vector<EntryName> Three = {EntryName("a"), EntryName("b"),
                                        EntryName("c")};
  REQUIRE(keyOwners("k", Three).size() == 2);
  REQUIRE(keyOwners("k", {EntryName("a")}).size() == 1);
}

TEST_CASE("a request is sent if an owner confirms and none knows a claim") {
  const Claim Unclaimed;
  Claim Unsure;
  Unsure.State = ClaimState::Unsure;
  Claim Done = makeClaim("r1");
  Done.State = ClaimState::Done;
  const OwnerAnswer NoAnswer{EntryName("o"), false, {}};
  REQUIRE(resolveClaim({ownerAnswer(Unclaimed), ownerAnswer(Unclaimed)}, "d") ==
          ClaimVerdict::Send);
  REQUIRE(resolveClaim({ownerAnswer(Unclaimed), NoAnswer}, "d") ==
          ClaimVerdict::Send);
  REQUIRE(resolveClaim({ownerAnswer(Unsure), NoAnswer}, "d") ==
          ClaimVerdict::NoOwnerAvailable);
  REQUIRE(resolveClaim({NoAnswer, NoAnswer}, "d") ==
          ClaimVerdict::NoOwnerAvailable);
  REQUIRE(resolveClaim({ownerAnswer(Unclaimed), ownerAnswer(Done)}, "d") ==
          ClaimVerdict::Replay);
  REQUIRE(resolveClaim({ownerAnswer(Unsure), ownerAnswer(Done)}, "other") ==
          ClaimVerdict::Mismatch);
  REQUIRE(resolveClaim({ownerAnswer(Unclaimed), ownerAnswer(makeClaim("r1"))},
                       "d") == ClaimVerdict::InUse);
}
