#include "relayassignment.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace whintack::dispatch::Internal {

/// Processor of all relays together, in multiples of that of the VM that they
/// work for. A call costs a relay several times what passing it on costs the
/// VM.
static constexpr double MinCapacityRatio = 4;
/// The fewer relays there are, the more calls share one message.
static constexpr size_t MaxRelays = 8;
/// A VM with a smaller part of the processor of the one that it would work for
/// is no relay.
static constexpr double MinShareRatio = 0.5;

std::vector<ShardCandidate> chooseRelays(const ShardLayout &Layout,
                                         const EntryName &Self,
                                         const std::set<EntryName> &Usable) {
  std::set<EntryName> Holders;
  for (const auto &[Shard, Holder] : Layout.Holders)
    Holders.insert(Holder);
  double OwnShare = 0;
  std::vector<ShardCandidate> Relays;
  for (const ShardCandidate &Each : Layout.Candidates)
    if (Each.Name == Self)
      OwnShare = Each.ProcessorShare;
    else if (Usable.contains(Each.Name) && !Holders.contains(Each.Name))
      Relays.push_back(Each);
  std::erase_if(Relays, [OwnShare](const ShardCandidate &Each) {
    return Each.ProcessorShare < MinShareRatio * OwnShare;
  });
  // The hash lets several VMs choose different relays of the same size.
  const auto RankOf = [&Self](const ShardCandidate &Each) {
    return std::make_tuple(
        -Each.ProcessorShare,
        std::hash<std::string>()(Self.text() + "/" + Each.Name.text()),
        Each.Name);
  };
  std::sort(Relays.begin(), Relays.end(),
            [&RankOf](const ShardCandidate &One, const ShardCandidate &Other) {
              return RankOf(One) < RankOf(Other);
            });
  double Capacity = 0;
  size_t Count = 0;
  while (Count < std::min(Relays.size(), MaxRelays) &&
         Capacity < MinCapacityRatio * OwnShare)
    Capacity += Relays[Count++].ProcessorShare;
  Relays.resize(Count);
  return Relays;
}

EntryName assignRelay(const std::string &Key,
                      const std::vector<ShardCandidate> &Relays) {
  // Weighted rendezvous hashing: each relay draws from an exponential
  // distribution with its share as the rate, and the least value wins.
  EntryName Best;
  double Least = std::numeric_limits<double>::infinity();
  for (const ShardCandidate &Each : Relays) {
    const size_t Hash = std::hash<std::string>()(Each.Name.text() + "/" + Key);
    const double Uniform =
        (static_cast<double>(Hash) + 1) /
        (static_cast<double>(std::numeric_limits<size_t>::max()) + 1);
    const double Drawn = -std::log(Uniform) / Each.ProcessorShare;
    if (Best.isEmpty() || Drawn < Least) {
      Best = Each.Name;
      Least = Drawn;
    }
  }
  return Best;
}

} // namespace whintack::dispatch::Internal
