#include "draintracker.h"
#include "forwarderfixture.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::entry::Internal;

namespace {

/// The drain tracker of a process whose only peer is e2.
class Tracker {
public:
  Tracker(uint64_t Incarnation, tests::ForwarderFixture &Test)
      : Tested(Incarnation, {EntryName("e2")},
               {[this](const EntryName &, const peers::Message &Sent) {
                  this->LastQuery = std::get<peers::RunningRequest>(Sent).Id;
                },
                [](const EntryName &) { return true; }},
               *Test.Forwarding, Test.Time) {}

  /// Asks for the requests on the VM; returns the id of the query.
  peers::CallId query(const std::string &Vm) {
    this->Tested.queryPeers({VmName(Vm), 1});
    return this->LastQuery;
  }
  void answer(peers::CallId Id, int64_t Running) {
    this->Tested.handleMessage(EntryName("e2"),
                               peers::RunningAnswer{Id, Running});
  }

  DrainTracker Tested;

private:
  peers::CallId LastQuery = 0;
};

} // namespace

// Guards against a VM that is rebooted under running requests: a late answer on
// another VM was taken for its own (issue 34).
TEST_CASE("an answer to a query of an earlier process on the VM is not taken "
          "for that of a later query") {
  tests::ForwarderFixture Test({tests::ownAddress(40, 9000)});
  Tracker Earlier(7000000, Test);
  const peers::CallId Late = Earlier.query("vm1");
  Tracker Later(9000000, Test);
  const peers::CallId Own = Later.query("vm2");
  Later.answer(Late, 0);
  CHECK_FALSE(Later.Tested.runningRequests(VmName("vm2")));
  Later.answer(Own, 3);
  CHECK(Later.Tested.runningRequests(VmName("vm2")) == 3);
}
