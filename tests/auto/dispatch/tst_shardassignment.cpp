#include "shardassignment.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;

namespace {

ShardId shard(const std::string &Name) {
  return ShardId::of(ServiceName(Name));
}

ShardLayout makeLayout(size_t LargeVms, size_t SmallVms, size_t Shards) {
  ShardLayout Layout;
  for (size_t Index = 0; Index < SmallVms; ++Index)
    Layout.Candidates.push_back({EntryName("a" + std::to_string(Index)), 0.12});
  for (size_t Index = 0; Index < LargeVms; ++Index)
    Layout.Candidates.push_back({EntryName("v" + std::to_string(Index)), 0.5});
  for (size_t Index = 0; Index < Shards; ++Index)
    Layout.Weights[shard("s" + std::to_string(Index))] = 1;
  return Layout;
}

/// Number of shards for which each VM is preferred.
std::map<std::string, size_t> preferredCounts(const ShardLayout &Layout) {
  std::map<std::string, size_t> Counts;
  for (const auto &[Shard, Order] : rankCandidates(Layout))
    ++Counts[Order.front().text()];
  return Counts;
}

} // namespace

// Guards against ranking shards one by one, so that one VM is preferred for all
// shards that are vacant at the same time.
TEST_CASE("shards without a holder are assigned jointly") {
  const auto Counts = preferredCounts(makeLayout(8, 30, 5));
  CHECK(Counts.size() == 5);
  for (const auto &[Name, Count] : Counts) {
    INFO(Name);
    CHECK(Name.starts_with("v"));
    CHECK(Count == 1);
  }
}

TEST_CASE("a VM with a large share takes a second shard before a small VM "
          "takes one") {
  CHECK(preferredCounts(makeLayout(1, 3, 4)).at("v0") == 4);
  const auto Counts = preferredCounts(makeLayout(2, 3, 5));
  CHECK(Counts.at("v0") + Counts.at("v1") == 5);
  // A fifth shard weighs more on the large VM than the first on a small one.
  CHECK(preferredCounts(makeLayout(1, 3, 7)).at("v0") == 4);
}

TEST_CASE("shards that are held count as load of their holder") {
  ShardLayout Layout = makeLayout(2, 1, 3);
  Layout.Holders[shard("s0")] = EntryName("v0");
  Layout.Holders[shard("s1")] = EntryName("v0");
  const ShardRanking Ranking = rankCandidates(Layout);
  CHECK(Ranking.size() == 1);
  CHECK(Ranking.at(shard("s2")).front() == EntryName("v1"));
  CHECK(Ranking.at(shard("s2")).size() == 3);
}

TEST_CASE("the heaviest shard is assigned first") {
  ShardLayout Layout = makeLayout(1, 1, 2);
  Layout.Weights = {{shard("heavy"), 10}, {shard("light"), 1}};
  const ShardRanking Ranking = rankCandidates(Layout);
  CHECK(Ranking.at(shard("heavy")).front() == EntryName("v0"));
  CHECK(Ranking.at(shard("light")).front() == EntryName("a0"));
}

TEST_CASE("the assignment does not depend on the order of the candidates") {
  ShardLayout Layout = makeLayout(4, 4, 3);
  const ShardRanking Ranking = rankCandidates(Layout);
  std::reverse(Layout.Candidates.begin(), Layout.Candidates.end());
  CHECK(rankCandidates(Layout) == Ranking);
}

TEST_CASE("holders that are no candidates and an empty fleet are allowed") {
  ShardLayout Layout = makeLayout(0, 0, 2);
  Layout.Holders[shard("s0")] = EntryName("gone");
  const ShardRanking Ranking = rankCandidates(Layout);
  CHECK(Ranking.at(shard("s1")).empty());
}

TEST_CASE("a shard moves to a VM that has far less load with it") {
  ShardLayout Layout = makeLayout(3, 3, 3);
  const auto All = [](const ShardId &) { return true; };
  for (const auto &[Shard, Weight] : Layout.Weights)
    Layout.Holders[Shard] = EntryName("a0");
  for (int Count = 0; Count < 3; ++Count) {
    const auto Move = findShardMove(Layout, EntryName("a0"), All);
    REQUIRE(Move);
    CHECK(Move->To.text().starts_with("v"));
    Layout.Holders[Move->Shard] = Move->To;
    CHECK_FALSE(findShardMove(Layout, Move->To, All));
  }
  for (const ShardCandidate &Each : Layout.Candidates)
    CHECK_FALSE(findShardMove(Layout, Each.Name, All));
}

TEST_CASE("moves end in a layout from which nothing moves") {
  for (size_t LargeVms = 0; LargeVms < 4; ++LargeVms)
    for (size_t Shards = 1; Shards < 12; ++Shards) {
      INFO(LargeVms << " large VMs, " << Shards << " shards");
      ShardLayout Layout = makeLayout(LargeVms, 5, Shards);
      for (const auto &[Shard, Weight] : Layout.Weights)
        Layout.Holders[Shard] = EntryName("a0");
      const auto MoveAny = [&Layout] {
        for (const ShardCandidate &Each : Layout.Candidates)
          if (const auto Move = findShardMove(
                  Layout, Each.Name, [](const ShardId &) { return true; })) {
            Layout.Holders[Move->Shard] = Move->To;
            return true;
          }
        return false;
      };
      size_t Moves = 0;
      while (Moves < 100 && MoveAny())
        ++Moves;
      CHECK(Moves <= 2 * Shards);
    }
}

TEST_CASE(
    "nothing moves while a shard has no holder, or if the shard may not") {
  ShardLayout Layout = makeLayout(2, 2, 2);
  Layout.Holders[shard("s0")] = EntryName("a0");
  const auto All = [](const ShardId &) { return true; };
  CHECK_FALSE(findShardMove(Layout, EntryName("a0"), All));
  Layout.Holders[shard("s1")] = EntryName("v0");
  CHECK(findShardMove(Layout, EntryName("a0"), All));
  CHECK_FALSE(findShardMove(Layout, EntryName("a0"),
                            [](const ShardId &) { return false; }));
}
