// Guards against a tenant that delays the jobs of others by submitting more
// than its share of a short pool.

#include "tenantfixture.h"

#include "whintack/jobs/jobrank.h"

#include <catch2/catch.hpp>
#include <map>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using namespace std::chrono_literals;

static std::map<TenantName, size_t>
countByTenant(const std::vector<StartOrder> &Starts) {
  // The names of the jobs begin with those of their tenants.
  std::map<TenantName, size_t> Counts;
  for (const StartOrder &Each : Starts) {
    const std::string &Id = Each.Task.Step.Job.text();
    ++Counts[TenantName(Id.substr(0, Id.find('-')))];
  }
  return Counts;
}

static void addJobs(TenantFixture &Fixture, const TenantName &Owner, int Count,
                    Duration Estimate = 500ms) {
  for (int Number = 0; Number < Count; ++Number) {
    AcceptedJob Job = tenantJob(Owner.text() + "-" + std::to_string(Number),
                                Owner, {step(1)});
    Job.Spec.Steps[0].Estimate = Estimate;
    Job.Accepted = Fixture.Time.now();
    Fixture.Planner.addJob(Job);
  }
}

// A use that changes within the pass counts: both tenants start from nothing.
TEST_CASE("a short pool is divided by weight, whatever the jobs are worth") {
  TenantFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  configure(Fixture.Planner, {tenant(Acme, 30), tenant(Other, 10)});
  // Jobs with less work would all rank first without tenants.
  addJobs(Fixture, Acme, 30, 500ms);
  addJobs(Fixture, Other, 10, 100ms);
  auto Counts = countByTenant(Fixture.startAll());
  CHECK(Counts[Acme] == 12);
  CHECK(Counts[Other] == 4);
  CHECK(Fixture.status(Acme).EntitledPart == Approx(0.75));
  CHECK(Fixture.status(Other).EntitledPart == Approx(0.25));
  CHECK(Fixture.status(Acme).UsedPart == Approx(0.75));
}

TEST_CASE("what one tenant leaves unused goes to the other") {
  TenantFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  configure(Fixture.Planner, {tenant(Acme, 30), tenant(Other, 30)});
  addJobs(Fixture, Acme, 30);
  addJobs(Fixture, Other, 3);
  auto Counts = countByTenant(Fixture.startAll());
  CHECK(Counts[Acme] == 13);
  CHECK(Counts[Other] == 3);
}

TEST_CASE("jobs beyond the weight within one second rank behind all others") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  configure(Fixture.Planner, {tenant(Acme, 2), tenant(Other, 6)});
  addJobs(Fixture, Acme, 10);
  // Acme's part is two cores, and four without its jobs in excess.
  addJobs(Fixture, Other, 5);
  auto Counts = countByTenant(Fixture.startAll());
  CHECK(Counts[Other] == 5);
  CHECK(Counts[Acme] == 3);
  CHECK(Fixture.status(Acme).JobsBeyondWeight == 8);
  CHECK(Fixture.status(Other).JobsBeyondWeight == 0);
}

TEST_CASE("the priority of the queue takes precedence over shares") {
  JobRank Urgent;
  Urgent.Standing = ServiceStanding::BeyondGuarantee;
  JobRank Usual;
  Usual.Priority = 1;
  CHECK(ranksBefore(Urgent, Usual, TimePoint()));
  Usual.Priority = 0;
  CHECK(ranksBefore(Usual, Urgent, TimePoint()));
  Urgent.IsLongRunning = true;
  CHECK(ranksBefore(Urgent, Usual, TimePoint()));
}

TEST_CASE("a job that can be on time waits for a tenant below its share") {
  JobRank Worthless;
  JobRank OnTime;
  OnTime.Objective = TimePoint(1h);
  const TimePoint Now(1min);
  CHECK(ranksBefore(OnTime, Worthless, Now));
  OnTime.Standing = ServiceStanding::AboveShare;
  CHECK(ranksBefore(Worthless, OnTime, Now));
}

TEST_CASE("with one tenant the order is the same as with none") {
  const auto OrderOf = [](const std::vector<tenants::Tenant> &Tenants,
                          const TenantName &Owner) {
    TenantFixture Fixture;
    Fixture.list({executor("a")});
    configure(Fixture.Planner, Tenants);
    std::vector<std::string> Started;
    for (int Round = 0; Round < 10; ++Round) {
      for (int Number = 0; Number < 12; ++Number) {
        AcceptedJob Job =
            tenantJob(std::to_string(100 * Round + Number),
                      Number % 5 == 0 ? TenantName() : Owner, {step(1)});
        Job.Accepted = Fixture.Time.now();
        Job.Spec.Steps[0].Estimate = (1 + Number * 7 % 12) * 100ms;
        Fixture.Planner.addJob(Job);
      }
      for (const StartOrder &Each : Fixture.startAll())
        Started.push_back(Each.Task.text());
      Fixture.Time.advance(300ms);
      for (size_t Ended = 0; Ended < 6; ++Ended)
        Fixture.endRun(StartOrder(Fixture.Confirmed.front()), RunEnd::Done);
    }
    return Started;
  };
  const auto Without = OrderOf({}, TenantName());
  CHECK(Without.size() > 50);
  CHECK(OrderOf({tenant(Acme, 1), tenant(Other, 1)}, Acme) == Without);
}

TEST_CASE("jobs without a tenant are served before tenants divide the rest") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  configure(Fixture.Planner, {tenant(Acme, 30), tenant(Other, 30)});
  Fixture.Planner.addJob(job("public", {step(4)}));
  CHECK(Fixture.startAll().size() == 4);
  addJobs(Fixture, Acme, 10, 100ms);
  addJobs(Fixture, Other, 10);
  auto Counts = countByTenant(Fixture.startAll());
  CHECK(Counts[Acme] == 2);
  CHECK(Counts[Other] == 2);
}

TEST_CASE("the log tells when tenants are served above or below their share") {
  std::vector<std::string> Lines;
  Planner Logged({TestService, 1,
                  [&Lines](std::string_view Event,
                           std::initializer_list<LogField> Fields) {
                    std::string Line;
                    for (const LogField &Each : Fields)
                      Line += Each.Value + " ";
                    if (Event == "tenant-share")
                      Lines.push_back(Line);
                  }});
  ManualClock Time;
  Logged.setExecutors({executor("a")});
  Logged.noteReport(ExecutorId("a"), {}, Time.now());
  configure(Logged, {tenant(Acme, 5), tenant(Other, 5)});
  Logged.addJob(tenantJob("1", Acme, {step(8)}));
  Logged.plan(Time.now(), WallTime());
  CHECK(Lines.empty());
  Logged.addJob(tenantJob("2", Other, {step(8)}));
  for (int Pass = 0; Pass < 10; ++Pass) {
    Time.advance(40ms);
    Logged.plan(Time.now(), WallTime());
  }
  CHECK(Lines == std::vector<std::string>{"acme above-share 1 0.5 5 ",
                                          "other below-share 0 0.5 5 "});
  Logged.cancel(JobId("2"), Time.now());
  Time.advance(1s);
  Logged.plan(Time.now(), WallTime());
  REQUIRE(Lines.size() == 4);
  CHECK(Lines[2].starts_with("acme at-share "));
  CHECK(Lines[3].starts_with("other at-share "));
}

namespace {

/// A pool of a few executors with four tenants of equal weight, in virtual
/// time. Each tenant usually submits a job of one core for one second every 200
/// ms, so that it uses 5 of the 25 cores.
class SharedPool {
public:
  explicit SharedPool(int FloodFactor) : FloodFactor(FloodFactor) {
    for (int Number = 0; Number < 4; ++Number)
      this->Tenants.emplace_back("t" + std::to_string(Number));
    this->Fixture.list({executor("a", 5000), executor("b", 5000),
                        executor("c", 5000), executor("d", 5000),
                        executor("e", 5000)});
    std::vector<tenants::Tenant> Declared;
    for (const TenantName &Each : this->Tenants)
      Declared.push_back(tenant(Each, 5));
    configure(this->Fixture.Planner, Declared);
  }

  /// Runs for 30 s. The flood of the first tenant begins after 5 s; from then
  /// on, the jobs that end in time are counted.
  void run() {
    constexpr int TickCount = 1500;
    constexpr int FirstCounted = 250;
    for (int Tick = 0; Tick < TickCount; ++Tick) {
      this->endDueRuns(Tick >= FirstCounted);
      if (Tick % 10 == 0)
        for (size_t Index = 0; Index < this->Tenants.size(); ++Index)
          this->submit(Index, Index == 0 && Tick >= FirstCounted
                                  ? this->FloodFactor
                                  : 1);
      for (const StartOrder &Each : this->Fixture.startAll())
        this->Running.emplace(this->Fixture.Time.now() + 1s, Each);
      if (Tick >= FirstCounted)
        this->addUse();
      this->Fixture.Time.advance(20ms);
    }
    for (auto &[Name, Cores] : this->MeanCores)
      Cores /= TickCount - FirstCounted;
  }

  std::map<TenantName, size_t> InTime;
  std::map<TenantName, double> MeanCores;
  TenantFixture Fixture;
  std::vector<TenantName> Tenants;

private:
  void submit(size_t Index, int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      const std::string Id =
          this->Tenants[Index].text() + "-" + std::to_string(++this->LastJob);
      AcceptedJob Job = tenantJob(Id, this->Tenants[Index], {step(1)});
      Job.Spec.Steps[0].Estimate = 1s;
      Job.Accepted = this->Fixture.Time.now();
      this->Accepted[JobId(Id)] = Job.Accepted;
      this->Fixture.Planner.addJob(std::move(Job));
    }
  }

  void endDueRuns(bool IsCounted) {
    const TimePoint Now = this->Fixture.Time.now();
    while (!this->Running.empty() && this->Running.begin()->first <= Now) {
      const StartOrder Order = this->Running.begin()->second;
      this->Running.erase(this->Running.begin());
      this->Fixture.endRun(Order, RunEnd::Done);
      this->Fixture.store();
      const JobId &Job = Order.Task.Step.Job;
      // The fixture's policy: 0.6 s more than 1.6 times the critical path.
      if (IsCounted && Now <= this->Accepted[Job] + 2200ms)
        ++this->InTime[TenantName(Job.text().substr(0, 2))];
    }
  }

  void addUse() {
    for (const TenantName &Each : this->Tenants)
      this->MeanCores[Each] +=
          static_cast<double>(this->Fixture.status(Each).Use.MilliCores) /
          MilliCoresPerCore;
  }

  int FloodFactor = 1;
  int LastJob = 0;
  std::multimap<TimePoint, StartOrder> Running;
  std::map<JobId, TimePoint> Accepted;
};

} // namespace

TEST_CASE("ten times the usual load of one tenant costs the others no more "
          "than 0.02 of what they are served") {
  SharedPool Usual(1);
  Usual.run();
  SharedPool Flooded(10);
  Flooded.run();
  for (size_t Index = 1; Index < 4; ++Index) {
    const TenantName &Name = Usual.Tenants[Index];
    REQUIRE(Usual.InTime[Name] >= 120);
    CHECK(static_cast<double>(Flooded.InTime[Name]) >=
          0.98 * static_cast<double>(Usual.InTime[Name]));
    // What each of them demands, out of 25 cores.
    CHECK(Usual.MeanCores[Name] == Approx(5).epsilon(0.02));
    CHECK(Flooded.MeanCores[Name] == Approx(5).epsilon(0.02));
  }
  // The rest of the pool.
  const TenantName &Flooding = Flooded.Tenants[0];
  CHECK(Usual.MeanCores[Flooding] == Approx(5).epsilon(0.02));
  CHECK(Flooded.MeanCores[Flooding] == Approx(10).epsilon(0.02));
  CHECK(Flooded.Fixture.status(Flooding).EntitledPart ==
        Approx(0.4).epsilon(0.02));
}
