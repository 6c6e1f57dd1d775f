#include "whintack/tenants/accesspolicy.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tenants;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TenantTable Table({{TenantName("alder"), {"alder-1", "alder-2"}, 1, {}},
                         {TenantName("birch"), {"birch-1"}, 1, {}}});
const AccessBounds WithRevocation{seconds(2), seconds(5)};
const AccessBounds WithoutRevocation{seconds(2), std::nullopt};

AccessDecision decide(const AccessBounds &Bounds, QueueAccess Queue,
                      std::string_view Key, Duration Age) {
  return AccessPolicy(Bounds).decide(Table, {Queue, Key, Age, Age});
}

} // namespace

// Guards against a 404 or 401 from a configuration that may have been replaced
// for longer than a change may take.
TEST_CASE("a refusal needs a confirmed configuration") {
  struct Row {
    QueueAccess Queue;
    std::string_view Key;
    AccessOutcome Confirmed;
    AccessOutcome Unconfirmed;
  };
  for (const Row &Each :
       {Row{QueueAccess::Unknown, "alder-1", AccessOutcome::QueueUnknown,
            AccessOutcome::QueueUnconfirmed},
        Row{QueueAccess::Unknown, "", AccessOutcome::QueueUnknown,
            AccessOutcome::QueueUnconfirmed},
        Row{QueueAccess::Keyed, "", AccessOutcome::KeyMissing,
            AccessOutcome::KeyUnconfirmed},
        Row{QueueAccess::Keyed, "cedar-1", AccessOutcome::KeyUnknown,
            AccessOutcome::KeyUnconfirmed}}) {
    const auto Outcome = [&Each](Duration Age) {
      return decide(WithRevocation, Each.Queue, Each.Key, Age).Outcome;
    };
    INFO(nameOf(QueueAccessNames, Each.Queue) << " " << Each.Key);
    CHECK(Outcome(seconds(0)) == Each.Confirmed);
    CHECK(Outcome(milliseconds(1500)) == Each.Confirmed);
    CHECK(Outcome(milliseconds(1501)) == Each.Unconfirmed);
    CHECK(Outcome(Duration::max()) == Each.Unconfirmed);
  }
}

TEST_CASE("a known key is allowed and names its tenant") {
  for (const char *Key : {"alder-1", "alder-2"}) {
    const auto Decision =
        decide(WithRevocation, QueueAccess::Keyed, Key, seconds(0));
    CHECK(Decision.Outcome == AccessOutcome::Allowed);
    CHECK(Decision.Tenant == TenantName("alder"));
  }
  CHECK(decide(WithRevocation, QueueAccess::Keyed, "birch-1", seconds(0))
            .Tenant == TenantName("birch"));
}

// Guards against keys that are compared by a prefix, or without the case.
TEST_CASE("a key must match exactly") {
  for (const char *Key : {"alder-", "alder-11", "Alder-1", " alder-1", "alder"})
    CHECK(decide(WithRevocation, QueueAccess::Keyed, Key, seconds(0)).Outcome ==
          AccessOutcome::KeyUnknown);
}

// Guards against a public queue that depends on keys or on the store.
TEST_CASE("an open queue ignores keys and the age of the configuration") {
  for (const char *Key : {"", "alder-1", "cedar-1"})
    for (const Duration Age : {Duration::zero(), Duration::max()}) {
      const auto Decision = decide(WithRevocation, QueueAccess::Open, Key, Age);
      CHECK(Decision.Outcome == AccessOutcome::Allowed);
      CHECK(Decision.Tenant.isEmpty());
    }
}

// Guards against calls that a VM handles by a configuration which it knows to
// have been replaced for longer than a change may take.
TEST_CASE("a configuration known to be outdated is not used for long") {
  const AccessPolicy Policy(WithoutRevocation);
  for (const QueueAccess Queue : {QueueAccess::Open, QueueAccess::Keyed}) {
    const auto Outcome = [&](Duration Age, bool IsOutdated) {
      return Policy.decide(Table, {Queue, "alder-1", Age, Age, IsOutdated})
          .Outcome;
    };
    INFO(nameOf(QueueAccessNames, Queue));
    CHECK(Outcome(milliseconds(1500), true) == AccessOutcome::Allowed);
    CHECK(Outcome(milliseconds(1501), true) ==
          AccessOutcome::ConfigurationStale);
    CHECK(Outcome(Duration::max(), false) == AccessOutcome::Allowed);
  }
}

// Guards against a call with a removed key that succeeds after the bound.
TEST_CASE("a known key is refused once it may have been removed too long ago") {
  const auto Outcome = [](const AccessBounds &Bounds, Duration Age) {
    return decide(Bounds, QueueAccess::Keyed, "alder-1", Age).Outcome;
  };
  CHECK(Outcome(WithRevocation, milliseconds(4800)) == AccessOutcome::Allowed);
  CHECK(Outcome(WithRevocation, milliseconds(4801)) ==
        AccessOutcome::ConfigurationStale);
  CHECK(Outcome(WithRevocation, Duration::max()) ==
        AccessOutcome::ConfigurationStale);
  CHECK(Outcome(WithoutRevocation, Duration::max()) == AccessOutcome::Allowed);
}

// Guards against a bound that is stretched, or cut short, by the time that a
// failed read of the configuration takes.
TEST_CASE("the age at the arrival decides on a known key") {
  const AccessPolicy Policy(WithRevocation);
  const auto Outcome = [&Policy](Duration AtArrival, Duration Now) {
    return Policy.decide(Table, {QueueAccess::Keyed, "alder-1", Now, AtArrival})
        .Outcome;
  };
  CHECK(Outcome(milliseconds(4500), milliseconds(5200)) ==
        AccessOutcome::Allowed);
  CHECK(Outcome(milliseconds(4900), milliseconds(5600)) ==
        AccessOutcome::ConfigurationStale);
  CHECK(Outcome(milliseconds(-100), milliseconds(600)) ==
        AccessOutcome::Allowed);
}

TEST_CASE("the time for a change limits the age that counts as confirmed") {
  const auto MaxAge = [](Duration ConfigurationTime) {
    const AccessPolicy Policy({ConfigurationTime, std::nullopt});
    Duration Age = Duration::zero();
    while (Policy.isConfirmed(Age + milliseconds(1)))
      Age += milliseconds(1);
    return Age;
  };
  CHECK(MaxAge(seconds(1)) == milliseconds(500));
  CHECK(MaxAge(seconds(2)) == milliseconds(1500));
  CHECK(MaxAge(seconds(3)) == milliseconds(1500));
}

TEST_CASE("the digest of a key does not show the key") {
  CHECK(keyDigest("alder-1").size() == 8);
  CHECK(keyDigest("alder-1") != keyDigest("alder-2"));
  CHECK(keyDigest("alder-1").find("alder") == std::string::npos);
}
