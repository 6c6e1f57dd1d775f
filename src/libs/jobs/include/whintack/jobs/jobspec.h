#ifndef WHINTACK_JOBS_JOBSPEC_H
#define WHINTACK_JOBS_JOBSPEC_H

#include "whintack/base/enumnames.h"
#include "whintack/base/time.h"
#include "whintack/jobs/taskkey.h"

#include <algorithm>
#include <string>
#include <vector>

namespace whintack::jobs {

/// Rooms count processors in thousandths of a core.
constexpr double MilliCoresPerCore = 1000;

/// Room on an executor: what a task requests or an executor has.
struct Room {
  int64_t MilliCores = 0;
  int64_t MemoryMb = 0;
  int64_t Gpus = 0;

  /// Whether \p Need fits into this room.
  bool holds(const Room &Need) const {
    return Need.MilliCores <= this->MilliCores &&
           Need.MemoryMb <= this->MemoryMb && Need.Gpus <= this->Gpus;
  }
  Room &operator+=(const Room &Other) {
    this->MilliCores += Other.MilliCores;
    this->MemoryMb += Other.MemoryMb;
    this->Gpus += Other.Gpus;
    return *this;
  }
  Room &operator-=(const Room &Other) {
    this->MilliCores -= Other.MilliCores;
    this->MemoryMb -= Other.MemoryMb;
    this->Gpus -= Other.Gpus;
    return *this;
  }
  bool operator==(const Room &) const = default;
};

/// A step: tasks of one kind.
struct StepSpec {
  size_t Count = 1;
  Room Need;
  /// The client's rough estimate of a task's run time.
  Duration Estimate = Duration::zero();
  /// Earlier steps whose tasks must all be done first.
  std::vector<size_t> After;
  /// Label that an executor must have; empty for any.
  std::string RequiredLabel;
  /// Rack that holds the data; empty for none.
  std::string DataRack;
  /// Most tasks of one occurrence of the step on one executor; 0 for no bound.
  size_t MostPerExecutor = 0;
  /// Names what the tasks run; tasks of one image behave alike.
  std::string Image;
  /// Bound on the tail of a serving task's response times; 0 if it serves none.
  Duration TailTarget = Duration::zero();
  /// How many tasks of the step the system may make unavailable at a time.
  size_t MayMiss = 0;
  bool HasMayMiss = false;
  bool IsCheckpointing = false;
  /// The tasks start together and end together.
  bool IsGang = false;
  /// The tasks are slower if they run on more than one rack.
  bool IsOnOneRack = false;
  bool AllowsCopies = false;
  /// The tasks run until the job is cancelled.
  bool IsLongRunning = false;
  /// The tasks use only processor time that others leave.
  bool IsFilling = false;

  bool isServing() const { return this->TailTarget > Duration::zero(); }
  /// What a task takes from the executor's room.
  Room bookedRoom() const {
    Room Booked = this->Need;
    if (this->IsFilling)
      Booked.MilliCores = 0;
    return Booked;
  }
};

/// A job as its client handed it in.
struct JobSpec {
  JobId Id;
  /// Passed to each task unread.
  std::string TaskText;
  std::vector<StepSpec> Steps;
  /// How often the steps run at set times; 0 for once, at once.
  int64_t Repetitions = 0;
  WallTime FirstRun;
  Duration Interval = Duration::zero();

  int64_t occurrences() const {
    return std::max<int64_t>(this->Repetitions, 1);
  }
  bool isTimed() const { return this->Repetitions > 0; }
};

/// State of a job as clients see it.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

inline constexpr EnumNames<JobState, 5> JobStateNames = {{
    {JobState::Queued, "queued"},
    {JobState::Running, "running"},
    {JobState::Completed, "completed"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
}};

/// Whether a job in this state will not change any more.
inline bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBSPEC_H
