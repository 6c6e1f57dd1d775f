#include "unequalfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace whintack::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr double LargeShare = 0.5;
static constexpr double SmallShare = 0.12;

const std::vector<std::string> UnequalFleet::Shards = {"fleet", "payouts",
                                                       "quotes"};
// The names sort the small VMs first, so that no order by name helps.
const std::vector<std::string> UnequalFleet::LargeVms = {"v1", "v2", "v3"};
const std::vector<std::string> UnequalFleet::SmallVms = {"a1", "a2", "a3", "a4",
                                                         "a5"};

UnequalFleet::UnequalFleet(uint64_t Seed) : SimulatedFleet(Seed) {}

void UnequalFleet::addPlatform() {
  simulation::addExampleFleet(this->Platform);
}

void UnequalFleet::startVm(const std::string &Name) {
  const std::vector<std::string> Known = this->nodeNames();
  if (std::count(Known.begin(), Known.end(), Name) > 0) {
    this->restartNode(Name);
    return;
  }
  const bool IsLarge = std::count(LargeVms.begin(), LargeVms.end(), Name) > 0;
  const bool IsInFirst = (Name.back() - '0') % 2 == 1;
  this->startNode(Name, IsInFirst ? "d1" : "d2",
                  IsLarge ? LargeShare : SmallShare);
}

void UnequalFleet::startVms() {
  for (const std::string &Name : SmallVms)
    this->startVm(Name);
  for (const std::string &Name : LargeVms)
    this->startVm(Name);
}

void UnequalFleet::killVms() {
  for (const std::string &Name : this->nodeNames())
    this->killNode(Name);
}

void UnequalFleet::removeConfiguration() {
  const std::string Key = this->Platform.codec().ConfigurationKey;
  this->Configuration = this->Platform.store().value(Key).value();
  this->Platform.store().remove(Key);
}

void UnequalFleet::addConfiguration() {
  this->Platform.store().put(this->Platform.codec().ConfigurationKey,
                             this->Configuration);
}

void UnequalFleet::submitJobs(Duration Length) {
  constexpr Duration Pause = milliseconds(200);
  for (Duration Elapsed = Duration::zero(); Elapsed < Length;
       Elapsed += Pause) {
    const uint64_t Drawn = this->Source();
    this->submit(Drawn % 2 == 0 ? "quotes" : "payouts",
                 Drawn % 3 == 0 ? "chain" : "short");
    this->runFor(Pause);
  }
}

size_t UnequalFleet::shardCount(const std::string &Name) const {
  return static_cast<size_t>(std::count_if(
      Shards.begin(), Shards.end(), [this, &Name](const std::string &Shard) {
        return this->plannerOf(Shard) == Name;
      }));
}

uint64_t UnequalFleet::claimCount() const {
  uint64_t Count = 0;
  for (const std::string &Shard : Shards)
    if (const auto Text =
            this->Platform.store().value("whintack/generation/" + Shard))
      Count += std::stoull(*Text);
  return Count;
}

void UnequalFleet::checkSpread() const {
  for (const std::string &Shard : Shards) {
    INFO(Shard);
    CHECK_FALSE(this->plannerOf(Shard).empty());
  }
  for (const std::string &Name : LargeVms) {
    INFO(Name);
    CHECK(this->shardCount(Name) == 1);
  }
  for (const std::string &Name : SmallVms) {
    INFO(Name);
    CHECK(this->shardCount(Name) == 0);
  }
}

void UnequalFleet::finishAndCheck() {
  this->runFor(seconds(25));
  for (const std::string &Text : this->Platform.runChecker().violations())
    FAIL_CHECK(Text);
  for (const std::string &Path : this->Accepted) {
    INFO(Path);
    CHECK(this->stateOf(Path) == "completed");
  }
}

} // namespace whintack::tests
