#include "shardbalancer.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Minimum time for which a shard stays with its holder. Each take-over delays
/// the jobs of the shard.
static constexpr Duration MinHoldingTime = std::chrono::seconds(8);
/// Longest time for which a move must have been found before it is carried out,
/// so that a VM that has just joined can claim the shard.
static constexpr Duration MaxConfirmationTime = std::chrono::seconds(5);

ShardBalancer::ShardBalancer(Context Shared, EntryName Self,
                             std::shared_ptr<ShardClaimer> Claimer,
                             std::shared_ptr<Membership> Members,
                             std::shared_ptr<NodeLease> Lease,
                             ShardBalancerHooks Hooks)
    : Shared(std::move(Shared)), Self(std::move(Self)),
      Claimer(std::move(Claimer)), Members(std::move(Members)),
      Lease(std::move(Lease)), Hooks(std::move(Hooks)) {}

bool ShardBalancer::isMovable(const ShardId &Shard) const {
  const std::vector<HeldClaim> Movable = this->Hooks.Movable();
  return std::any_of(
      Movable.begin(), Movable.end(), [&](const HeldClaim &Held) {
        return Held.Shard == Shard &&
               Held.ClaimedAt + MinHoldingTime <= this->Shared.now();
      });
}

std::optional<ShardMove> ShardBalancer::findMove() const {
  if (!this->Lease->isValid() || !this->Members->isSettled())
    return std::nullopt;
  std::optional<ShardMove> Move = findShardMove(
      this->Claimer->layout(), this->Self,
      [this](const ShardId &Shard) { return this->isMovable(Shard); });
  if (!Move || !this->Hooks.IsLinked(Move->To))
    return std::nullopt;
  return Move;
}

void ShardBalancer::check() {
  const std::optional<ShardMove> Found = this->findMove();
  if (Found != this->Candidate) {
    this->Candidate = Found;
    // Different times keep several holders from choosing the same VM at once.
    this->MoveAt =
        this->Shared.now() + this->Shared.jittered(MaxConfirmationTime);
    return;
  }
  if (!Found || this->Shared.now() < this->MoveAt)
    return;
  this->Candidate.reset();
  // The list of members may be seconds old.
  this->Members->refresh(
      [Weak = this->weak_from_this(), Move = *Found](bool IsRead) {
        if (const auto Self = Weak.lock(); Self && IsRead)
          Self->confirm(Move);
      });
}

void ShardBalancer::confirm(const ShardMove &Move) {
  if (this->findMove() != Move)
    return;
  logEvent(LogLevel::Info, "shard-handed-over",
           {{"shard", Move.Shard}, {"to", Move.To}});
  this->Hooks.HandOver(Move.Shard);
}

} // namespace whintack::dispatch::Internal
