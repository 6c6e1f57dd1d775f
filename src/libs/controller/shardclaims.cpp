#include "whintack/controller/shardclaims.h"

#include "whintack/base/digest.h"
#include "whintack/base/log.h"

namespace whintack::controller {

static constexpr Duration LeaseDuration = std::chrono::seconds(6);
/// This process treats its lease as lost this long before the platform lets it
/// lapse.
static constexpr Duration LeaseMargin = std::chrono::seconds(1);
static constexpr Duration KeepAliveInterval = std::chrono::seconds(2);
static constexpr Duration ClaimCheckInterval = std::chrono::seconds(1);

ShardClaims::ShardClaims(EntryName Self, uint64_t Incarnation,
                         store::RecordClient &Records,
                         CandidateSource ListCandidates, Clock Time,
                         Random Source, EventJournal &Journal)
    : Self(std::move(Self)), Incarnation(Incarnation), Records(Records),
      ListCandidates(std::move(ListCandidates)), Time(std::move(Time)),
      Source(std::move(Source)), Journal(Journal) {}

void ShardClaims::recordEvent(EventKind Kind, const std::string &Shard,
                              const std::string &Text) {
  Event Recorded;
  Recorded.Kind = Kind;
  Recorded.Text = "shard=" + Shard + " " + Text;
  this->Journal.record(std::move(Recorded));
}

uint64_t ShardClaims::epoch(const std::string &Shard) const {
  const auto Found = this->Shards.find(Shard);
  if (Found == this->Shards.end() || this->Time.Now() >= this->LeaseExpiry)
    return 0;
  return Found->second.Epoch;
}

std::vector<std::string> ShardClaims::held() const {
  std::vector<std::string> Names;
  for (const auto &[Shard, Claim] : this->Shards)
    if (this->epoch(Shard) != 0)
      Names.push_back(Shard);
  return Names;
}

void ShardClaims::dropAllShards(const std::string &Reason) {
  for (const auto &[Shard, Claim] : this->Shards)
    this->recordEvent(EventKind::ShardLost, Shard, Reason);
  this->Shards.clear();
  this->Lease = 0;
}

bool ShardClaims::ensureLease() {
  const TimePoint Now = this->Time.Now();
  if (this->Lease != 0 && Now >= this->LeaseExpiry)
    this->dropAllShards("lease not kept in time");
  if (this->Lease == 0) {
    auto Granted = this->Records.grantLease(LeaseDuration);
    if (!Granted)
      return false;
    this->Lease = Granted.value();
    this->LeaseExpiry = Now + LeaseDuration - LeaseMargin;
    this->NextKeepAlive = Now + KeepAliveInterval;
    return true;
  }
  if (Now < this->NextKeepAlive)
    return true;
  auto Renewed = this->Records.keepAlive(this->Lease);
  if (!Renewed && Renewed.error().Code == store::StoreErrorCode::LeaseExpired) {
    this->dropAllShards("lease lapsed");
    return false;
  }
  if (!Renewed)
    return true;
  // The time is counted from before the call, so that the lease expires here
  // before it does in the store.
  this->LeaseExpiry = Now + LeaseDuration - LeaseMargin;
  this->NextKeepAlive = Now + KeepAliveInterval;
  return true;
}

bool ShardClaims::isPreferred(const std::string &Shard,
                              const std::vector<EntryName> &Candidates) const {
  const uint64_t OwnWeight = rendezvousWeight(Shard, this->Self.text());
  for (const EntryName &Other : Candidates)
    if (Other != this->Self &&
        rendezvousWeight(Shard, Other.text()) > OwnWeight)
      return false;
  return true;
}

void ShardClaims::claim(const std::string &Shard) {
  const OperationId Operation(randomIdentifier(this->Source));
  const auto Holder = this->Records.update(
      fleet::holderKey(Shard), Operation,
      [this](const store::Record &Before) -> std::optional<web::json::value> {
        if (Before.exists())
          return std::nullopt;
        return web::json::value(this->Self.text());
      },
      this->Lease);
  if (!Holder || Holder.value().Outcome != store::UpdateOutcome::Written)
    return;
  const auto Claimed = this->Records.update(
      fleet::shardKey(Shard), Operation,
      [this](const store::Record &Before) -> std::optional<web::json::value> {
        fleet::ShardRecord Next;
        if (Before.exists())
          Next =
              fleet::shardFromJson(Before.Body).value_or(fleet::ShardRecord());
        ++Next.Epoch;
        Next.Holder = this->Self;
        Next.Incarnation = this->Incarnation;
        return fleet::toJson(Next);
      });
  if (!Claimed)
    return;
  const auto Record = fleet::shardFromJson(Claimed.value().After.Body);
  if (!Record)
    return;
  this->Shards[Shard] = {Record->Epoch, Holder.value().After.Version};
  this->recordEvent(EventKind::ShardClaimed, Shard,
                    "epoch=" + std::to_string(Record->Epoch));
}

void ShardClaims::release(const std::string &Shard) {
  const auto Found = this->Shards.find(Shard);
  if (Found == this->Shards.end())
    return;
  const uint64_t Version = Found->second.HolderVersion;
  this->Shards.erase(Found);
  const auto Removed = this->Records.remove(fleet::holderKey(Shard), Version);
  // A holder record that could not be removed disappears when the lease lapses.
  this->recordEvent(EventKind::ShardLost, Shard,
                    Removed ? "handed over" : "left to lapse");
}

void ShardClaims::pass(const std::vector<std::string> &Wanted) {
  if (!this->ensureLease())
    return;
  const TimePoint Now = this->Time.Now();
  if (Now < this->NextClaimCheck)
    return;
  this->NextClaimCheck = Now + ClaimCheckInterval;
  auto Listed = this->Records.list(fleet::HolderPrefix);
  if (!Listed)
    return;
  std::set<std::string> Taken;
  for (const store::KeyedRecord &Item : Listed.value())
    Taken.insert(Item.Key);
  const std::vector<EntryName> Candidates = this->ListCandidates();
  for (const std::string &Shard : Wanted) {
    const bool IsTaken = Taken.contains(fleet::holderKey(Shard));
    const bool IsHeldHere = this->Shards.contains(Shard);
    const bool IsPreferredHere = this->isPreferred(Shard, Candidates);
    if (IsHeldHere && !IsTaken) {
      this->Shards.erase(Shard);
      this->recordEvent(EventKind::ShardLost, Shard, "holder record is gone");
    } else if (IsHeldHere && !IsPreferredHere) {
      this->release(Shard);
    } else if (!IsTaken && IsPreferredHere) {
      this->claim(Shard);
    }
  }
}

void ShardClaims::releaseAll() {
  for (const std::string &Shard : this->held())
    this->release(Shard);
  if (this->Lease == 0)
    return;
  if (!this->Records.revoke(this->Lease))
    logEvent(LogLevel::Warning, "lease-not-revoked", {{"lease", this->Lease}});
  this->Lease = 0;
}

} // namespace whintack::controller
