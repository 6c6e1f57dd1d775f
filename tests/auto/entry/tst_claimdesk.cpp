#include "claimdesk.h"

#include "steppedloop.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::entry::Internal;
using routing::ClaimVerdict;

namespace {

/// The desk of e1, whose other owner e2 is reachable or not.
class Fixture {
public:
  Fixture() {
    ClaimHooks Hooks;
    Hooks.SendToPeer = [](const EntryName &, const peers::Message &) {
      return true;
    };
    Hooks.IsUsable = [this](const EntryName &) { return this->IsPeerUsable; };
    this->Desk = std::make_shared<ClaimDesk>(
        EntryName("e1"),
        std::vector<EntryName>{EntryName("e1"), EntryName("e2")}, Hooks,
        this->Loop.Time.clock(), this->Loop.Queue);
  }

  void takeTableOfPeer() {
    peers::ClaimTablePart Part;
    Part.IsLast = true;
    this->Desk->takeMessage(EntryName("e2"), Part);
  }

  /// Lets the process run normally for a while.
  void live(Duration Length) {
    constexpr Duration Look = std::chrono::milliseconds(200);
    for (Duration Gone = Duration::zero(); Gone < Length; Gone += Look) {
      this->Loop.runFor(Look);
      this->Desk->synchronize();
    }
  }

  ClaimVerdict claim(const std::string &Key) {
    ClaimVerdict Verdict = ClaimVerdict::Mismatch;
    this->Desk->claim(
        Key, RequestId("r-" + Key), "d",
        [&Verdict](const ClaimReply &Reply) { Verdict = Reply.Verdict; });
    return Verdict;
  }

  tests::SteppedLoop Loop;
  bool IsPeerUsable = false;
  std::shared_ptr<ClaimDesk> Desk;
};

} // namespace

TEST_CASE("an owner that lost its peer goes on to vouch for keys") {
  Fixture Test;
  Test.takeTableOfPeer();
  Test.live(std::chrono::seconds(3));
  CHECK(Test.claim("k") == ClaimVerdict::Send);
}

TEST_CASE("an owner that stood still vouches for nothing until it has taken in "
          "the claims of the others") {
  Fixture Test;
  Test.takeTableOfPeer();
  Test.live(std::chrono::seconds(1));
  Test.Loop.Time.advance(std::chrono::seconds(6));
  CHECK(Test.claim("k1") == ClaimVerdict::CannotTell);
  Test.Desk->synchronize();
  CHECK_FALSE(Test.Desk->isSynchronized());
  Test.takeTableOfPeer();
  CHECK(Test.claim("k2") == ClaimVerdict::Send);
}

TEST_CASE("an owner that stood still vouches for no peer either") {
  Fixture Test;
  Test.takeTableOfPeer();
  Test.Loop.Time.advance(std::chrono::seconds(6));
  routing::Claim Wanted;
  Wanted.State = routing::ClaimState::Running;
  Wanted.Request = RequestId("r");
  Test.Desk->takeMessage(EntryName("e2"), peers::ClaimRequest{1, "k", Wanted});
  CHECK_FALSE(Test.Desk->isSynchronized());
}
