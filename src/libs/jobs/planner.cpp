#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How many run numbers each generation of a service's planner may use. A
/// planner starts above all numbers that earlier generations can have used.
static constexpr uint64_t RunsPerGeneration = 10000;

/// Number of tasks after which takeWrites() takes no further job. A commit has
/// no room for more.
static constexpr size_t MaxTakenTasks = 4000;

bool OccurrenceRecord::isDone() const {
  return std::all_of(this->Steps.begin(), this->Steps.end(),
                     [](const StepRecord &Step) { return Step.isDone(); });
}

StepRecord &JobRecord::step(const StepKey &Key) {
  return this->Occurrences[static_cast<size_t>(Key.Occurrence)]
      .Steps[Key.Index];
}

const StepRecord &JobRecord::step(const StepKey &Key) const {
  return this->Occurrences[static_cast<size_t>(Key.Occurrence)]
      .Steps[Key.Index];
}

ComputeResources ExecutorRecord::free() const {
  ComputeResources Left = this->Info.Capacity;
  Left -= this->Booked;
  return Left;
}

/// Calls \p Do with the key and the record of each task of the job.
template <typename Action> static void forEachTask(JobRecord &Job, Action Do) {
  for (size_t Occurrence = 0; Occurrence < Job.Occurrences.size(); ++Occurrence)
    for (size_t Step = 0; Step < Job.Occurrences[Occurrence].Steps.size();
         ++Step) {
      const StepKey Key{Job.Spec.Id, static_cast<int64_t>(Occurrence), Step};
      std::vector<TaskRecord> &Tasks =
          Job.Occurrences[Occurrence].Steps[Step].Tasks;
      for (size_t Index = 0; Index < Tasks.size(); ++Index)
        Do(TaskKey{Key, Index}, Tasks[Index]);
    }
}

JobRecord *Planner::Private::findJob(const JobId &Id) {
  const auto Found = this->JobIndex.find(Id);
  return Found == this->JobIndex.end() ? nullptr : Found->second;
}

TaskRecord *Planner::Private::findTask(const TaskKey &Key) {
  JobRecord *Job = this->findJob(Key.Step.Job);
  if (!Job || Key.Step.Occurrence < 0 ||
      static_cast<size_t>(Key.Step.Occurrence) >= Job->Occurrences.size())
    return nullptr;
  auto &Steps =
      Job->Occurrences[static_cast<size_t>(Key.Step.Occurrence)].Steps;
  if (Key.Step.Index >= Steps.size() ||
      Key.Index >= Steps[Key.Step.Index].Tasks.size())
    return nullptr;
  return &Steps[Key.Step.Index].Tasks[Key.Index];
}

const StepSpec &Planner::Private::stepSpec(const JobRecord &Job,
                                           const StepKey &Step) {
  return Job.Spec.Steps[Step.Index];
}

/// The first task of a gang, whose record holds the failures and the checkpoint
/// of the whole gang.
TaskRecord &Planner::Private::gangLeader(const StepKey &Step) {
  return *this->findTask({Step, 0});
}

/// Whether a job ranks as if it were no larger than its queue's mean. This
/// applies to every second job, chosen by the hash of its identifier, so that
/// large jobs are served at least half as often as others.
static bool isRankedByMeanWork(const JobId &Id) {
  return std::hash<std::string>()(Id.text()) % 2 == 0;
}

/// The rank of a job of which nothing has started.
static JobRank initialRank(const JobRecord &Job) {
  JobRank Rank;
  Rank.RemainingWork = Job.Effort.Work;
  if (!Job.Spec.isPeriodic())
    Rank.RemainingCriticalPath = Job.Effort.CriticalPath;
  Rank.Priority = Job.Policy.Priority;
  Rank.Accepted = Job.Accepted;
  Rank.IsLongRunning =
      std::any_of(Job.Spec.Steps.begin(), Job.Spec.Steps.end(),
                  [](const StepSpec &Step) { return Step.IsLongRunning; });
  const auto CriticalPath =
      static_cast<double>(Job.Effort.CriticalPath.count());
  Rank.Objective =
      Job.Accepted + Job.Policy.Objective +
      Duration(static_cast<int64_t>(Job.Policy.Stretch * CriticalPath));
  return Rank;
}

JobRecord &Planner::Private::insertJob(AcceptedJob Given) {
  JobRecord Job;
  Job.Spec = std::move(Given.Spec);
  Job.Policy = std::move(Given.Policy);
  Job.Accepted = Given.Accepted;
  Job.MayHaveRun = Given.MayHaveRun;
  Job.Tenant.Account = this->Tenants.addJob(Given.Tenant);
  Job.Occurrences.resize(static_cast<size_t>(Job.Spec.occurrences()));
  for (OccurrenceRecord &Occurrence : Job.Occurrences) {
    Occurrence.Steps.resize(Job.Spec.Steps.size());
    for (size_t Step = 0; Step < Occurrence.Steps.size(); ++Step)
      Occurrence.Steps[Step].Tasks.resize(Job.Spec.Steps[Step].Count);
  }
  Job.Effort = estimateEffort(Job.Spec);
  auto &[Mean, Count] = this->MeanWorkByQueue[Job.Policy.Name];
  ++Count;
  Mean += (Job.Effort.Work - Mean) / static_cast<double>(Count);
  if (!Job.Spec.isPeriodic())
    this->Arrivals.note(Job.Effort.Work, Job.Accepted);
  const JobId Id = Job.Spec.Id;
  JobRecord &Inserted =
      this->Jobs.insert_or_assign(Id, std::move(Job)).first->second;
  this->JobIndex[Id] = &Inserted;
  Inserted.Rank = initialRank(Inserted);
  if (isRankedByMeanWork(Id))
    Inserted.QueueWork = &this->MeanWorkByQueue[Inserted.Policy.Name];
  this->markForReview(Inserted);
  return Inserted;
}

void Planner::Private::setFirstUnstored(JobRecord &Job, uint64_t Change,
                                        TimePoint At) {
  if (Job.FirstUnstored != 0)
    this->UnstoredJobs.erase({Job.FirstUnstored, Job.Spec.Id});
  Job.FirstUnstored = Change;
  Job.FirstUnstoredAt = At;
  if (Change != 0)
    this->UnstoredJobs.emplace(std::pair(Change, Job.Spec.Id), &Job);
}

void Planner::Private::beginWrite(JobRecord &Job) {
  Job.IsBeingWritten = true;
  ++this->OpenWrites;
}

void Planner::Private::endWrite(JobRecord &Job) {
  Job.IsBeingWritten = false;
  --this->OpenWrites;
}

uint64_t Planner::Private::lastChangeOf(const JobId &Id) {
  const JobRecord *Job = this->findJob(Id);
  return Job ? Job->LastChange : 0;
}

uint64_t Planner::Private::recordChange(JobRecord &Job, TimePoint Now) {
  ++this->Changes;
  Job.LastChange = this->Changes;
  Job.ChangedSinceWriteAt = std::min(Job.ChangedSinceWriteAt, Now);
  if (Job.FirstUnstored == 0)
    this->setFirstUnstored(Job, this->Changes, Now);
  return this->Changes;
}

void Planner::Private::endJob(JobRecord &Job, JobState State, TimePoint Now) {
  Job.State = State;
  this->markForReview(Job);
  this->recordChange(Job, Now);
  this->log("job-ended", {{"job", Job.Spec.Id},
                          {"state", nameOf(JobStateNames, State)},
                          {"queue", Job.Policy.Name}});
  this->stopAllRuns(Job);
}

void Planner::Private::completeIfDone(JobRecord &Job, TimePoint Now) {
  const bool IsDone = std::all_of(
      Job.Occurrences.begin(), Job.Occurrences.end(),
      [](const OccurrenceRecord &Occurrence) { return Occurrence.isDone(); });
  if (IsDone && !isFinal(Job.State))
    this->endJob(Job, JobState::Completed, Now);
}

/// Removes a job that has ended, whose end is stored and that has no open runs.
/// Only its final state is kept.
void Planner::Private::removeIfFinished(const JobId &Id) {
  JobRecord *Job = this->findJob(Id);
  if (!Job || !isFinal(Job->ShownState) || Job->OpenRuns > 0 ||
      Job->FirstUnstored != 0 || Job->IsBeingWritten)
    return;
  this->FinalJobs[Id] = Job->ShownState;
  this->removeStartable(*Job);
  if (this->Pass)
    this->Pass->RemovedJobs.insert(Job);
  TenantAccounts::removeJob(Job->Tenant);
  this->Advice.erase(this->Advice.lower_bound(StepKey{Id, 0, 0}),
                     this->Advice.upper_bound(StepKey{Id, INT64_MAX, 0}));
  this->JobIndex.erase(Id);
  this->Jobs.erase(Id);
}

void Planner::Private::stopAllRuns(JobRecord &Job) {
  forEachTask(Job, [this](const TaskKey &Key, TaskRecord &Task) {
    if (Task.Current)
      this->orderStop(Key, Task);
  });
}

uint64_t Planner::Private::nextRunNumber(const StepKey &Step, size_t Index) {
  const uint64_t Floor = (this->Setup.Generation - 1) * RunsPerGeneration;
  const JobRecord &Job = *this->findJob(Step.Job);
  uint64_t Last = Floor;
  if (!this->stepSpec(Job, Step).IsGang)
    return std::max(Last, this->findTask({Step, Index})->LastRun) + 1;
  for (size_t Member = 0; Member < this->stepSpec(Job, Step).Count; ++Member)
    Last = std::max(Last, this->findTask({Step, Member})->LastRun);
  return Last + 1;
}

Planner::Planner(PlannerSetup Setup)
    : D(std::make_unique<Private>(std::move(Setup))) {}

Planner::~Planner() = default;

void Planner::addJob(AcceptedJob Job) {
  const JobId Id = Job.Spec.Id;
  const JobSource Source = Job.Source;
  if (this->D->Jobs.contains(Id) || this->D->FinalJobs.contains(Id))
    return;
  const JobRecord &Record = this->D->insertJob(std::move(Job));
  this->D->log("job-taken",
               {{"job", Id},
                {"queue", Record.Policy.Name},
                {"work", Record.Effort.Work},
                {"chain-ms", toMilliseconds(Record.Effort.CriticalPath)},
                {"objective-ms",
                 toMilliseconds(Record.Rank.Objective - Record.Accepted)},
                {"may-have-run", Record.MayHaveRun ? "yes" : "no"},
                {"source", nameOf(JobSourceNames, Source)}});
  this->D->handleDeferredEnds(Id);
}

void Planner::restoreJob(AcceptedJob Job, const JobProgress &Progress,
                         TimePoint Now) {
  const JobId Id = Job.Spec.Id;
  const JobSource Source = Job.Source;
  if (this->D->Jobs.contains(Id) || this->D->FinalJobs.contains(Id))
    return;
  JobRecord &Record = this->D->insertJob(std::move(Job));
  Record.MayHaveRun = true;
  Record.State = Record.ShownState = Progress.State;
  for (const auto &[Key, Stored] : Progress.Tasks) {
    TaskRecord *Task = this->D->findTask(Key);
    if (!Task)
      continue;
    Task->Stored = Stored;
    // Earlier versions stored all failed runs of these tasks.
    if (Record.Spec.Steps[Key.Step.Index].IsLongRunning)
      Task->Stored.FailedRuns.clear();
    if (Stored.IsDone)
      ++Record.step(Key.Step).DoneTasks;
    Record.HasStarted = true;
  }
  this->D->log("job-restored", {{"job", Id},
                                {"state", nameOf(JobStateNames, Record.State)},
                                {"tasks", Progress.Tasks.size()},
                                {"source", nameOf(JobSourceNames, Source)}});
  this->D->completeIfDone(Record, Now);
  this->D->handleDeferredEnds(Id);
}

void Planner::restoreFinalJob(const JobId &Job, JobState State) {
  this->D->FinalJobs[Job] = State;
}

std::optional<uint64_t> Planner::cancel(const JobId &Job, TimePoint Now) {
  if (this->D->FinalJobs.contains(Job))
    return 0;
  JobRecord *Record = this->D->findJob(Job);
  if (!Record)
    return std::nullopt;
  if (!isFinal(Record->State))
    this->D->endJob(*Record, JobState::Cancelled, Now);
  return Record->LastChange;
}

std::optional<JobState> Planner::shownState(const JobId &Job) const {
  const auto Final = this->D->FinalJobs.find(Job);
  if (Final != this->D->FinalJobs.end())
    return Final->second;
  const JobRecord *Record = this->D->findJob(Job);
  if (!Record)
    return std::nullopt;
  if (isFinal(Record->ShownState))
    return Record->ShownState;
  return Record->HasStarted ? JobState::Running : JobState::Queued;
}

/// Whether requests for \p Asked may concern jobs of \p Accepted, which an
/// earlier configuration had.
static bool isSameQueue(const Queue &Accepted, const Queue &Asked) {
  return Accepted.Name == Asked.Name ||
         (!Asked.Prefix.empty() && Accepted.Host == Asked.Host &&
          Accepted.Prefix == Asked.Prefix);
}

size_t Planner::waitingJobs(const Queue &Asked) const {
  return static_cast<size_t>(std::count_if(
      this->D->Jobs.begin(), this->D->Jobs.end(), [&Asked](const auto &Entry) {
        const JobRecord &Job = Entry.second;
        return !Job.HasStarted && !isFinal(Job.State) &&
               isSameQueue(Job.Policy, Asked);
      }));
}

void Planner::setQueues(const QueueTable &Queues) {
  this->D->Tenants.configure(Queues.tenants());
  this->D->Services.clear();
  for (const ServicePolicy &Service : Queues.configuration().Services)
    this->D->Services[Service.Name] = Service;
  for (auto &[Id, Job] : this->D->Jobs)
    if (const Queue *Current =
            Queues.named(Job.Policy.Name, this->D->Setup.Service)) {
      Job.Policy = *Current;
      Job.Rank = initialRank(Job);
      this->D->markForReview(Job);
    }
}

/// Number of entries that the write takes in a transaction: the final record of
/// a job replaces its progress.
static size_t entriesOf(const JobRecord &Job) {
  return isFinal(Job.State) ? 2 : 1;
}

std::vector<JobWrite> Planner::takeWrites(size_t MaxEntries) {
  std::vector<JobWrite> Writes;
  size_t Entries = 0;
  size_t Tasks = 0;
  const auto Collect = [&](size_t Limit, bool WantsOnlyFinal) {
    for (const auto &[Position, Unstored] : this->D->UnstoredJobs) {
      if (Entries >= Limit || Tasks >= MaxTakenTasks)
        return;
      JobRecord &Job = *Unstored;
      if (Job.IsBeingWritten || (WantsOnlyFinal && !isFinal(Job.State)) ||
          Entries + entriesOf(Job) > Limit)
        continue;
      JobWrite Write;
      Write.Job = Position.second;
      Write.Progress.State = Job.State;
      Write.Through = this->D->Changes;
      forEachTask(Job, [&Write](const TaskKey &Key, const TaskRecord &Task) {
        const TaskProgress &Stored = Task.Stored;
        if (Stored.IsDone || !Stored.FailedRuns.empty() ||
            Stored.possibleCrashes() > 0 || !Stored.Checkpoint.empty())
          Write.Progress.Tasks.emplace(Key, Stored);
      });
      this->D->beginWrite(Job);
      Entries += entriesOf(Job);
      Tasks += Write.Progress.Tasks.size();
      Job.ChangedSinceWriteAt = TimePoint::max();
      Writes.push_back(std::move(Write));
    }
  };
  // Clients wait for final states. Half of the entries go to the oldest changes
  // of any kind, so that none of them waits while other jobs keep ending.
  Collect(MaxEntries / 2, false);
  Collect(MaxEntries, true);
  Collect(MaxEntries, false);
  return Writes;
}

void Planner::noteWritten(const std::vector<JobWrite> &Writes) {
  for (const JobWrite &Write : Writes) {
    JobRecord *Job = this->D->findJob(Write.Job);
    if (!Job)
      continue;
    this->D->endWrite(*Job);
    Job->ShownState = Write.Progress.State;
    const bool IsCurrent = Job->LastChange <= Write.Through;
    this->D->setFirstUnstored(*Job, IsCurrent ? 0 : Write.Through + 1,
                              Job->ChangedSinceWriteAt);
    this->D->removeIfFinished(Write.Job);
  }
}

void Planner::noteWriteFailed(const std::vector<JobWrite> &Writes) {
  for (const JobWrite &Write : Writes)
    if (JobRecord *Job = this->D->findJob(Write.Job))
      this->D->endWrite(*Job);
}

size_t Planner::writableJobs() const {
  return this->D->UnstoredJobs.size() - this->D->OpenWrites;
}

bool Planner::isStored(const JobId &Id, uint64_t Change) const {
  const JobRecord *Job = this->D->findJob(Id);
  return !Job || Job->FirstUnstored == 0 || Job->FirstUnstored > Change;
}

uint64_t Planner::storedThrough() const {
  const auto &Unstored = this->D->UnstoredJobs;
  return Unstored.empty() ? this->D->Changes
                          : Unstored.begin()->first.first - 1;
}

uint64_t Planner::lastChange() const { return this->D->Changes; }

StoreBacklog Planner::storeBacklog() const {
  StoreBacklog Backlog;
  for (const auto &[Id, Job] : this->D->UnstoredJobs) {
    ++Backlog.Jobs;
    Backlog.OldestChangeAt =
        std::min(Backlog.OldestChangeAt, Job->FirstUnstoredAt);
  }
  for (const auto &[Id, Executor] : this->D->Executors) {
    // Removes the ends that have become discardable.
    this->lastDiscardableEnd(Id);
    if (Executor.UnacknowledgedEnds.empty())
      continue;
    ++Backlog.Executors;
    Backlog.Ends += Executor.UnacknowledgedEnds.size();
    Backlog.OldestEndAt = std::min(
        Backlog.OldestEndAt, Executor.UnacknowledgedEnds.front().ReportedAt);
  }
  return Backlog;
}

bool Planner::isKnownExecutor(const ExecutorId &Id) const {
  return this->D->Executors.contains(Id);
}

bool Planner::isListedExecutor(const ExecutorId &Id) const {
  const auto Found = this->D->Executors.find(Id);
  return Found != this->D->Executors.end() && Found->second.IsListed;
}

uint64_t Planner::lastDiscardableEnd(const ExecutorId &Id) const {
  const auto Found = this->D->Executors.find(Id);
  if (Found == this->D->Executors.end())
    return 0;
  ExecutorRecord &Executor = Found->second;
  while (!Executor.UnacknowledgedEnds.empty()) {
    const UnacknowledgedEnd &Oldest = Executor.UnacknowledgedEnds.front();
    const bool IsDeferred = Executor.FirstDeferredEnd != 0 &&
                            Oldest.Number >= Executor.FirstDeferredEnd;
    if (IsDeferred || !this->isStored(Oldest.Job, Oldest.Change))
      break;
    Executor.LastDiscardableEnd = Oldest.Number;
    Executor.UnacknowledgedEnds.pop_front();
  }
  return Executor.LastDiscardableEnd;
}

bool Planner::hasUnstoredEnds(const ExecutorId &Id) const {
  // Removes the ends that have become discardable.
  this->lastDiscardableEnd(Id);
  const auto Found = this->D->Executors.find(Id);
  return Found != this->D->Executors.end() &&
         !Found->second.UnacknowledgedEnds.empty();
}

} // namespace whintack::jobs
