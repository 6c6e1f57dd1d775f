#include "whintack/tenants/quotaledger.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tenants;

static const TenantName Acme("acme");

static QuotaGrants grants(uint64_t Plan, const ComputeResources &Share,
                          const ComputeResources &Maximum) {
  return {Plan, {{Acme, {Share, Maximum}}}};
}

TEST_CASE("a tenant without a maximum may start anything") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {0, 0, 0}}});
  CHECK_FALSE(Ledger.isLimited(Acme));
  CHECK(Ledger.mayStart(Acme, {1'000'000, 1'000'000, 100}));
  CHECK(Ledger.partThatMayStart(Acme, {1000, 0, 0}) == 1);
  CHECK(Ledger.report().Tenants.empty());
}

// Guards against starts before the coordinator has divided the quota.
TEST_CASE("without a grant nothing of a tenant with a maximum may start") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {4000, 0, 0}}});
  CHECK(Ledger.isLimited(Acme));
  CHECK_FALSE(Ledger.mayStart(Acme, {1, 0, 0}));
  CHECK_FALSE(Ledger.mayStart(Acme, {}));
  CHECK(Ledger.share(Acme) == ComputeResources());
  CHECK(Ledger.partThatMayStart(Acme, {1, 0, 0}) == 0);
  CHECK(Ledger.report().Tenants.contains(Acme));
}

TEST_CASE("booked and unknown use and the need must fit into the share") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {8000, 0, 4}}});
  Ledger.adopt(grants(3, {4000, 0, 2}, {8000, 0, 4}));
  CHECK(Ledger.mayStart(Acme, {4000, 1'000'000, 2}));
  CHECK_FALSE(Ledger.mayStart(Acme, {4001, 0, 0}));
  CHECK_FALSE(Ledger.mayStart(Acme, {0, 0, 3}));
  Ledger.book(Acme, {1500, 10, 0});
  CHECK(Ledger.mayStart(Acme, {2500, 0, 0}));
  CHECK_FALSE(Ledger.mayStart(Acme, {2501, 0, 0}));
  CHECK(Ledger.partThatMayStart(Acme, {5000, 0, 0}) == 0.5);
  Ledger.setUnknownUse({500, 0, 0});
  CHECK(Ledger.inUse(Acme) == ComputeResources{2000, 10, 0});
  CHECK(Ledger.booked(Acme) == ComputeResources{1500, 10, 0});
  CHECK(Ledger.mayStart(Acme, {2000, 0, 0}));
  CHECK_FALSE(Ledger.mayStart(Acme, {2001, 0, 0}));
  const QuotaReport Report = Ledger.report();
  CHECK(Report.ConfirmedPlan == 3);
  CHECK(Report.Tenants.at(Acme).InUse == ComputeResources{2000, 10, 0});
  Ledger.setUnknownUse({});
  Ledger.release(Acme, {1500, 10, 0});
  CHECK(Ledger.inUse(Acme) == ComputeResources());
}

// Guards against a start while the tenant uses more than its maximum of another
// resource.
TEST_CASE("nothing may start while any resource is over its share") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {8000, 0, 4}}});
  Ledger.adopt(grants(1, {8000, 0, 1}, {8000, 0, 4}));
  Ledger.book(Acme, {0, 0, 2});
  CHECK_FALSE(Ledger.mayStart(Acme, {100, 0, 0}));
  CHECK(Ledger.partThatMayStart(Acme, {100, 0, 0}) == 0);
}

TEST_CASE("a share falls with the maximum at once and never below zero") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {9000, 1000, 0}}});
  Ledger.adopt(grants(1, {5000, 500, 0}, {9000, 1000, 0}));
  Ledger.setMaximums({{Acme, {3000, 1000, 0}}});
  // 5000 * 3000 / 9000, rounded down.
  CHECK(Ledger.share(Acme) == ComputeResources{1666, 500, 0});
  CHECK(Ledger.mayStart(Acme, {1666, 0, 0}));
  CHECK_FALSE(Ledger.mayStart(Acme, {1667, 0, 0}));
  Ledger.book(Acme, {1600, 0, 0});
  Ledger.setMaximums({{Acme, {10, 1000, 0}}});
  CHECK_FALSE(Ledger.mayStart(Acme, {1, 0, 0}));
  // A higher maximum gives nothing before it is granted.
  Ledger.setMaximums({{Acme, {90'000, 1000, 0}}});
  CHECK(Ledger.share(Acme) == ComputeResources{5000, 500, 0});
}

TEST_CASE("a resource that is limited for the first time has no share yet") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {8000, 0, 0}}});
  Ledger.adopt(grants(1, {8000, 0, 0}, {8000, 0, 0}));
  CHECK(Ledger.mayStart(Acme, {1000, 100, 0}));
  Ledger.setMaximums({{Acme, {8000, 1000, 0}}});
  CHECK_FALSE(Ledger.mayStart(Acme, {1000, 100, 0}));
  Ledger.adopt(grants(2, {8000, 1000, 0}, {8000, 1000, 0}));
  CHECK(Ledger.mayStart(Acme, {1000, 100, 0}));
  // A limit that is removed no longer holds anything back.
  Ledger.setMaximums({{Acme, {8000, 0, 0}}});
  CHECK(Ledger.mayStart(Acme, {1000, 5000, 0}));
}

// Guards against a late message that would give back a share which has been
// granted to another service.
TEST_CASE("older plans are ignored") {
  QuotaLedger Ledger;
  Ledger.setMaximums({{Acme, {8000, 0, 0}}});
  Ledger.adopt(grants(5, {1000, 0, 0}, {8000, 0, 0}));
  Ledger.adopt(grants(4, {8000, 0, 0}, {8000, 0, 0}));
  CHECK(Ledger.share(Acme).MilliCores == 1000);
  CHECK(Ledger.report().ConfirmedPlan == 5);
  Ledger.adopt({6, {}});
  CHECK_FALSE(Ledger.mayStart(Acme, {1, 0, 0}));
  CHECK(Ledger.report().ConfirmedPlan == 6);
}
