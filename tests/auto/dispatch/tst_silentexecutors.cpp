#include "logcapture.h"
#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const DataCentreName CutDataCentre("d1");
constexpr size_t TasksPerJob = 3;

/// How the list of machines shows those of the data centre that is cut off.
enum class ListFault { None, RowMissing, IdMissing };

/// A fleet whose tasks run until their jobs are cancelled, and that can be cut
/// off from the executors of one data centre while these go on.
class CutFleet : public SimulatedFleet {
public:
  /// Lists that are read while the fleet starts have the fault \p AtStart.
  explicit CutFleet(ListFault AtStart) : Fault(AtStart) {
    this->WrapMachines = [this](jobs::MachineGateway Direct) {
      Direct.List =
          [this, List = Direct.List](
              TimePoint Deadline,
              const jobs::GatewayCallback<std::vector<jobs::MachineInfo>>
                  &Done) {
            List(
                Deadline,
                [this, Done](
                    jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found) {
                  if (Found)
                    this->applyFault(Found.value());
                  Done(std::move(Found));
                });
          };
      return Direct;
    };
    this->startAll();
    this->Fault = ListFault::None;
    for (const char *Queue : {"quotes", "payouts", "quotes", "payouts"})
      this->submit(Queue, "lasting");
    this->runFor(seconds(3));
    REQUIRE(this->starts() == 4 * TasksPerJob);
  }

  void setCut(bool IsCut) {
    for (const std::string &Name : this->nodeNames())
      this->Platform.setCut(EntryName(Name), CutDataCentre, IsCut);
  }
  /// Lets the planners read a list while executors are silent.
  void letMachinesBeKnown() {
    this->setCut(true);
    this->runFor(seconds(3));
    this->setCut(false);
    this->runFor(seconds(3));
    REQUIRE(this->starts() == 4 * TasksPerJob);
  }

  size_t starts() { return this->Platform.runChecker().starts(); }

  /// The machine of an executor of the queue "quotes".
  jobs::MachineName machineToCrash() {
    for (const jobs::MachineInfo &Each : this->Platform.machineList())
      if (Each.Pool == ServiceName("quotes") && !Each.Executor.isEmpty())
        return Each.Name;
    return jobs::MachineName();
  }

  ListFault Fault;

private:
  void applyFault(std::vector<jobs::MachineInfo> &List) const {
    if (this->Fault == ListFault::RowMissing)
      std::erase_if(List, [](const jobs::MachineInfo &Each) {
        return Each.DataCentre == CutDataCentre;
      });
    if (this->Fault == ListFault::IdMissing)
      for (jobs::MachineInfo &Each : List)
        if (Each.DataCentre == CutDataCentre)
          Each.Executor = jobs::ExecutorId();
  }
};

} // namespace

// Guards against tasks that are started elsewhere while their executors, which
// are only cut off, still run them (issue 58).
TEST_CASE("an executor that the list of machines leaves out keeps its tasks") {
  const LogCapture Log;
  const ListFault AtStart = GENERATE(ListFault::None, ListFault::RowMissing);
  CutFleet Fleet(AtStart);
  // No lease ends in this time.
  constexpr Duration CutLength = seconds(3);
  // Planners read one list in this time.
  constexpr Duration ReadInterval = milliseconds(600);
  SECTION("if its machine is known") {
    Fleet.letMachinesBeKnown();
    Fleet.Fault = GENERATE(ListFault::RowMissing, ListFault::IdMissing);
    Fleet.setCut(true);
    Fleet.runFor(CutLength);
  }
  SECTION("if its machine has no id") {
    Fleet.Fault = ListFault::IdMissing;
    Fleet.setCut(true);
    Fleet.runFor(CutLength);
  }
  SECTION("if one list leaves its machine out") {
    const Duration FaultBegins = GENERATE(1, 2, 3, 4) * ReadInterval;
    Fleet.setCut(true);
    Fleet.runFor(FaultBegins);
    Fleet.Fault = ListFault::RowMissing;
    Fleet.runFor(ReadInterval);
    Fleet.Fault = ListFault::None;
    Fleet.runFor(CutLength - FaultBegins - ReadInterval);
  }
  Fleet.Fault = ListFault::None;
  Fleet.setCut(false);
  Fleet.runFor(seconds(5));
  CHECK(Log.lines("machine-lost").empty());
  CHECK(Fleet.starts() == 4 * TasksPerJob);
  for (const std::string &Text : Fleet.Platform.runChecker().violations())
    FAIL_CHECK(Text);
}

// Guards against tasks of a crashed executor that wait for the end of a lease.
TEST_CASE("the tasks of a crashed executor are started again soon") {
  const ListFault AtStart = GENERATE(ListFault::None, ListFault::RowMissing);
  CutFleet Fleet(AtStart);
  const LogCapture Log;
  std::string Machine = "down";
  std::string Cause = "machine-lost";
  Duration DownFor = seconds(20);
  SECTION("if its machine is known and down") { Fleet.letMachinesBeKnown(); }
  SECTION("if its machine is known and runs another executor") {
    Fleet.letMachinesBeKnown();
    Machine = "other-executor";
    Cause = "replaced";
    DownFor = milliseconds(300);
  }
  SECTION("if its machine is known from a take-over, or not at all") {
    Machine = AtStart == ListFault::None ? "down" : "absent";
  }
  const size_t Starts = Fleet.starts();
  Fleet.Platform.crash(Fleet.machineToCrash(), DownFor);
  Fleet.runFor(seconds(4));
  CHECK(Fleet.starts() > Starts);
  const std::vector<std::string> Lost = Log.lines("machine-lost");
  REQUIRE(Lost.size() == 1);
  CHECK(LogCapture::field(Lost[0], "machine") == Machine);
  const std::vector<std::string> Empty = Log.lines("executor-empty");
  REQUIRE(Empty.size() == 1);
  CHECK(LogCapture::field(Empty[0], "cause") == Cause);
  for (const std::string &Text : Fleet.Platform.runChecker().violations())
    FAIL_CHECK(Text);
}

// Guards against an executor whose loss, and the crashes under its tasks, are
// noticed an interval late because another one was lost just before it.
TEST_CASE("executors that are lost one after the other are all noticed soon") {
  SimulatedFleet Fleet;
  Fleet.startAll();
  Fleet.runFor(seconds(3));
  std::vector<jobs::MachineName> Machines;
  for (const jobs::MachineInfo &Each : Fleet.Platform.machineList())
    if (Each.Pool == ServiceName("quotes") && !Each.Executor.isEmpty())
      Machines.push_back(Each.Name);
  REQUIRE(Machines.size() >= 3);
  const LogCapture Log;
  for (size_t Count = 0; Count < 3; ++Count) {
    Fleet.Platform.crashExecutor(Machines[Count], seconds(5));
    Fleet.runFor(milliseconds(1));
  }
  Fleet.runFor(milliseconds(200));
  CHECK(Log.lines("machine-lost").size() == 3);
}
