#include "executorlistmonitor.h"

#include "steppedloop.h"

#include "whintack/simulation/memorystore.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Prefix = "executors/";

/// Executors of one service, whose entries hold the service's name and padding,
/// and a monitor that reads them over a counted connection.
class Fixture {
public:
  Fixture() {
    const store::AsyncStore Direct = this->Store.interface(EntryName("e1"));
    store::AsyncStore Counting = Direct;
    Counting.Range = [this, Direct](
                         const std::string &Digits, const std::string &After,
                         store::ReadKind Kind,
                         const store::StoreCallback<store::StorePage> &Done) {
      Direct.Range(Digits, After, Kind,
                   [this, Done](store::StoreResult<store::StorePage> Answer) {
                     if (Answer)
                       this->Bytes += simulation::wireSize(Answer.value());
                     Done(std::move(Answer));
                   });
    };
    Counting.Watch = [this, Direct](
                         const std::string &Digits, uint64_t After,
                         Duration Wait,
                         const store::StoreCallback<store::WatchAnswer> &Done) {
      Direct.Watch(Digits, After, Wait,
                   [this, Done](store::StoreResult<store::WatchAnswer> Answer) {
                     if (Answer)
                       this->Bytes += simulation::wireSize(Answer.value());
                     Done(std::move(Answer));
                   });
    };
    this->Monitor = std::make_shared<ExecutorListMonitor>(
        Context{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue,
                Counting},
        Prefix,
        [](const std::string &Key,
           const std::string &Text) -> jobs::DecodeResult<jobs::ExecutorInfo> {
          if (Text.starts_with("unreadable"))
            return failure(jobs::DecodeError{"unreadable"});
          jobs::ExecutorInfo Info;
          Info.Id = jobs::ExecutorId(Key.substr(Prefix.size()));
          Info.Service = ServiceName(Text.substr(0, Text.find(' ')));
          return Info;
        },
        [this] { return this->IsNeeded; },
        [this](const std::vector<jobs::ExecutorInfo> &Listed) {
          this->Listed.clear();
          ++this->Reads;
          for (const jobs::ExecutorInfo &Info : Listed)
            this->Listed[Info.Id.text()] = Info.Service.text();
        });
    this->Monitor->start();
  }

  void add(int First, int Count, const std::string &Service = "quotes") {
    for (int Number = First; Number < First + Count; ++Number)
      this->Store.put(Prefix + std::to_string(Number),
                      Service + std::string(300, ' '));
  }

  tests::SteppedLoop Loop;
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  std::shared_ptr<ExecutorListMonitor> Monitor;
  std::map<std::string, std::string> Listed;
  unsigned Reads = 0;
  bool IsNeeded = true;
  size_t Bytes = 0;
};

} // namespace

// Guards against reads of the list of all executors that take a third of a slow
// link.
TEST_CASE("the list of executors costs no more than what changes in it") {
  Fixture Test;
  constexpr int Executors = 350;
  Test.add(1000, Executors);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Listed.size() == Executors);
  Test.Bytes = 0;
  // Each executor writes a heartbeat every 1.5 s.
  constexpr int Rounds = 4;
  for (int Round = 0; Round < Rounds; ++Round)
    for (int Number = 0; Number < Executors; Number += 35) {
      Test.add(1000 + Number, 35);
      Test.Loop.runFor(milliseconds(150));
    }
  constexpr size_t EntryBytes = 600;
  CHECK(Test.Bytes < Rounds * Executors * EntryBytes);
  CHECK(Test.Listed.size() == Executors);
}

TEST_CASE("the list of executors follows changes, removals and entries that "
          "become unreadable") {
  Fixture Test;
  Test.add(1, 5);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Listed.size() == 5);
  Test.add(2, 1, "payouts");
  Test.Store.remove(Prefix + "3");
  Test.Store.put(Prefix + "4", "unreadable");
  Test.add(9, 1);
  const bool IsHistoryDropped = GENERATE(false, true);
  if (IsHistoryDropped)
    Test.Store.dropHistory();
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Listed == std::map<std::string, std::string>{{"1", "quotes"},
                                                          {"2", "payouts"},
                                                          {"5", "quotes"},
                                                          {"9", "quotes"}});
}

TEST_CASE("a requested list shows what was written before the request") {
  Fixture Test;
  Test.add(1, 3);
  Test.Loop.runFor(seconds(1));
  Test.add(4, 1);
  Test.Store.remove(Prefix + "1");
  Test.Monitor->refresh();
  Test.Loop.runFor(milliseconds(20));
  CHECK(Test.Listed.size() == 3);
  CHECK(Test.Listed.contains("4"));
  // The list is also reported when nothing has changed.
  const unsigned Reads = Test.Reads;
  Test.Monitor->refresh();
  Test.Loop.runFor(milliseconds(20));
  CHECK(Test.Reads == Reads + 1);
}

TEST_CASE("the list of executors is right again after the store was cut off") {
  Fixture Test;
  Test.add(1, 5);
  Test.Loop.runFor(seconds(1));
  const EntryName Vm("e1");
  Test.Store.setFaultMode(Vm, simulation::StoreFaultMode::Silent);
  Test.Store.remove(Prefix + "1");
  Test.Loop.runFor(seconds(5));
  Test.Store.setFaultMode(Vm, simulation::StoreFaultMode::Served);
  Test.Loop.runFor(seconds(3));
  CHECK(Test.Listed.size() == 4);
}
