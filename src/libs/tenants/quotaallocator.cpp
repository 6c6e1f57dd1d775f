#include "whintack/tenants/quotaallocator.h"

#include "quotadivision.h"

#include <algorithm>

namespace whintack::tenants {

using namespace Internal;

/// Changes that start no waiting task and are small are made at most once in
/// this time, because each plan is a write to the store.
static constexpr Duration SmallChangeInterval = std::chrono::seconds(1);
/// Time for the planners to confirm lower shares after a maximum has fallen. A
/// planner that has not confirmed by then counts as using all that it may.
static constexpr Duration ConfirmationTime = std::chrono::milliseconds(300);

/// Whether a maximum is lower than before in any resource.
static bool hasFallen(const ComputeResources &Before,
                      const ComputeResources &After) {
  return std::any_of(ResourceKinds.begin(), ResourceKinds.end(),
                     [&](const auto Kind) {
                       return After.*Kind > 0 &&
                              (Before.*Kind == 0 || After.*Kind < Before.*Kind);
                     });
}

/// The lower of two maximums, of which 0 is the highest.
static ComputeResources lowerMaximum(const ComputeResources &First,
                                     const ComputeResources &Second) {
  ComputeResources Lower = smallerOf(First, Second);
  for (const auto Kind : ResourceKinds)
    if (Lower.*Kind == 0)
      Lower.*Kind = std::max(First.*Kind, Second.*Kind);
  return Lower;
}

void QuotaAllocator::setMaximums(std::map<TenantName, ComputeResources> Given) {
  std::erase_if(this->Rows, [this, &Given](const auto &Entry) {
    const bool IsDropped = !Given.contains(Entry.first);
    if (IsDropped)
      for (const auto &[Service, Known] : this->Planners)
        this->ChangedGrants.insert(Service);
    return IsDropped;
  });
  for (const auto &[Name, Maximum] : Given) {
    const auto [Found, IsNew] = this->Rows.try_emplace(Name);
    Row &Current = Found->second;
    if (!IsNew && Current.Maximum == Maximum)
      continue;
    for (const auto &[Service, Known] : this->Planners)
      this->ChangedGrants.insert(Service);
    if (!IsNew && hasFallen(Current.Maximum, Maximum))
      Current.IsFalling = true;
    // Without a limit, planners start tasks regardless of their share.
    for (auto &[Service, Each] : Current.Parts)
      for (const auto Kind : ResourceKinds)
        if (!IsNew && Current.Maximum.*Kind == 0 && Maximum.*Kind > 0) {
          Each.Certain.*Kind = Unbounded;
          Each.Confirmed.*Kind = Unbounded;
          Each.IsReported = false;
        }
    Current.Maximum = Maximum;
    if (Current.IsFalling)
      this->shrink(Current, false);
  }
  this->Maximums = std::move(Given);
  this->addMissingParts();
  this->numberGrants();
}

void QuotaAllocator::setServices(std::set<ServiceName> Given) {
  this->Services = std::move(Given);
  this->addMissingParts();
  for (auto &[Name, Current] : this->Rows)
    this->boundRemoved(Current);
  this->numberGrants();
}

void QuotaAllocator::setLastPlan(uint64_t Number) {
  this->LastPlan = std::max(this->LastPlan, Number);
}

QuotaAllocator::Part &QuotaAllocator::part(Row &Of,
                                           const ServiceName &Service) {
  const auto [Found, IsNew] = Of.Parts.try_emplace(Service);
  if (IsNew) {
    Found->second.Certain = UnboundedResources;
    Found->second.Confirmed = UnboundedResources;
    this->ChangedGrants.insert(Service);
  }
  return Found->second;
}

void QuotaAllocator::addMissingParts() {
  for (const ServiceName &Service : this->Services) {
    this->Planners.try_emplace(Service);
    for (auto &[Name, Current] : this->Rows)
      this->part(Current, Service);
  }
}

void QuotaAllocator::restore(const ServiceName &Service,
                             const QuotaGrants &Stored) {
  this->setLastPlan(Stored.Plan);
  this->Planners.try_emplace(Service);
  this->ChangedGrants.insert(Service);
  for (const auto &[Name, Grant] : Stored.Tenants) {
    const auto Found = this->Rows.find(Name);
    if (Found == this->Rows.end())
      continue;
    Row &Current = Found->second;
    Current.IsStored = true;
    Current.IsPending = false;
    Current.StoredMaximum = Grant.Maximum;
    if (hasFallen(Grant.Maximum, Current.Maximum))
      Current.IsFalling = true;
    Part &Each = this->part(Current, Service);
    Each.Stored = Grant.Share;
    Each.Granted = Grant.Share;
    // The planner may still apply a share that was stored before.
    Each.Certain = UnboundedResources;
    Each.Confirmed = UnboundedResources;
    Each.IsReported = false;
  }
  for (auto &[Name, Current] : this->Rows) {
    this->boundRemoved(Current);
    if (Current.IsFalling)
      this->shrink(Current, false);
  }
  this->numberGrants();
}

/// Services that are not configured any more may never report. Their stored
/// shares stay reserved, and do not keep the other shares from growing.
void QuotaAllocator::boundRemoved(Row &Of) {
  for (auto &[Service, Each] : Of.Parts)
    if (!this->isConfigured(Service) && !Each.IsReported) {
      Each.Certain = Each.Stored;
      Each.Confirmed = Each.Stored;
      Each.IsReported = true;
    }
}

void QuotaAllocator::grant(const ServiceName &Service, Part &Of,
                           const ComputeResources &Share) {
  if (Of.Granted == Share)
    return;
  Of.Granted = Share;
  Of.Confirmed = largerOf(Of.Confirmed, Share);
  this->ChangedGrants.insert(Service);
}

void QuotaAllocator::numberGrants() {
  for (const ServiceName &Service : this->ChangedGrants) {
    PlannerState &Known = this->Planners[Service];
    Known.GrantPlan = ++this->LastPlan;
    Known.IsConfirmed = false;
  }
  this->ChangedGrants.clear();
}

void QuotaAllocator::noteReport(const ServiceName &Service,
                                const QuotaReport &Report, uint64_t ClaimToken,
                                TimePoint) {
  PlannerState &Known = this->Planners[Service];
  if (ClaimToken < Known.Token)
    return;
  if (ClaimToken > Known.Token) {
    // A new planner starts with what it finds in the store.
    Known.Token = ClaimToken;
    Known.IsConfirmed = false;
    for (auto &[Name, Current] : this->Rows) {
      Part &Each = this->part(Current, Service);
      Each.Confirmed = Each.Certain;
    }
  }
  this->setLastPlan(Report.ConfirmedPlan);
  if (Report.ConfirmedPlan > Known.GrantPlan)
    this->ChangedGrants.insert(Service);
  if (Known.GrantPlan != 0 && Report.ConfirmedPlan == Known.GrantPlan) {
    Known.IsConfirmed = true;
    for (auto &[Name, Current] : this->Rows) {
      Part &Each = this->part(Current, Service);
      Each.Confirmed = Each.Granted;
    }
  }
  for (const auto &[Name, Use] : Report.Tenants)
    if (const auto Found = this->Rows.find(Name); Found != this->Rows.end()) {
      Part &Each = this->part(Found->second, Service);
      Each.Use = Use;
      Each.IsReported = true;
    }
  this->numberGrants();
}

/// Lowers the granted shares of a tenant whose maximum has fallen, until
/// nothing can start beyond the maximum.
void QuotaAllocator::shrink(Row &Of, bool IsStrict) {
  for (const auto Kind : ResourceKinds) {
    const int64_t Maximum = Of.Maximum.*Kind;
    if (Maximum == 0)
      continue;
    int64_t Used = 0;
    int64_t Headroom = 0;
    const auto UseOf = [Kind, IsStrict](const Part &Each) {
      if (!Each.IsReported)
        return Unbounded;
      const int64_t InUse = Each.Use.InUse.*Kind;
      const bool IsConfirmed = Each.Confirmed.*Kind <= Each.Granted.*Kind;
      return IsStrict && !IsConfirmed ? std::max(InUse, Each.Confirmed.*Kind)
                                      : InUse;
    };
    for (const auto &[Service, Each] : Of.Parts) {
      Used += UseOf(Each);
      Headroom += std::max<int64_t>(0, Each.Granted.*Kind - UseOf(Each));
    }
    if (Used + Headroom <= Maximum)
      continue;
    for (auto &[Service, Each] : Of.Parts) {
      ComputeResources Share = Each.Granted;
      const int64_t Use = UseOf(Each);
      if (Used >= Maximum)
        Share.*Kind = 0;
      else if (Share.*Kind > Use)
        Share.*Kind = Use + scaled(Share.*Kind - Use, Maximum - Used, Headroom);
      this->grant(Service, Each, Share);
    }
  }
}

bool QuotaAllocator::mayExceed(const Row &Of) const {
  for (const auto Kind : ResourceKinds) {
    int64_t Total = 0;
    for (const auto &[Service, Each] : Of.Parts)
      Total += Each.IsReported
                   ? std::max(Each.Confirmed.*Kind, Each.Use.InUse.*Kind)
                   : Unbounded;
    if (Of.Maximum.*Kind > 0 && Total > Of.Maximum.*Kind)
      return true;
  }
  return false;
}

void QuotaAllocator::planTenant(const TenantName &Name, Row &Of,
                                QuotaPlan &Plan, TimePoint Now) {
  if (Of.IsFalling) {
    if (Of.StrictFrom == TimePoint::max())
      Of.StrictFrom = Now + ConfirmationTime;
    this->shrink(Of, Now >= Of.StrictFrom);
  }
  if (Of.IsPending)
    return;
  const bool IsMaximumStored = Of.IsStored && Of.StoredMaximum == Of.Maximum;
  if (Of.IsFalling) {
    Shares Lowered;
    bool IsLowered = false;
    for (const auto &[Service, Each] : Of.Parts) {
      Lowered[Service] = Each.Granted;
      IsLowered = IsLowered || Each.Granted != Each.Stored;
    }
    if (Of.IsStored && (IsLowered || !IsMaximumStored))
      this->addToPlan(Name, Of, Lowered, {}, QuotaTrigger::MaximumChanged,
                      Plan);
    else if (!Of.IsStored || !this->mayExceed(Of)) {
      Of.IsFalling = false;
      Of.StrictFrom = TimePoint::max();
    }
    return;
  }
  std::optional<Shares> Targets;
  const bool IsWaiting = this->isWaiting(Of);
  if (IsWaiting)
    Targets = this->targetsByDemand(Of);
  else if (this->isUnallocated(Of))
    Targets = this->targetsByEqualParts(Of);
  if (Targets && !this->isWorthwhile(Of, *Targets, Now))
    Targets.reset();
  for (auto &[Service, Each] : Of.Parts)
    this->grant(Service, Each,
                Targets ? smallerOf(Each.Stored, (*Targets)[Service])
                        : Each.Stored);
  if (Targets) {
    const std::set<ServiceName> Used = this->usedConfirmations(Of, Plan);
    const Shares Next = this->grow(Of, *Targets, Used);
    // With very many services, some must confirm in an earlier plan.
    const bool IsPartial = Used.size() >= this->MaxConfirmations;
    if (this->isWorthwhile(Of, Next, Now) || IsPartial) {
      Of.NextSmallChange = Now + SmallChangeInterval;
      this->addToPlan(
          Name, Of, Next, Used,
          IsWaiting ? QuotaTrigger::Waiting : QuotaTrigger::Unallocated, Plan);
      return;
    }
  }
  if (Of.IsStored && !IsMaximumStored) {
    Shares Same;
    for (const auto &[Service, Each] : Of.Parts)
      Same[Service] = Each.Stored;
    this->addToPlan(Name, Of, Same, {}, QuotaTrigger::MaximumChanged, Plan);
  }
}

void QuotaAllocator::addToPlan(const TenantName &Name, Row &Of,
                               const Shares &Next,
                               const std::set<ServiceName> &Used,
                               QuotaTrigger Trigger, QuotaPlan &Plan) {
  if (Plan.Services.empty()) {
    Plan.Number = ++this->LastPlan;
    Plan.Trigger = Trigger;
  }
  Of.IsPending = true;
  for (auto &[Service, Each] : Of.Parts) {
    const ComputeResources &Share = Next.at(Service);
    Each.CertainIfStored = Each.Certain;
    if (Used.contains(Service)) {
      Plan.Confirmations[Service] = this->Planners.at(Service).Token;
      Each.CertainIfStored = Each.Confirmed;
    }
    Each.CertainIfStored = largerOf(Each.CertainIfStored, Share);
    QuotaGrants &Grants = Plan.Services[Service];
    Grants.Plan = Plan.Number;
    Grants.Tenants[Name] = {Share, Of.Maximum};
  }
}

std::optional<QuotaPlan> QuotaAllocator::propose(TimePoint Now) {
  QuotaPlan Plan;
  for (auto &[Name, Current] : this->Rows)
    this->planTenant(Name, Current, Plan, Now);
  this->numberGrants();
  if (Plan.Services.empty())
    return std::nullopt;
  return Plan;
}

void QuotaAllocator::noteStored(const QuotaPlan &Plan) {
  for (const auto &[Service, Grants] : Plan.Services)
    for (const auto &[Name, Grant] : Grants.Tenants) {
      const auto Found = this->Rows.find(Name);
      if (Found == this->Rows.end())
        continue;
      Row &Current = Found->second;
      Part &Each = this->part(Current, Service);
      if (Current.IsPending)
        Each.Certain = Each.CertainIfStored;
      Each.Stored = Grant.Share;
      Each.Certain = largerOf(Each.Certain, Grant.Share);
      Each.Confirmed =
          smallerOf(largerOf(Each.Confirmed, Grant.Share), Each.Certain);
      if (Current.StoredMaximum != Grant.Maximum)
        this->ChangedGrants.insert(Service);
      // The maximum may have fallen while the plan was being stored.
      this->grant(Service, Each,
                  Current.IsFalling ? smallerOf(Each.Granted, Grant.Share)
                                    : Grant.Share);
    }
  for (const auto &[Service, Grants] : Plan.Services)
    for (const auto &[Name, Grant] : Grants.Tenants)
      if (const auto Found = this->Rows.find(Name); Found != this->Rows.end()) {
        Found->second.IsStored = true;
        Found->second.IsPending = false;
        Found->second.StoredMaximum = Grant.Maximum;
        if (hasFallen(Grant.Maximum, Found->second.Maximum))
          Found->second.IsFalling = true;
      }
  this->numberGrants();
}

void QuotaAllocator::noteRefused(const QuotaPlan &Plan) {
  for (const auto &[Service, Grants] : Plan.Services)
    for (const auto &[Name, Grant] : Grants.Tenants)
      if (const auto Found = this->Rows.find(Name); Found != this->Rows.end())
        Found->second.IsPending = false;
}

QuotaGrants QuotaAllocator::grants(const ServiceName &Service) const {
  QuotaGrants Granted;
  Granted.Plan = this->grantPlan(Service);
  for (const auto &[Name, Current] : this->Rows)
    if (const auto Found = Current.Parts.find(Service);
        Found != Current.Parts.end())
      Granted.Tenants[Name] = {
          Found->second.Granted,
          Current.IsStored
              ? lowerMaximum(Current.StoredMaximum, Current.Maximum)
              : Current.Maximum};
  return Granted;
}

uint64_t QuotaAllocator::grantPlan(const ServiceName &Service) const {
  const auto Found = this->Planners.find(Service);
  return Found == this->Planners.end() ? 0 : Found->second.GrantPlan;
}

bool QuotaAllocator::isConfirmed(const ServiceName &Service) const {
  const auto Found = this->Planners.find(Service);
  return Found != this->Planners.end() && Found->second.IsConfirmed;
}

std::set<ServiceName> QuotaAllocator::services() const {
  std::set<ServiceName> All = this->Services;
  for (const auto &[Name, Current] : this->Rows)
    for (const auto &[Service, Each] : Current.Parts)
      if (Each.Stored != ComputeResources() || !Each.IsReported ||
          Each.Use.InUse != ComputeResources())
        All.insert(Service);
  return All;
}

} // namespace whintack::tenants
