#include "whintack/tenants/quotaallocator.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tenants;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TenantName Tenant("acme");
const ServiceName First("a");
const ServiceName Second("b");
const ServiceName Third("c");

/// An allocator for one tenant and the planners that it hears of.
class Fixture {
public:
  explicit Fixture(ComputeResources Maximum,
                   std::set<ServiceName> Services = {First, Second})
      : Services(Services) {
    this->Allocator.setServices(std::move(Services));
    this->setMaximum(Maximum);
    for (const ServiceName &Service : this->Services)
      this->Tokens[Service] = 1;
  }

  void setMaximum(ComputeResources Maximum) {
    this->Allocator.setMaximums({{Tenant, Maximum}});
  }
  /// Has the planner apply its shares and report.
  void report(const ServiceName &Service) {
    const QuotaGrants Granted = this->Allocator.grants(Service);
    this->Allocator.noteReport(Service,
                               {{{Tenant, this->Uses[Service]}}, Granted.Plan},
                               this->Tokens[Service], this->Now);
  }
  void reportAll() {
    for (const ServiceName &Service : this->Services)
      this->report(Service);
  }
  std::optional<QuotaPlan> propose() {
    return this->Allocator.propose(this->Now);
  }
  /// Rounds of reports until nothing changes. Returns the number of plans.
  size_t settle() {
    size_t Plans = 0;
    for (int Round = 0; Round < 20; ++Round) {
      this->Now += milliseconds(150);
      this->reportAll();
      if (const auto Plan = this->propose()) {
        this->Allocator.noteStored(*Plan);
        ++Plans;
      }
    }
    return Plans;
  }
  ComputeResources share(const ServiceName &Service) const {
    return this->Allocator.grants(Service).Tenants.at(Tenant).Share;
  }
  int64_t cores(const ServiceName &Service) const {
    return this->share(Service).MilliCores;
  }
  void wait(const ServiceName &Service, int64_t Cores, int64_t Largest,
            Duration Wait = seconds(1)) {
    this->Uses[Service].Waiting = {Cores, 0, 0};
    this->Uses[Service].LargestWaiting = {Largest, 0, 0};
    this->Uses[Service].LongestWait = Wait;
  }
  void run(const ServiceName &Service, int64_t Cores) {
    this->Uses[Service].InUse = {Cores, 0, 0};
  }

  std::set<ServiceName> Services;
  QuotaAllocator Allocator;
  std::map<ServiceName, QuotaUse> Uses;
  std::map<ServiceName, uint64_t> Tokens;
  TimePoint Now{seconds(100)};
};

} // namespace

// Guards against shares that are granted before it is known what is in use.
TEST_CASE("the first shares are equal parts, once every planner has reported") {
  Fixture Test({90000, 3000, 2}, {First, Second, Third});
  Test.report(First);
  Test.report(Second);
  CHECK_FALSE(Test.propose());
  Test.report(Third);
  const auto Plan = Test.propose();
  REQUIRE(Plan);
  CHECK(Plan->Confirmations.size() == 3);
  CHECK(Test.cores(First) == 0);
  Test.Allocator.noteStored(*Plan);
  for (const ServiceName &Service : Test.Services) {
    CHECK(Test.cores(Service) == 30000);
    CHECK(Test.share(Service).MemoryMb == 1000);
  }
  int64_t Gpus = 0;
  for (const ServiceName &Service : Test.Services)
    Gpus += Test.share(Service).Gpus;
  CHECK(Gpus == 2);
}

// Guards against first shares that ignore what ran before the tenant got a
// maximum.
TEST_CASE("what is in use already leaves less for the first shares") {
  Fixture Test({100, 0, 0});
  Test.run(First, 90);
  Test.settle();
  CHECK(Test.cores(Second) == 10);
}

TEST_CASE("an idle share moves in one round of confirmations") {
  Fixture Test({100, 0, 0});
  Test.settle();
  REQUIRE(Test.cores(First) == 50);
  Test.run(Second, 50);
  Test.wait(Second, 30, 10);
  Test.reportAll();
  CHECK_FALSE(Test.propose());
  CHECK(Test.cores(First) == 10);
  CHECK(Test.cores(Second) == 50);
  Test.report(First);
  const auto Plan = Test.propose();
  REQUIRE(Plan);
  CHECK(Plan->Trigger == QuotaTrigger::Waiting);
  CHECK(Plan->Confirmations == std::map<ServiceName, uint64_t>{{First, 1}});
  CHECK(Test.cores(Second) == 50);
  Test.Allocator.noteStored(*Plan);
  CHECK(Test.cores(First) == 10);
  CHECK(Test.cores(Second) == 90);
}

// Guards against plans that only follow small changes of the demand: each one
// is a write to the store.
TEST_CASE("nothing moves without work that waits beyond its share") {
  Fixture Test({100, 0, 0});
  Test.settle();
  for (int64_t Use = 0; Use <= 50; Use += 10) {
    Test.run(First, Use);
    Test.run(Second, 50 - Use);
    CHECK(Test.settle() == 0);
  }
  Test.run(First, 40);
  Test.wait(First, 10, 10);
  CHECK(Test.settle() == 0);
}

TEST_CASE("demand that exceeds the maximum is divided equally") {
  Fixture Test({90, 0, 0}, {First, Second, Third});
  Test.settle();
  Test.run(First, 10);
  Test.wait(Second, 500, 5);
  Test.wait(Third, 200, 5);
  Test.settle();
  CHECK(Test.cores(First) == 10);
  CHECK(Test.cores(Second) == 40);
  CHECK(Test.cores(Third) == 40);
}

// Guards against equal parts that are too small for any task.
TEST_CASE("with a small maximum, the service that has waited longest gets "
          "enough for its largest task") {
  Fixture Test({10, 0, 0}, {First, Second, Third});
  Test.settle();
  Test.wait(First, 8, 8, seconds(1));
  Test.wait(Second, 8, 8, seconds(3));
  Test.wait(Third, 8, 8, seconds(2));
  Test.settle();
  CHECK(Test.cores(Second) >= 8);
  Test.wait(Second, 0, 0, Duration::zero());
  Test.Uses[Second] = {};
  Test.settle();
  CHECK(Test.cores(Third) >= 8);
}

TEST_CASE("a maximum that falls far below what is in use leaves no share") {
  Fixture Test({100, 0, 0});
  Test.settle();
  Test.run(First, 50);
  Test.run(Second, 20);
  Test.wait(Second, 30, 10);
  Test.reportAll();
  Test.setMaximum({40, 0, 0});
  CHECK(Test.cores(First) == 0);
  CHECK(Test.cores(Second) == 0);
  CHECK(Test.Allocator.grants(First).Tenants.at(Tenant).Maximum.MilliCores ==
        40);
  const auto Plan = Test.propose();
  REQUIRE(Plan);
  CHECK(Plan->Trigger == QuotaTrigger::MaximumChanged);
  Test.Allocator.noteStored(*Plan);
  Test.settle();
  CHECK(Test.cores(Second) <= 20);
  Test.run(First, 10);
  Test.settle();
  CHECK(Test.cores(Second) == 30);
}

TEST_CASE("a maximum that rises makes shares grow") {
  Fixture Test({100, 0, 0});
  Test.settle();
  Test.setMaximum({200, 0, 0});
  CHECK(Test.cores(First) == 50);
  CHECK(Test.Allocator.grants(First).Tenants.at(Tenant).Maximum.MilliCores ==
        100);
  CHECK(Test.settle() == 1);
  CHECK(Test.cores(First) == 100);
  CHECK(Test.cores(Second) == 100);
}

TEST_CASE("a maximum of 0 is no limit") {
  Fixture Test({100, 0, 0});
  Test.Uses[Second].Waiting.MemoryMb = 1000000;
  Test.settle();
  CHECK(Test.Allocator.grants(First).Tenants.at(Tenant).Maximum ==
        ComputeResources{100, 0, 0});
  CHECK(Test.settle() == 0);

  Test.Uses[Second].InUse.MemoryMb = 800;
  Test.setMaximum({100, 1000, 0});
  Test.settle();
  CHECK(Test.share(First).MemoryMb <= 200);
  CHECK(Test.share(Second).MemoryMb >= 800);
}

// Guards against a successor that grants what a planner may still use under
// shares of its predecessor.
TEST_CASE(
    "a new coordinator grants the stored shares until all have reported") {
  Fixture Test({100, 0, 0});
  Test.settle();
  Fixture Next({100, 0, 0});
  for (const ServiceName &Service : Test.Services) {
    QuotaGrants Stored = Test.Allocator.grants(Service);
    Next.Allocator.restore(Service, Stored);
    CHECK(Next.cores(Service) == 50);
    CHECK(Next.Allocator.grants(Service).Plan > Stored.Plan);
  }
  Next.wait(Second, 100, 10);
  Next.report(Second);
  CHECK_FALSE(Next.propose());
  CHECK(Next.cores(Second) == 50);
  Next.settle();
  CHECK(Next.cores(Second) == 100);
}

// Guards against a write that relies on what a planner confirmed that has been
// replaced since: the new one starts with the stored share.
TEST_CASE("a planner replaced between confirmation and write must confirm "
          "again") {
  Fixture Test({100, 0, 0});
  Test.settle();
  Test.wait(Second, 100, 10);
  Test.reportAll();
  CHECK_FALSE(Test.propose());
  Test.report(First);
  const auto Plan = Test.propose();
  REQUIRE(Plan);
  REQUIRE(Plan->Confirmations.at(First) == 1);
  Test.Allocator.noteRefused(*Plan);
  // The new planner applies the stored share.
  Test.Allocator.noteReport(First, {{{Tenant, {}}}, 3}, 2, Test.Now);
  CHECK_FALSE(Test.propose());
  CHECK(Test.cores(Second) == 50);
  Test.Tokens[First] = 2;
  Test.report(First);
  const auto Again = Test.propose();
  REQUIRE(Again);
  CHECK(Again->Confirmations.at(First) == 2);
}

// Guards against a late answer of a planner that has lost its claim.
TEST_CASE("an answer under an earlier claim counts for nothing") {
  Fixture Test({100, 0, 0});
  Test.settle();
  Test.Tokens[First] = 5;
  Test.report(First);
  Test.Tokens[First] = 4;
  Test.wait(First, 100, 10);
  Test.reportAll();
  CHECK_FALSE(Test.propose());
  CHECK(Test.cores(Second) == 50);
}

// Guards against a confirmation that can depend on more claims than a
// transaction holds.
TEST_CASE("with many services, the first shares come in several plans") {
  std::set<ServiceName> Services;
  for (int Number = 0; Number < 40; ++Number)
    Services.insert(ServiceName("s" + std::to_string(Number)));
  Fixture Test({4000, 0, 0}, Services);
  Test.reportAll();
  const auto Plan = Test.propose();
  REQUIRE(Plan);
  CHECK(Plan->Confirmations.size() <= 29);
  Test.Allocator.noteStored(*Plan);
  Test.settle();
  for (const ServiceName &Service : Services)
    CHECK(Test.cores(Service) == 100);
}

// Guards against a service that is gone and keeps all shares as they are.
TEST_CASE("a service that is removed keeps its share and blocks no other") {
  Fixture Test({90, 0, 0}, {First, Second, Third});
  Test.settle();
  Test.Allocator.setServices({First, Second});
  Test.Services = {First, Second};
  Test.wait(Second, 100, 10);
  Test.settle();
  CHECK(Test.cores(Second) == 60);
  CHECK(Test.Allocator.services().contains(Third));
  Test.report(Third);
  Test.settle();
  CHECK(Test.cores(Second) >= 60);
}

// Guards against quota that stays free while several services wait, each for
// more than its part: what a service has in use counts before its next task.
TEST_CASE("the service that has waited longest can start beside what it runs") {
  Fixture Test({100, 0, 0});
  Test.settle();
  Test.run(First, 40);
  Test.wait(First, 30, 30, seconds(2));
  Test.run(Second, 30);
  Test.wait(Second, 30, 30, seconds(1));
  Test.settle();
  CHECK(Test.cores(First) == 70);
  CHECK(Test.cores(Second) == 30);
}

// Guards against a new planner that takes the shares of the others, because it
// does not know yet what its predecessor has running.
TEST_CASE("a planner that recovers keeps its share and gets no more") {
  Fixture Test({100, 0, 0});
  Test.settle();
  REQUIRE(Test.cores(Second) == 50);
  Test.run(First, 50);
  Test.wait(First, 40, 10);
  Test.settle();
  // What nobody asks for is divided equally.
  REQUIRE(Test.cores(First) == 95);
  Test.run(First, 90);
  ++Test.Tokens[Second];
  Test.run(Second, 1'000'000'000'000);
  Test.settle();
  CHECK(Test.cores(First) == 95);
  CHECK(Test.cores(Second) == 5);
}
