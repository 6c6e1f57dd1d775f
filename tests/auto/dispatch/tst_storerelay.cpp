#include "storerelay.h"

#include "steppedloop.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using store::StoreErrorCode;

namespace {

/// How the store treats one VM.
enum class StoreBehaviour { Served, Refused, Silent, CarriedOutUnanswered };

/// Two entry VMs that are linked to each other, and a store that treats each as
/// the test sets. The store only counts the commits that it carried out.
class Fixture {
public:
  struct Vm {
    StoreBehaviour Path = StoreBehaviour::Served;
    unsigned Calls = 0;
    std::shared_ptr<StoreRelay> Relay;
  };

  Fixture() {
    for (const char *Name : {"e1", "e2"})
      this->open(Name);
  }

  void open(const std::string &Name) {
    Vm &Opened = this->Vms[Name];
    const auto Serve =
        [this, &Opened](const store::StoreCall &Call,
                        const store::StoreCallback<store::StoreReply> &Done) {
          ++Opened.Calls;
          constexpr Duration CallTimeout = milliseconds(1500);
          const bool IsDone =
              Opened.Path == StoreBehaviour::Served ||
              Opened.Path == StoreBehaviour::CarriedOutUnanswered;
          if (IsDone && Call.Kind == store::StoreCallKind::Commit)
            ++this->Commits;
          if (Opened.Path == StoreBehaviour::Served) {
            store::StoreReply Reply;
            Reply.Committed.IsCommitted = true;
            Reply.Lease = 5;
            Done(std::move(Reply));
          } else if (Opened.Path == StoreBehaviour::Refused) {
            Done(failure(
                store::StoreError{StoreErrorCode::Unreachable, "refused"}));
          } else {
            this->Loop.Queue.schedule(
                this->Loop.Time.now() + CallTimeout, [Done] {
                  Done(failure(store::StoreError{StoreErrorCode::Ambiguous,
                                                 "no answer"}));
                });
          }
        };
    Context Shared{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue,
                   store::makeForwardingStore(Serve)};
    StoreRelayHooks Hooks;
    Hooks.Send = [this, Name](const EntryName &To, const peers::Message &Sent) {
      this->Loop.Queue.post([this, Name, To, Sent] {
        StoreRelay &Peer = *this->Vms.at(To.text()).Relay;
        if (const auto *Call = std::get_if<peers::StoreRequest>(&Sent))
          Peer.handle(EntryName(Name), *Call);
        else
          Peer.handle(EntryName(Name), std::get<peers::StoreResponse>(Sent));
      });
      return true;
    };
    Hooks.UsablePeers = [Name] {
      return std::vector<EntryName>{EntryName(Name == "e1" ? "e2" : "e1")};
    };
    Opened.Relay = std::make_shared<StoreRelay>(Shared, Hooks);
  }

  /// Commits through e1 and returns the outcome after \p Wait: "committed", the
  /// name of the error, or "open".
  std::string commit(Duration Wait) {
    std::string Outcome = "open";
    this->Vms["e1"].Relay->store().Commit(
        {}, [&Outcome](const store::StoreResult<store::CommitAnswer> &Answer) {
          Outcome = Answer ? "committed"
                           : std::string(nameOf(store::StoreErrorNames,
                                                Answer.error().Code));
        });
    this->Loop.runFor(Wait);
    return Outcome;
  }

  std::string keepLease(Duration Wait) {
    std::string Outcome = "open";
    this->Vms["e1"].Relay->store().KeepLease(
        5, [&Outcome](const store::StoreResult<void> &Answer) {
          Outcome = Answer ? "kept"
                           : std::string(nameOf(store::StoreErrorNames,
                                                Answer.error().Code));
        });
    this->Loop.runFor(Wait);
    return Outcome;
  }

  /// Reads a page through e1; returns the outcome after \p Wait.
  std::string readPage(Duration Wait) {
    auto Outcome = std::make_shared<std::string>("open");
    this->Vms["e1"].Relay->store().Range(
        "prefix/", "", store::ReadKind::Current,
        [Outcome](const store::StoreResult<store::StorePage> &Answer) {
          *Outcome = Answer ? "read"
                            : std::string(nameOf(store::StoreErrorNames,
                                                 Answer.error().Code));
        });
    this->Loop.runFor(Wait);
    return *Outcome;
  }

  tests::SteppedLoop Loop;
  std::map<std::string, Vm> Vms;
  unsigned Commits = 0;
};

} // namespace

TEST_CASE("a VM that the store rejects commits through a peer, once") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Refused;
  CHECK(Test.commit(milliseconds(10)) == "committed");
  CHECK(Test.Commits == 1);
  // The direct path is not used for a while: the next commit does not try it.
  CHECK(Test.commit(milliseconds(10)) == "committed");
  CHECK(Test.Vms["e1"].Calls == 1);
}

TEST_CASE("a commit without an answer is not repeated, and the next one goes "
          "through a peer") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::CarriedOutUnanswered;
  CHECK(Test.commit(milliseconds(1600)) == "ambiguous");
  CHECK(Test.Commits == 1);
  CHECK(Test.commit(milliseconds(10)) == "committed");
  CHECK(Test.Commits == 2);
}

TEST_CASE("a lease is renewed through a peer well before it expires when the "
          "store stops answering") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  CHECK(Test.keepLease(milliseconds(600)) == "kept");
  CHECK(Test.keepLease(milliseconds(10)) == "kept");
}

// Guards against second copies of large answers that fill a slow link.
TEST_CASE("a page is read through a peer only after the direct path failed") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  CHECK(Test.readPage(milliseconds(1400)) == "open");
  CHECK(Test.Vms["e2"].Calls == 0);
  Test.Loop.runFor(milliseconds(200));
  CHECK(Test.Vms["e2"].Calls == 1);
  CHECK(Test.readPage(milliseconds(10)) == "read");
}

TEST_CASE("a VM returns to the direct path once the store serves it again") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Refused;
  CHECK(Test.keepLease(milliseconds(10)) == "kept");
  Test.Vms["e1"].Path = StoreBehaviour::Served;
  Test.Loop.runFor(milliseconds(1100));
  CHECK(Test.keepLease(milliseconds(10)) == "kept");
  const unsigned ByPeer = Test.Vms["e2"].Calls;
  CHECK(Test.commit(milliseconds(10)) == "committed");
  CHECK(Test.Vms["e2"].Calls == ByPeer);
}

TEST_CASE("while no VM reaches the store, peers are asked once a second") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Refused;
  Test.Vms["e2"].Path = StoreBehaviour::Refused;
  for (int Round = 0; Round < 20; ++Round)
    CHECK(Test.keepLease(milliseconds(100)) == "unreachable");
  CHECK(Test.Vms["e2"].Calls <= 3);
  CHECK(Test.commit(milliseconds(10)) == "unreachable");
  CHECK(Test.Commits == 0);
}
