#include "storerelay.h"

#include "logcapture.h"
#include "steppedloop.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using store::StoreErrorCode;

namespace {

/// How the store treats one VM.
enum class StoreBehaviour {
  Served,
  /// Carried out at once, answered 300 ms later.
  AnsweredLate,
  Refused,
  Silent,
  CarriedOutUnanswered,
};

/// Two entry VMs that are linked to each other, and a store that treats each as
/// the test sets. The store only counts the commits that it carried out.
class Fixture {
public:
  struct Vm {
    StoreBehaviour Path = StoreBehaviour::Served;
    unsigned Calls = 0;
    /// Added to the time of an answer that is late.
    Duration ExtraDelay = Duration::zero();
    std::shared_ptr<StoreRelay> Relay;
  };

  Fixture() {
    for (const char *Name : {"e1", "e2"})
      this->open(Name);
  }

  /// Starts the relay of a VM; the earlier one, if any, ends. Each has a random
  /// source of its own, as each process does.
  void open(const std::string &Name) {
    Vm &Opened = this->Vms[Name];
    const auto Serve =
        [this, &Opened](const store::StoreCall &Call,
                        const store::StoreCallback<store::StoreReply> &Done) {
          ++Opened.Calls;
          constexpr Duration CallTimeout = milliseconds(1500);
          const bool IsDone =
              Opened.Path == StoreBehaviour::Served ||
              Opened.Path == StoreBehaviour::AnsweredLate ||
              Opened.Path == StoreBehaviour::CarriedOutUnanswered;
          if (IsDone && Call.Kind == store::StoreCallKind::Commit)
            ++this->Commits;
          store::StoreReply Reply;
          Reply.Committed.IsCommitted = true;
          Reply.Lease = 5;
          if (Opened.Path == StoreBehaviour::Served) {
            Done(std::move(Reply));
          } else if (Opened.Path == StoreBehaviour::AnsweredLate) {
            this->Loop.Queue.schedule(this->Loop.Time.now() +
                                          milliseconds(300) + Opened.ExtraDelay,
                                      [Done, Reply] { Done(Reply); });
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
    Context Shared{this->Loop.Time.clock(), seededRandom(++this->Starts),
                   this->Loop.Queue, store::makeForwardingStore(Serve)};
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
    Opened.Relay = std::make_shared<StoreRelay>(Shared, Shared.Source(), Hooks);
  }

  /// Commits through e1 and returns the outcome after \p Wait: "committed", the
  /// name of the error, or "open".
  std::string commit(Duration Wait, bool IsRepeatable = false) {
    auto Outcome = std::make_shared<std::string>("open");
    store::StoreTransaction Change;
    Change.IsRepeatable = IsRepeatable;
    Change.Puts = {{"key", "", 0}};
    this->Vms["e1"].Relay->store().Commit(
        Change,
        [this, Outcome](const store::StoreResult<store::CommitAnswer> &Answer) {
          if (!Answer)
            this->FailedPath = Answer.error().Path;
          *Outcome = Answer ? "committed"
                            : std::string(nameOf(store::StoreErrorNames,
                                                 Answer.error().Code));
        });
    this->Loop.runFor(Wait);
    return *Outcome;
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
  std::string readPage(Duration Wait,
                       store::ReadKind Kind = store::ReadKind::Bulk) {
    auto Outcome = std::make_shared<std::string>("open");
    this->Vms["e1"].Relay->store().Range(
        "prefix/", "", Kind,
        [Outcome](const store::StoreResult<store::StorePage> &Answer) {
          *Outcome = Answer ? "read"
                            : std::string(nameOf(store::StoreErrorNames,
                                                 Answer.error().Code));
        });
    this->Loop.runFor(Wait);
    return *Outcome;
  }

  /// Watches through e1 with the given wait; returns the outcome after \p For.
  std::string watch(Duration Wait, Duration For) {
    this->WatchOutcome = "open";
    this->Vms["e1"].Relay->store().Watch(
        "prefix/", 5, Wait,
        [this](const store::StoreResult<store::WatchAnswer> &Answer) {
          this->WatchOutcome = Answer ? "answered" : "failed";
        });
    this->Loop.runFor(For);
    return this->WatchOutcome;
  }

  std::string WatchOutcome;
  store::StorePath FailedPath = store::StorePath::Unknown;
  tests::SteppedLoop Loop;
  std::map<std::string, Vm> Vms;
  unsigned Commits = 0;
  unsigned Starts = 0;
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

// Guards against reads of single records that are not answered within the time
// in which a decision is due (issue 28).
TEST_CASE("a small read is sent through a peer as well if it is not answered") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  CHECK(Test.readPage(milliseconds(600), store::ReadKind::Current) == "read");
}

// Guards against a configuration that comes in force late, because the watch
// for it is silent (issue 28).
TEST_CASE("an overdue watch is repeated through a peer") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  CHECK(Test.watch(milliseconds(600), milliseconds(890)) == "open");
  Test.Loop.runFor(milliseconds(20));
  CHECK(Test.Vms["e2"].Calls == 1);
  CHECK(Test.WatchOutcome == "answered");
  // A silent watch alone does not mean that the store cannot be reached.
  const unsigned Direct = Test.Vms["e1"].Calls;
  Test.commit(milliseconds(1));
  CHECK(Test.Vms["e1"].Calls == Direct + 1);
}

// Guards against calls that leave the direct path because a watch was silent.
TEST_CASE("the late time-out of a watch that a peer answered blocks no path") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  CHECK(Test.watch(milliseconds(600), milliseconds(1000)) == "answered");
  Test.Loop.runFor(milliseconds(600));
  Test.Vms["e1"].Path = StoreBehaviour::Served;
  const unsigned ByPeer = Test.Vms["e2"].Calls;
  CHECK(Test.commit(milliseconds(10)) == "committed");
  CHECK(Test.Vms["e2"].Calls == ByPeer);
}

// Guards against an outcome that is called certain because the last of several
// attempts was refused (issue 28).
TEST_CASE("a commit that may have been carried out stays ambiguous when a "
          "later attempt is refused") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  Test.Vms["e2"].Path = StoreBehaviour::Refused;
  CHECK(Test.commit(milliseconds(1600), true) == "ambiguous");
}

TEST_CASE("a repeatable commit without an answer goes through a peer as well") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Silent;
  CHECK(Test.commit(milliseconds(600), true) == "committed");
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

// Guards against ends that count as stored although they are not, so that a
// later planner starts their tasks again (issue 34).
TEST_CASE("an answer to a commit of an earlier process on the VM is not taken "
          "for that of a later commit") {
  Fixture Test;
  Test.Vms["e1"].Path = StoreBehaviour::Refused;
  Test.Vms["e2"].Path = StoreBehaviour::AnsweredLate;
  CHECK(Test.commit(milliseconds(100)) == "open");
  Test.open("e1");
  Test.Vms["e2"].Path = StoreBehaviour::Silent;
  CHECK(Test.commit(milliseconds(400)) == "open");
  CHECK(Test.Commits == 1);
}

// Guards against commits of which the log does not tell how each copy ended
// (issue 55).
TEST_CASE("the copies of a commit are logged, with how each ended") {
  const tests::LogCapture Log;
  Fixture Test;
  const auto Field = [&Log](const std::string &Key) {
    const std::vector<std::string> Lines = Log.lines("commit-attempts");
    return Lines.size() == 1 ? tests::LogCapture::field(Lines[0], Key)
                             : std::to_string(Lines.size()) + " lines";
  };
  SECTION("a commit that is carried out at once has no line") {
    REQUIRE(Test.commit(milliseconds(10)) == "committed");
    CHECK(Log.lines("commit-attempts").empty());
  }
  SECTION("refused directly, carried out through a peer") {
    Test.Vms["e1"].Path = StoreBehaviour::Refused;
    REQUIRE(Test.commit(milliseconds(10)) == "committed");
    CHECK(Field("key") == "key");
    CHECK(Field("outcome") == "committed");
    CHECK(Field("attempts") == "direct:unreachable,e2:committed");
  }
  SECTION("one copy without an answer") {
    Test.Vms["e1"].Path = StoreBehaviour::Silent;
    REQUIRE(Test.commit(milliseconds(1600)) == "ambiguous");
    CHECK(Field("attempts") == "direct:ambiguous");
    CHECK(Field("took-ms") == "1500");
    CHECK(Test.FailedPath == store::StorePath::Direct);
  }
  SECTION("refused by a peer and not answered directly") {
    Test.Vms["e1"].Path = StoreBehaviour::Silent;
    Test.Vms["e2"].Path = StoreBehaviour::Refused;
    REQUIRE(Test.commit(milliseconds(1600), true) == "ambiguous");
    CHECK(Field("outcome") == "ambiguous");
    // After the direct copy has failed, the only peer is asked again.
    CHECK(Field("attempts") ==
          "direct:ambiguous,e2:unreachable,e2:unreachable");
    CHECK(Test.FailedPath == store::StorePath::Several);
  }
  SECTION("one copy still open") {
    Test.Vms["e1"].Path = StoreBehaviour::Silent;
    REQUIRE(Test.commit(milliseconds(600), true) == "committed");
    CHECK(Field("attempts") == "direct:open,e2:committed");
  }
}

// Guards against a log that is filled while the store is away.
TEST_CASE("failed commits are logged up to a limit") {
  const tests::LogCapture Log;
  Fixture Test;
  for (const char *Name : {"e1", "e2"})
    Test.Vms[Name].Path = StoreBehaviour::Refused;
  for (int Commit = 0; Commit < 40; ++Commit)
    CHECK(Test.commit(milliseconds(1)) == "unreachable");
  CHECK(Log.lines("commit-attempts").size() == 30);
  Test.Loop.runFor(milliseconds(1000));
  Test.commit(milliseconds(1));
  CHECK(tests::LogCapture::field(Log.lines("commit-attempts").back(),
                                 "not-logged") == "10");
}

// Guards against a commit that took effect after its VM had given it up, and of
// which no line tells (issue 55).
TEST_CASE("an answer that comes after the end of its commit is logged") {
  const tests::LogCapture Log;
  Fixture Test;
  Test.Vms["e2"].Path = StoreBehaviour::AnsweredLate;
  SECTION("if it comes directly") {
    Test.Vms["e1"].Path = StoreBehaviour::AnsweredLate;
    Test.Vms["e1"].ExtraDelay = milliseconds(900);
    Test.Vms["e2"].Path = StoreBehaviour::Served;
    REQUIRE(Test.commit(milliseconds(600), true) == "committed");
    CHECK(Log.lines("late-commit").empty());
    Test.Loop.runFor(milliseconds(1000));
    REQUIRE(Log.lines("late-commit").size() == 1);
    const std::string Line = Log.lines("late-commit")[0];
    CHECK(tests::LogCapture::field(Line, "path") == "direct");
    CHECK(tests::LogCapture::field(Line, "key") == "key");
    CHECK(
        tests::LogCapture::field(Line, "number") ==
        tests::LogCapture::field(Log.lines("commit-attempts").at(0), "number"));
  }
  SECTION("if it comes through a peer that was given up") {
    Test.Vms["e1"].Path = StoreBehaviour::Refused;
    Test.Vms["e2"].ExtraDelay = milliseconds(900);
    REQUIRE(Test.commit(milliseconds(1100)) == "ambiguous");
    CHECK(Log.lines("late-commit").empty());
    Test.Loop.runFor(milliseconds(200));
    REQUIRE(Log.lines("late-commit").size() == 1);
    CHECK(tests::LogCapture::field(Log.lines("late-commit")[0], "path") ==
          "e2");
  }
}
