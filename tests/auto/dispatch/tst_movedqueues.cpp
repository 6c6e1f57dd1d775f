#include "jobrecords.h"
#include "movablequeues.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Job = "/quotes/00000000000000a1";
constexpr int Ok = 200;
/// Number of tasks of the templates "short" and "lasting".
constexpr size_t ShortTasks = 4;
constexpr size_t LastingTasks = 3;

} // namespace

// Guards against an accepted job that is answered 410 once a configuration
// sends its queue to another service (review/2).
TEST_CASE("a job stays known when its queue goes to another service") {
  MovableQueuesFleet Fleet;
  REQUIRE(Fleet.post("e1", Job, "lasting") == Ok);
  Fleet.moveQueue("quotes", "payouts");
  Fleet.runFor(seconds(3));
  for (const std::string &Name : Fleet.nodeNames()) {
    const ClientAnswer Answer = Fleet.get(Name, Job);
    INFO(Name);
    CHECK(Answer.Status == Ok);
    CHECK(Answer.Body == "running");
  }
  const auto Cancelled = Fleet.send("e2", "DELETE", Job);
  Fleet.runFor(seconds(3));
  CHECK(Cancelled->Status == Ok);
  CHECK(Fleet.get("e3", Job).Body == "cancelled");
}

// Guards against a request that is sent again and runs its job a second time,
// in the service that its queue has gone to (review/2).
TEST_CASE("a job that is submitted again after its queue has moved runs once") {
  const std::string Template = GENERATE("short", "lasting");
  MovableQueuesFleet Fleet;
  REQUIRE(Fleet.post("e1", Job, Template) == Ok);
  const size_t Starts = Template == "short" ? ShortTasks : LastingTasks;
  REQUIRE(Fleet.Platform.runChecker().starts() == Starts);
  Fleet.moveQueue("quotes", "payouts");
  Fleet.runFor(seconds(3));
  CHECK(Fleet.post("e3", Job, Template) == Ok);
  Fleet.runFor(seconds(2));
  CHECK(Fleet.Platform.runChecker().starts() == Starts);
  CHECK(Fleet.Platform.runChecker().violations().empty());
}

// Guards against two VMs that know different configurations and both store a
// job with the same id.
TEST_CASE("only one of two VMs with different configurations stores a job") {
  for (int Lead = -2; Lead <= 2; ++Lead) {
    MovableQueuesFleet Fleet;
    Fleet.moveQueueUnseenBy("e3", "quotes", "payouts");
    REQUIRE(Fleet.knowsAddedQueue("e1"));
    REQUIRE_FALSE(Fleet.knowsAddedQueue("e3"));
    const bool IsOldFirst = Lead < 0;
    const auto First =
        Fleet.postAndContinue(IsOldFirst ? "e3" : "e1", Job, "short");
    Fleet.runFor(milliseconds(std::abs(Lead)));
    const auto Second =
        Fleet.postAndContinue(IsOldFirst ? "e1" : "e3", Job, "short");
    Fleet.runFor(seconds(8));
    INFO("e1 was asked " << Lead << " ms before e3");
    CHECK(First->Status == Ok);
    CHECK(Second->Status == Ok);
    CHECK(Fleet.Platform.runChecker().starts() == ShortTasks);
    CHECK(Fleet.Platform.runChecker().violations().empty());
    CHECK(Fleet.get("e1", Job).Body == "completed");
    CHECK(Fleet.get("e2", Job).Body == "completed");
  }
}

// Guards against a VM that still has the configuration of before and answers
// 410 for a job of the new service.
TEST_CASE("a VM with an older configuration finds a job of the new service") {
  MovableQueuesFleet Fleet;
  Fleet.moveQueueUnseenBy("e3", "quotes", "payouts");
  const auto Accepted = Fleet.postAndContinue("e1", Job, "lasting");
  Fleet.runFor(milliseconds(100));
  REQUIRE_FALSE(Fleet.knowsAddedQueue("e3"));
  const auto Shown = Fleet.send("e3", "GET", Job);
  Fleet.runFor(seconds(3));
  CHECK(Accepted->Status == Ok);
  CHECK(Shown->Status == Ok);
}

// Guards against jobs that are left when their planner is lost after the last
// queue of its service has gone, or when a queue comes back to it.
TEST_CASE("jobs of a service without queues run to their end") {
  const bool DoesReturn = GENERATE(false, true);
  MovableQueuesFleet Fleet;
  REQUIRE(Fleet.post("e1", Job, "chain") == Ok);
  Fleet.moveQueue("quotes", "payouts");
  Fleet.runFor(seconds(1));
  const std::string Planner = Fleet.plannerOf("quotes");
  REQUIRE_FALSE(Planner.empty());
  Fleet.killNode(Planner);
  Fleet.runFor(seconds(1));
  Fleet.restartNode(Planner);
  if (DoesReturn)
    Fleet.moveQueue("quotes", "quotes");
  Fleet.runFor(seconds(25));
  CHECK(Fleet.get("e2", Job).Body == "completed");
  CHECK(Fleet.post("e1", Job, "chain") == Ok);
  CHECK(Fleet.get("e3", Job).Body == "completed");
  CHECK(Fleet.Platform.runChecker().violations().empty());
}

// Guards against an accepted job that gets the default policy, with a single
// attempt, from a planner that no longer finds its queue.
TEST_CASE("a job keeps its attempts when its queue is replaced") {
  MovableQueuesFleet Fleet;
  std::set<jobs::TaskKey> Failed;
  Fleet.Platform.setFailures([&Failed](const jobs::TaskKey &Task, uint64_t) {
    return Failed.insert(Task).second;
  });
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.killNode(Planner);
  REQUIRE(Fleet.post(Planner == "e1" ? "e2" : "e1", Job, "short") == Ok);
  SECTION("by one of another name") { Fleet.renameQueue("quotes", "quotes-b"); }
  SECTION("by one of the same name for another service") {
    Fleet.reconfigure([](jobs::FleetConfiguration &Next) {
      Next.Queues.front().Service = ServiceName("payouts");
      Next.Queues.front().MaxAttempts = 1;
    });
  }
  SECTION("by none") {
    Fleet.reconfigure([](jobs::FleetConfiguration &Next) {
      Next.Queues.erase(Next.Queues.begin());
    });
    Fleet.runFor(seconds(20));
    CHECK(Failed.size() == ShortTasks);
    Fleet.reconfigure([](jobs::FleetConfiguration &Next) {
      Next.Queues.insert(Next.Queues.begin(),
                         simulation::exampleConfiguration(1).Queues.front());
    });
  }
  Fleet.restartNode(Planner);
  Fleet.runFor(seconds(20));
  CHECK(Failed.size() == ShortTasks);
  CHECK(Fleet.get("e3", Job).Body == "completed");
}

// Guards against a policy that is stored in part.
TEST_CASE("the record of a job keeps the policy of its queue") {
  StoredJob Stored;
  Stored.QueueName = "quotes";
  Stored.Body = "short";
  CHECK_FALSE(decodeStoredJob(encodeStoredJob(Stored)).value().Policy);

  jobs::Queue Policy = simulation::exampleConfiguration(1).Queues.front();
  Policy.Priority = 2;
  Policy.Timeout = seconds(4);
  Policy.IsPublic = true;
  Policy.Advice =
      jobs::AdvicePolicy{milliseconds(300), milliseconds(105), seconds(10)};
  Stored.Policy = Policy;
  const auto Read = decodeStoredJob(encodeStoredJob(Stored));
  REQUIRE(Read);
  REQUIRE(Read.value().Policy);
  const jobs::Queue &Kept = *Read.value().Policy;
  CHECK(Kept.Name == Policy.Name);
  CHECK(Kept.Host == Policy.Host);
  CHECK(Kept.Prefix == Policy.Prefix);
  CHECK(Kept.Priority == Policy.Priority);
  CHECK(Kept.MaxAttempts == Policy.MaxAttempts);
  CHECK(Kept.Timeout == Policy.Timeout);
  CHECK(Kept.Stretch == Policy.Stretch);
  CHECK(Kept.Objective == Policy.Objective);
  CHECK(Kept.IsPublic);
  REQUIRE(Kept.Advice);
  CHECK(Kept.Advice->BaseTime == Policy.Advice->BaseTime);
  CHECK(Kept.Advice->TimePerExecutor == Policy.Advice->TimePerExecutor);
  CHECK(Kept.Advice->Validity == Policy.Advice->Validity);
}

// Guards against a count that leaves out the jobs that were accepted before the
// queue went to another service or got another name.
TEST_CASE("jobs that wait are counted after their queue has changed") {
  MovableQueuesFleet Fleet;
  for (const jobs::MachineName &Machine : Fleet.Platform.machineNames())
    Fleet.Platform.crash(Machine, seconds(100));
  Fleet.runFor(seconds(8));
  REQUIRE(Fleet.post("e1", Job, "short") == Ok);
  REQUIRE(Fleet.get("e2", "/quotes/").Body == "1");
  SECTION("to another service") { Fleet.moveQueue("quotes", "payouts"); }
  SECTION("to another name") { Fleet.renameQueue("quotes", "quotes-b"); }
  SECTION("to both") {
    Fleet.renameQueue("quotes", "quotes-b");
    Fleet.moveQueue("quotes-b", "payouts");
  }
  Fleet.runFor(seconds(3));
  for (const std::string &Name : Fleet.nodeNames())
    CHECK(Fleet.get(Name, "/quotes/").Body == "1");
  CHECK(Fleet.get("e1", "/payouts/").Body == "0");
}
