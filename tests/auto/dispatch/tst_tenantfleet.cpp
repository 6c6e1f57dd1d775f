#include "jobrecords.h"
#include "simulatedfleet.h"
#include "storekeys.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration ApplyTime = seconds(2);
constexpr Duration RevocationTime = seconds(5);
/// Time in which a request is answered if nothing is wrong.
constexpr Duration AnswerTime = milliseconds(900);
/// Prefix of the keys that the operator writes.
const std::string OperatorPrefix = "declared/";
constexpr int Ok = 200;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int ServiceUnavailable = 503;

/// A fleet with the tenants "alder" and "birch" whose VMs refuse calls with
/// keys on a configuration that may be older than RevocationTime.
class TenantFleet : public SimulatedFleet {
public:
  TenantFleet() {
    this->refuseStaleKeys(RevocationTime);
    this->WrapStore = [this](store::AsyncStore Store) {
      return this->withHiddenItems(std::move(Store));
    };
    this->startAll();
    this->adopt(simulation::exampleTenants());
    this->runFor(ApplyTime);
  }

  /// Lets the operator acknowledge a configuration with these tenants.
  void adopt(std::vector<tenants::Tenant> Tenants) {
    jobs::FleetConfiguration Next =
        simulation::exampleConfiguration(this->LastVersion);
    Next.Tenants = std::move(Tenants);
    this->adopt(std::move(Next));
  }
  void adopt(jobs::FleetConfiguration Next) {
    Next.Version = ++this->LastVersion;
    this->Platform.configure(Next);
    this->ChangedAt = this->Loop.Time.now();
  }
  /// Removes the key of "alder"; the tenant stays.
  void revokeAlder() {
    auto Tenants = simulation::exampleTenants();
    Tenants[0].Keys.clear();
    this->adopt(std::move(Tenants));
  }
  void grantAlder() { this->adopt(simulation::exampleTenants()); }

  /// Lets all reads of the operator's items fail, while the store and the VMs
  /// do everything else as before.
  void hideOperatorItems(bool AreHidden) {
    this->AreItemsHidden = AreHidden;
    if (AreHidden)
      for (const std::string &Name : this->nodeNames())
        this->loseWatch(Name);
  }
  /// Loses the answer to the VM's watch of the operator's items that waits.
  void loseWatch(const std::string &Name) {
    this->Platform.store().loseWatches(EntryName(Name), OperatorPrefix, 1);
  }
  /// Cuts the VM off before it can learn of a change.
  void cutOff(const std::string &Name) {
    this->loseWatch(Name);
    this->setCut(Name, true);
  }

  std::shared_ptr<ClientAnswer> sendAs(const std::string &Key,
                                       const std::string &Node,
                                       const std::string &Method,
                                       const std::string &Path) {
    this->setKey(Key);
    return this->send(Node, Method, Path, "short");
  }
  int statusAs(const std::string &Key, const std::string &Node,
               const std::string &Method, const std::string &Path) {
    const auto Answer = this->sendAs(Key, Node, Method, Path);
    this->runFor(AnswerTime);
    return Answer->Status;
  }
  /// The statuses of the count of a queue, requested of all VMs at once.
  std::map<std::string, int> countStatuses(const std::string &Key) {
    std::map<std::string, std::shared_ptr<ClientAnswer>> Answers;
    for (const std::string &Name : this->nodeNames())
      Answers[Name] = this->sendAs(Key, Name, "GET", "/quotes/");
    this->runFor(AnswerTime);
    std::map<std::string, int> Statuses;
    for (const auto &[Name, Answer] : Answers)
      Statuses[Name] = Answer->Status;
    return Statuses;
  }
  void checkAll(const std::string &Key, int Expected) {
    for (const auto &[Name, Status] : this->countStatuses(Key)) {
      INFO(Name << " with " << Key);
      CHECK(Status == Expected);
    }
  }
  /// Runs until just after \p Bound since the last change.
  void runUntilAfter(Duration Bound) {
    this->runFor(this->ChangedAt + Bound + std::chrono::microseconds(1) -
                 this->Loop.Time.now());
  }
  /// Sends requests with the removed key of "alder" to all VMs for \p Length,
  /// and checks that none that was sent after \p Bound succeeds.
  void probeRevoked(Duration Length, Duration Bound) {
    std::vector<std::shared_ptr<ClientAnswer>> Late;
    const TimePoint End = this->Loop.Time.now() + Length;
    while (this->Loop.Time.now() < End) {
      for (const std::string &Name : this->nodeNames()) {
        const auto Answer = this->sendAs("alder-key", Name, "GET", "/quotes/");
        if (this->Loop.Time.now() > this->ChangedAt + Bound)
          Late.push_back(Answer);
      }
      this->runFor(milliseconds(100));
    }
    this->runFor(AnswerTime);
    CHECK_FALSE(Late.empty());
    for (const auto &Answer : Late)
      CHECK((Answer->Status == Unauthorized || Answer->Status == 0 ||
             Answer->Status == ServiceUnavailable));
  }

  std::string submitAs(const std::string &Key, const std::string &Template) {
    this->setKey(Key);
    return this->submit("quotes", Template);
  }
  void checkGuarantees() {
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }

private:
  store::AsyncStore withHiddenItems(store::AsyncStore Store) {
    const auto IsHidden = [this](const std::string &Prefix) {
      return this->AreItemsHidden && Prefix == OperatorPrefix;
    };
    const store::StoreError Cause{store::StoreErrorCode::Ambiguous, "hidden"};
    store::AsyncStore Wrapped = Store;
    Wrapped.Range = [=, Direct = Store.Range](
                        const std::string &Prefix, const std::string &After,
                        store::ReadKind Kind,
                        const store::StoreCallback<store::StorePage> &Done) {
      if (IsHidden(Prefix))
        Done(failure(Cause));
      else
        Direct(Prefix, After, Kind, Done);
    };
    Wrapped.Watch = [=, Direct = Store.Watch](
                        const std::string &Prefix, uint64_t AsOf, Duration Wait,
                        const store::StoreCallback<store::WatchAnswer> &Done) {
      if (IsHidden(Prefix))
        Done(failure(Cause));
      else
        Direct(Prefix, AsOf, Wait, Done);
    };
    return Wrapped;
  }

  bool AreItemsHidden = false;
  uint64_t LastVersion = 1;
  TimePoint ChangedAt;
};

} // namespace

// Guards against jobs that another tenant reads or cancels, by the planner's
// knowledge or by the stored record.
TEST_CASE("a tenant's jobs are its own on every VM") {
  TenantFleet Fleet;
  const std::string Job = Fleet.submitAs("alder-key", "lasting");
  Fleet.runFor(seconds(4));
  REQUIRE(Fleet.Accepted.contains(Job));
  const auto CheckForeign = [&] {
    for (const std::string &Name : Fleet.nodeNames())
      for (const char *Method : {"GET", "DELETE", "POST"}) {
        INFO(Name << " " << Method);
        CHECK(Fleet.statusAs("birch-key", Name, Method, Job) == Forbidden);
        CHECK(Fleet.statusAs("cedar-key", Name, Method, Job) == Unauthorized);
      }
  };
  CheckForeign();
  Fleet.setKey("alder-key");
  CHECK(Fleet.stateOf(Job) == "running");
  // The next planner knows the tenant from the record.
  Fleet.killNode(Fleet.plannerOf("quotes"));
  Fleet.runFor(seconds(10));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.runFor(seconds(5));
  CheckForeign();
  Fleet.setKey("alder-key");
  CHECK(Fleet.stateOf(Job) == "running");
  Fleet.cancel(Job);
  CHECK(Fleet.Cancelled.contains(Job));
  CHECK(Fleet.stateOf(Job) == "cancelled");
  CheckForeign();
  Fleet.checkGuarantees();
}

// Guards against a planner that lets calls without a key reach a tenant's job,
// because a public queue shares the service of the job's queue.
TEST_CASE("a public queue of the same service gives no access to the job") {
  TenantFleet Fleet;
  jobs::FleetConfiguration Shared = simulation::exampleConfiguration(0);
  Shared.Tenants = simulation::exampleTenants();
  Shared.Queues[1].Service = ServiceName("quotes");
  Shared.Queues[1].IsPublic = true;
  Fleet.adopt(Shared);
  const std::string Job = Fleet.submitAs("alder-key", "lasting");
  Fleet.runFor(seconds(4));
  REQUIRE(Fleet.Accepted.contains(Job));
  const std::string Public = "/payouts/" + Job.substr(Job.rfind('/') + 1);
  for (const std::string &Name : Fleet.nodeNames())
    for (const char *Method : {"GET", "DELETE", "POST"}) {
      INFO(Name << " " << Method);
      CHECK(Fleet.statusAs("", Name, Method, Public) == Forbidden);
    }
  Fleet.setKey("alder-key");
  CHECK(Fleet.stateOf(Job) == "running");
  // Once the job's queue is public, too, no key is needed.
  Shared.Queues[0].IsPublic = true;
  Fleet.adopt(Shared);
  Fleet.runFor(ApplyTime);
  for (const std::string &Name : Fleet.nodeNames())
    CHECK(Fleet.statusAs("", Name, "GET", Job) == Ok);
  Fleet.checkGuarantees();
}

// Guards against an ended job that every tenant can read, because its final
// record has lost the tenant.
TEST_CASE("the final record keeps the tenant") {
  TenantFleet Fleet;
  const std::string Job = Fleet.submitAs("alder-key", "short");
  Fleet.runFor(seconds(8));
  CHECK(Fleet.stateOf(Job) == "completed");
  const auto Record = Fleet.Platform.store().value(
      dispatch::Internal::keys::jobs(ServiceName("quotes")) +
      Job.substr(Job.rfind('/') + 1));
  REQUIRE(Record);
  const auto Stored = dispatch::Internal::decodeStoredJob(*Record);
  CHECK(Stored.value().End == jobs::JobState::Completed);
  CHECK(Stored.value().Tenant == TenantName("alder"));
}

// Guards against a key that works on after its removal, or does not work after
// it was granted, on VMs that reach the store.
TEST_CASE("keys are removed and granted in time, also twice in a row") {
  for (int Phase = 0; Phase < 1000; Phase += 250) {
    TenantFleet Fleet;
    Fleet.runFor(milliseconds(Phase));
    for (int Round = 0; Round < 2; ++Round) {
      Fleet.revokeAlder();
      Fleet.runUntilAfter(ApplyTime);
      Fleet.checkAll("alder-key", Unauthorized);
      Fleet.checkAll("birch-key", Ok);
      Fleet.grantAlder();
      Fleet.runUntilAfter(ApplyTime);
      Fleet.checkAll("alder-key", Ok);
    }
    // Two changes within the time for one: the last one counts.
    Fleet.grantAlder();
    Fleet.runFor(milliseconds(100));
    Fleet.revokeAlder();
    Fleet.runUntilAfter(ApplyTime);
    Fleet.checkAll("alder-key", Unauthorized);
    Fleet.runFor(milliseconds(100));
    Fleet.revokeAlder();
    Fleet.runFor(milliseconds(100));
    Fleet.grantAlder();
    Fleet.runUntilAfter(ApplyTime);
    Fleet.checkAll("alder-key", Ok);
  }
}

// Guards against a removed key that works while no VM can read the
// configuration, and against valid keys that stay refused afterwards.
TEST_CASE("a key that is removed during an outage of the store stops working") {
  for (const StoreFaultMode Mode :
       {StoreFaultMode::Silent, StoreFaultMode::Refused,
        StoreFaultMode::AnswersLost}) {
    TenantFleet Fleet;
    for (const std::string &Name : Fleet.nodeNames())
      Fleet.loseWatch(Name);
    Fleet.Platform.store().setFaultModeForAll(Mode);
    Fleet.revokeAlder();
    Fleet.probeRevoked(seconds(8), RevocationTime);
    for (const std::string &Name : Fleet.nodeNames()) {
      const auto Answer = Fleet.sendAs("birch-key", Name, "GET", "/quotes/");
      Fleet.runFor(AnswerTime);
      CHECK(Answer->Status == ServiceUnavailable);
      CHECK(Answer->Body.find("out of date") != std::string::npos);
    }
    Fleet.Platform.store().setFaultModeForAll(StoreFaultMode::Served);
    Fleet.runFor(seconds(10));
    Fleet.checkAll("alder-key", Unauthorized);
    Fleet.checkAll("birch-key", Ok);
    Fleet.grantAlder();
    Fleet.runUntilAfter(ApplyTime);
    Fleet.checkAll("alder-key", Ok);
  }
}

// Guards against a removed key that works on VMs that can do all but read the
// configuration, so that nothing else keeps calls from succeeding.
TEST_CASE("a removed key stops working while the configuration is unreadable") {
  TenantFleet Fleet;
  Fleet.hideOperatorItems(true);
  Fleet.revokeAlder();
  Fleet.runFor(seconds(3));
  Fleet.checkAll("alder-key", Ok);
  Fleet.probeRevoked(seconds(4), RevocationTime);
  Fleet.checkAll("birch-key", ServiceUnavailable);
  Fleet.hideOperatorItems(false);
  Fleet.runFor(seconds(2));
  Fleet.checkAll("alder-key", Unauthorized);
  Fleet.checkAll("birch-key", Ok);
}

// Guards against a VM that keeps an old configuration because the store turns
// it away, though its peers can read for it.
TEST_CASE("a removed key stops working on a VM that the store turns away") {
  TenantFleet Fleet;
  Fleet.Platform.store().setFaultMode(EntryName("e3"), StoreFaultMode::Refused);
  Fleet.runFor(seconds(3));
  Fleet.revokeAlder();
  Fleet.runUntilAfter(ApplyTime);
  Fleet.checkAll("alder-key", Unauthorized);
  CHECK(Fleet.countStatuses("birch-key")["e1"] == Ok);
  Fleet.grantAlder();
  Fleet.runUntilAfter(ApplyTime);
  CHECK(Fleet.statusAs("alder-key", "e3", "GET", "/quotes/") != Unauthorized);
  Fleet.Platform.store().setFaultMode(EntryName("e3"), StoreFaultMode::Served);
  Fleet.runFor(seconds(5));
  Fleet.checkAll("alder-key", Ok);
}

// Guards against a removed key that works on a VM that reaches neither the
// store nor a peer.
TEST_CASE("a removed key stops working on a VM that is cut off") {
  TenantFleet Fleet;
  Fleet.cutOff("e3");
  Fleet.revokeAlder();
  Fleet.probeRevoked(seconds(8), RevocationTime);
  const auto Answer = Fleet.sendAs("birch-key", "e3", "GET", "/quotes/");
  Fleet.runFor(AnswerTime);
  CHECK(Answer->Status == ServiceUnavailable);
  CHECK(Answer->Body.find("out of date") != std::string::npos);
  CHECK(Fleet.statusAs("alder-key", "e1", "GET", "/quotes/") == Unauthorized);
  Fleet.setCut("e3", false);
  Fleet.runFor(seconds(10));
  Fleet.checkAll("alder-key", Unauthorized);
  Fleet.checkAll("birch-key", Ok);
}

// Guards against jobs that are lost with the key of their tenant while their
// planner changes.
TEST_CASE("a key that is removed during a take-over stops no jobs") {
  TenantFleet Fleet;
  const std::string Job = Fleet.submitAs("alder-key", "chain");
  const std::string Lasting = Fleet.submitAs("alder-key", "lasting");
  Fleet.runFor(milliseconds(3100));
  REQUIRE(Fleet.Accepted.size() == 2);
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.killNode(Planner);
  Fleet.revokeAlder();
  Fleet.runUntilAfter(ApplyTime);
  for (const std::string &Name : Fleet.nodeNames())
    if (Name != Planner)
      CHECK(Fleet.statusAs("alder-key", Name, "GET", Job) == Unauthorized);
  Fleet.runFor(seconds(20));
  Fleet.restartNode(Planner);
  Fleet.runFor(seconds(5));
  Fleet.checkAll("alder-key", Unauthorized);
  Fleet.grantAlder();
  Fleet.runUntilAfter(ApplyTime);
  Fleet.setKey("alder-key");
  CHECK(Fleet.stateOf(Job) == "completed");
  CHECK(Fleet.stateOf(Lasting) == "running");
  for (const std::string &Name : Fleet.nodeNames())
    CHECK(Fleet.statusAs("birch-key", Name, "GET", Job) == Forbidden);
  Fleet.checkGuarantees();
}

// Guards against ages that follow the wall clock.
TEST_CASE("keys are checked alike when the wall clock jumps") {
  for (const Duration Jump :
       {Duration(seconds(-3600)), Duration(seconds(3600))}) {
    TenantFleet Fleet;
    Fleet.jumpWallClock(Jump);
    Fleet.checkAll("alder-key", Ok);
    Fleet.cutOff("e3");
    Fleet.revokeAlder();
    Fleet.jumpWallClock(-2 * Jump);
    Fleet.probeRevoked(seconds(7), RevocationTime);
    Fleet.setCut("e3", false);
    Fleet.runFor(seconds(10));
    Fleet.checkAll("alder-key", Unauthorized);
    Fleet.checkAll("birch-key", Ok);
  }
}

// Guards against a VM that stood still, or was suspended, and takes its
// configuration for as new as before.
TEST_CASE("a VM that stood still does not accept a removed key") {
  TenantFleet Fleet;
  Fleet.cutOff("e3");
  Fleet.revokeAlder();
  Fleet.Loop.Time.advance(RevocationTime + milliseconds(1));
  const auto Answer = Fleet.sendAs("alder-key", "e3", "GET", "/quotes/");
  Fleet.runFor(AnswerTime);
  CHECK(Answer->Status == ServiceUnavailable);
  CHECK(Answer->Body.find("out of date") != std::string::npos);
}
