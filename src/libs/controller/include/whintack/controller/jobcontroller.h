#ifndef WHINTACK_CONTROLLER_JOBCONTROLLER_H
#define WHINTACK_CONTROLLER_JOBCONTROLLER_H

#include "whintack/base/eventjournal.h"
#include "whintack/configuration/configurationmanager.h"
#include "whintack/fleet/taskplanner.h"
#include "whintack/store/recordclient.h"
#include "whintack/store/vmdirectory.h"

namespace whintack::controller {

/// Controls the runs of one pool: processes the task reports of the workers,
/// places tasks, and orders workers to start, checkpoint and stop them. A task
/// is recorded as starting before its start order is sent, so that no task
/// starts twice.
class JobController {
public:
  using EpochSource = std::function<uint64_t()>;

  JobController(PoolName Pool, const declaration::Weights &Cost,
                store::RecordClient &Records, store::WorkerControl Workers,
                EpochSource Epoch, Clock Time, Random Source,
                EventJournal &Journal);

  /// Performs all actions that are due. Returns whether the pool has runs that
  /// have not ended.
  bool pass(const fleet::PoolView &View,
            const configuration::Configuration &InForce,
            const std::vector<store::VmInfo> &Listed);
  /// Number of tasks that run or may run on \p Vm, as of the last pass.
  int64_t tasksOn(const VmName &Vm) const;

private:
  using RunChange = std::function<bool(fleet::RunRecord &)>;

  bool readRuns();
  std::map<TaskId, fleet::ReportedTask>
  readReports(const fleet::PoolView &View);
  void processReports(const std::map<TaskId, fleet::ReportedTask> &Reported,
                      const configuration::Configuration &InForce);
  void startTasks(const fleet::TaskPlan &Plan);
  void sendStartOrder(const fleet::RunRecord &Run, size_t Index,
                      const Resources &Size, bool Resumes, uint64_t OrderEpoch);
  void repeatStartOrders(const fleet::PoolView &View);
  void condemnRuns(const fleet::TaskPlan &Plan);
  void removeExpiredRuns();
  /// Applies a change to a run's stored record. Returns its new version, or 0
  /// if nothing was written.
  uint64_t updateRecord(const fleet::RunRecord &Run, const RunChange &Apply);
  void recordEvent(EventKind Kind, const fleet::RunRecord &Run,
                   const std::string &Text, const VmName &Vm = VmName());

  PoolName Pool;
  store::RecordClient &Records;
  store::WorkerControl Workers;
  EpochSource Epoch;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  fleet::FailureTracker Failures;
  fleet::SizeEstimator Sizes;
  std::vector<fleet::RunRecord> Runs;
  uint64_t Version = 0;
};

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_JOBCONTROLLER_H
