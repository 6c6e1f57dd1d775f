#include "tenantaccounts.h"

#include "whintack/tenants/fairshares.h"

#include <algorithm>

namespace whintack::jobs::Internal {

/// Difference between use and entitlement, as part of the pool, from which on a
/// tenant is logged as served above or below its share. Runs end one by one, so
/// small differences are usual.
static constexpr double ShareMargin = 0.05;
/// Differences of parts below this are rounding errors.
static constexpr double Precision = 1e-9;

static ComputeResources times(const ComputeResources &Need, size_t Count) {
  const auto Factor = static_cast<int64_t>(Count);
  return {Need.MilliCores * Factor, Need.MemoryMb * Factor, Need.Gpus * Factor};
}

static ComputeResources partOf(const ComputeResources &Need, double Part) {
  const auto Scaled = [Part](int64_t Value) {
    return static_cast<int64_t>(static_cast<double>(Value) * Part);
  };
  return {Scaled(Need.MilliCores), Scaled(Need.MemoryMb), Scaled(Need.Gpus)};
}

ComputeResources needAtOnce(const StepSpec &Step) {
  return times(Step.Need, Step.IsGang ? Step.Count : 1);
}

void WaitingTasks::add(const StepSpec &Step, size_t Count) {
  if (Count == 0)
    return;
  const ComputeResources AtOnce = needAtOnce(Step);
  this->add({times(Step.Need, Count), times(Step.bookedResources(), Count),
             AtOnce, AtOnce, false});
}

void WaitingTasks::add(const WaitingTasks &Other) {
  if (Other.IsEmpty)
    return;
  if (this->IsEmpty)
    this->Least = Other.Least;
  this->IsEmpty = false;
  this->Need += Other.Need;
  this->Booked += Other.Booked;
  const auto Adopt = [&](int64_t ComputeResources::*Part) {
    this->Largest.*Part = std::max(this->Largest.*Part, Other.Largest.*Part);
    this->Least.*Part = std::min(this->Least.*Part, Other.Least.*Part);
  };
  Adopt(&ComputeResources::MilliCores);
  Adopt(&ComputeResources::MemoryMb);
  Adopt(&ComputeResources::Gpus);
}

void TenantAccounts::configure(const tenants::TenantTable &Table) {
  std::erase_if(this->Accounts, [&Table](const auto &Entry) {
    return Entry.second.Jobs == 0 && !Table.named(Entry.first);
  });
  // The jobs of a removed tenant go on without a maximum: no coordinator would
  // grant them a share.
  for (auto &[Name, Account] : this->Accounts)
    if (!Table.named(Name))
      Account.Maximum = {};
  for (const tenants::Tenant &Each : Table.tenants()) {
    TenantAccount &Account = this->Accounts[Each.Name];
    Account.Name = Each.Name;
    Account.Weight = Each.Weight;
    Account.Maximum = Each.Maximum;
  }
  std::map<TenantName, ComputeResources> Maximums;
  for (const auto &[Name, Account] : this->Accounts)
    Maximums[Name] = Account.Maximum;
  this->Ledger.setMaximums(std::move(Maximums));
}

TenantAccount *TenantAccounts::addJob(const TenantName &Tenant) {
  if (Tenant.isEmpty())
    return nullptr;
  TenantAccount &Account = this->Accounts[Tenant];
  Account.Name = Tenant;
  ++Account.Jobs;
  return &Account;
}

void TenantAccounts::removeJob(const TenantJob &Job) {
  if (Job.Account)
    --Job.Account->Jobs;
}

void TenantAccounts::book(const TenantJob &Job, const StepSpec &Step) {
  if (!Job.Account)
    return;
  this->Ledger.book(Job.Account->Name, Step.Need);
  Job.Account->Booked += Step.bookedResources();
}

void TenantAccounts::release(const TenantJob &Job, const StepSpec &Step) {
  if (!Job.Account)
    return;
  this->Ledger.release(Job.Account->Name, Step.Need);
  Job.Account->Booked -= Step.bookedResources();
}

bool TenantAccounts::mayStart(const TenantAccount *Account,
                              const ComputeResources &Need) const {
  if (!Account)
    return true;
  if (Account->RoomAsOf != this->Ledger.changes()) {
    Account->Room = this->Ledger.room(Account->Name);
    Account->RoomAsOf = this->Ledger.changes();
  }
  return !Account->Room ||
         (this->MayStartLimited && Account->Room->covers(Need));
}

bool TenantAccounts::fitsMaximum(const TenantAccount &Account,
                                 const StepSpec &Step) {
  const ComputeResources Need = needAtOnce(Step);
  const auto Fits = [&](int64_t ComputeResources::*Part) {
    return Account.Maximum.*Part == 0 || Need.*Part <= Account.Maximum.*Part;
  };
  return Fits(&ComputeResources::MilliCores) &&
         Fits(&ComputeResources::MemoryMb) && Fits(&ComputeResources::Gpus);
}

void TenantAccounts::clearWaiting() {
  for (auto &[Name, Account] : this->Accounts)
    Account.Waiting = {};
}

bool TenantAccounts::hasSeveralTenants() const {
  return std::count_if(
             this->Accounts.begin(), this->Accounts.end(),
             [](const auto &Entry) { return Entry.second.Jobs > 0; }) > 1;
}

void TenantAccounts::divide(const ComputeResources &Divided, bool IsShort) {
  this->Pool = Divided;
  this->IsScarce = IsShort && this->hasSeveralTenants();
  // Nothing has to be divided.
  if (!this->IsScarce)
    return;
  std::map<TenantName, tenants::ShareClaim> Claims;
  for (const auto &[Name, Account] : this->Accounts) {
    tenants::ShareClaim &Claim = Claims[Name];
    Claim.Weight = Account.Weight;
    Claim.Demand = Account.Booked;
    // What the quota holds back cannot use a part of the pool.
    Claim.Demand +=
        partOf(Account.Waiting.Booked,
               this->Ledger.partThatMayStart(Name, Account.Waiting.Need));
  }
  for (const auto &[Name, Part] : tenants::fairShares(Claims, Divided))
    this->Accounts[Name].EntitledPart = Part;
}

ServiceStanding TenantAccounts::standing(const TenantJob &Job) const {
  if (!this->IsScarce || !Job.Account)
    return ServiceStanding::BelowShare;
  if (!Job.IsGuaranteed.value_or(true))
    return ServiceStanding::BeyondGuarantee;
  const double Used = tenants::dominantPart(Job.Account->Booked, this->Pool);
  return Used < Job.Account->EntitledPart - Precision
             ? ServiceStanding::BelowShare
             : ServiceStanding::AboveShare;
}

ShareState TenantAccounts::shareState(const TenantAccount &Account) const {
  if (!this->IsScarce)
    return ShareState::AtShare;
  const double Used = tenants::dominantPart(Account.Booked, this->Pool);
  if (Used > Account.EntitledPart + ShareMargin)
    return ShareState::AboveShare;
  if (Used < Account.EntitledPart - ShareMargin)
    return ShareState::BelowShare;
  return ShareState::AtShare;
}

bool TenantAccounts::isHeldBack(const TenantAccount &Account,
                                const WaitingTasks &Waiting) const {
  return !Waiting.IsEmpty && !this->mayStart(&Account, Waiting.Largest);
}

TenantStatus TenantAccounts::status(const TenantAccount &Account,
                                    const WaitingTasks &Waiting) const {
  TenantStatus Status;
  Status.Tenant = Account.Name;
  Status.Use = this->Ledger.booked(Account.Name);
  Status.Share = this->Ledger.share(Account.Name);
  Status.Maximum = Account.Maximum;
  Status.Waiting = Waiting.Need;
  Status.UsedPart = tenants::dominantPart(Account.Booked, this->Pool);
  Status.EntitledPart = Account.EntitledPart;
  Status.IsHeldBack = this->isHeldBack(Account, Waiting);
  Status.JobsBeyondWeight = Account.JobsBeyondWeight;
  return Status;
}

ComputeResources TenantAccounts::booked() const {
  ComputeResources Sum;
  for (const auto &[Name, Account] : this->Accounts)
    Sum += Account.Booked;
  return Sum;
}

} // namespace whintack::jobs::Internal
