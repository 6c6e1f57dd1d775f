#include "quotacoordinator.h"
#include "steppedloop.h"
#include "storekeys.h"

#include "whintack/simulation/memorystore.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TenantName Tenant("acme");
const EntryName Platform("platform");

/// What runs in one service, and its planner. The runs outlive the planner.
struct SimulatedService {
  uint64_t Token = 0;
  /// Number and contents of the shares that the planner applies.
  tenants::QuotaGrants Granted;
  /// The maximum in the configuration that the planner knows.
  int64_t Maximum = 0;
  std::vector<int64_t> Runs;
  int64_t Waiting = 0;
  int64_t LargestWaiting = 0;
  TimePoint WaitingSince = TimePoint::min();
  /// Until then, the planner counts all executors as in use by the tenant.
  TimePoint UnknownUntil = TimePoint::min();
  bool IsAlive = false;
  /// The coordinator's calls do not arrive.
  bool IsCut = false;

  int64_t used() const {
    int64_t Used = 0;
    for (const int64_t Run : this->Runs)
      Used += Run;
    return Used;
  }
  int64_t share() const {
    const auto Found = this->Granted.Tenants.find(Tenant);
    if (Found == this->Granted.Tenants.end())
      return 0;
    const auto &[Share, Under] = Found->second;
    if (Under.MilliCores > this->Maximum)
      return Share.MilliCores * this->Maximum / Under.MilliCores;
    return Share.MilliCores;
  }
};

/// Planners, a coordinator that may be replaced, and a store. Calls and answers
/// may be lost or late, and so may commits.
class SimulatedQuotas {
public:
  SimulatedQuotas() {
    for (const char *Name : {"a", "b", "c"}) {
      this->Services[ServiceName(Name)].Maximum = this->Maximum;
      this->replacePlanner(ServiceName(Name));
    }
    this->replaceCoordinator();
    this->Loop.runFor(seconds(1));
  }

  void perform(uint8_t Action, uint8_t Choice) {
    SimulatedService &Chosen = this->Services[this->nameOf(Choice)];
    switch (Action % 14) {
    case 0:
    case 1:
    case 2:
      this->enqueue(Chosen, 1 + Choice / 3 % 30);
      break;
    case 3:
    case 4:
    case 5:
      if (!Chosen.Runs.empty())
        Chosen.Runs.erase(Chosen.Runs.begin() +
                          Choice / 3 % static_cast<int>(Chosen.Runs.size()));
      break;
    case 6:
      Chosen.IsAlive = false;
      break;
    case 7:
      this->replacePlanner(this->nameOf(Choice));
      break;
    case 8:
      Chosen.IsCut = !Chosen.IsCut;
      break;
    case 9:
      this->replaceCoordinator();
      break;
    case 10:
      this->setFaults(Choice);
      break;
    case 11:
      this->setMaximum(20 + Choice % 10 * 20);
      break;
    case 12:
      this->LostCalls = Choice % 6;
      break;
    case 13:
      this->LateCalls = Choice % 6;
      break;
    }
    this->runFor(milliseconds(10 + Choice % 7 * 20));
  }

  /// Ends all faults and checks that the newest maximum is in force and used.
  void recover() {
    this->Store.setFaultModeForAll(simulation::StoreFaultMode::Served);
    this->LostCalls = 0;
    this->LateCalls = 0;
    for (auto &[Name, Each] : this->Services) {
      Each.IsCut = false;
      if (!Each.IsAlive)
        this->replacePlanner(Name);
    }
    this->runFor(seconds(8));
    for (auto &[Name, Each] : this->Services)
      Each.Runs.clear();
    for (auto &[Name, Each] : this->Services)
      Each.Waiting = 0;
    SimulatedService &Busy = this->Services.begin()->second;
    this->enqueue(Busy, 10);
    Busy.Waiting = 1000;
    this->runFor(seconds(3));
    for (auto &[Name, Each] : this->Services) {
      const auto &Granted = Each.Granted.Tenants.at(Tenant);
      if (Granted.Maximum.MilliCores != this->Maximum)
        this->fail("the newest maximum is not in force");
    }
    if (Busy.used() < this->Maximum - Busy.LargestWaiting)
      this->fail("an idle share has not moved");
  }

  std::string Failure;

private:
  ServiceName nameOf(uint8_t Choice) const {
    return std::next(this->Services.begin(), Choice % 3)->first;
  }

  void fail(const std::string &Cause) {
    if (this->Failure.empty())
      this->Failure = Cause;
  }

  void runFor(Duration Length) {
    const TimePoint End = this->Loop.Time.now() + Length;
    while (this->Loop.Time.now() < End) {
      this->Loop.runFor(milliseconds(5));
      this->startAll();
    }
  }

  void enqueue(SimulatedService &At, int64_t Size) {
    if (At.Waiting == 0)
      At.WaitingSince = this->Loop.Time.now();
    At.Waiting += 2 * Size;
    At.LargestWaiting = Size;
  }

  /// Every planner starts what its share allows.
  void startAll() {
    for (auto &[Name, Each] : this->Services)
      while (Each.IsAlive && Each.Waiting > 0) {
        const int64_t Size = std::min(Each.Waiting, Each.LargestWaiting);
        if (this->reportedUse(Each) + Size > Each.share())
          break;
        Each.Waiting -= Size;
        Each.Runs.push_back(Size);
        Each.WaitingSince = this->Loop.Time.now();
        this->checkUse();
      }
  }

  /// What runs may not exceed the highest maximum under which a planner holds a
  /// share, or that was in force within the time that a new configuration has
  /// to take effect.
  void checkUse() {
    int64_t Used = 0;
    int64_t Highest =
        this->Loop.Time.now() < this->EarlierUntil ? this->Earlier : 0;
    for (const auto &[Name, Each] : this->Services) {
      Used += Each.used();
      if (const auto Found = Each.Granted.Tenants.find(Tenant);
          Each.IsAlive && Found != Each.Granted.Tenants.end())
        Highest = std::max(Highest, Found->second.Maximum.MilliCores);
    }
    if (Used > Highest)
      this->fail("in use: " + std::to_string(Used) + " of " +
                 std::to_string(Highest));
  }

  int64_t reportedUse(const SimulatedService &Of) const {
    constexpr int64_t Capacity = 150;
    return this->Loop.Time.now() < Of.UnknownUntil
               ? std::max(Capacity, Of.used())
               : Of.used();
  }

  uint64_t claim(const std::string &Shard) {
    uint64_t Token = 0;
    store::StoreTransaction Change;
    Change.Puts = {{keys::Claims + Shard, "holder", 0}};
    this->Store.interface(Platform).Commit(
        Change, [&Token](const store::StoreResult<store::CommitAnswer> &Made) {
          Token = Made.value().Revision;
        });
    // The fault modes are per VM; the platform's own calls are always served.
    while (Token == 0)
      this->Loop.runFor(milliseconds(1));
    return Token;
  }

  void replacePlanner(const ServiceName &Name) {
    SimulatedService &Replaced = this->Services[Name];
    Replaced.IsAlive = false;
    Replaced.Token = this->claim(Name.text());
    std::vector<store::StoreItem> Items;
    for (size_t Number = 0; Number < QuotaRecordCount; ++Number)
      if (const auto Value = this->Store.value(quotaRecordKey(Number)))
        Items.push_back({quotaRecordKey(Number), *Value, 1, 0});
    Replaced.Granted = grantsOf(Name, decodeQuotaRecords(Items));
    Replaced.UnknownUntil = this->Loop.Time.now() + milliseconds(400);
    Replaced.Maximum = this->Maximum;
    Replaced.IsAlive = true;
  }

  void replaceCoordinator() {
    if (!this->Coordinators.empty())
      *this->Validities.back() = TimePoint::min();
    ++this->Generation;
    const EntryName Vm("e" + std::to_string(this->Generation));
    const uint64_t Token = this->claim(ShardId::fleet().text());
    const auto Valid = std::make_shared<TimePoint>(TimePoint::max());
    this->Validities.push_back(Valid);
    QuotaEnvironment Environment;
    Environment.Call = [this](const peers::ServiceCall &Call, Duration Timeout,
                              const ResultCallback &Done) {
      this->call(Call, Timeout, Done);
    };
    Environment.ClaimValidUntil = [Valid] { return *Valid; };
    Environment.OnLost = [Valid](const ShardId &, const std::string &) {
      *Valid = TimePoint::min();
    };
    this->Coordinators.push_back(std::make_shared<QuotaCoordinator>(
        Context{this->Loop.Time.clock(), seededRandom(this->Generation),
                this->Loop.Queue, this->Store.interface(Vm)},
        Environment,
        HeldClaim{ShardId::fleet(), Token, this->Generation,
                  TimePoint::min()}));
    this->Coordinators.back()->setTenants(this->configuration());
  }

  jobs::FleetConfiguration configuration() const {
    jobs::FleetConfiguration Configuration;
    for (const auto &[Name, Each] : this->Services) {
      jobs::ServicePolicy Policy;
      Policy.Name = Name;
      Configuration.Services.push_back(Policy);
    }
    Configuration.Tenants.push_back(
        {Tenant, {"key"}, 1, ComputeResources{this->Maximum, 0, 0}});
    return Configuration;
  }

  void setMaximum(int64_t Newest) {
    if (this->Loop.Time.now() >= this->EarlierUntil)
      this->Earlier = 0;
    this->Earlier = std::max(this->Earlier, this->Maximum);
    this->EarlierUntil = this->Loop.Time.now() + seconds(2);
    this->Maximum = Newest;
    // The planners and the coordinator learn of it at different times.
    Duration Delay = milliseconds(0);
    for (auto &[Name, Each] : this->Services) {
      Delay += milliseconds(60);
      this->Loop.Queue.schedule(
          this->Loop.Time.now() + Delay,
          [&Each = Each, Newest] { Each.Maximum = Newest; });
    }
    this->Loop.Queue.schedule(
        this->Loop.Time.now() + milliseconds(100), [this] {
          this->Coordinators.back()->setTenants(this->configuration());
        });
  }

  void setFaults(uint8_t Choice) {
    using simulation::StoreFaultMode;
    static constexpr std::array Modes = {
        StoreFaultMode::Served, StoreFaultMode::AnswersLost,
        StoreFaultMode::CarriedOutLate, StoreFaultMode::Silent,
        StoreFaultMode::Refused};
    this->Store.setFaultMode(EntryName("e" + std::to_string(this->Generation)),
                             Modes.at(Choice % Modes.size()));
  }

  /// Carries a call to a planner and its answer back.
  void call(const peers::ServiceCall &Call, Duration Timeout,
            const ResultCallback &Done) {
    const auto IsDone = std::make_shared<bool>(false);
    const auto Finish = [IsDone, Done](const CallResult &Result) {
      if (!std::exchange(*IsDone, true))
        Done(Result);
    };
    const TimePoint Now = this->Loop.Time.now();
    this->Loop.Queue.schedule(Now + Timeout, [Finish] {
      Finish({CallOutcome::NoAnswer, ""});
    });
    ++this->Calls;
    const bool IsLost =
        this->LostCalls > 0 && this->Calls % 6 < this->LostCalls;
    const bool IsAnswerLost = IsLost && this->Calls % 2 == 0;
    const bool IsLate =
        this->LateCalls > 0 && this->Calls % 5 < this->LateCalls;
    if (IsLost && !IsAnswerLost)
      return;
    this->Loop.Queue.schedule(
        Now + (IsLate ? milliseconds(700) : milliseconds(10)),
        [this, Call, Finish, IsAnswerLost, IsLate] {
          const auto Answer = this->answer(Call);
          if (Answer && !IsAnswerLost)
            this->Loop.Queue.schedule(
                this->Loop.Time.now() +
                    (IsLate ? milliseconds(400) : milliseconds(10)),
                [Finish, Answer] {
                  Finish({CallOutcome::Done, *Answer});
                });
        });
  }

  std::optional<std::string> answer(const peers::ServiceCall &Call) {
    SimulatedService &Asked = this->Services[Call.Service];
    if (!Asked.IsAlive || Asked.IsCut)
      return std::nullopt;
    if (!Call.Content.empty()) {
      const auto Granted = decodeQuotaGrants(Call.Content);
      if (Granted && Granted.value().Plan >= Asked.Granted.Plan)
        Asked.Granted = Granted.value();
    }
    QuotaAnswer Answer;
    Answer.ClaimToken = Asked.Token;
    Answer.Report.ConfirmedPlan = Asked.Granted.Plan;
    tenants::QuotaUse &Use = Answer.Report.Tenants[Tenant];
    Use.InUse.MilliCores = this->reportedUse(Asked);
    Use.Waiting.MilliCores = Asked.Waiting;
    Use.LargestWaiting.MilliCores =
        std::min(Asked.Waiting, Asked.LargestWaiting);
    if (Asked.Waiting > 0)
      Use.LongestWait = this->Loop.Time.now() - Asked.WaitingSince;
    return encodeQuotaAnswer(Answer);
  }

  tests::SteppedLoop Loop;
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  std::map<ServiceName, SimulatedService> Services;
  /// All coordinators; those before the last one have lost their claim.
  std::vector<std::shared_ptr<QuotaCoordinator>> Coordinators;
  std::vector<std::shared_ptr<TimePoint>> Validities;
  int64_t Maximum = 100;
  /// The highest maximum before the last change, and the time until which it
  /// may be in force.
  int64_t Earlier = 0;
  TimePoint EarlierUntil = TimePoint::min();
  uint64_t Generation = 0;
  uint64_t Calls = 0;
  uint64_t LostCalls = 0;
  uint64_t LateCalls = 0;
};

} // namespace

// Guards against two services that use the same part of a maximum, whatever is
// lost, late or replaced while shares move.
TEST_CASE("what runs never exceeds the highest maximum that may be in force") {
  const bool IsHolding =
      rc::check("what runs never exceeds the maximum",
                [](const std::vector<std::pair<uint8_t, uint8_t>> &Actions) {
                  SimulatedQuotas Quotas;
                  for (const auto &[Action, Choice] : Actions)
                    Quotas.perform(Action, Choice);
                  Quotas.recover();
                  if (!Quotas.Failure.empty())
                    RC_FAIL(Quotas.Failure);
                });
  CHECK(IsHolding);
}
