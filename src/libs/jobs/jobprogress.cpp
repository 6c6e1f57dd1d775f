#include "whintack/jobs/jobprogress.h"

#include <cpprest/json.h>

namespace whintack::jobs {

using web::json::value;

static value encodeRuns(const std::set<uint64_t> &Runs) {
  value Row = value::array();
  size_t Next = 0;
  for (const uint64_t Run : Runs)
    Row[Next++] = value::number(Run);
  return Row;
}

static value encodeTask(const TaskKey &Key, const TaskProgress &Task) {
  value Row = value::object();
  Row["k"] = value::number(Key.Step.Occurrence);
  Row["s"] = value::number(static_cast<uint64_t>(Key.Step.Index));
  Row["i"] = value::number(static_cast<uint64_t>(Key.Index));
  if (Task.IsDone)
    Row["done"] = value::boolean(true);
  if (!Task.Checkpoint.empty())
    Row["checkpoint"] = value::string(Task.Checkpoint);
  if (!Task.FailedRuns.empty())
    Row["failed"] = encodeRuns(Task.FailedRuns);
  if (!Task.CrashedRuns.empty())
    Row["crashed"] = encodeRuns(Task.CrashedRuns);
  if (!Task.LostStarts.empty())
    Row["lost"] = encodeRuns(Task.LostStarts);
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

/// Decodes the run numbers in a field that may be missing.
static std::set<uint64_t> decodeRuns(const value &Row, const char *Field) {
  std::set<uint64_t> Runs;
  if (Row.has_field(Field))
    for (const value &Run : Row.at(Field).as_array())
      Runs.insert(Run.as_number().to_uint64());
  return Runs;
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
  Task.FailedRuns = decodeRuns(Row, "failed");
  Task.CrashedRuns = decodeRuns(Row, "crashed");
  Task.LostStarts = decodeRuns(Row, "lost");
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
