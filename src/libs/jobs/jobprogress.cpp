#include "whintack/jobs/jobprogress.h"

#include <cpprest/json.h>

namespace whintack::jobs {

using web::json::value;

static value encodeTask(const TaskKey &Key, const TaskProgress &Task) {
  value Row = value::object();
  Row["k"] = value::number(Key.Step.Occurrence);
  Row["s"] = value::number(static_cast<uint64_t>(Key.Step.Index));
  Row["i"] = value::number(static_cast<uint64_t>(Key.Index));
  if (Task.IsDone)
    Row["done"] = value::boolean(true);
  if (!Task.Checkpoint.empty())
    Row["checkpoint"] = value::string(Task.Checkpoint);
  if (Task.FailedRuns.empty())
    return Row;
  value Runs = value::array();
  size_t Next = 0;
  for (const uint64_t Run : Task.FailedRuns)
    Runs[Next++] = value::number(Run);
  Row["failed"] = Runs;
  return Row;
}

std::string encodeProgress(const JobProgress &Progress) {
  value Document = value::object();
  Document["state"] =
      value::string(std::string(nameOf(JobStateNames, Progress.State)));
  value Tasks = value::array();
  size_t Next = 0;
  for (const auto &[Key, Task] : Progress.Tasks)
    Tasks[Next++] = encodeTask(Key, Task);
  Document["tasks"] = Tasks;
  return Document.serialize();
}

static void decodeTask(const JobId &Job, const value &Row,
                       JobProgress &Progress) {
  const TaskKey Key{{Job, Row.at("k").as_number().to_int64(),
                     Row.at("s").as_number().to_uint64()},
                    Row.at("i").as_number().to_uint64()};
  TaskProgress Task;
  Task.IsDone = Row.has_field("done") && Row.at("done").as_bool();
  if (Row.has_field("checkpoint"))
    Task.Checkpoint = Row.at("checkpoint").as_string();
  if (Row.has_field("failed"))
    for (const value &Run : Row.at("failed").as_array())
      Task.FailedRuns.insert(Run.as_number().to_uint64());
  Progress.Tasks.emplace(Key, std::move(Task));
}

Result<JobProgress, ProgressError> decodeProgress(const JobId &Job,
                                                  const std::string &Text) {
  JobProgress Progress;
  try {
    const value Document = value::parse(Text);
    const std::string Name = Document.at("state").as_string();
    const auto State = valueOf(JobStateNames, Name);
    if (!State)
      return failure(ProgressError{"state '" + Name + "' is not known"});
    Progress.State = *State;
    for (const value &Row : Document.at("tasks").as_array())
      decodeTask(Job, Row, Progress);
  } catch (const std::exception &Error) {
    return failure(ProgressError{Error.what()});
  }
  return Progress;
}

} // namespace whintack::jobs
