#include "whintack/tenants/quotaallocator.h"

#include "quotadivision.h"

#include <algorithm>

namespace whintack::tenants {

using namespace Internal;

/// Changes of at least this part of the maximum are made at once.
static constexpr int64_t LargeChangeDivisor = 20;

static int64_t largeChange(int64_t Maximum) {
  return std::max<int64_t>(1, Maximum / LargeChangeDivisor);
}

/// Whether all limited resources of \p Share cover \p Need.
static bool coversLimited(const ComputeResources &Maximum,
                          const ComputeResources &Share,
                          const ComputeResources &Need) {
  return std::all_of(ResourceKinds.begin(), ResourceKinds.end(),
                     [&](const auto Kind) {
                       return Maximum.*Kind == 0 || Need.*Kind <= Share.*Kind;
                     });
}

static ComputeResources sumOf(ComputeResources First,
                              const ComputeResources &Second) {
  First += Second;
  return First;
}

bool QuotaAllocator::isWaiting(const Row &Of) const {
  for (const auto &[Service, Each] : Of.Parts)
    if (this->isConfigured(Service) && Each.IsReported &&
        Each.Use.Waiting != ComputeResources() &&
        !coversLimited(Of.Maximum, Each.Stored,
                       sumOf(Each.Use.InUse, Each.Use.Waiting)))
      return true;
  return false;
}

bool QuotaAllocator::isUnallocated(const Row &Of) const {
  for (const auto Kind : ResourceKinds) {
    int64_t Stored = 0;
    for (const auto &[Service, Each] : Of.Parts)
      Stored += Each.Stored.*Kind;
    if (Of.Maximum.*Kind > 0 &&
        Of.Maximum.*Kind - Stored >= largeChange(Of.Maximum.*Kind))
      return true;
  }
  return false;
}

/// What the service keeps in any case. A planner that does not know yet what
/// its predecessor has running reports more than any maximum; that is no
/// demand, so it keeps its share and asks for no more.
ComputeResources QuotaAllocator::heldBy(const Row &Of, const Part &Each) {
  return isUseKnown(Of, Each) ? Each.Use.InUse : Each.Stored;
}

bool QuotaAllocator::isUseKnown(const Row &Of, const Part &Each) {
  return Each.IsReported &&
         coversLimited(Of.Maximum, Of.Maximum, Each.Use.InUse);
}

/// The shares that the demand of the services asks for. Each service keeps what
/// it has in use. Those that have waited longest get enough for their largest
/// task besides, as far as the maximum allows; equal parts that are too small
/// for any task would start none.
QuotaAllocator::Shares QuotaAllocator::targetsByDemand(const Row &Of) const {
  std::vector<std::pair<ServiceName, const Part *>> Order;
  Order.reserve(Of.Parts.size());
  for (const auto &[Service, Each] : Of.Parts)
    if (this->isConfigured(Service))
      Order.emplace_back(Service, &Each);
  std::stable_sort(
      Order.begin(), Order.end(), [](const auto &First, const auto &Second) {
        return First.second->Use.LongestWait > Second.second->Use.LongestWait;
      });
  std::vector<ComputeResources> Floors(Order.size());
  ComputeResources Reserved;
  ComputeResources Held;
  for (const auto &[Service, Each] : Order)
    Held += heldBy(Of, *Each);
  if (coversLimited(Of.Maximum, Of.Maximum, Held)) {
    Reserved = Held;
    for (size_t Index = 0; Index < Order.size(); ++Index)
      Floors[Index] = heldBy(Of, *Order[Index].second);
  }
  for (size_t Index = 0; Index < Order.size(); ++Index) {
    const QuotaUse &Use = Order[Index].second->Use;
    const ComputeResources With = sumOf(Reserved, Use.LargestWaiting);
    if (Use.Waiting == ComputeResources() ||
        !isUseKnown(Of, *Order[Index].second) ||
        !coversLimited(Of.Maximum, Of.Maximum, With))
      continue;
    Floors[Index] += Use.LargestWaiting;
    Reserved = With;
  }
  Shares Targets;
  for (const auto &[Service, Each] : Of.Parts)
    Targets[Service] = Each.Stored;
  for (const auto Kind : ResourceKinds) {
    if (Of.Maximum.*Kind == 0)
      continue;
    for (auto &[Service, Share] : Targets)
      Share.*Kind = 0;
    std::vector<int64_t> Demands;
    Demands.reserve(Order.size());
    for (size_t Index = 0; Index < Order.size(); ++Index) {
      const Part &Each = *Order[Index].second;
      const int64_t Demand = isUseKnown(Of, Each)
                                 ? Each.Use.InUse.*Kind + Each.Use.Waiting.*Kind
                                 : Each.Stored.*Kind;
      Demands.push_back(std::max<int64_t>(0, Demand - Floors[Index].*Kind));
    }
    int64_t Left = Of.Maximum.*Kind - Reserved.*Kind;
    const std::vector<int64_t> Parts = divideMaxMin(Left, Demands);
    for (const int64_t Given : Parts)
      Left -= Given;
    const std::vector<int64_t> Extra = divideEqually(Left, Order.size());
    for (size_t Index = 0; Index < Order.size(); ++Index)
      Targets[Order[Index].first].*Kind =
          Floors[Index].*Kind + Parts[Index] + Extra[Index];
  }
  return Targets;
}

QuotaAllocator::Shares
QuotaAllocator::targetsByEqualParts(const Row &Of) const {
  Shares Targets;
  for (const auto &[Service, Each] : Of.Parts)
    Targets[Service] = Each.Stored;
  for (const auto Kind : ResourceKinds) {
    if (Of.Maximum.*Kind == 0)
      continue;
    int64_t Free = Of.Maximum.*Kind;
    for (const auto &[Service, Each] : Of.Parts)
      Free -= Each.Stored.*Kind;
    const std::vector<int64_t> Extra =
        divideEqually(Free, this->Services.size());
    size_t Index = 0;
    for (const ServiceName &Service : this->Services)
      Targets[Service].*Kind += Extra[Index++];
  }
  return Targets;
}

/// Whether a waiting task can start with the shares \p Next that cannot start
/// now, or a share grows much, or there has been no change for some time.
bool QuotaAllocator::isWorthwhile(const Row &Of, const Shares &Next,
                                  TimePoint Now) const {
  for (const auto &[Service, Each] : Of.Parts) {
    const ComputeResources &Share = Next.at(Service);
    for (const auto Kind : ResourceKinds) {
      const int64_t Growth = Share.*Kind - Each.Stored.*Kind;
      if (Of.Maximum.*Kind > 0 && Growth > 0 &&
          (Growth >= largeChange(Of.Maximum.*Kind) ||
           Now >= Of.NextSmallChange))
        return true;
    }
    const ComputeResources Need = sumOf(
        Each.Use.InUse, smallerOf(Each.Use.Waiting, Each.Use.LargestWaiting));
    if (Each.Use.Waiting != ComputeResources() &&
        coversLimited(Of.Maximum, Share, Need) &&
        !coversLimited(Of.Maximum, Each.Stored, Need))
      return true;
  }
  return false;
}

/// The services whose confirmations the growth of the tenant's shares depends
/// on: the store alone does not rule out that they apply more.
std::set<ServiceName>
QuotaAllocator::usedConfirmations(const Row &Of, const QuotaPlan &Plan) const {
  std::set<ServiceName> Used;
  size_t Total = Plan.Confirmations.size();
  for (const auto &[Service, Each] : Of.Parts) {
    const bool IsUseful =
        std::any_of(ResourceKinds.begin(), ResourceKinds.end(),
                    [&Of, &Each = Each](const auto Kind) {
                      return Of.Maximum.*Kind > 0 &&
                             Each.Confirmed.*Kind < Each.Certain.*Kind;
                    });
    if (!IsUseful || !Each.IsReported)
      continue;
    if (!Plan.Confirmations.contains(Service) &&
        ++Total > this->MaxConfirmations)
      break;
    Used.insert(Service);
  }
  return Used;
}

/// Raises shares towards \p Targets by what is certainly free, and lowers those
/// of the services in \p Used to what these have confirmed.
QuotaAllocator::Shares
QuotaAllocator::grow(const Row &Of, const Shares &Targets,
                     const std::set<ServiceName> &Used) const {
  Shares Next;
  std::vector<std::pair<ServiceName, const Part *>> Order;
  Order.reserve(Of.Parts.size());
  for (const auto &[Service, Each] : Of.Parts) {
    Next[Service] = Used.contains(Service) ? Each.Granted : Each.Stored;
    Order.emplace_back(Service, &Each);
  }
  std::stable_sort(
      Order.begin(), Order.end(), [](const auto &First, const auto &Second) {
        return First.second->Use.LongestWait > Second.second->Use.LongestWait;
      });
  for (const auto Kind : ResourceKinds) {
    if (Of.Maximum.*Kind == 0)
      continue;
    // A share may become what the service can apply now. Beyond that, neither
    // all shares nor the share and what all other services may have in use may
    // exceed the maximum. What the service itself has in use beyond its share
    // is left out: it may end, and then only the share counts.
    int64_t FreeShares = Of.Maximum.*Kind;
    int64_t FreeUse = Of.Maximum.*Kind;
    std::vector<int64_t> Reached;
    Reached.reserve(Order.size());
    for (const auto &[Service, Each] : Order) {
      int64_t Bound =
          Used.contains(Service) ? Each->Confirmed.*Kind : Each->Certain.*Kind;
      if (!Each->IsReported)
        Bound = Unbounded;
      Reached.push_back(Bound);
      FreeShares -= Bound;
      FreeUse -= std::max(Bound, Each->Use.InUse.*Kind);
    }
    if (FreeShares < 0)
      continue;
    const auto Raise = [&](size_t Index, int64_t Amount) {
      const int64_t InUse = Order[Index].second->Use.InUse.*Kind;
      const int64_t Counted = std::max(Reached[Index], InUse);
      const int64_t Level =
          std::min(Reached[Index] + std::clamp<int64_t>(Amount, 0, FreeShares),
                   std::max(Reached[Index], Counted + FreeUse));
      FreeShares -= Level - Reached[Index];
      FreeUse -= std::max(Level, InUse) - Counted;
      Reached[Index] = Level;
    };
    // Those that have waited longest come first, so that what is free is not
    // divided into parts that are too small for any task.
    for (size_t Index = 0; Index < Order.size(); ++Index) {
      const QuotaUse &Use = Order[Index].second->Use;
      if (Use.Waiting != ComputeResources())
        Raise(Index, std::min(Targets.at(Order[Index].first).*Kind,
                              Use.InUse.*Kind + Use.LargestWaiting.*Kind) -
                         Reached[Index]);
    }
    std::vector<int64_t> Lacking;
    Lacking.reserve(Order.size());
    for (size_t Index = 0; Index < Order.size(); ++Index)
      Lacking.push_back(std::max<int64_t>(
          0, Targets.at(Order[Index].first).*Kind - Reached[Index]));
    const std::vector<int64_t> Parts = divideMaxMin(FreeShares, Lacking);
    for (size_t Index = 0; Index < Order.size(); ++Index)
      Raise(Index, Parts[Index]);
    for (size_t Index = 0; Index < Order.size(); ++Index) {
      const ServiceName &Service = Order[Index].first;
      Next[Service].*Kind =
          std::max(Next[Service].*Kind,
                   std::min(Targets.at(Service).*Kind, Reached[Index]));
    }
  }
  return Next;
}

} // namespace whintack::tenants
