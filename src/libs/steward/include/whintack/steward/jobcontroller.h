#ifndef WHINTACK_STEWARD_JOBSTEWARD_H
#define WHINTACK_STEWARD_JOBSTEWARD_H

#include "whintack/base/eventjournal.h"
#include "whintack/configuration/configurationkeeper.h"
#include "whintack/fleet/taskplanner.h"
#include "whintack/store/recordclient.h"
#include "whintack/store/vmdirectory.h"

namespace whintack::steward {

/// Looks after the runs of one pool: takes in what workers report, places
/// tasks, and orders them started, checkpointed and stopped. A task is
/// written down as started before its order goes out, so that none starts
/// twice.
class JobSteward {
public:
  using EpochSource = std::function<uint64_t()>;

  JobSteward(PoolName Pool, const declaration::Weights &Cost,
             store::RecordClient &Records, store::WorkerControl Workers,
             EpochSource Epoch, Clock Time, Random Source,
             EventJournal &Journal);

  /// Does what is due. Returns whether anything is under way.
  bool pass(const fleet::PoolView &View,
            const configuration::Configuration &InForce,
            const std::vector<store::VmInfo> &Listed);
  /// Tasks that run or may run on \p Vm, as of the last pass.
  int64_t tasksOn(const VmName &Vm) const;

private:
  using RunChange = std::function<bool(fleet::RunRecord &)>;

  bool readRuns();
  std::map<TaskId, fleet::ReportedTask>
  readReports(const fleet::PoolView &View);
  void takeReports(const std::map<TaskId, fleet::ReportedTask> &Reported,
                   const configuration::Configuration &InForce);
  void start(const fleet::TaskPlan &Plan);
  void order(const fleet::RunRecord &Run, size_t Index, const Resources &Size,
             bool Resumes, uint64_t OrderEpoch);
  void repeatOrders(const fleet::PoolView &View);
  void condemn(const fleet::TaskPlan &Plan);
  void removeEnded();
  /// Changes a run's record. Returns its new version, or 0.
  uint64_t change(const fleet::RunRecord &Run, const RunChange &Apply);
  void note(EventKind Kind, const fleet::RunRecord &Run,
            const std::string &Text, const VmName &Vm = VmName());

  PoolName Pool;
  store::RecordClient &Records;
  store::WorkerControl Workers;
  EpochSource Epoch;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  fleet::Blame Judge;
  fleet::SizeEstimator Sizes;
  std::vector<fleet::RunRecord> Runs;
  uint64_t Version = 0;
};

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_JOBSTEWARD_H
