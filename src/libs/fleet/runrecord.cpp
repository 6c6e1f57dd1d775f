#include "whintack/fleet/runrecord.h"

#include <algorithm>

namespace whintack::fleet {

using web::json::value;

static bool isFinal(TaskPhase Phase) {
  return Phase == TaskPhase::Done || Phase == TaskPhase::Failed ||
         Phase == TaskPhase::Unknown || Phase == TaskPhase::Cancelled;
}

bool RunRecord::isEnded() const {
  return std::all_of(this->Tasks.begin(), this->Tasks.end(),
                     [](const RunTask &Task) { return isFinal(Task.Phase); });
}

size_t RunRecord::count(TaskPhase Phase) const {
  return static_cast<size_t>(std::count_if(
      this->Tasks.begin(), this->Tasks.end(),
      [Phase](const RunTask &Task) { return Task.Phase == Phase; }));
}

TaskId taskIdOf(const RunRecord &Run, size_t Index) {
  return TaskId(Run.Id + "/" + std::to_string(Index) + "/" +
                std::to_string(Run.Tasks[Index].Attempt));
}

std::string runPrefix(const PoolName &Pool) {
  return AllRunsPrefix + Pool.text() + "/";
}

std::string runKey(const PoolName &Pool, const std::string &Id) {
  return runPrefix(Pool) + Id;
}

static value toJson(const RunTask &Task) {
  std::vector<value> FailedOn;
  for (const VmName &Worker : Task.FailedOn)
    FailedOn.push_back(value(Worker.text()));
  value Row;
  Row["phase"] = value(std::string(nameOf(TaskPhaseNames, Task.Phase)));
  Row["worker"] = value(Task.Worker.text());
  Row["attempt"] = value(Task.Attempt);
  Row["startedAt"] = value(toMicroseconds(Task.StartedAt));
  if (!FailedOn.empty())
    Row["failedOn"] = value::array(FailedOn);
  return Row;
}

value toJson(const RunRecord &Record) {
  std::vector<value> Tasks;
  Tasks.reserve(Record.Tasks.size());
  for (const RunTask &Task : Record.Tasks)
    Tasks.push_back(toJson(Task));
  value Object;
  Object["id"] = value(Record.Id);
  Object["job"] = value(Record.Job.text());
  Object["pool"] = value(Record.Pool.text());
  Object["submittedBy"] = value(Record.SubmittedBy.text());
  Object["submittedAt"] = value(toMicroseconds(Record.SubmittedAt));
  Object["cancelled"] = value(Record.IsCancelled);
  Object["condemned"] = value(Record.Condemned);
  Object["tasks"] = value::array(Tasks);
  return Object;
}

static RunTask taskFromJson(const value &Row) {
  RunTask Task;
  Task.Phase = valueOf(TaskPhaseNames, Row.at("phase").as_string())
                   .value_or(TaskPhase::Unknown);
  Task.Worker = VmName(Row.at("worker").as_string());
  Task.Attempt = Row.at("attempt").as_number().to_uint64();
  Task.StartedAt =
      wallTimeFromMicroseconds(Row.at("startedAt").as_number().to_int64());
  if (Row.has_field("failedOn"))
    for (const value &Worker : Row.at("failedOn").as_array())
      Task.FailedOn.emplace_back(Worker.as_string());
  return Task;
}

std::optional<RunRecord> runFromJson(const value &Object) {
  try {
    RunRecord Record;
    Record.Id = Object.at("id").as_string();
    Record.Job = JobName(Object.at("job").as_string());
    Record.Pool = PoolName(Object.at("pool").as_string());
    Record.SubmittedBy = OperatorName(Object.at("submittedBy").as_string());
    Record.SubmittedAt = wallTimeFromMicroseconds(
        Object.at("submittedAt").as_number().to_int64());
    Record.IsCancelled = Object.at("cancelled").as_bool();
    Record.Condemned = Object.at("condemned").as_string();
    for (const value &Row : Object.at("tasks").as_array())
      Record.Tasks.push_back(taskFromJson(Row));
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace whintack::fleet
