#include "shardclaimer.h"

#include "storekeys.h"

#include <algorithm>
#include <charconv>

namespace whintack::dispatch::Internal {

/// Delay before a member that is not the preferred one claims a shard; the
/// preferred member needs two store calls.
static constexpr Duration FollowerDelay = std::chrono::milliseconds(400);
/// Further delay for each rank, so that a shard whose preferred member cannot
/// claim it goes to the next best instead of to any.
static constexpr Duration RankDelay = std::chrono::milliseconds(200);
static constexpr int64_t MaxDelayedRanks = 3;
/// Delay before a member claims a shard that it leaves to the others; these
/// need the delay of a follower and one more attempt.
static constexpr Duration HeldOffDelay = std::chrono::milliseconds(1500);

ShardClaimer::ShardClaimer(Context Shared, EntryName Self,
                           std::shared_ptr<ClaimTracker> Tracker,
                           std::shared_ptr<NodeLease> Lease,
                           std::shared_ptr<Membership> Members,
                           std::function<void(const HeldClaim &)> OnClaimed)
    : Shared(std::move(Shared)), Self(std::move(Self)),
      Tracker(std::move(Tracker)), Lease(std::move(Lease)),
      Members(std::move(Members)), OnClaimed(std::move(OnClaimed)) {}

void ShardClaimer::setShards(std::set<ShardId> Shards) {
  this->RequiredShards = std::move(Shards);
  this->claimShards();
}

ShardLayout ShardClaimer::layout() const {
  ShardLayout Layout;
  for (const Member &Each : this->Members->all())
    if (!Each.IsStopping)
      Layout.Candidates.push_back({Each.Endpoint.Name, Each.ProcessorShare});
  // No count of executors is known to all members alike.
  for (const ShardId &Shard : this->RequiredShards)
    Layout.Weights[Shard] = 1;
  for (const auto &[Shard, Held] : this->Tracker->holders())
    Layout.Holders.emplace(Shard, Held.Holder);
  return Layout;
}

bool ShardClaimer::isHeldOff(const ShardId &Shard) const {
  const auto Found = this->HeldOffUntil.find(Shard);
  return Found != this->HeldOffUntil.end() &&
         this->Shared.now() < Found->second;
}

void ShardClaimer::tryClaimAt(const ShardId &Shard, TimePoint When) {
  scheduleFor(this->Shared.Loop, this->shared_from_this(), When,
              [Shard](ShardClaimer &Self) { Self.tryClaim(Shard); });
}

void ShardClaimer::claimShards() {
  if (this->IsStopped || !this->Tracker->isKnown() ||
      !this->Members->isSettled())
    return;
  std::set<ShardId> Vacant;
  for (const ShardId &Shard : this->RequiredShards)
    if (!this->Tracker->holder(Shard) && this->Pending.insert(Shard).second)
      Vacant.insert(Shard);
  if (Vacant.empty())
    return;
  // The holders may have died or be stopping, which the list shows only if it
  // is read after the shards became vacant.
  this->Members->refresh([Weak = this->weak_from_this(), Vacant](bool) {
    if (const auto Self = Weak.lock())
      Self->claimVacant(Vacant);
  });
}

void ShardClaimer::claimVacant(const std::set<ShardId> &Vacant) {
  const ShardRanking Ranking = rankCandidates(this->layout());
  for (const ShardId &Shard : Vacant) {
    const auto Ranked = Ranking.find(Shard);
    if (Ranked == Ranking.end()) {
      this->Pending.erase(Shard);
      continue;
    }
    const std::vector<EntryName> &Order = Ranked->second;
    const auto Rank =
        std::find(Order.begin(), Order.end(), this->Self) - Order.begin();
    const TimePoint Now = this->Shared.now();
    if (this->isHeldOff(Shard))
      this->tryClaimAt(Shard, Now + HeldOffDelay);
    else if (Rank == 0)
      this->tryClaim(Shard);
    else
      this->tryClaimAt(
          Shard, Now + FollowerDelay / 2 +
                     this->Shared.jittered(FollowerDelay) +
                     RankDelay * std::min<int64_t>(Rank - 1, MaxDelayedRanks));
  }
}

void ShardClaimer::tryClaim(const ShardId &Shard) {
  if (this->IsStopped)
    return;
  // The lease may have been replaced since the attempt was scheduled.
  if (this->Tracker->holder(Shard) || !this->Members->isSettled()) {
    this->Pending.erase(Shard);
    return;
  }
  this->Shared.Store.Range(
      keys::generation(Shard), "", store::ReadKind::Current,
      onLoop<ShardClaimer, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Shard](ShardClaimer &Self,
                  store::StoreResult<store::StorePage> Answer) {
            Self.handleGeneration(Shard, std::move(Answer));
          }));
}

void ShardClaimer::handleGeneration(
    const ShardId &Shard, store::StoreResult<store::StorePage> Answer) {
  if (!Answer) {
    this->retryLater(Shard, Answer.error().Message);
    return;
  }
  // The lease may have been lost during the read.
  if (!this->Members->isSettled()) {
    this->Pending.erase(Shard);
    return;
  }
  const std::string Key = keys::generation(Shard);
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
  Change.Expect = {{keys::claim(Shard), 0}, {Key, Revision}};
  Change.Puts = {{keys::claim(Shard), encodeClaim({this->Self, 0, Attempt}),
                  this->Lease->id()},
                 {Key, std::to_string(Generation), 0}};
  Change.IsRepeatable = true;
  this->Shared.Store.Commit(
      Change, onLoop<ShardClaimer, store::StoreResult<store::CommitAnswer>>(
                  this->Shared.Loop, this->shared_from_this(),
                  [Shard, Attempt, Generation, Under = this->Lease->id()](
                      ShardClaimer &Self,
                      store::StoreResult<store::CommitAnswer> Committed) {
                    // The claim has ended with its lease.
                    if (Self.Lease->id() != Under) {
                      Self.retryLater(Shard, "the lease has lapsed");
                      return;
                    }
                    Self.handleCommit(Shard, Attempt, Generation,
                                      std::move(Committed));
                  }));
}

void ShardClaimer::handleCommit(
    const ShardId &Shard, const std::string &Attempt, uint64_t Generation,
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
    if (Item.Key == keys::claim(Shard))
      if (const std::optional<Claim> Read = decodeClaim(Item);
          Read && Read->Attempt == Attempt) {
        this->reportClaimed(Shard, Item.Revision, Generation);
        return;
      }
  this->retryLater(Shard, "claimed by another process");
}

void ShardClaimer::reportClaimed(const ShardId &Shard, uint64_t Token,
                                 uint64_t Generation) {
  this->Pending.erase(Shard);
  logEvent(LogLevel::Info, "shard-claimed",
           {{"shard", Shard},
            {"token", Token},
            {"generation", Generation},
            {"members", this->Members->all().size()},
            {"held", this->Tracker->shardCount(this->Self)}});
  this->OnClaimed({Shard, Token, Generation, this->Shared.now()});
}

void ShardClaimer::retryLater(const ShardId &Shard, const std::string &Cause) {
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
