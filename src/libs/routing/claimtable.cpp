#include "whintack/routing/claimtable.h"

#include "whintack/base/digest.h"

#include <algorithm>

namespace whintack::routing {

/// Memory of a claim besides its strings, in bytes.
static constexpr size_t ClaimOverheadBytes = 256;
/// Two owners, so that the loss of one entry VM loses no claim.
static constexpr size_t OwnersPerKey = 2;

std::string RequestKey::joined() const {
  constexpr char Separator = '\n';
  return this->Service.text() + Separator + this->Caller.text() + Separator +
         this->Text;
}

ClaimTable::ClaimTable(Duration Retention, size_t MaxBytes)
    : Retention(Retention), MaxBytes(MaxBytes) {}

void ClaimTable::setSynchronized(bool IsNowSynchronized) {
  this->IsSynchronized = IsNowSynchronized;
}

static size_t bytesOf(const std::string &Key, const Claim &Kept) {
  return ClaimOverheadBytes + Key.size() + Kept.Digest.size() +
         Kept.Answer.size();
}

void ClaimTable::store(const std::string &Key, const Claim &Kept,
                       TimePoint Now) {
  this->erase(Key);
  const TimePoint ExpiresAt = Now + this->Retention;
  this->Claims[Key] = {Kept, ExpiresAt};
  this->Expiries.push_back({ExpiresAt, Key});
  this->Bytes += bytesOf(Key, Kept);
}

void ClaimTable::erase(const std::string &Key) {
  const auto Found = this->Claims.find(Key);
  if (Found == this->Claims.end())
    return;
  this->Bytes -= bytesOf(Key, Found->second.Kept);
  this->Claims.erase(Found);
}

Claim ClaimTable::claim(const std::string &Key, const Claim &Wanted,
                        TimePoint Now) {
  this->expire(Now);
  const auto Found = this->Claims.find(Key);
  if (Found != this->Claims.end())
    return Found->second.Kept;
  Claim Before;
  if (!this->IsSynchronized || !this->hasRoom())
    Before.State = ClaimState::Unsure;
  Claim Kept = Wanted;
  Kept.State = ClaimState::Running;
  if (this->hasRoom())
    this->store(Key, Kept, Now);
  return Before;
}

void ClaimTable::settle(const std::string &Key, const Claim &Ended,
                        TimePoint Now) {
  const auto Found = this->Claims.find(Key);
  if (Found != this->Claims.end() &&
      Found->second.Kept.Request != Ended.Request)
    return;
  this->store(Key, Ended, Now);
}

void ClaimTable::forget(const std::string &Key, const RequestId &Request) {
  const auto Found = this->Claims.find(Key);
  if (Found != this->Claims.end() && Found->second.Kept.Request == Request)
    this->erase(Key);
}

/// Ranks claim states by how much they tell about the request.
static int knowledgeRank(ClaimState State) {
  switch (State) {
  case ClaimState::Unclaimed:
  case ClaimState::Unsure:
    return 0;
  case ClaimState::Running:
    return 1;
  case ClaimState::Unknown:
    return 2;
  case ClaimState::Done:
    return 3;
  }
  return 0;
}

void ClaimTable::merge(const KeyedClaim &Other, TimePoint Now) {
  const auto Found = this->Claims.find(Other.Key);
  if (Found != this->Claims.end() && knowledgeRank(Found->second.Kept.State) >=
                                         knowledgeRank(Other.Value.State))
    return;
  this->store(Other.Key, Other.Value, Now);
}

std::vector<KeyedClaim> ClaimTable::all() const {
  std::vector<KeyedClaim> AllClaims;
  AllClaims.reserve(this->Claims.size());
  for (const auto &[Key, Kept] : this->Claims)
    AllClaims.push_back({Key, Kept.Kept});
  return AllClaims;
}

void ClaimTable::expire(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Deadline <= Now) {
    const std::string Key = std::move(this->Expiries.front().Key);
    this->Expiries.pop_front();
    const auto Found = this->Claims.find(Key);
    if (Found != this->Claims.end() && Found->second.ExpiresAt <= Now)
      this->erase(Key);
  }
}

std::vector<EntryName> keyOwners(const std::string &Key,
                                 const std::vector<EntryName> &Members) {
  std::vector<EntryName> Owners = Members;
  std::sort(Owners.begin(), Owners.end(),
            [&Key](const EntryName &Left, const EntryName &Right) {
              return rendezvousWeight(Key, Left.text()) >
                     rendezvousWeight(Key, Right.text());
            });
  if (Owners.size() > OwnersPerKey)
    Owners.resize(OwnersPerKey);
  return Owners;
}

ClaimVerdict resolveClaim(const std::vector<OwnerAnswer> &Answers,
                          const std::string &Digest) {
  const Claim *Best = nullptr;
  bool IsConfirmedUnclaimed = false;
  for (const OwnerAnswer &Answer : Answers) {
    if (!Answer.HasAnswered)
      continue;
    if (Answer.Before.State == ClaimState::Unclaimed)
      IsConfirmedUnclaimed = true;
    if (knowledgeRank(Answer.Before.State) == 0)
      continue;
    if (!Best ||
        knowledgeRank(Answer.Before.State) > knowledgeRank(Best->State))
      Best = &Answer.Before;
  }
  if (!Best)
    return IsConfirmedUnclaimed ? ClaimVerdict::Send
                                : ClaimVerdict::NoOwnerAvailable;
  if (Best->Digest != Digest)
    return ClaimVerdict::Mismatch;
  if (Best->State == ClaimState::Done)
    return ClaimVerdict::Replay;
  if (Best->State == ClaimState::Running)
    return ClaimVerdict::InUse;
  return ClaimVerdict::Unknown;
}

} // namespace whintack::routing
