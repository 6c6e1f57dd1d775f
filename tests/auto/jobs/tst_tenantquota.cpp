// Guards against starts beyond a tenant's share of its quota, and against jobs
// that wait because of the quota of another tenant.

#include "tenantfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using namespace std::chrono_literals;

TEST_CASE("a tenant starts no more than its share, and goes on when a run is "
          "over or a grant arrives") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({6000, 0, 0});
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(8)}));
  CHECK(Fixture.startAll().empty());
  Fixture.grant({2000, 0, 0});
  const auto First = Fixture.startAll();
  CHECK(First.size() == 2);
  CHECK(Fixture.startAll().empty());
  CHECK(Fixture.use().InUse == ComputeResources{2000, 200, 0});
  Fixture.endRun(First[0], RunEnd::Done);
  CHECK(Fixture.use().InUse == ComputeResources{1000, 100, 0});
  CHECK(Fixture.startAll().size() == 1);
  Fixture.grant({5000, 0, 0});
  CHECK(Fixture.startAll().size() == 3);
}

// Guards against starts while the configuration, and with it the maximum, may
// be out of date.
TEST_CASE("tenants with a maximum start nothing unless that is allowed") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({6000, 0, 0});
  Fixture.grant({6000, 0, 0});
  Fixture.Planner.setMayStartLimited(false);
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(1)}));
  Fixture.Planner.addJob(tenantJob("2", Other, {step(1)}));
  Fixture.Planner.addJob(job("3", {step(1)}));
  CHECK(Fixture.startAll().size() == 2);
  Fixture.Planner.setMayStartLimited(true);
  CHECK(Fixture.startAll().size() == 1);
}

TEST_CASE("a job that is held back blocks no other job") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({1000, 0, 0});
  Fixture.grant({1000, 0, 0});
  StepSpec Lasting = step(1, 2000);
  Lasting.IsLongRunning = true;
  Fixture.Planner.addJob(tenantJob("1", Acme, {Lasting}));
  Fixture.Planner.addJob(tenantJob("2", Acme, {step(2, 1500)}));
  // The later jobs need more than those that are held back.
  Fixture.Planner.addJob(tenantJob("3", Other, {step(2, 2000)}));
  Fixture.Planner.addJob(job("4", {step(1, 4000)}));
  const auto Starts = Fixture.startAll();
  REQUIRE(Starts.size() == 3);
  for (const StartOrder &Each : Starts)
    CHECK(Each.Task.Step.Job > JobId("2"));
}

TEST_CASE("work that is held back adds no demand for machines") {
  TenantFixture Fixture;
  Fixture.list({executor("a", 1000)});
  Fixture.limit({4000, 0, 0});
  Fixture.grant({1000, 0, 0});
  AcceptedJob Given = tenantJob("1", Acme, {step(4)});
  Given.Accepted = Fixture.Time.now();
  Fixture.Planner.addJob(Given);
  // A quarter of four tasks of 0.5 core-seconds.
  const TimePoint Now = Fixture.Time.now();
  CHECK(Fixture.Planner.demand(Now).WaitingWork == Approx(0.5));
  CHECK(Fixture.startAll().size() == 1);
  CHECK(Fixture.Planner.demand(Now).WaitingWork == 0);
  Fixture.grant({3000, 0, 0});
  CHECK(Fixture.Planner.demand(Now).WaitingWork == Approx(1));
  StepSpec Lasting = step(3);
  Lasting.IsLongRunning = true;
  Fixture.Planner.addJob(tenantJob("2", Acme, {Lasting}));
  CHECK(Fixture.Planner.demand(Now).Displaced == 2);
}

TEST_CASE("a gang starts as a whole or not at all") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({8000, 0, 0});
  Fixture.grant({3000, 0, 0});
  StepSpec Gang = step(4);
  Gang.IsGang = true;
  Fixture.Planner.addJob(tenantJob("1", Acme, {Gang}));
  CHECK(Fixture.startAll().empty());
  CHECK(Fixture.use().LargestWaiting == ComputeResources{4000, 400, 0});
  Fixture.grant({4000, 0, 0});
  CHECK(Fixture.startAll().size() == 4);
}

TEST_CASE("best-effort tasks count with the processor time they declare") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({2000, 0, 0});
  Fixture.grant({2000, 0, 0});
  StepSpec Filling = step(5);
  Filling.IsBestEffort = true;
  Fixture.Planner.addJob(tenantJob("1", Acme, {Filling}));
  CHECK(Fixture.startAll().size() == 2);
  CHECK(Fixture.use().InUse.MilliCores == 2000);
}

TEST_CASE("when the maximum falls, nothing starts until enough runs are over") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({8000, 0, 0});
  Fixture.grant({4000, 0, 0});
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(8)}));
  const auto First = Fixture.startAll();
  REQUIRE(First.size() == 4);
  // The share falls to 2000.
  Fixture.limit({4000, 0, 0});
  for (size_t Ended = 0; Ended < 2; ++Ended) {
    Fixture.endRun(First[Ended], RunEnd::Done);
    CHECK(Fixture.startAll().empty());
  }
  Fixture.endRun(First[2], RunEnd::Done);
  CHECK(Fixture.startAll().size() == 1);
}

// Guards against jobs of a removed tenant that never start: the coordinator of
// the quotas may have been replaced since and grants the tenant nothing.
TEST_CASE("the jobs of a tenant that is removed go on without a maximum") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({2000, 0, 0});
  Fixture.grant({2000, 0, 0});
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(3)}));
  CHECK(Fixture.startAll().size() == 2);
  configure(Fixture.Planner, {});
  Fixture.Planner.setMayStartLimited(false);
  CHECK(Fixture.startAll().size() == 1);
  CHECK(Fixture.status(Acme).Maximum == ComputeResources());
  CHECK(Fixture.Planner.quotaReport(Fixture.Time.now()).Tenants.empty());
}

// Guards against shares that are asked for a task which no share can hold.
TEST_CASE("a step that needs more than the maximum at once asks for nothing") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({2000, 0, 0});
  StepSpec Large = step(1);
  Large.Need.MilliCores = 3000;
  Fixture.Planner.addJob(tenantJob("1", Acme, {Large}));
  Fixture.Planner.addJob(tenantJob("2", Acme, {step(1)}));
  CHECK(Fixture.startAll().empty());
  const auto Report = Fixture.Planner.quotaReport(Fixture.Time.now());
  CHECK(Report.Tenants.at(Acme).Waiting.MilliCores == 1000);
  CHECK(Report.Tenants.at(Acme).LargestWaiting.MilliCores == 1000);
}

TEST_CASE("a run counts until its end is listed") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({1000, 0, 0});
  Fixture.grant({1000, 0, 0});
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(1)}));
  const auto First = Fixture.starts();
  REQUIRE(First.size() == 1);
  Fixture.Planner.addJob(tenantJob("2", Acme, {step(1)}));

  SECTION("after the job was cancelled") {
    Fixture.confirm(First[0]);
    Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
    Fixture.store();
    CHECK(Fixture.starts().empty());
    Fixture.endRun(First[0], RunEnd::Stopped);
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("after it failed") {
    Fixture.confirm(First[0]);
    CHECK(Fixture.starts().empty());
    Fixture.endRun(First[0], RunEnd::Failed);
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("while it is not known whether it has started") {
    Fixture.Planner.noteStart(First[0], StartOutcome::Unknown, 0,
                              Fixture.Time.now());
    CHECK(Fixture.starts().empty());
    Fixture.Time.advance(2s);
    Fixture.report("a", {}, {});
    const auto Stops = Fixture.takeOrders<StopOrder>();
    REQUIRE(Stops.size() == 1);
    CHECK(Fixture.starts().empty());
    SECTION("and it is carried out late") {
      Fixture.report("a", {{First[0].Task, 1, "", 10, 0}}, {});
      CHECK(Fixture.starts().empty());
      CHECK(Fixture.use().InUse.MilliCores == 1000);
    }
    SECTION("and it is prevented") {
      Fixture.Planner.noteStop(Stops[0], ++Fixture.ExecutorNow,
                               Fixture.Time.now());
      Fixture.report("a", {}, {});
      CHECK(Fixture.starts().size() == 1);
    }
  }
  SECTION("or its start is refused") {
    Fixture.Planner.noteStart(First[0], StartOutcome::NoRoom, 0,
                              Fixture.Time.now());
    CHECK(Fixture.use().InUse == ComputeResources());
  }
  SECTION("or its executor is lost") {
    Fixture.Planner.noteEmpty(ExecutorId("a"), ExecutorLoss::MachineLost,
                              Fixture.Time.now());
    CHECK(Fixture.use().InUse == ComputeResources());
  }
}

TEST_CASE("the runs of an earlier planner count once they are reported") {
  TenantFixture Fixture(2);
  Fixture.limit({3000, 0, 0});
  Fixture.grant({3000, 0, 0});
  AcceptedJob Given = tenantJob("1", Acme, {step(4)});
  Given.MayHaveRun = true;
  Fixture.Planner.restoreJob(Given, {}, Fixture.Time.now());
  Fixture.Planner.setExecutors({executor("a")});
  const StepKey Step{JobId("1"), 0, 0};
  Fixture.report("a", {{{Step, 0}, 1, "", 10, 0}, {{Step, 1}, 1, "", 10, 0}},
                 {});
  CHECK(Fixture.use().InUse == ComputeResources{2000, 200, 0});
  CHECK(Fixture.startAll().size() == 1);
}

TEST_CASE("after a take-over, executors that have not reported count as in use "
          "by every tenant") {
  TenantFixture Fixture(2);
  Fixture.limit({20'000, 0, 0});
  Fixture.grant({10'000, 0, 0});
  Fixture.Planner.beginExecutorDiscovery();
  Fixture.Planner.setExecutors({executor("a"), executor("b")});
  Fixture.report("a", {}, {});
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(4)}));
  Fixture.Planner.addJob(tenantJob("2", Other, {step(1)}));
  // What runs on executors that are still being discovered is not bounded.
  CHECK(Fixture.startAll().size() == 1);
  CHECK(Fixture.use().InUse.MilliCores > 20'000);
  Fixture.Planner.awaitReports({ExecutorId("b")});

  SECTION("with their capacity") {
    Fixture.Planner.endExecutorDiscovery();
    CHECK(Fixture.use().InUse.MilliCores == 8000);
    CHECK(Fixture.startAll().size() == 2);
    Fixture.report("b", {}, {});
    CHECK(Fixture.startAll().size() == 2);
    CHECK(Fixture.use().InUse.MilliCores == 4000);
  }
  SECTION("until their leases have expired") {
    Fixture.Planner.endExecutorDiscovery();
    Fixture.Planner.noteEmpty(ExecutorId("b"), ExecutorLoss::LeasesExpired,
                              Fixture.Time.now());
    CHECK(Fixture.use().InUse.MilliCores == 0);
  }
  SECTION("without a bound if they are not listed") {
    Fixture.Planner.awaitReports({ExecutorId("hidden")});
    Fixture.Planner.endExecutorDiscovery();
    Fixture.report("b", {}, {});
    CHECK(Fixture.startAll().empty());
    Fixture.Planner.noteEmpty(ExecutorId("hidden"), ExecutorLoss::MachineLost,
                              Fixture.Time.now());
    CHECK(Fixture.startAll().size() == 4);
  }
}

// Guards against a pool in which tenants wait whenever a machine joins it: an
// earlier planner has no runs there.
TEST_CASE("executors that join later do not count before they report") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({2000, 0, 0});
  Fixture.grant({2000, 0, 0});
  Fixture.Planner.setExecutors({executor("a"), executor("b")});
  Fixture.Planner.addJob(tenantJob("1", Acme, {step(4)}));
  CHECK(Fixture.startAll().size() == 2);
}

TEST_CASE("an executor with runs of an unknown job counts with what no known "
          "run has booked") {
  TenantFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.limit({20'000, 0, 0});
  Fixture.grant({10'000, 0, 0});
  Fixture.Planner.addJob(tenantJob("1", Other, {step(1, 3000)}));
  const auto First = Fixture.startAll();
  REQUIRE(First.size() == 1);
  const RunReport Unknown{{{JobId("unknown"), 0, 0}, 0}, 1, "", 10, 0};
  Fixture.report(First[0].Executor.text(),
                 {Unknown, {First[0].Task, First[0].Run, "", 10, 0}}, {});
  CHECK(Fixture.use().InUse.MilliCores == 5000);
  Fixture.Planner.addJob(tenantJob("2", Acme, {step(8)}));
  CHECK(Fixture.startAll().size() == 5);
  // The unknown run is over.
  std::vector<RunReport> Known;
  for (const StartOrder &Each : Fixture.Confirmed)
    if (Each.Executor == First[0].Executor)
      Known.push_back({Each.Task, Each.Run, "", 10, 0});
  Fixture.report(First[0].Executor.text(), Known, {});
  CHECK(Fixture.use().InUse.MilliCores == 5000);
  CHECK(Fixture.startAll().size() == 3);
}

TEST_CASE("the report tells what waits and for how long") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({2000, 0, 0});
  Fixture.grant({2000, 0, 0});
  StepSpec Second = step(2, 1500);
  Second.Dependencies = {0};
  AcceptedJob Given = tenantJob("1", Acme, {step(3), Second});
  Given.Accepted = Fixture.Time.now();
  Fixture.Planner.addJob(Given);
  Fixture.Time.advance(300ms);
  CHECK(Fixture.use().Waiting == ComputeResources{3000, 300, 0});
  CHECK(Fixture.use().LongestWait == 300ms);
  const auto First = Fixture.startAll();
  REQUIRE(First.size() == 2);
  // The report is exact between two passes too.
  CHECK(Fixture.use().InUse == ComputeResources{2000, 200, 0});
  CHECK(Fixture.use().Waiting == ComputeResources{1000, 100, 0});
  CHECK(Fixture.use().LargestWaiting == ComputeResources{1000, 100, 0});
  CHECK(Fixture.Planner.quotaReport(Fixture.Time.now()).ConfirmedPlan == 1);
  CHECK(Fixture.status(Acme).IsHeldBack);
  CHECK(Fixture.status(Acme).Use == ComputeResources{2000, 200, 0});
  CHECK(Fixture.status(Acme).Share.MilliCores == 2000);
  CHECK_FALSE(Fixture.status(Other).IsHeldBack);
  Fixture.endRun(First[0], RunEnd::Done);
  Fixture.endRun(First[1], RunEnd::Done);
  const auto Third = Fixture.startAll();
  REQUIRE(Third.size() == 1);
  CHECK(Fixture.use().Waiting == ComputeResources());
  Fixture.endRun(Third[0], RunEnd::Done);
  CHECK(Fixture.use().Waiting == ComputeResources{3000, 200, 0});
  CHECK(Fixture.use().LargestWaiting == ComputeResources{1500, 100, 0});
}

// Guards against a share that is never enlarged for a periodic job, whose
// occurrences become due without any event.
TEST_CASE("due occurrences of a periodic job wait") {
  TenantFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.limit({2000, 0, 0});
  Fixture.grant({500, 0, 0});
  AcceptedJob Given = tenantJob("1", Acme, {step(1)});
  Given.Spec.Repetitions = 3;
  Given.Spec.Interval = 1s;
  Fixture.Planner.addJob(Given);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(1s));
  CHECK(Fixture.use().Waiting == ComputeResources{2000, 200, 0});
}

TEST_CASE("the log tells when a tenant is held back, at most once per second") {
  std::vector<std::string> Lines;
  Planner Logged({TestService, 1,
                  [&Lines](std::string_view Event,
                           std::initializer_list<LogField> Fields) {
                    if (Event != "tenant-quota")
                      return;
                    std::string Line;
                    for (const LogField &Each : Fields)
                      Line += Each.Key + "=" + Each.Value + " ";
                    Lines.push_back(Line);
                  }});
  ManualClock Time;
  Logged.setExecutors({executor("a")});
  Logged.noteReport(ExecutorId("a"), {}, Time.now());
  configure(Logged, {tenant(Acme, 5, {4000, 0, 0})});
  Logged.addJob(tenantJob("1", Acme, {step(1)}));
  for (int Pass = 0; Pass < 20; ++Pass) {
    Logged.setMayStartLimited(Pass % 2 == 0);
    Logged.plan(Time.now(), WallTime());
    Time.advance(40ms);
  }
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0] == "tenant=acme held-back=yes use=0/0/0 share=0/0/0 "
                    "maximum=4000/0/0 waiting=1000/100/0 ");
  Time.advance(1s);
  Logged.setMayStartLimited(true);
  Logged.adoptQuota({1, {{Acme, {{4000, 0, 0}, {4000, 0, 0}}}}});
  Logged.plan(Time.now(), WallTime());
  REQUIRE(Lines.size() == 2);
  CHECK(Lines[1].find("held-back=no") != std::string::npos);
}
