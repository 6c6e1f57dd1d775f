#include "whintack/tenants/quotaledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace whintack::tenants {

/// The part of the share of one resource that remains under the maximum in
/// force. A maximum of 0 is no limit.
static int64_t effectiveShare(int64_t Share, int64_t GrantedUnder,
                              int64_t Maximum) {
  // A resource that had no limit when the share was granted has no share yet.
  if (Maximum <= 0 || GrantedUnder <= 0)
    return 0;
  if (Maximum >= GrantedUnder)
    return Share;
  const double Scaled = static_cast<double>(Share) *
                        static_cast<double>(Maximum) /
                        static_cast<double>(GrantedUnder);
  return std::min(Share, static_cast<int64_t>(std::floor(Scaled)));
}

/// The part of the need for one resource that the share leaves room for.
static double partWithin(int64_t Need, int64_t Use, int64_t Share,
                         int64_t Maximum) {
  if (Maximum <= 0)
    return 1;
  if (Use > Share)
    return 0;
  if (Need <= Share - Use)
    return 1;
  return static_cast<double>(Share - Use) / static_cast<double>(Need);
}

static bool hasLimit(const ComputeResources &Maximum) {
  return Maximum.MilliCores > 0 || Maximum.MemoryMb > 0 || Maximum.Gpus > 0;
}

void QuotaLedger::setMaximums(std::map<TenantName, ComputeResources> Given) {
  this->Maximums = std::move(Given);
  std::erase_if(this->Maximums,
                [](const auto &Entry) { return !hasLimit(Entry.second); });
  ++this->Changes;
}

void QuotaLedger::adopt(const QuotaGrants &Newer) {
  if (Newer.Plan < this->Granted.Plan)
    return;
  this->Granted = Newer;
  ++this->Changes;
}

void QuotaLedger::book(const TenantName &Tenant, const ComputeResources &Need) {
  this->Booked[Tenant] += Need;
  ++this->Changes;
}

void QuotaLedger::release(const TenantName &Tenant,
                          const ComputeResources &Need) {
  const auto Found = this->Booked.find(Tenant);
  if (Found == this->Booked.end())
    return;
  ++this->Changes;
  Found->second -= Need;
  if (Found->second == ComputeResources())
    this->Booked.erase(Found);
}

void QuotaLedger::setUnknownUse(const ComputeResources &Use) {
  if (this->UnknownUse == Use)
    return;
  this->UnknownUse = Use;
  ++this->Changes;
}

bool QuotaLedger::isLimited(const TenantName &Tenant) const {
  return this->Maximums.contains(Tenant);
}

std::optional<ComputeResources>
QuotaLedger::room(const TenantName &Tenant) const {
  const auto Found = this->Maximums.find(Tenant);
  if (Found == this->Maximums.end())
    return std::nullopt;
  if (!this->Granted.Tenants.contains(Tenant))
    return ComputeResources{-1, -1, -1};
  const ComputeResources &Maximum = Found->second;
  ComputeResources Room = this->share(Tenant);
  Room -= this->inUse(Tenant);
  const auto Left = [](int64_t Limited, int64_t Limit) {
    return Limit > 0 ? Limited : std::numeric_limits<int64_t>::max();
  };
  return ComputeResources{Left(Room.MilliCores, Maximum.MilliCores),
                          Left(Room.MemoryMb, Maximum.MemoryMb),
                          Left(Room.Gpus, Maximum.Gpus)};
}

bool QuotaLedger::mayStart(const TenantName &Tenant,
                           const ComputeResources &Need) const {
  const std::optional<ComputeResources> Room = this->room(Tenant);
  return !Room || Room->covers(Need);
}

double QuotaLedger::partThatMayStart(const TenantName &Tenant,
                                     const ComputeResources &Need) const {
  const auto Found = this->Maximums.find(Tenant);
  if (Found == this->Maximums.end())
    return 1;
  if (!this->Granted.Tenants.contains(Tenant))
    return 0;
  const ComputeResources &Maximum = Found->second;
  const ComputeResources Share = this->share(Tenant);
  const ComputeResources Use = this->inUse(Tenant);
  return std::min({partWithin(Need.MilliCores, Use.MilliCores, Share.MilliCores,
                              Maximum.MilliCores),
                   partWithin(Need.MemoryMb, Use.MemoryMb, Share.MemoryMb,
                              Maximum.MemoryMb),
                   partWithin(Need.Gpus, Use.Gpus, Share.Gpus, Maximum.Gpus)});
}

ComputeResources QuotaLedger::booked(const TenantName &Tenant) const {
  const auto Found = this->Booked.find(Tenant);
  return Found == this->Booked.end() ? ComputeResources() : Found->second;
}

ComputeResources QuotaLedger::inUse(const TenantName &Tenant) const {
  ComputeResources Use = this->booked(Tenant);
  Use += this->UnknownUse;
  return Use;
}

ComputeResources QuotaLedger::share(const TenantName &Tenant) const {
  const auto Grant = this->Granted.Tenants.find(Tenant);
  if (Grant == this->Granted.Tenants.end())
    return {};
  const ComputeResources Maximum = this->maximum(Tenant);
  const auto &[Share, Under] = Grant->second;
  return {
      effectiveShare(Share.MilliCores, Under.MilliCores, Maximum.MilliCores),
      effectiveShare(Share.MemoryMb, Under.MemoryMb, Maximum.MemoryMb),
      effectiveShare(Share.Gpus, Under.Gpus, Maximum.Gpus)};
}

ComputeResources QuotaLedger::maximum(const TenantName &Tenant) const {
  const auto Found = this->Maximums.find(Tenant);
  return Found == this->Maximums.end() ? ComputeResources() : Found->second;
}

QuotaReport QuotaLedger::report() const {
  QuotaReport Report;
  Report.ConfirmedPlan = this->Granted.Plan;
  for (const auto &[Tenant, Maximum] : this->Maximums)
    Report.Tenants[Tenant].InUse = this->inUse(Tenant);
  return Report;
}

} // namespace whintack::tenants
