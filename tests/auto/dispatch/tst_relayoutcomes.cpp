#include "steppedloop.h"
#include "storerelay.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store::StoreErrorCode;

namespace {

/// A choice and a time. What they mean depends on what is chosen.
using Step = std::pair<uint8_t, uint16_t>;

/// What happens to the calls and messages, in the order in which they are made.
/// What comes after the last step goes well.
struct Script {
  std::vector<Step> StoreCalls;
  std::vector<Step> Messages;
  std::vector<uint8_t> UsablePeers;
  /// Choices: whether the commit is repeatable, and which peer, if any, is
  /// restarted before it. The time is that before the commit.
  std::vector<Step> Commits;
};

constexpr Duration CallTimeout = milliseconds(1500);
constexpr Duration MaxCallTime = seconds(20);

/// The value at \p Index, or \p Otherwise if there is none.
template <typename T>
T stepAt(const std::vector<T> &Steps, size_t Index, T Otherwise) {
  return Index < Steps.size() ? Steps[Index] : Otherwise;
}

/// A commit that was sent, and what became of it.
struct SentCommit {
  bool IsRepeatable = false;
  unsigned Executions = 0;
  /// "open", "committed", "conflict" or the name of the error.
  std::string Result = "open";
};

/// Three linked entry VMs, of which e1 commits, and a store that follows the
/// script.
class Fixture {
public:
  explicit Fixture(Script Plan) : Plan(std::move(Plan)) {
    for (const char *Name : {"e1", "e2", "e3"})
      this->open(Name);
  }

  /// Sends all commits, and waits until nothing can happen any more.
  void play() {
    for (const auto &[Choice, Time] : this->Plan.Commits) {
      this->Loop.runFor(milliseconds(Time % 1200));
      if (Choice % 8 == 1)
        this->open("e2");
      else if (Choice % 8 == 2)
        this->open("e3");
      this->commit(Choice % 4 != 3);
    }
    this->Loop.runFor(MaxCallTime + seconds(10));
  }

  std::vector<SentCommit> Commits;

private:
  /// Starts the relay of a VM; the earlier one, if any, ends.
  void open(const std::string &Name) {
    const auto Serve =
        [this](const store::StoreCall &Call,
               const store::StoreCallback<store::StoreReply> &Done) {
          this->serve(std::stoul(Call.Change.Puts.front().Key), Done);
        };
    const Context Shared{this->Loop.Time.clock(), seededRandom(++this->Starts),
                         this->Loop.Queue, store::makeForwardingStore(Serve)};
    StoreRelayHooks Hooks;
    Hooks.Send = [this, Name](const EntryName &To, const peers::Message &Sent) {
      return this->send(Name, To.text(), Sent);
    };
    Hooks.UsablePeers = [this] { return this->usablePeers(); };
    this->Relays[Name] =
        std::make_shared<StoreRelay>(Shared, Shared.Source(), Hooks);
  }

  std::vector<EntryName> usablePeers() {
    const uint8_t Choice =
        stepAt<uint8_t>(this->Plan.UsablePeers, this->PeerLists++, 0);
    std::vector<EntryName> Usable;
    if (Choice % 4 != 1)
      Usable.emplace_back("e2");
    if (Choice % 4 != 2 && Choice % 8 != 5)
      Usable.emplace_back("e3");
    return Usable;
  }

  bool send(const std::string &From, const std::string &To,
            const peers::Message &Sent) {
    const auto [Choice, Time] =
        stepAt<Step>(this->Plan.Messages, this->MessagesSent++, {0, 0});
    if (Choice % 4 == 1)
      return false;
    if (Choice % 4 == 2)
      return true;
    this->after(milliseconds(Time % 2500), [this, From, To, Sent] {
      StoreRelay &Receiver = *this->Relays.at(To);
      if (const auto *Call = std::get_if<peers::StoreRequest>(&Sent))
        Receiver.handle(EntryName(From), *Call);
      else
        Receiver.handle(EntryName(From), std::get<peers::StoreResponse>(Sent));
    });
    return true;
  }

  void serve(size_t Commit,
             const store::StoreCallback<store::StoreReply> &Done) {
    const auto [Choice, Time] =
        stepAt<Step>(this->Plan.StoreCalls, this->CallsServed++, {0, 0});
    const Duration Within = milliseconds(Time) % CallTimeout;
    switch (Choice % 5) {
    case 0:
      this->after(Within, [this, Commit, Done] {
        store::StoreReply Reply;
        Reply.Committed.IsCommitted = this->execute(Commit);
        Done(std::move(Reply));
      });
      return;
    case 1:
      this->after(Within, [Done] {
        Done(
            failure(store::StoreError{StoreErrorCode::Unreachable, "refused"}));
      });
      return;
    case 2:
      this->after(Within, [this, Commit] { this->execute(Commit); });
      break;
    case 3:
      this->after(CallTimeout + milliseconds(Time % 8000),
                  [this, Commit] { this->execute(Commit); });
      break;
    default:
      break;
    }
    this->after(CallTimeout, [Done] {
      Done(failure(store::StoreError{StoreErrorCode::Ambiguous, "no answer"}));
    });
  }

  /// Returns whether the condition of the commit held: a repeatable one takes
  /// effect once.
  bool execute(size_t Commit) {
    SentCommit &Executed = this->Commits[Commit];
    if (Executed.IsRepeatable && Executed.Executions > 0)
      return false;
    ++Executed.Executions;
    return true;
  }

  void commit(bool IsRepeatable) {
    const size_t Index = this->Commits.size();
    this->Commits.push_back({IsRepeatable, 0, "open"});
    store::StoreTransaction Change;
    Change.Puts = {{std::to_string(Index), "", 0}};
    Change.IsRepeatable = IsRepeatable;
    this->Relays["e1"]->store().Commit(
        Change,
        [this, Index](const store::StoreResult<store::CommitAnswer> &Answer) {
          std::string &Result = this->Commits[Index].Result;
          if (!Answer)
            Result = nameOf(store::StoreErrorNames, Answer.error().Code);
          else
            Result = Answer.value().IsCommitted ? "committed" : "conflict";
        });
  }

  void after(Duration Delay, std::function<void()> Call) {
    this->Loop.Queue.schedule(this->Loop.Time.now() + Delay, std::move(Call));
  }

  Script Plan;
  tests::SteppedLoop Loop;
  std::map<std::string, std::shared_ptr<StoreRelay>> Relays;
  size_t CallsServed = 0;
  size_t MessagesSent = 0;
  size_t PeerLists = 0;
  unsigned Starts = 0;
};

} // namespace

// Guards against a commit that is reported as not carried out although one of
// its copies was, or is later (issue 55).
TEST_CASE("the result of a commit is true in all orders of events") {
  std::map<std::string, unsigned> Results;
  const bool Holds =
      rc::check([&Results](const std::vector<Step> &StoreCalls,
                           const std::vector<Step> &Messages,
                           const std::vector<uint8_t> &UsablePeers,
                           const std::vector<Step> &Commits) {
        Fixture Test({StoreCalls, Messages, UsablePeers, Commits});
        Test.play();
        for (const SentCommit &Each : Test.Commits) {
          ++Results[Each.Result];
          RC_ASSERT(Each.Result != "open");
          if (Each.Result == "unreachable")
            RC_ASSERT(Each.Executions == 0U);
          else if (Each.Result != "ambiguous")
            RC_ASSERT(Each.Executions > 0U);
          RC_ASSERT(Each.Executions <= 1U);
        }
      });
  CHECK(Holds);
  // Each result has been checked.
  for (const char *Name : {"ambiguous", "committed", "conflict", "unreachable"})
    CHECK(Results[Name] > 0);
}
