#ifndef WHINTACK_JOBS_TASKKEY_H
#define WHINTACK_JOBS_TASKKEY_H

#include "whintack/base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace whintack::jobs {

/// Identifier that a client chose for its job.
using JobId = Identifier<struct JobIdTag>;
/// Identifier of one incarnation of an executor.
using ExecutorId = Identifier<struct ExecutorIdTag>;
/// Name of the machine that an executor runs on. It stays the same when the
/// executor is replaced.
using MachineName = Identifier<struct MachineTag>;

/// One occurrence of one step of a job.
struct StepKey {
  JobId Job;
  /// Counted from 0; 0 for a job that runs once.
  int64_t Occurrence = 0;
  size_t Index = 0;

  /// "job.occurrence.step", for logs.
  std::string text() const;
  auto operator<=>(const StepKey &) const = default;
};

/// One task of a job.
struct TaskKey {
  StepKey Step;
  size_t Index = 0;

  /// "job.occurrence.step.index", for logs.
  std::string text() const;
  auto operator<=>(const TaskKey &) const = default;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_TASKKEY_H
