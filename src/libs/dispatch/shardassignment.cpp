#include "shardassignment.h"

#include <algorithm>
#include <tuple>

namespace whintack::dispatch::Internal {

/// Stands in for a processor share that is unknown or given as 0.
static constexpr double MinProcessorShare = 0.01;

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
orderFor(const std::string &Shard, double Weight,
         const std::vector<ShardCandidate> &Candidates,
         std::map<EntryName, double> &Loads) {
  std::vector<std::tuple<double, size_t, EntryName>> Ranks;
  Ranks.reserve(Candidates.size());
  for (const ShardCandidate &Each : Candidates)
    Ranks.emplace_back((Loads[Each.Name] + Weight) / processorShare(Each),
                       std::hash<std::string>()(Each.Name.text() + "/" + Shard),
                       Each.Name);
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<EntryName> Order;
  Order.reserve(Ranks.size());
  for (const auto &[Load, Hash, Name] : Ranks)
    Order.push_back(Name);
  return Order;
}

ShardRanking rankCandidates(const ShardLayout &Layout) {
  std::vector<std::pair<double, std::string>> Vacant;
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

} // namespace whintack::dispatch::Internal
