#include "shardclaimer.h"
#include "storekeys.h"

#include "steppedloop.h"

#include "whintack/simulation/memorystore.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ShardId Shard = ShardId::fromText("s");

/// One VM, e1, that claims the shard "s". The test can hold back the answers to
/// commits of claims and to renewals of the lease.
class Fixture {
public:
  Fixture() {
    const store::AsyncStore Direct = this->Store.interface(EntryName("e1"));
    store::AsyncStore Held = Direct;
    Held.Commit = [this, Direct](
                      const store::StoreTransaction &Change,
                      const store::StoreCallback<store::CommitAnswer> &Done) {
      const bool IsClaim = !Change.Expect.empty() &&
                           Change.Expect.front().Key == keys::Claims + "s";
      Direct.Commit(
          Change, [this, Done, IsHeld = IsClaim && this->HoldsClaims](
                      const store::StoreResult<store::CommitAnswer> &Answer) {
            if (IsHeld)
              this->HeldAnswers.push_back([Done, Answer] { Done(Answer); });
            else
              Done(Answer);
          });
    };
    Held.KeepLease = [this, Direct](store::LeaseId Id,
                                    const store::StoreCallback<void> &Done) {
      Direct.KeepLease(Id, [this, Done, IsHeld = this->HoldsRenewals](
                               const store::StoreResult<void> &Answer) {
        if (IsHeld)
          this->HeldAnswers.push_back([Done, Answer] { Done(Answer); });
        else
          Done(Answer);
      });
    };
    const Context Shared{this->Loop.Time.clock(), seededRandom(3),
                         this->Loop.Queue, Held};
    const EntryName Self("e1");
    this->Lease = std::make_shared<NodeLease>(Shared);
    this->Members = std::make_shared<Membership>(
        Shared,
        Member{peers::PeerEndpoint{Self, DataCentreName("d1"),
                                   Address{"127.0.0.1", 9000}},
               1},
        this->Lease, [this] { this->claim(); });
    this->Tracker =
        std::make_shared<ClaimTracker>(Shared, [this] { this->claim(); });
    this->Claimer = std::make_shared<ShardClaimer>(
        Shared, Self, this->Tracker, this->Lease, this->Members,
        [this](const HeldClaim &Acquired) {
          this->Claimed.push_back(Acquired);
        });
    this->Members->start();
    this->Lease->start();
    this->Tracker->start();
  }

  void claim() {
    if (this->Claimer)
      this->Claimer->claimShards();
  }

  void deliverHeld() {
    for (const auto &Deliver : std::exchange(this->HeldAnswers, {}))
      Deliver();
    this->Loop.settle();
  }

  tests::SteppedLoop Loop;
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  bool HoldsClaims = false;
  bool HoldsRenewals = false;
  std::vector<std::function<void()>> HeldAnswers;
  std::shared_ptr<NodeLease> Lease;
  std::shared_ptr<Membership> Members;
  std::shared_ptr<ClaimTracker> Tracker;
  std::shared_ptr<ShardClaimer> Claimer;
  std::vector<HeldClaim> Claimed;
};

} // namespace

TEST_CASE("a vacant shard is claimed once") {
  Fixture Test;
  Test.Claimer->setShards({Shard});
  Test.Loop.runFor(seconds(4));
  CHECK(Test.Claimed.size() == 1);
  CHECK(Test.Tracker->holder(Shard)->Token == Test.Claimed.front().Token);
}

// Guards against two planners of one shard: the lease under which a claim was
// written ran out before its answer arrived, and the next lease does not hold
// that claim (issue 34).
TEST_CASE("a claim written under a lease that has lapsed is not taken up") {
  Fixture Test;
  Test.HoldsClaims = true;
  Test.Claimer->setShards({Shard});
  Test.Loop.runFor(seconds(3));
  REQUIRE(Test.HeldAnswers.size() == 1);
  Test.HoldsClaims = false;
  const store::LeaseId Lapsed = Test.Lease->id();
  Test.Store.revokeLeases(EntryName("e1"));
  Test.Loop.runFor(milliseconds(600));
  REQUIRE(Test.Lease->isValid());
  REQUIRE(Test.Lease->id() != Lapsed);
  Test.deliverHeld();
  CHECK(Test.Claimed.empty());
  Test.Loop.runFor(seconds(4));
  REQUIRE(Test.Claimed.size() == 1);
  CHECK(Test.Tracker->holder(Shard)->Token == Test.Claimed.front().Token);
}

// Guards against orders that a process sends after it has ended its lease, when
// the next holder already sends its own (issue 34).
TEST_CASE("a lease that is ended is no longer valid") {
  Fixture Test;
  Test.Loop.runFor(seconds(1));
  REQUIRE(Test.Lease->isValid());
  Test.HoldsRenewals = true;
  Test.Loop.runFor(milliseconds(600));
  REQUIRE(Test.HeldAnswers.size() == 1);
  bool IsEnded = false;
  Test.Lease->end([&IsEnded] { IsEnded = true; });
  CHECK_FALSE(Test.Lease->isValid());
  CHECK(Test.Loop.Time.now() >= Test.Lease->validUntil());
  // The answer to a renewal that was sent before does not make it valid again.
  Test.deliverHeld();
  CHECK_FALSE(Test.Lease->isValid());
  Test.Loop.runFor(seconds(3));
  CHECK(IsEnded);
  CHECK_FALSE(Test.Lease->isValid());
  CHECK(Test.Lease->id() == 0);
}
