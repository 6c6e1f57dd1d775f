#include "quotacoordinator.h"
#include "simulatedfleet.h"
#include "storekeys.h"

#include "whintack/simulation/examplefleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TenantName Tenant("acme");
const ServiceName First("a");
const ServiceName Second("b");
const EntryName Vm("e1");
const EntryName Platform("platform");

/// A coordinator on a simulated store, and planners that apply what they are
/// told.
class Fixture {
public:
  Fixture() {
    this->Tokens[First] = this->claim(First.text());
    this->Tokens[Second] = this->claim(Second.text());
    this->open();
  }
  ~Fixture() { this->Coordinator->stop(); }

  /// Starts a coordinator under a new claim.
  void open() {
    if (this->Coordinator)
      this->Coordinator->stop();
    const HeldClaim Claim{ShardId::fleet(),
                          this->claim(ShardId::fleet().text()),
                          ++this->Generation, TimePoint::min()};
    QuotaEnvironment Environment;
    Environment.Call = [this](const peers::ServiceCall &Call, Duration,
                              const ResultCallback &Done) {
      ++this->Calls;
      this->Loop.Queue.schedule(
          this->Loop.Time.now() + milliseconds(10),
          [this, Call, Done] { Done(this->answer(Call)); });
    };
    Environment.ClaimValidUntil = [this] { return this->ValidUntil; };
    Environment.OnLost = [this](const ShardId &, const std::string &) {
      this->IsLost = true;
    };
    store::AsyncStore Access = this->Store.interface(Vm);
    Access.Range = [this, Direct = Access.Range](
                       const std::string &Prefix, const std::string &After,
                       store::ReadKind Kind,
                       const store::StoreCallback<store::StorePage> &Done) {
      ++this->StoreCalls;
      Direct(Prefix, After, Kind, Done);
    };
    Access.Commit = [this, Direct = Access.Commit](
                        const store::StoreTransaction &Change,
                        const store::StoreCallback<store::CommitAnswer> &Done) {
      ++this->StoreCalls;
      CHECK(Change.Expect.size() + Change.Puts.size() +
                Change.Removals.size() <=
            store::MaxTransactionEntries);
      this->Commits.push_back(Change);
      if (this->OnCommit)
        this->OnCommit(Change);
      Direct(Change, Done);
    };
    this->Coordinator = std::make_shared<QuotaCoordinator>(
        Context{this->Loop.Time.clock(), seededRandom(1), this->Loop.Queue,
                Access},
        Environment, Claim);
  }

  uint64_t claim(const std::string &Shard) {
    uint64_t Token = 0;
    store::StoreTransaction Change;
    Change.Puts = {{keys::Claims + Shard, "holder", 0}};
    this->Store.interface(Platform).Commit(
        Change, [&Token](const store::StoreResult<store::CommitAnswer> &Made) {
          Token = Made.value().Revision;
        });
    this->Loop.runFor(milliseconds(5));
    return Token;
  }

  /// Adopts a configuration in which each tenant has this maximum of cores.
  void configure(int64_t MilliCores, size_t Tenants = 1) {
    jobs::FleetConfiguration Configuration;
    for (const ServiceName &Name : {First, Second}) {
      jobs::ServicePolicy Policy;
      Policy.Name = Name;
      Configuration.Services.push_back(Policy);
    }
    this->Names.clear();
    for (size_t Number = 0; Number < Tenants; ++Number) {
      const TenantName Name =
          Number == 0 ? Tenant : TenantName("t" + std::to_string(Number));
      Configuration.Tenants.push_back(
          {Name, {"key"}, 1, ComputeResources{MilliCores, 0, 0}});
      this->Names.push_back(Name);
    }
    this->Coordinator->setTenants(Configuration);
  }

  /// The share that the planner applies.
  int64_t share(const ServiceName &Service, const TenantName &Of = Tenant) {
    const auto &Granted = this->Granted[Service].Tenants;
    const auto Found = Granted.find(Of);
    return Found == Granted.end() ? -1 : Found->second.Share.MilliCores;
  }
  /// The share in the store.
  int64_t stored(const ServiceName &Service) const {
    const auto Text = this->Store.value(quotaRecordKey(quotaRecordOf(Tenant)));
    if (!Text)
      return -1;
    const auto Read = decodeQuotaRecord(*Text);
    const auto &Shares = Read.value().Tenants.at(Tenant).Shares;
    const auto Found = Shares.find(Service);
    return Found == Shares.end() ? 0 : Found->second.MilliCores;
  }
  void wait(const ServiceName &Service, int64_t MilliCores) {
    tenants::QuotaUse &Use = this->Uses[Service];
    Use.Waiting = {MilliCores, 0, 0};
    Use.LargestWaiting = {std::min<int64_t>(MilliCores, 5), 0, 0};
    Use.LongestWait = seconds(1);
  }

  SteppedLoop Loop;
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  std::shared_ptr<QuotaCoordinator> Coordinator;
  std::map<ServiceName, uint64_t> Tokens;
  std::map<ServiceName, tenants::QuotaGrants> Granted;
  std::map<ServiceName, tenants::QuotaUse> Uses;
  std::set<ServiceName> Silent;
  std::vector<store::StoreTransaction> Commits;
  std::function<void(const store::StoreTransaction &)> OnCommit;
  TimePoint ValidUntil = TimePoint::max();
  uint64_t Generation = 0;
  size_t Calls = 0;
  size_t StoreCalls = 0;
  bool IsLost = false;

private:
  CallResult answer(const peers::ServiceCall &Call) {
    CHECK(Call.Kind == peers::ServiceCallKind::TenantQuota);
    if (this->Silent.contains(Call.Service))
      return {CallOutcome::NoAnswer, ""};
    tenants::QuotaGrants &Applied = this->Granted[Call.Service];
    if (!Call.Content.empty()) {
      const auto Newer = decodeQuotaGrants(Call.Content);
      REQUIRE(Newer);
      if (Newer.value().Plan >= Applied.Plan)
        Applied = Newer.value();
    }
    QuotaAnswer Answer;
    Answer.ClaimToken = this->Tokens[Call.Service];
    Answer.Report.ConfirmedPlan = Applied.Plan;
    for (const TenantName &Name : this->Names)
      Answer.Report.Tenants[Name] = {};
    Answer.Report.Tenants[Tenant] = this->Uses[Call.Service];
    return {CallOutcome::Done, encodeQuotaAnswer(Answer)};
  }

  std::vector<TenantName> Names;
};

} // namespace

// Guards against messages in deployments without tenants.
TEST_CASE("without a maximum nothing is sent and the store is not called") {
  Fixture Test;
  Test.configure(0, 3);
  Test.Loop.runFor(seconds(5));
  CHECK(Test.Calls == 0);
  CHECK(Test.StoreCalls == 0);
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Calls > 0);
  Test.configure(0);
  Test.Loop.runFor(seconds(1));
  const size_t Before = Test.Calls;
  Test.Loop.runFor(seconds(2));
  CHECK(Test.Calls == Before);
}

TEST_CASE("shares are stored before they are granted, and nothing is stored "
          "while none moves") {
  Fixture Test;
  Test.OnCommit = [&Test](const store::StoreTransaction &) {
    CHECK(Test.share(First) <= 0);
  };
  Test.configure(100);
  Test.Loop.runFor(milliseconds(400));
  CHECK(Test.share(First) == 50);
  CHECK(Test.stored(First) == 50);
  CHECK(Test.Commits.size() == 1);
  Test.Loop.runFor(seconds(10));
  CHECK(Test.Commits.size() == 1);
}

TEST_CASE("an idle share moves to waiting work within 500 ms") {
  Fixture Test;
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  Test.Uses[Second].InUse = {50, 0, 0};
  Test.wait(Second, 40);
  Duration Taken = Duration::zero();
  while (Test.share(Second) < 90 && Taken < seconds(2)) {
    Test.Loop.runFor(milliseconds(10));
    Taken += milliseconds(10);
  }
  CHECK(Taken <= milliseconds(500));
  const store::StoreTransaction &Last = Test.Commits.back();
  const bool IsConditional = std::any_of(
      Last.Expect.begin(), Last.Expect.end(), [&Test](const auto &Each) {
        return Each.Key == keys::Claims + First.text() &&
               Each.Revision == Test.Tokens[First];
      });
  CHECK(IsConditional);
}

// Guards against shares that grow by what a new planner may use, which starts
// with the stored share.
TEST_CASE("a plan is not stored if a planner was replaced after it confirmed") {
  Fixture Test;
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  Test.wait(Second, 200);
  bool IsReplaced = false;
  Test.OnCommit = [&](const store::StoreTransaction &) {
    if (std::exchange(IsReplaced, true))
      return;
    // The claim changes before the commit takes effect. The new planner starts
    // with the stored share.
    Test.Store.put(keys::Claims + First.text(), "other");
    Test.Silent.insert(First);
  };
  Test.Loop.runFor(seconds(1));
  REQUIRE(IsReplaced);
  CHECK(Test.stored(Second) == 50);
  CHECK(Test.share(Second) == 50);
  Test.Silent.clear();
  Test.Tokens[First] = Test.claim(First.text());
  Test.Granted[First] = {};
  Test.Loop.runFor(seconds(1));
  CHECK(Test.share(Second) == 100);
}

// Guards against shares that are granted on the strength of a write whose
// outcome is not known.
TEST_CASE("a write that was not answered is resolved before shares grow") {
  using simulation::StoreFaultMode;
  Fixture Test;
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  const StoreFaultMode Mode =
      GENERATE(StoreFaultMode::AnswersLost, StoreFaultMode::CarriedOutLate,
               StoreFaultMode::Silent, StoreFaultMode::Refused);
  Test.Store.setFaultMode(Vm, Mode);
  Test.wait(Second, 200);
  for (int Step = 0; Step < 30; ++Step) {
    Test.Loop.runFor(milliseconds(50));
    CHECK(Test.share(First) + Test.share(Second) <= 100);
    CHECK(Test.share(Second) == 50);
  }
  Test.Store.setFaultMode(Vm, StoreFaultMode::Served);
  for (int Step = 0; Step < 120; ++Step) {
    Test.Loop.runFor(milliseconds(50));
    CHECK(Test.share(First) + Test.share(Second) <= 100);
    CHECK(Test.stored(First) + Test.stored(Second) <= 100);
    CHECK(Test.share(First) <= Test.stored(First));
    CHECK(Test.share(Second) <= Test.stored(Second));
  }
  CHECK(Test.share(Second) == 100);
}

TEST_CASE("a successor continues with the stored shares and higher numbers") {
  Fixture Test;
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  Test.wait(Second, 200);
  Test.Loop.runFor(seconds(1));
  REQUIRE(Test.share(Second) == 100);
  const uint64_t Plan = Test.Granted[Second].Plan;
  Test.open();
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.share(Second) == 100);
  CHECK(Test.Granted[Second].Plan > Plan);
  Test.Uses[Second] = {};
  Test.wait(First, 30);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.share(First) >= 30);
}

TEST_CASE("a coordinator whose claim is gone stops") {
  Fixture Test;
  Test.configure(100);
  Test.Loop.runFor(seconds(1));
  Test.claim(ShardId::fleet().text());
  Test.wait(Second, 200);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.IsLost);
  CHECK(Test.share(Second) == 50);
  const size_t Before = Test.Calls;
  Test.ValidUntil = TimePoint::min();
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Calls <= Before + 2);
}

// Guards against transactions with more entries than the store accepts, and
// against planners that are sent all shares with each call.
TEST_CASE("the shares of many tenants are stored in few transactions") {
  Fixture Test;
  Test.configure(100, 300);
  Test.Loop.runFor(seconds(1));
  CHECK(Test.share(First, TenantName("t299")) == 50);
  CHECK(Test.Commits.size() <= 4);
}

// Guards against messages and reads in deployments without tenants, in a whole
// fleet.
TEST_CASE("a fleet without tenants neither reads nor writes quota records") {
  SimulatedFleet Fleet;
  size_t Touched = 0;
  size_t Reads = 0;
  Fleet.WrapStore = [&](store::AsyncStore Store) {
    Store.Range = [&, Direct = Store.Range](const std::string &Prefix,
                                            const std::string &After,
                                            store::ReadKind Kind, auto Done) {
      ++Reads;
      if (Prefix.starts_with(keys::Quotas))
        ++Touched;
      Direct(Prefix, After, Kind, Done);
    };
    Store.Commit = [&, Direct = Store.Commit](
                       const store::StoreTransaction &Change, auto Done) {
      for (const store::StorePut &Put : Change.Puts)
        if (Put.Key.starts_with(keys::Quotas))
          ++Touched;
      Direct(Change, Done);
    };
    return Store;
  };
  Fleet.startAll();
  Fleet.submit("quotes", "short");
  Fleet.runFor(seconds(10));
  CHECK(Reads > 0);
  CHECK(Touched == 0);
}
