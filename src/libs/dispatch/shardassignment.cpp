#include "shardassignment.h"

#include <algorithm>
#include <tuple>

namespace whintack::dispatch::Internal {

/// Stands in for a processor share that is unknown or given as 0.
static constexpr double MinProcessorShare = 0.01;

/// Ratio between the load of a holder and that of another VM with the shard
/// above which the shard moves.
static constexpr double MinLoadRatio = 1.5;

static double processorShare(const ShardCandidate &Candidate) {
  return std::max(Candidate.ProcessorShare, MinProcessorShare);
}

/// Sum of the weights of the shards that each VM holds.
static std::map<EntryName, double> loads(const ShardLayout &Layout) {
  std::map<EntryName, double> Loads;
  for (const auto &[Shard, Weight] : Layout.Weights)
    if (const auto Holder = Layout.Holders.find(Shard);
        Holder != Layout.Holders.end())
      Loads[Holder->second] += Weight;
  return Loads;
}

/// Orders the candidates by their load per processor share with \p Weight
/// added.
static std::vector<EntryName>
orderFor(const ShardId &Shard, double Weight,
         const std::vector<ShardCandidate> &Candidates,
         std::map<EntryName, double> &Loads) {
  std::vector<std::tuple<double, size_t, EntryName>> Ranks;
  Ranks.reserve(Candidates.size());
  for (const ShardCandidate &Each : Candidates)
    Ranks.emplace_back(
        (Loads[Each.Name] + Weight) / processorShare(Each),
        std::hash<std::string>()(Each.Name.text() + "/" + Shard.text()),
        Each.Name);
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<EntryName> Order;
  Order.reserve(Ranks.size());
  for (const auto &[Load, Hash, Name] : Ranks)
    Order.push_back(Name);
  return Order;
}

ShardRanking rankCandidates(const ShardLayout &Layout) {
  std::vector<std::pair<double, ShardId>> Vacant;
  for (const auto &[Shard, Weight] : Layout.Weights)
    if (!Layout.Holders.contains(Shard))
      Vacant.emplace_back(Weight, Shard);
  std::sort(Vacant.begin(), Vacant.end(),
            [](const auto &One, const auto &Other) {
              return std::tie(Other.first, One.second) <
                     std::tie(One.first, Other.second);
            });
  std::map<EntryName, double> Loads = loads(Layout);
  ShardRanking Ranking;
  for (const auto &[Weight, Shard] : Vacant) {
    std::vector<EntryName> Order =
        orderFor(Shard, Weight, Layout.Candidates, Loads);
    if (!Order.empty())
      Loads[Order.front()] += Weight;
    Ranking.emplace(Shard, std::move(Order));
  }
  return Ranking;
}

static double relativeLoad(const ShardLayout &Layout, const EntryName &Name) {
  const auto Found =
      std::find_if(Layout.Candidates.begin(), Layout.Candidates.end(),
                   [&](const auto &Each) { return Each.Name == Name; });
  if (Found == Layout.Candidates.end())
    return 0;
  return loads(Layout)[Name] / processorShare(*Found);
}

std::optional<ShardMove>
findShardMove(const ShardLayout &Layout, const EntryName &From,
              const std::function<bool(const ShardId &Shard)> &IsMovable) {
  for (const auto &[Shard, Weight] : Layout.Weights)
    if (!Layout.Holders.contains(Shard))
      return std::nullopt;
  const double Present = relativeLoad(Layout, From);
  for (const auto &[Shard, Weight] : Layout.Weights) {
    if (Layout.Holders.at(Shard) != From || !IsMovable(Shard))
      continue;
    ShardLayout Moved = Layout;
    Moved.Holders.erase(Shard);
    const std::vector<EntryName> Order = rankCandidates(Moved).at(Shard);
    if (Order.empty() || Order.front() == From)
      continue;
    Moved.Holders[Shard] = Order.front();
    if (Present >= MinLoadRatio * relativeLoad(Moved, Order.front()))
      return ShardMove{Shard, Order.front()};
  }
  return std::nullopt;
}

} // namespace whintack::dispatch::Internal
