#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double VmShare = 0.1;
/// Processor time of one call to an executor, with its answer.
constexpr Duration CallCost = microseconds(320);

/// The processor of one VM, which makes one call after the other.
class CallProcessor {
public:
  CallProcessor(SteppedLoop &Loop, double Share)
      : Loop(Loop), Cost(static_cast<int64_t>(
                        static_cast<double>(CallCost.count()) / Share)) {}

  /// Makes the call in its turn, unless it is too late by then.
  void run(TimePoint Deadline, std::function<void()> Call,
           std::function<void()> GiveUp) {
    const TimePoint Begin = std::max(this->FreeAt, this->Loop.Time.now());
    if (Begin + this->Cost > Deadline) {
      this->Loop.Queue.schedule(Deadline, std::move(GiveUp));
      return;
    }
    this->FreeAt = Begin + this->Cost;
    this->Loop.Queue.schedule(this->FreeAt, std::move(Call));
  }

private:
  SteppedLoop &Loop;
  Duration Cost;
  TimePoint FreeAt = TimePoint::min();
};

/// A fleet whose VMs need processor time for their calls to executors, and the
/// turn of one queue: far more jobs than before, for which there is room.
class QueueTurn : public SimulatedFleet {
public:
  QueueTurn() {
    simulation::addExampleFleet(this->Platform);
    for (int Number = 0; Number < 25; ++Number) {
      simulation::MachineSetup Machine;
      Machine.Name = jobs::MachineName("q" + std::to_string(Number));
      Machine.Pool = ServiceName("quotes");
      Machine.Rack = "r" + std::to_string(Number % 4);
      Machine.DataCentre = DataCentreName(Number % 2 == 0 ? "d1" : "d2");
      Machine.Capacity = {16000, 64000, 0};
      this->Platform.addMachine(Machine);
    }
    this->WrapExecutors = [this](jobs::ExecutorGateway Direct) {
      return this->withProcessor(std::move(Direct));
    };
    for (int Number = 1; Number <= 8; ++Number)
      this->startNode("e" + std::to_string(Number),
                      Number % 2 == 1 ? "d1" : "d2", VmShare);
    this->runFor(seconds(6));
  }

  /// Submits \p Rate jobs a second for \p Length and returns the share of them
  /// that are shown as completed within the queue's objective.
  double play(int64_t Rate, Duration Length) {
    const Duration Objective = milliseconds(600) + 2 * milliseconds(400);
    std::vector<std::shared_ptr<ClientAnswer>> Shown;
    const Duration Pause = Duration(seconds(1)) / Rate;
    for (Duration Elapsed = Duration::zero(); Elapsed < Length;
         Elapsed += Pause) {
      const std::string Path = this->submit("quotes", "short");
      this->Loop.Queue.schedule(
          this->Loop.Time.now() + Objective, [this, Path, &Shown] {
            Shown.push_back(this->send("e8", "GET", Path));
          });
      this->runFor(Pause);
    }
    this->runFor(seconds(10));
    const auto OnTime =
        std::count_if(Shown.begin(), Shown.end(), [](const auto &Answer) {
          return Answer->Body == "completed";
        });
    return static_cast<double>(OnTime) / static_cast<double>(Shown.size());
  }

private:
  jobs::ExecutorGateway withProcessor(jobs::ExecutorGateway Direct) {
    const auto Processor = std::make_shared<CallProcessor>(this->Loop, VmShare);
    jobs::ExecutorGateway Wrapped = Direct;
    Wrapped.Report =
        [=](const jobs::ExecutorAddress &To, const jobs::ReportRequest &Request,
            TimePoint Deadline,
            const jobs::GatewayCallback<jobs::ExecutorReport> &Done) {
          Processor->run(
              Deadline, [=] { Direct.Report(To, Request, Deadline, Done); },
              [=] {
                Done(failure(jobs::GatewayError{
                    jobs::GatewayErrorCode::NoAnswer, "no processor time"}));
              });
        };
    Wrapped.Start = [=](const jobs::ExecutorAddress &To,
                        const jobs::StartOrder &Order, uint64_t Token,
                        jobs::ExecutorTime LeaseUntil, TimePoint Deadline,
                        const std::function<void(jobs::StartAnswer)> &Done) {
      Processor->run(
          Deadline,
          [=] { Direct.Start(To, Order, Token, LeaseUntil, Deadline, Done); },
          [=] { Done(jobs::StartAnswer()); });
    };
    return Wrapped;
  }
};

} // namespace

// Guards against a queue that is served as fast as the processor of one VM
// allows, while other VMs are idle: all calls to the executors of a service
// left from the VM of its planner.
TEST_CASE(
    "a queue in its turn is served on time if only the planner's VM lacks "
    "processor time") {
  QueueTurn Turn;
  // The pool gets its machines back in this time.
  Turn.play(15, seconds(4));
  CHECK(Turn.play(60, seconds(8)) > 0.9);
  CHECK(Turn.Platform.runChecker().violations().empty());
}
