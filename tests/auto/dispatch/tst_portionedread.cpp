#include "portionedread.h"

#include "steppedloop.h"

#include "whintack/simulation/memorystore.h"

#include <catch2/catch.hpp>
#include <iomanip>
#include <set>
#include <sstream>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Prefix = "whintack/job/quotes/";

/// A store with items of the size of a job, which one VM reads.
class Fixture {
public:
  void add(const std::string &Id) {
    const std::string Key = Prefix + Id;
    this->Store.put(Key, std::string(3000, 'x'));
    this->Keys.insert(Key);
  }

  /// An id with upper-case and lower-case digits, as clients may choose.
  std::string mixedId() {
    std::string Id;
    for (int Count = 0; Count < 16; ++Count)
      Id += "0123456789abcdefABCDEF"[this->Source() % 22];
    return Id;
  }

  std::string numberedId(uint64_t Number) const {
    std::ostringstream Text;
    Text << std::hex << std::setfill('0') << std::setw(16) << Number;
    return Text.str();
  }

  /// Reads everything for at most \p Length. Returns the keys in the order in
  /// which they were read; empty if the read did not end.
  std::vector<std::string> read(Duration Length) {
    store::AsyncStore Direct = this->Store.interface(EntryName("e1"));
    store::AsyncStore Counting = Direct;
    Counting.Range = [this, Direct](
                         const std::string &Digits, const std::string &After,
                         store::ReadKind Kind,
                         const store::StoreCallback<store::StorePage> &Done) {
      ++this->Calls;
      Direct.Range(Digits, After, Kind,
                   [this, Done](store::StoreResult<store::StorePage> Answer) {
                     if (Answer)
                       this->LargestAnswer =
                           std::max(this->LargestAnswer,
                                    simulation::wireSize(Answer.value()));
                     Done(std::move(Answer));
                   });
    };
    std::vector<std::string> Found;
    const auto Read = std::make_shared<PortionedRead>(
        Context{this->Loop.Time.clock(), this->Source, this->Loop.Queue,
                Counting},
        Prefix, [&Found](const PortionedRead::Contents &Contents) {
          for (const store::StoreItem &Item : Contents.Items)
            Found.push_back(Item.Key);
        });
    Read->start();
    this->Loop.runFor(Length);
    Read->stop();
    return Found;
  }

  std::vector<std::string> sortedKeys() const {
    return {this->Keys.begin(), this->Keys.end()};
  }

  tests::SteppedLoop Loop;
  Random Source = seededRandom(7);
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  std::set<std::string> Keys;
  unsigned Calls = 0;
  size_t LargestAnswer = 0;
};

} // namespace

TEST_CASE("a read in portions finds every item exactly once, in order") {
  Fixture Test;
  const size_t Count = GENERATE(0, 1, 17, 300, 2000);
  const bool IsMixed = GENERATE(false, true);
  for (size_t Number = 0; Number < Count; ++Number)
    Test.add(IsMixed ? Test.mixedId() : Test.numberedId(Test.Source()));
  // Neighbours of the items under the prefix must not be read.
  Test.Store.put("whintack/job/quoter/0000000000000000", "x");
  Test.Store.put("whintack/job/quotes0/0000000000000000", "x");
  CHECK(Test.read(seconds(20)) == Test.sortedKeys());
}

TEST_CASE("a read in portions finds items whose ids differ only in the last "
          "digits") {
  Fixture Test;
  for (uint64_t Number = 0; Number < 2000; ++Number)
    Test.add(Test.numberedId(0x1000000000000000 + Number));
  Test.add("0000000000000000");
  Test.add("ffffffffffffffff");
  CHECK(Test.read(seconds(20)) == Test.sortedKeys());
}

TEST_CASE("a read in portions needs few calls for few items") {
  Fixture Test;
  for (int Count = 0; Count < 20; ++Count)
    Test.add(Test.numberedId(Test.Source()));
  CHECK(Test.read(seconds(1)) == Test.sortedKeys());
  CHECK(Test.Calls <= 4);
}

TEST_CASE("a read in portions of evenly spread items keeps each answer small") {
  Fixture Test;
  for (int Count = 0; Count < 3000; ++Count)
    Test.add(Test.numberedId(Test.Source()));
  CHECK(Test.read(seconds(20)) == Test.sortedKeys());
  constexpr size_t HalfPage = 500000;
  CHECK(Test.LargestAnswer < HalfPage);
}

// Guards against a first full page because the first portion was empty.
TEST_CASE(
    "a read in portions keeps answers small if the first ids are unused") {
  Fixture Test;
  constexpr uint64_t FirstUsed = 0x0100000000000000;
  for (int Count = 0; Count < 400; ++Count)
    Test.add(Test.numberedId(std::max(Test.Source(), FirstUsed)));
  CHECK(Test.read(seconds(20)) == Test.sortedKeys());
  constexpr size_t HalfPage = 500000;
  CHECK(Test.LargestAnswer < HalfPage);
}

TEST_CASE("a read in portions continues where it was after the store was "
          "silent") {
  Fixture Test;
  for (int Count = 0; Count < 1000; ++Count)
    Test.add(Test.numberedId(Test.Source()));
  const EntryName Vm("e1");
  Test.Store.setDelay(milliseconds(20));
  Test.Loop.Queue.schedule(Test.Loop.Time.now() + milliseconds(200), [&] {
    Test.Store.setFaultMode(Vm, simulation::StoreFaultMode::Silent);
  });
  Test.Loop.Queue.schedule(Test.Loop.Time.now() + seconds(8), [&] {
    Test.Store.setFaultMode(Vm, simulation::StoreFaultMode::Served);
  });
  CHECK(Test.read(seconds(30)) == Test.sortedKeys());
}

TEST_CASE("a read in portions ends on a link that does not carry a page in the "
          "time of one call") {
  Fixture Test;
  for (int Count = 0; Count < 500; ++Count)
    Test.add(Test.mixedId());
  // A full page of 1.3 MB takes 4 s.
  Test.Store.setLinkRate(EntryName("e1"), 333e3);
  CHECK(Test.read(seconds(15)) == Test.sortedKeys());
}
