#include "claimseeker.h"

#include "storekeys.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace whintack::dispatch::Internal {

/// How long those that should not go first wait; the first one needs two calls
/// of the store.
static constexpr Duration FollowerPause = std::chrono::milliseconds(400);

ClaimSeeker::ClaimSeeker(Context Shared, EntryName Self,
                         std::shared_ptr<ClaimBoard> Board,
                         std::shared_ptr<NodeLease> Lease,
                         std::function<std::vector<Member>()> Members,
                         std::function<void(const WonClaim &)> OnWon)
    : Shared(std::move(Shared)), Self(std::move(Self)), Board(std::move(Board)),
      Lease(std::move(Lease)), Members(std::move(Members)),
      OnWon(std::move(OnWon)) {}

void ClaimSeeker::setShards(std::set<std::string> Shards) {
  this->Wanted = std::move(Shards);
  this->seek();
}

bool ClaimSeeker::isFirst(const std::string &Shard) const {
  // Shards spread over VMs, because each needs links of its own; among VMs with
  // as many the one that can carry most goes first.
  const auto Rank = [this, &Shard](const Member &Node) {
    const EntryName &Name = Node.Endpoint.Name;
    return std::make_tuple(this->Board->shardsOf(Name), -Node.Strength,
                           std::hash<std::string>()(Name.text() + "/" + Shard));
  };
  const std::vector<Member> Alive = this->Members();
  const auto First = std::min_element(
      Alive.begin(), Alive.end(), [&](const Member &One, const Member &Other) {
        return Rank(One) < Rank(Other);
      });
  return First == Alive.end() || First->Endpoint.Name == this->Self;
}

void ClaimSeeker::seek() {
  if (this->IsStopped || !this->Board->isKnown())
    return;
  for (const std::string &Shard : this->Wanted) {
    if (this->Board->holder(Shard) || !this->Pending.insert(Shard).second)
      continue;
    if (this->isFirst(Shard)) {
      this->attempt(Shard);
      continue;
    }
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + FollowerPause / 2 +
                    this->Shared.jittered(FollowerPause),
                [Shard](ClaimSeeker &Self) { Self.attempt(Shard); });
  }
}

void ClaimSeeker::attempt(const std::string &Shard) {
  if (this->IsStopped)
    return;
  if (this->Board->holder(Shard) || !this->Lease->isValid()) {
    this->Pending.erase(Shard);
    return;
  }
  this->Shared.Store.Range(
      keys::Generations + Shard, "", store::ReadKind::Current,
      onLoop<ClaimSeeker, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Shard](ClaimSeeker &Self,
                  store::StoreResult<store::StorePage> Answer) {
            Self.takeGeneration(Shard, std::move(Answer));
          }));
}

void ClaimSeeker::takeGeneration(const std::string &Shard,
                                 store::StoreResult<store::StorePage> Answer) {
  if (!Answer) {
    this->giveUp(Shard, Answer.error().Message);
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
      onLoop<ClaimSeeker, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Shard, Attempt,
           Generation](ClaimSeeker &Self,
                       store::StoreResult<store::CommitAnswer> Committed) {
            Self.takeCommit(Shard, Attempt, Generation, std::move(Committed));
          }));
}

void ClaimSeeker::takeCommit(const std::string &Shard,
                             const std::string &Attempt, uint64_t Generation,
                             store::StoreResult<store::CommitAnswer> Answer) {
  if (!Answer) {
    // If it took effect all the same, the claim is seen on the board as held by
    // this process, and lapses with its lease.
    this->giveUp(Shard, Answer.error().Message);
    return;
  }
  if (Answer.value().IsCommitted) {
    this->won(Shard, Answer.value().Revision, Generation);
    return;
  }
  // A repeated call conflicts with its own first copy.
  for (const store::StoreItem &Item : Answer.value().Current)
    if (Item.Key == keys::Claims + Shard)
      if (const std::optional<Claim> Read = decodeClaim(Item);
          Read && Read->Attempt == Attempt) {
        this->won(Shard, Item.Revision, Generation);
        return;
      }
  this->giveUp(Shard, "claimed by another");
}

void ClaimSeeker::won(const std::string &Shard, uint64_t Token,
                      uint64_t Generation) {
  this->Pending.erase(Shard);
  logEvent(LogLevel::Info, "shard-claimed",
           {{"shard", Shard}, {"token", Token}, {"generation", Generation}});
  this->OnWon({Shard, Token, Generation});
}

void ClaimSeeker::giveUp(const std::string &Shard, const std::string &Cause) {
  logEvent(LogLevel::Info, "shard-not-claimed",
           {{"shard", Shard}, {"cause", Cause}});
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(FollowerPause),
              [Shard](ClaimSeeker &Self) {
                Self.Pending.erase(Shard);
                Self.seek();
              });
}

} // namespace whintack::dispatch::Internal
