#ifndef WHINTACK_DISPATCH_LOSTEXECUTORTRACKER_H
#define WHINTACK_DISPATCH_LOSTEXECUTORTRACKER_H

#include "whintack/jobs/gateways.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace whintack::dispatch::Internal {

/// An executor on which nothing runs any more, by the list of machines.
struct LostExecutor {
  jobs::ExecutorId Id;
  jobs::ExecutorLoss Cause = jobs::ExecutorLoss::MachineLost;
  /// What the list says of its machine, for the log.
  std::string Machine;

  bool operator==(const LostExecutor &) const = default;
};

/// Tells from a series of lists of machines which silent executors of one pool
/// are lost. The pages of a list are not a snapshot, so an executor that is in
/// no row may be up: its machine may have changed its place between two pages,
/// or its row may have no id for a moment. An executor is lost if the machine
/// on which it ran is listed as not up, or as up with another executor. One
/// that is taken away with its machine is in no list from then on; it has left
/// if its registration is gone as well.
class LostExecutorTracker {
public:
  /// \p IsRegistered returns whether an executor is registered, or may be; null
  /// if all are.
  explicit LostExecutorTracker(
      ServiceName Pool,
      std::function<bool(const jobs::ExecutorId &)> IsRegistered = nullptr)
      : Pool(std::move(Pool)), IsRegistered(std::move(IsRegistered)) {}

  /// Returns which of the executors that have been silent since before \p List
  /// was requested are lost.
  std::vector<LostExecutor> findLost(const std::vector<jobs::MachineInfo> &List,
                                     const std::set<jobs::ExecutorId> &Silent);
  /// The same, but only those of which a row proves it.
  std::vector<LostExecutor>
  findLostByRow(const std::vector<jobs::MachineInfo> &List,
                const std::set<jobs::ExecutorId> &Silent) const;
  /// Learns on which machines the executors of the pool run, and forgets those
  /// that are neither listed nor needed.
  void
  learnMachines(const std::vector<jobs::MachineInfo> &List,
                const std::function<bool(const jobs::ExecutorId &)> &IsNeeded);
  /// The executor has answered, so earlier lists say nothing about its loss.
  void noteAnswer(const jobs::ExecutorId &Id) { this->Absences.erase(Id); }

private:
  /// What the rows of a list tell of silent executors.
  struct Judgement {
    std::set<jobs::ExecutorId> Up;
    std::map<jobs::ExecutorId, LostExecutor> Lost;
    /// The silent executors whose machines have a row.
    std::set<jobs::ExecutorId> OnListedMachines;
    /// Whether no row may belong to an executor that is in none.
    bool IsConclusive = true;
  };

  Judgement judge(const std::vector<jobs::MachineInfo> &List,
                  const std::set<jobs::ExecutorId> &Silent) const;
  /// Whether this list and those before it name neither the executor nor its
  /// machine, so that it is gone.
  bool isConfirmedAbsent(const jobs::ExecutorId &Id, const Judgement &Judged);

  ServiceName Pool;
  std::function<bool(const jobs::ExecutorId &)> IsRegistered;
  /// The machine of each executor that a list has named.
  std::map<jobs::ExecutorId, jobs::MachineName> Machines;
  /// Number of successive lists that named neither a silent executor nor its
  /// machine.
  std::map<jobs::ExecutorId, unsigned> Absences;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_LOSTEXECUTORTRACKER_H
