#include "scriptedserver.h"

#include "whintack/peers/peernetwork.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::peers;
using std::chrono::milliseconds;

namespace {

/// The links of one entry VM. It counts the store calls that arrive.
class Vm {
public:
  Vm(const std::string &Name, const Address &Listener,
     std::vector<PeerEndpoint> Peers) {
    PeerNetworkSetup Setup;
    Setup.Self = {EntryName(Name), 1, DataCentreName("d1")};
    Setup.Listener = Listener;
    Setup.Peers = std::move(Peers);
    Setup.AcceptsUnlistedPeers = true;
    PeerHooks Hooks;
    Hooks.MakeHeartbeat = [] { return Heartbeat(); };
    Hooks.OnPeersChanged = [] {};
    Hooks.OnMessage = [this](const EntryName &, const Message &Received) {
      if (std::holds_alternative<StoreRequest>(Received))
        ++this->StoreCalls;
      ++this->Messages;
    };
    this->Network = std::make_unique<PeerNetwork>(
        std::move(Setup), std::move(Hooks), this->Time, this->Stamps,
        this->Journal, seededRandom(1));
    REQUIRE(this->Network->open());
  }
  ~Vm() { this->Network->close(); }

  std::atomic<unsigned> StoreCalls{0};
  std::atomic<unsigned> Messages{0};
  std::unique_ptr<PeerNetwork> Network;

private:
  Clock Time = systemClock();
  HybridClock Stamps{Time.WallNow};
  EventJournal Journal{EntryName("any"), Stamps, 100};
};

bool becomesTrue(const std::function<bool()> &Condition) {
  for (int Count = 0; Count < 300 && !Condition(); ++Count)
    std::this_thread::sleep_for(milliseconds(10));
  return Condition();
}

} // namespace

// Guards against a store call that is taken as never sent and is carried out by
// the peer (issue 55).
TEST_CASE("a message that reaches a peer is not reported as not sent") {
  const Address First = tests::ownAddress(31, 9300);
  const Address Second = tests::ownAddress(32, 9300);
  // The second VM does not know the first one, so that heartbeats arrive in one
  // direction only.
  Vm Receiver("e2", Second, {});
  Vm Sender("e1", First,
            {PeerEndpoint{EntryName("e2"), DataCentreName("d1"), Second}});
  REQUIRE(becomesTrue([&Receiver] { return Receiver.Messages > 1; }));
  REQUIRE_FALSE(Sender.Network->isUsable(EntryName("e2")));
  const bool IsSent =
      Sender.Network->send(EntryName("e2"), StoreRequest{7, {}});
  const bool HasArrived =
      becomesTrue([&Receiver] { return Receiver.StoreCalls > 0; });
  CHECK(IsSent == HasArrived);
  CHECK_FALSE(Sender.Network->send(EntryName("e3"), StoreRequest{8, {}}));
}
