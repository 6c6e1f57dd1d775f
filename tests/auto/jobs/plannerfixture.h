#ifndef WHINTACK_TESTS_PLANNERFIXTURE_H
#define WHINTACK_TESTS_PLANNERFIXTURE_H

#include "manualclock.h"

#include "whintack/jobs/planner.h"

#include <algorithm>
#include <map>

namespace whintack::tests {

inline const ServiceName TestService("payouts");

inline jobs::ExecutorInfo executor(const std::string &Name,
                                   int64_t MilliCores = 8000) {
  jobs::ExecutorInfo Info;
  Info.Id = jobs::ExecutorId(Name);
  Info.Service = TestService;
  Info.Server = {"10.0.0.1", 80};
  Info.DataCentre = DataCentreName("tacoma");
  Info.Capacity = {MilliCores, 64000, 0};
  Info.Labels = {"a", "r1-1"};
  return Info;
}

inline jobs::StepSpec step(size_t Count, int64_t MilliCores = 1000) {
  jobs::StepSpec Step;
  Step.Count = Count;
  Step.Need = {MilliCores, 100, 0};
  Step.Estimate = std::chrono::milliseconds(500);
  return Step;
}

inline jobs::AcceptedJob job(const std::string &Id,
                             std::vector<jobs::StepSpec> Steps,
                             int64_t MaxAttempts = 2) {
  jobs::AcceptedJob Job;
  Job.Spec.Id = jobs::JobId(Id);
  Job.Spec.TaskPayload = "text";
  Job.Spec.Steps = std::move(Steps);
  Job.Policy.Name = "queue";
  Job.Policy.Service = TestService;
  Job.Policy.MaxAttempts = MaxAttempts;
  Job.Policy.Stretch = 1.6;
  Job.Policy.Objective = std::chrono::milliseconds(600);
  return Job;
}

/// A planner, and the answers of executors that carry out every order.
class PlannerFixture {
public:
  explicit PlannerFixture(uint64_t Generation = 1, bool ReservesRoom = false)
      : Planner({TestService, Generation,
                 [this](std::string_view Event,
                        std::initializer_list<LogField> Fields) {
                   this->Logged.emplace_back(Event);
                   this->LoggedFields.emplace_back();
                   for (const LogField &Each : Fields)
                     this->LoggedFields.back()[Each.Key] = Each.Value;
                 },
                 ReservesRoom}) {}

  /// Lists executors and reports for each that nothing runs on it.
  void list(const std::vector<jobs::ExecutorInfo> &Infos) {
    this->Planner.setExecutors(Infos);
    for (const jobs::ExecutorInfo &Info : Infos)
      this->report(Info.Id.text(), {}, {});
  }

  void report(const std::string &From, std::vector<jobs::RunReport> Running,
              std::vector<jobs::EndReport> Ended) {
    jobs::ExecutorReport Report;
    Report.At = ++this->ExecutorNow;
    Report.Running = std::move(Running);
    Report.Ended = std::move(Ended);
    this->Planner.noteReport(jobs::ExecutorId(From), Report, this->Time.now());
  }

  /// Plans and returns the start orders.
  std::vector<jobs::StartOrder> starts() {
    this->Planner.plan(this->Time.now(), WallTime());
    return this->takeOrders<jobs::StartOrder>();
  }

  template <typename OrderType> std::vector<OrderType> takeOrders() {
    std::vector<OrderType> Found;
    for (const jobs::Order &Given : this->Planner.takeOrders())
      if (const auto *Wanted = std::get_if<OrderType>(&Given))
        Found.push_back(*Wanted);
    return Found;
  }

  void confirm(const jobs::StartOrder &Order) {
    this->Planner.noteStart(Order, jobs::StartOutcome::Started,
                            ++this->ExecutorNow, this->Time.now());
    this->Confirmed.push_back(Order);
  }

  jobs::EndReport end(const jobs::StartOrder &Order, jobs::RunEnd How) {
    return {++this->LastEnd, Order.Task, Order.Run, How, ""};
  }

  void endRun(const jobs::StartOrder &Order, jobs::RunEnd How) {
    std::erase_if(this->Confirmed, [&Order](const jobs::StartOrder &Each) {
      return Each.Task == Order.Task && Each.Run == Order.Run;
    });
    std::vector<jobs::RunReport> Running;
    for (const jobs::StartOrder &Each : this->Confirmed)
      if (Each.Executor == Order.Executor)
        Running.push_back({Each.Task, Each.Run, "", 50, 0});
    this->report(Order.Executor.text(), Running, {this->end(Order, How)});
  }

  /// Confirms all pending writes as stored.
  void store() {
    const auto Writes = this->Planner.takeWrites(1000);
    this->Planner.noteWritten(Writes);
  }

  /// The fields of each line of the event.
  std::vector<std::map<std::string, std::string>>
  lines(const std::string &Event) const {
    std::vector<std::map<std::string, std::string>> Found;
    for (size_t Line = 0; Line < this->Logged.size(); ++Line)
      if (this->Logged[Line] == Event)
        Found.push_back(this->LoggedFields[Line]);
    return Found;
  }

  ManualClock Time;
  /// Events that the planner has logged.
  std::vector<std::string> Logged;
  /// The fields of each of these lines.
  std::vector<std::map<std::string, std::string>> LoggedFields;
  jobs::Planner Planner;
  jobs::ExecutorTime ExecutorNow = 1000;
  uint64_t LastEnd = 0;
  /// Confirmed runs that have not ended.
  std::vector<jobs::StartOrder> Confirmed;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_PLANNERFIXTURE_H
