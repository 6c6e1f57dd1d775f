#include "claimmanager.h"

#include "steppedloop.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::entry::Internal;
using routing::ClaimVerdict;

namespace {

/// The claim manager of e1. The other owner of every key is e2, which is usable
/// or not.
class Fixture {
public:
  Fixture() {
    ClaimHooks Hooks;
    Hooks.SendToPeer = [](const EntryName &, const peers::Message &) {
      return true;
    };
    Hooks.IsUsable = [this](const EntryName &) { return this->IsPeerUsable; };
    this->Manager = std::make_shared<ClaimManager>(
        EntryName("e1"),
        std::vector<EntryName>{EntryName("e1"), EntryName("e2")}, Hooks,
        this->Loop.Time.clock(), this->Loop.Queue);
  }

  void receivePeerTable() {
    peers::ClaimTablePart Part;
    Part.IsLast = true;
    this->Manager->handleMessage(EntryName("e2"), Part);
  }

  /// Calls synchronize() at its normal interval for \p Length.
  void runNormally(Duration Length) {
    constexpr Duration SynchronizeInterval = std::chrono::milliseconds(200);
    for (Duration Elapsed = Duration::zero(); Elapsed < Length;
         Elapsed += SynchronizeInterval) {
      this->Loop.runFor(SynchronizeInterval);
      this->Manager->synchronize();
    }
  }

  ClaimVerdict claim(const std::string &Key) {
    ClaimVerdict Verdict = ClaimVerdict::Mismatch;
    this->Manager->claim(
        Key, RequestId("r-" + Key), "d",
        [&Verdict](const ClaimReply &Reply) { Verdict = Reply.Verdict; });
    return Verdict;
  }

  tests::SteppedLoop Loop;
  bool IsPeerUsable = false;
  std::shared_ptr<ClaimManager> Manager;
};

} // namespace

TEST_CASE("an owner whose peer is lost still grants claims") {
  Fixture Test;
  Test.receivePeerTable();
  Test.runNormally(std::chrono::seconds(3));
  CHECK(Test.claim("k") == ClaimVerdict::Send);
}

TEST_CASE("an owner that was paused grants no claim until it has received "
          "the claims of its peers") {
  Fixture Test;
  Test.receivePeerTable();
  Test.runNormally(std::chrono::seconds(1));
  Test.Loop.Time.advance(std::chrono::seconds(6));
  CHECK(Test.claim("k1") == ClaimVerdict::NoOwnerAvailable);
  Test.Manager->synchronize();
  CHECK_FALSE(Test.Manager->isSynchronized());
  Test.receivePeerTable();
  CHECK(Test.claim("k2") == ClaimVerdict::Send);
}

TEST_CASE("an owner that was paused grants no claim to a peer either") {
  Fixture Test;
  Test.receivePeerTable();
  Test.Loop.Time.advance(std::chrono::seconds(6));
  routing::Claim Wanted;
  Wanted.State = routing::ClaimState::Running;
  Wanted.Request = RequestId("r");
  Test.Manager->handleMessage(EntryName("e2"),
                              peers::ClaimRequest{1, "k", Wanted});
  CHECK_FALSE(Test.Manager->isSynchronized());
}
