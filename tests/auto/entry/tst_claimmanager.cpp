#include "claimmanager.h"

#include "steppedloop.h"

#include "whintack/base/random.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::entry::Internal;
using routing::ClaimVerdict;

namespace {

/// The claim manager of e1. The other owner of every key is e2, which is usable
/// or not.
class Fixture {
public:
  Fixture() { this->start(); }

  /// Starts the process, again if it ran before.
  void start() {
    ClaimHooks Hooks;
    Hooks.SendToPeer = [this](const EntryName &, const peers::Message &Sent) {
      if (const auto *Request = std::get_if<peers::ClaimRequest>(&Sent))
        this->LastRequest = Request->Id;
      return true;
    };
    Hooks.IsUsable = [this](const EntryName &) { return this->IsPeerUsable; };
    this->Manager = std::make_shared<ClaimManager>(
        EntryName("e1"), this->Source(),
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
  Random Source = seededRandom(3);
  /// Id of the last request for a claim.
  peers::CallId LastRequest = 0;
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

// Guards against a keyed request that runs twice: the peer's answer on another
// key was taken for its claim (issue 34).
TEST_CASE("an answer to a request of an earlier process on the VM is not taken "
          "for that of a later request") {
  Fixture Test;
  Test.IsPeerUsable = true;
  Test.Manager->claim("k1", RequestId("r1"), "d", [](const ClaimReply &) {});
  peers::ClaimAnswer Late;
  Late.Id = Test.LastRequest;
  Test.start();
  std::optional<ClaimVerdict> Verdict;
  Test.Manager->claim(
      "k2", RequestId("r"), "d",
      [&Verdict](const ClaimReply &Reply) { Verdict = Reply.Verdict; });
  Test.Manager->handleMessage(EntryName("e2"), Late);
  CHECK_FALSE(Verdict);
  peers::ClaimAnswer Own;
  Own.Id = Test.LastRequest;
  Own.Before.State = routing::ClaimState::Done;
  Own.Before.Digest = "d";
  Test.Manager->handleMessage(EntryName("e2"), Own);
  CHECK(Verdict == ClaimVerdict::Replay);
}
