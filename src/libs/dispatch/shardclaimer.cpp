#include "shardclaimer.h"

#include "storekeys.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace whintack::dispatch::Internal {

/// Delay before a member that is not the preferred one claims a shard; the
/// preferred member needs two store calls.
static constexpr Duration FollowerDelay = std::chrono::milliseconds(400);
/// Delay before a member claims a shard that it leaves to the others; these
/// need the delay of a follower and one more attempt.
static constexpr Duration HeldOffDelay = std::chrono::milliseconds(1500);

ShardClaimer::ShardClaimer(Context Shared, EntryName Self,
                           std::shared_ptr<ClaimTracker> Tracker,
                           std::shared_ptr<NodeLease> Lease,
                           std::function<std::vector<Member>()> Members,
                           std::function<void(const HeldClaim &)> OnClaimed)
    : Shared(std::move(Shared)), Self(std::move(Self)),
      Tracker(std::move(Tracker)), Lease(std::move(Lease)),
      Members(std::move(Members)), OnClaimed(std::move(OnClaimed)) {}

void ShardClaimer::setShards(std::set<std::string> Shards) {
  this->RequiredShards = std::move(Shards);
  this->claimShards();
}

bool ShardClaimer::isPreferred(const std::string &Shard) const {
  // Shards are spread over the VMs because each shard needs its own executor
  // connections. Among VMs with equally many shards, the one with the largest
  // processor share comes first.
  const auto Rank = [this, &Shard](const Member &Node) {
    const EntryName &Name = Node.Endpoint.Name;
    return std::make_tuple(this->Tracker->shardCount(Name),
                           -Node.ProcessorShare,
                           std::hash<std::string>()(Name.text() + "/" + Shard));
  };
  const std::vector<Member> Candidates = this->Members();
  const auto Preferred =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [&](const Member &One, const Member &Other) {
                         return Rank(One) < Rank(Other);
                       });
  return Preferred == Candidates.end() ||
         Preferred->Endpoint.Name == this->Self;
}

bool ShardClaimer::isHeldOff(const std::string &Shard) const {
  const auto Found = this->HeldOffUntil.find(Shard);
  return Found != this->HeldOffUntil.end() &&
         this->Shared.now() < Found->second;
}

void ShardClaimer::tryClaimAt(const std::string &Shard, TimePoint When) {
  scheduleFor(this->Shared.Loop, this->shared_from_this(), When,
              [Shard](ShardClaimer &Self) { Self.tryClaim(Shard); });
}

void ShardClaimer::claimShards() {
  if (this->IsStopped || !this->Tracker->isKnown())
    return;
  for (const std::string &Shard : this->RequiredShards) {
    if (this->Tracker->holder(Shard) || !this->Pending.insert(Shard).second)
      continue;
    const TimePoint Now = this->Shared.now();
    if (this->isHeldOff(Shard))
      this->tryClaimAt(Shard, Now + HeldOffDelay);
    else if (this->isPreferred(Shard))
      this->tryClaim(Shard);
    else
      this->tryClaimAt(Shard, Now + FollowerDelay / 2 +
                                  this->Shared.jittered(FollowerDelay));
  }
}

void ShardClaimer::tryClaim(const std::string &Shard) {
  if (this->IsStopped)
    return;
  if (this->Tracker->holder(Shard) || !this->Lease->isValid()) {
    this->Pending.erase(Shard);
    return;
  }
  this->Shared.Store.Range(
      keys::Generations + Shard, "", store::ReadKind::Current,
      onLoop<ShardClaimer, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Shard](ShardClaimer &Self,
                  store::StoreResult<store::StorePage> Answer) {
            Self.handleGeneration(Shard, std::move(Answer));
          }));
}

void ShardClaimer::handleGeneration(
    const std::string &Shard, store::StoreResult<store::StorePage> Answer) {
  if (!Answer) {
    this->retryLater(Shard, Answer.error().Message);
    return;
  }
  const std::string Key = keys::Generations + Shard;
  uint64_t Generation = 0;
  uint64_t Revision = 0;
  for (const store::StoreItem &Item : Answer.value().Items)
    if (Item.Key == Key) {
      Revision = Item.Revision;
      std::from_chars(Item.Value.data(), Item.Value.data() + Item.Value.size(),
                      Generation);
    }
  ++Generation;
  const std::string Attempt = randomIdentifier(this->Shared.Source);
  store::StoreTransaction Change;
  Change.Expect = {{keys::Claims + Shard, 0}, {Key, Revision}};
  Change.Puts = {{keys::Claims + Shard, encodeClaim({this->Self, 0, Attempt}),
                  this->Lease->id()},
                 {Key, std::to_string(Generation), 0}};
  this->Shared.Store.Commit(
      Change,
      onLoop<ShardClaimer, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Shard, Attempt,
           Generation](ShardClaimer &Self,
                       store::StoreResult<store::CommitAnswer> Committed) {
            Self.handleCommit(Shard, Attempt, Generation, std::move(Committed));
          }));
}

void ShardClaimer::handleCommit(
    const std::string &Shard, const std::string &Attempt, uint64_t Generation,
    store::StoreResult<store::CommitAnswer> Answer) {
  if (!Answer) {
    // If the commit took effect after all, the claim tracker shows this process
    // as the holder of the claim, which expires with the lease.
    this->retryLater(Shard, Answer.error().Message);
    return;
  }
  if (Answer.value().IsCommitted) {
    this->reportClaimed(Shard, Answer.value().Revision, Generation);
    return;
  }
  // A retried commit conflicts with its own first copy.
  for (const store::StoreItem &Item : Answer.value().Current)
    if (Item.Key == keys::Claims + Shard)
      if (const std::optional<Claim> Read = decodeClaim(Item);
          Read && Read->Attempt == Attempt) {
        this->reportClaimed(Shard, Item.Revision, Generation);
        return;
      }
  this->retryLater(Shard, "claimed by another process");
}

void ShardClaimer::reportClaimed(const std::string &Shard, uint64_t Token,
                                 uint64_t Generation) {
  this->Pending.erase(Shard);
  logEvent(LogLevel::Info, "shard-claimed",
           {{"shard", Shard},
            {"token", Token},
            {"generation", Generation},
            {"members", this->Members().size()},
            {"held", this->Tracker->shardCount(this->Self)}});
  this->OnClaimed({Shard, Token, Generation});
}

void ShardClaimer::retryLater(const std::string &Shard,
                              const std::string &Cause) {
  logEvent(LogLevel::Info, "shard-not-claimed",
           {{"shard", Shard}, {"cause", Cause}});
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(FollowerDelay),
              [Shard](ShardClaimer &Self) {
                Self.Pending.erase(Shard);
                Self.claimShards();
              });
}

} // namespace whintack::dispatch::Internal
