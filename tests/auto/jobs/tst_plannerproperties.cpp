#include "tenantfixture.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

namespace {

/// An executor that behaves as the platform specifies.
struct SimulatedExecutor {
  ExecutorInfo Info;
  uint64_t HighestToken = 0;
  std::map<TaskKey, uint64_t> Running;
  /// Highest run number that was stopped or has ended, by task.
  std::map<TaskKey, uint64_t> Barred;
  std::vector<EndReport> Ended;
  uint64_t LastEnd = 0;

  int64_t used() const {
    return static_cast<int64_t>(this->Running.size()) * 1000;
  }
};

/// An order in flight, with the fencing token of the planner that issued it.
struct InFlightOrder {
  std::variant<StartOrder, StopOrder> Given;
  uint64_t Token = 0;
};

/// Executors, a store and a planner that may be replaced. Orders and answers
/// may be lost, delayed or reordered.
class SimulatedCluster {
public:
  /// If \p ReviewsAll is set, the planner determines anew before each pass what
  /// every job can start.
  /// With \p HasTenants, the jobs belong to tenants with small maximums, whose
  /// shares and maximums change. If \p InterruptsPasses is set, each pass is
  /// interrupted after each task, and anything may happen before it goes on.
  explicit SimulatedCluster(bool ReviewsAll = false, bool HasTenants = false,
                            bool ReservesRoom = false,
                            bool InterruptsPasses = false)
      : ReviewsAll(ReviewsAll), HasTenants(HasTenants),
        ReservesRoom(ReservesRoom), InterruptsPasses(InterruptsPasses) {
    for (int Number = 0; Number < 3; ++Number)
      this->addExecutor();
    this->replacePlanner();
    StepSpec Second = step(2);
    Second.Dependencies = {0};
    for (const std::string Id : {"1", "2"}) {
      AcceptedJob Job = job(Id, {step(3), Second}, 3);
      if (HasTenants)
        Job.Tenant = Id == "1" ? Acme : Other;
      this->Accepted.push_back(Job);
      this->Planner->addJob(Job);
    }
  }

  void perform(uint8_t Action, size_t Choice) {
    this->Time.advance(std::chrono::milliseconds(50));
    if (this->HasTenants && Choice % 6 == 5)
      this->changeQuota(Choice / 6);
    switch (Action % 10) {
    case 0:
    case 1:
      this->plan();
      break;
    case 2:
    case 3:
      this->deliver(Choice, true);
      break;
    case 4:
      this->deliver(Choice, Choice % 3 != 0);
      break;
    case 5:
    case 6:
      this->report(Choice);
      break;
    case 7:
      this->endFirstRun(Choice);
      break;
    case 8:
      this->store(Choice % 4 != 0);
      break;
    case 9:
      if (Choice % 7 == 0)
        this->crashExecutor(Choice);
      else if (Choice % 5 == 0)
        this->replacePlanner();
      break;
    }
  }

  /// Text of all orders so far.
  const std::string &orders() const { return this->Orders; }
  /// Number of starts of tenants that had a maximum then.
  size_t limitedStarts() const { return this->LimitedStarts; }

private:
  void addExecutor() {
    SimulatedExecutor Added;
    Added.Info = executor("e" + std::to_string(++this->LastExecutor), 3000);
    this->Executors.push_back(Added);
  }

  std::vector<ExecutorInfo> list() const {
    std::vector<ExecutorInfo> Infos;
    for (const SimulatedExecutor &Each : this->Executors)
      Infos.push_back(Each.Info);
    return Infos;
  }

  void replacePlanner() {
    ++this->Token;
    this->Planner = std::make_unique<jobs::Planner>(
        PlannerSetup{TestService, this->Token, {}, this->ReservesRoom, [this] {
                       return this->InterruptsPasses;
                     }});
    if (this->HasTenants) {
      this->reviewAll();
      this->Planner->adoptQuota(this->Granted);
      this->Planner->setMayStartLimited(this->MayStartLimited);
    }
    this->Planner->beginExecutorDiscovery();
    for (const AcceptedJob &Job : this->Accepted) {
      const auto Found = this->Stored.find(Job.Spec.Id);
      if (Found != this->Stored.end() && isFinal(Found->second.State)) {
        this->Planner->restoreFinalJob(Job.Spec.Id, Found->second.State);
        continue;
      }
      AcceptedJob Restored = Job;
      Restored.MayHaveRun = true;
      this->Planner->restoreJob(
          Restored, Found == this->Stored.end() ? JobProgress() : Found->second,
          this->Time.now());
    }
    this->Planner->setExecutors(this->list());
    std::vector<ExecutorId> Ids;
    for (const ExecutorInfo &Info : this->list())
      Ids.push_back(Info.Id);
    this->Planner->awaitReports(Ids);
    this->Planner->endExecutorDiscovery();
    if (this->HasTenants)
      this->addNewJob();
  }

  /// Adopting the policies makes the planner review all jobs.
  void reviewAll() {
    FleetConfiguration Unchanged;
    Unchanged.Queues = {job("any", {}, 3).Policy};
    for (const auto &[Tenant, Maximum] : this->Maximums)
      if (this->HasTenants)
        Unchanged.Tenants.push_back(tenant(Tenant, 100, Maximum));
    this->Planner->setQueues(QueueTable(Unchanged));
  }

  /// Changes a maximum, or grants other shares.
  void changeQuota(size_t Choice) {
    const TenantName &Tenant = Choice % 2 == 0 ? Acme : Other;
    const auto Cores = static_cast<int64_t>(Choice / 2 % 5);
    switch (Choice / 10 % 3) {
    case 0:
      this->Maximums[Tenant] = {Cores * 1000, 0, 0};
      this->reviewAll();
      break;
    case 1: {
      const ComputeResources Maximum = this->Maximums[Tenant];
      this->Granted.Tenants[Tenant] = {
          {std::min(Cores * 1000, Maximum.MilliCores), 0, 0}, Maximum};
      ++this->Granted.Plan;
      this->Planner->adoptQuota(this->Granted);
      break;
    }
    case 2:
      this->MayStartLimited = Cores != 0;
      this->Planner->setMayStartLimited(this->MayStartLimited);
      break;
    }
  }

  /// The share in force, std::nullopt if the tenant has no maximum.
  std::optional<int64_t> shareOf(const TenantName &Tenant) const {
    const auto Maximum = this->Maximums.find(Tenant);
    if (Maximum == this->Maximums.end() || Maximum->second.MilliCores == 0)
      return std::nullopt;
    const auto Grant = this->Granted.Tenants.find(Tenant);
    if (Grant == this->Granted.Tenants.end() ||
        Grant->second.Maximum.MilliCores == 0)
      return 0;
    const auto &[Share, Under] = Grant->second;
    return std::min(Share.MilliCores, Share.MilliCores *
                                          Maximum->second.MilliCores /
                                          Under.MilliCores);
  }

  TenantName tenantOf(const JobId &Id) const {
    for (const AcceptedJob &Each : this->Accepted)
      if (Each.Spec.Id == Id)
        return Each.Tenant;
    return {};
  }

  /// What the tenant really has running.
  int64_t running(const TenantName &Tenant) const {
    int64_t Sum = 0;
    for (const SimulatedExecutor &Each : this->Executors)
      for (const auto &[Task, Run] : Each.Running)
        if (this->tenantOf(Task.Step.Job) == Tenant)
          Sum += 1000;
    return Sum;
  }

  /// Adds a job that no earlier planner has known, so that it may start before
  /// the executors have reported.
  void addNewJob() {
    const std::string Id = "new" + std::to_string(this->Token);
    AcceptedJob Job = tenantJob(Id, this->Token % 2 == 0 ? Acme : Other,
                                {step(1 + this->Token % 2)});
    Job.Policy.MaxAttempts = 3;
    this->Accepted.push_back(Job);
    this->Planner->addJob(Job);
  }

  /// Called after a pass that has started a task.
  void checkQuota(const TaskKey &Started) {
    const TenantName Tenant = this->tenantOf(Started.Step.Job);
    const std::optional<int64_t> Share = this->shareOf(Tenant);
    if (!this->HasTenants || !Share)
      return;
    const int64_t Use = this->Planner->quotaReport(this->Time.now())
                            .Tenants.at(Tenant)
                            .InUse.MilliCores;
    if (!this->MayStartLimited)
      this->fail("started while nothing limited may start");
    if (Use > *Share)
      this->fail("started beyond the share: " + Started.text());
    if (this->running(Tenant) > Use)
      this->fail("more is running than the planner counts");
    ++this->LimitedStarts;
  }

  void plan() {
    if (this->ReviewsAll)
      this->reviewAll();
    this->Planner->plan(this->Time.now(), WallTime());
    for (const Order &Given : this->Planner->takeOrders()) {
      if (const auto *Start = std::get_if<StartOrder>(&Given)) {
        this->InFlight.push_back({*Start, this->Token});
        this->checkQuota(Start->Task);
      } else if (const auto *Stop = std::get_if<StopOrder>(&Given)) {
        this->InFlight.push_back({*Stop, this->Token});
      }
      std::visit([this](const auto &Each) { this->record(Each); }, Given);
    }
  }

  template <typename OrderType> void record(const OrderType &Given) {
    if constexpr (requires { Given.Run; })
      this->Orders += Given.Executor.text() + " " + Given.Task.text() + " " +
                      std::to_string(Given.Run) + "\n";
  }

  SimulatedExecutor *find(const ExecutorId &Id) {
    for (SimulatedExecutor &Each : this->Executors)
      if (Each.Info.Id == Id)
        return &Each;
    return nullptr;
  }

  void deliver(size_t Choice, bool IsAnswered) {
    if (this->InFlight.empty())
      return;
    const auto Place = this->InFlight.begin() +
                       static_cast<long>(Choice % this->InFlight.size());
    const InFlightOrder Order = *Place;
    // An order that was not answered may be delivered again later.
    if (IsAnswered || Choice % 2 == 0)
      this->InFlight.erase(Place);
    if (const auto *Start = std::get_if<StartOrder>(&Order.Given))
      this->deliverStart(*Start, Order.Token, IsAnswered);
    else
      this->deliverStop(std::get<StopOrder>(Order.Given), Order.Token,
                        IsAnswered);
  }

  void deliverStart(const StartOrder &Order, uint64_t OrderToken,
                    bool IsAnswered) {
    StartOutcome Outcome = StartOutcome::OtherIncarnation;
    if (SimulatedExecutor *On = this->find(Order.Executor)) {
      if (OrderToken < On->HighestToken)
        Outcome = StartOutcome::Fenced;
      else {
        On->HighestToken = OrderToken;
        Outcome = this->begin(*On, Order);
      }
    }
    if (OrderToken != this->Token)
      return;
    this->Planner->noteStart(Order,
                             IsAnswered ? Outcome : StartOutcome::Unknown,
                             ++this->Clock, this->Time.now());
  }

  StartOutcome begin(SimulatedExecutor &On, const StartOrder &Order) {
    const auto Present = On.Running.find(Order.Task);
    if (Present != On.Running.end() && Present->second == Order.Run)
      return StartOutcome::Started;
    const auto HighestBarred = On.Barred.find(Order.Task);
    if (HighestBarred != On.Barred.end() && Order.Run <= HighestBarred->second)
      return StartOutcome::Outdated;
    if (On.used() + 1000 > On.Info.Capacity.MilliCores)
      return StartOutcome::NoRoom;
    this->checkStart(Order);
    On.Running[Order.Task] = Order.Run;
    return StartOutcome::Started;
  }

  void fail(const std::string &Violation) {
    std::fprintf(stderr, "%s\n", Violation.c_str());
    RC_FAIL("an invariant is violated");
  }

  void checkStart(const StartOrder &Order) {
    for (const SimulatedExecutor &Each : this->Executors)
      if (Each.Running.contains(Order.Task))
        this->fail("two runs of " + Order.Task.text());
    if (this->CompletedAndDiscarded.contains(Order.Task))
      this->fail("a start after the completion of " + Order.Task.text());
    if (Order.Task.Step.Index == 1)
      for (size_t Index = 0; Index < 3; ++Index)
        if (!this->Completed.contains({{Order.Task.Step.Job, 0, 0}, Index}))
          this->fail("started before the previous step completed: " +
                     Order.Task.text());
    if (this->Failed[Order.Task].size() >= 3)
      this->fail("more attempts than allowed: " + Order.Task.text());
  }

  void deliverStop(const StopOrder &Order, uint64_t OrderToken,
                   bool IsAnswered) {
    SimulatedExecutor *On = this->find(Order.Executor);
    if (!On || OrderToken < On->HighestToken)
      return;
    On->HighestToken = OrderToken;
    uint64_t &HighestBarred = On->Barred[Order.Task];
    HighestBarred = std::max(HighestBarred, Order.Run);
    const auto Present = On->Running.find(Order.Task);
    if (Present != On->Running.end() && Present->second == Order.Run)
      this->end(*On, Order.Task, RunEnd::Stopped);
    if (OrderToken == this->Token)
      this->Planner->noteStop(Order,
                              IsAnswered
                                  ? std::optional<ExecutorTime>(++this->Clock)
                                  : std::nullopt,
                              this->Time.now());
  }

  void end(SimulatedExecutor &On, TaskKey Task, RunEnd How) {
    const uint64_t Run = On.Running.at(Task);
    On.Running.erase(Task);
    uint64_t &HighestBarred = On.Barred[Task];
    HighestBarred = std::max(HighestBarred, Run);
    On.Ended.push_back({++On.LastEnd, Task, Run, How, ""});
    if (How == RunEnd::Done)
      this->Completed.insert(Task);
  }

  void endFirstRun(size_t Choice) {
    for (SimulatedExecutor &Each : this->Executors)
      if (!Each.Running.empty()) {
        this->end(Each, Each.Running.begin()->first,
                  Choice % 4 == 0 ? RunEnd::Failed : RunEnd::Done);
        return;
      }
  }

  void report(size_t Choice) {
    SimulatedExecutor &Reporter =
        this->Executors[Choice % this->Executors.size()];
    Reporter.HighestToken = std::max(Reporter.HighestToken, this->Token);
    const uint64_t LastDiscardable =
        this->Planner->lastDiscardableEnd(Reporter.Info.Id);
    for (const EndReport &End : Reporter.Ended) {
      if (End.Number > LastDiscardable)
        break;
      if (End.Outcome == RunEnd::Done)
        this->CompletedAndDiscarded.insert(End.Task);
      if (End.Outcome == RunEnd::Failed)
        this->Failed[End.Task].insert(End.Run);
    }
    std::erase_if(Reporter.Ended, [&](const EndReport &End) {
      return End.Number <= LastDiscardable;
    });
    ExecutorReport Report;
    Report.At = ++this->Clock;
    Report.Ended = Reporter.Ended;
    for (const auto &[Task, Run] : Reporter.Running)
      Report.Running.push_back({Task, Run, "", 50, 0});
    this->Planner->noteReport(Reporter.Info.Id, Report, this->Time.now());
  }

  void store(bool IsWritten) {
    const auto Writes = this->Planner->takeWrites(100);
    if (!IsWritten) {
      this->Planner->noteWriteFailed(Writes);
      return;
    }
    for (const JobWrite &Write : Writes)
      this->Stored[Write.Job] = Write.Progress;
    this->Planner->noteWritten(Writes);
  }

  void crashExecutor(size_t Choice) {
    const size_t Place = Choice % this->Executors.size();
    const ExecutorId Lost = this->Executors[Place].Info.Id;
    this->Executors.erase(this->Executors.begin() + static_cast<long>(Place));
    this->addExecutor();
    this->Planner->noteEmpty(Lost, ExecutorLoss::Replaced, this->Time.now());
    this->Planner->setExecutors(this->list());
  }

  bool ReviewsAll = false;
  bool HasTenants = false;
  std::map<TenantName, ComputeResources> Maximums = {{Acme, {2000, 0, 0}},
                                                     {Other, {3000, 0, 0}}};
  tenants::QuotaGrants Granted = {1,
                                  {{Acme, {{2000, 0, 0}, {2000, 0, 0}}},
                                   {Other, {{1000, 0, 0}, {3000, 0, 0}}}}};
  bool MayStartLimited = true;
  size_t LimitedStarts = 0;
  bool ReservesRoom = false;
  bool InterruptsPasses = false;
  std::string Orders;
  ManualClock Time;
  std::unique_ptr<jobs::Planner> Planner;
  std::vector<AcceptedJob> Accepted;
  std::vector<SimulatedExecutor> Executors;
  std::vector<InFlightOrder> InFlight;
  std::map<JobId, JobProgress> Stored;
  /// Completed tasks whose end an executor was told to discard.
  std::set<TaskKey> CompletedAndDiscarded;
  std::set<TaskKey> Completed;
  std::map<TaskKey, std::set<uint64_t>> Failed;
  uint64_t Token = 0;
  int LastExecutor = 0;
  ExecutorTime Clock = 1000;
};

} // namespace

TEST_CASE(
    "no interleaving of losses, delays and take-overs violates an invariant") {
  CHECK(rc::check("planner", [] {
    SimulatedCluster Cluster;
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            400, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions)
      Cluster.perform(Action, Choice);
  }));
}

// Guards against starts beyond a share that a tenant's planner counts wrongly
// after losses, late starts and take-overs.
TEST_CASE("no interleaving starts anything beyond the share of a tenant") {
  size_t LimitedStarts = 0;
  CHECK(rc::check("quota", [&LimitedStarts] {
    SimulatedCluster Cluster(false, true);
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            400, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions)
      Cluster.perform(Action, Choice);
    LimitedStarts += Cluster.limitedStarts();
  }));
  CHECK(LimitedStarts > 100);
}

// Guards against reservations that break a rule: each task needs a third of an
// executor, so room is reserved for every one that waits.
TEST_CASE("reservations violate no invariant under losses and take-overs") {
  CHECK(rc::check("planner with reservations", [] {
    SimulatedCluster Cluster(false, false, true);
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            400, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions)
      Cluster.perform(Action, Choice);
  }));
}

// Guards against reservations that start tasks beyond a share.
TEST_CASE("reservations start nothing beyond the share of a tenant") {
  CHECK(rc::check("quota with reservations", [] {
    SimulatedCluster Cluster(false, true, true);
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            400, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions)
      Cluster.perform(Action, Choice);
  }));
}

// Guards against a job that waits for good because the planner does not look at
// it again after a change.
static void checkSameOrders(bool HasTenants) {
  CHECK(rc::check("same orders", [HasTenants] {
    SimulatedCluster Changed(false, HasTenants);
    SimulatedCluster All(true, HasTenants);
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            400, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions) {
      Changed.perform(Action, Choice);
      All.perform(Action, Choice);
      RC_ASSERT(Changed.orders() == All.orders());
    }
  }));
}

TEST_CASE("passes over changed jobs give the same orders as passes over all") {
  checkSameOrders(false);
}

TEST_CASE("passes over changed jobs of tenants give the same orders, too") {
  checkSameOrders(true);
}

// Guards against passes that act on what was true before they were interrupted.
TEST_CASE("interrupted passes violate no invariant") {
  CHECK(rc::check("interrupted passes", [](bool HasTenants, bool ReservesRoom) {
    SimulatedCluster Cluster(false, HasTenants, ReservesRoom, true);
    const auto Actions =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
            400, rc::gen::arbitrary<std::pair<uint8_t, uint16_t>>());
    for (const auto &[Action, Choice] : Actions)
      Cluster.perform(Action, Choice);
  }));
}
