#include "whintack/tenants/quotaledger.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace whintack;
using namespace whintack::tenants;

namespace {

/// Books only what the ledger allows, as a planner does.
class LedgerUser {
public:
  void perform(uint8_t Action, uint16_t Choice) {
    const TenantName Tenant(Choice % 2 == 0 ? "even" : "odd");
    const ComputeResources Need = {Choice % 7 * 100, Choice % 5 * 10,
                                   Choice % 3};
    switch (Action % 6) {
    case 0:
    case 1:
      this->start(Tenant, Need);
      break;
    case 2:
      this->end(Choice);
      break;
    case 3:
      this->setMaximum(Tenant,
                       {Choice % 4 * 900, Choice % 3 * 90, Choice % 5 * 2});
      break;
    case 4:
      this->grant(Tenant, Choice);
      break;
    case 5:
      this->Ledger.setUnknownUse({Choice % 3 * 200, 0, 0});
      break;
    }
    this->check();
  }

private:
  void start(const TenantName &Tenant, const ComputeResources &Need) {
    const bool MayStart = this->Ledger.mayStart(Tenant, Need);
    RC_ASSERT(MayStart == (this->Ledger.partThatMayStart(Tenant, Need) == 1));
    if (!MayStart)
      return;
    this->Ledger.book(Tenant, Need);
    this->Runs.push_back({Tenant, Need});
    if (!this->Ledger.isLimited(Tenant))
      return;
    // The start has left no resource with a limit above its share.
    const ComputeResources Use = this->Ledger.inUse(Tenant);
    const ComputeResources Share = this->Ledger.share(Tenant);
    const ComputeResources Maximum = this->Maximums[Tenant];
    RC_ASSERT(Maximum.MilliCores == 0 || Use.MilliCores <= Share.MilliCores);
    RC_ASSERT(Maximum.MemoryMb == 0 || Use.MemoryMb <= Share.MemoryMb);
    RC_ASSERT(Maximum.Gpus == 0 || Use.Gpus <= Share.Gpus);
  }

  void end(size_t Choice) {
    if (this->Runs.empty())
      return;
    const auto Place =
        this->Runs.begin() + static_cast<long>(Choice % this->Runs.size());
    this->Ledger.release(Place->first, Place->second);
    this->Runs.erase(Place);
  }

  void setMaximum(const TenantName &Tenant, const ComputeResources &Maximum) {
    this->Maximums[Tenant] = Maximum;
    this->Ledger.setMaximums(this->Maximums);
  }

  void grant(const TenantName &Tenant, uint16_t Choice) {
    QuotaGrants Granted = this->Last;
    Granted.Plan = this->Last.Plan + Choice % 3;
    const ComputeResources Maximum = this->Maximums[Tenant];
    Granted.Tenants[Tenant] = {{Maximum.MilliCores / (1 + Choice % 2),
                                Maximum.MemoryMb / (1 + Choice % 2),
                                Maximum.Gpus / (1 + Choice % 2)},
                               Maximum};
    this->Last = Granted;
    this->Ledger.adopt(Granted);
    // A message that was sent earlier arrives late.
    if (Granted.Plan > 0)
      this->Ledger.adopt({Granted.Plan - 1, {}});
    RC_ASSERT(this->Ledger.report().ConfirmedPlan == Granted.Plan);
  }

  void check() const {
    std::map<TenantName, ComputeResources> Sums;
    for (const auto &[Tenant, Need] : this->Runs)
      Sums[Tenant] += Need;
    for (const auto &[Tenant, Maximum] : this->Maximums) {
      RC_ASSERT(this->Ledger.booked(Tenant) == Sums[Tenant]);
      const ComputeResources Share = this->Ledger.share(Tenant);
      RC_ASSERT(Share.MilliCores >= 0 && Share.MemoryMb >= 0 &&
                Share.Gpus >= 0);
      RC_ASSERT(Maximum.covers(Share));
    }
  }

  QuotaLedger Ledger;
  QuotaGrants Last;
  std::map<TenantName, ComputeResources> Maximums;
  std::vector<std::pair<TenantName, ComputeResources>> Runs;
};

} // namespace

TEST_CASE("no series of events starts anything beyond the share in force") {
  CHECK(rc::check("ledger", [] {
    LedgerUser User;
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            100, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions)
      User.perform(Action, Choice);
  }));
}
