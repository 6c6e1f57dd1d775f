#include "operatorcommandhandler.h"

#include "operatorresponse.h"

#include "whintack/fleet/records.h"
#include "whintack/fleet/runrecord.h"

#include <algorithm>

namespace whintack::entry::Internal {

using http::HttpResponse;
using web::json::value;

OperatorCommandHandler::OperatorCommandHandler(ConfigurationSource InForce,
                                               store::RecordClient &Records,
                                               Clock Time,
                                               EventJournal &Journal)
    : InForce(std::move(InForce)), Records(Records), Time(std::move(Time)),
      Journal(Journal) {}

HttpResponse OperatorCommandHandler::submitJob(const value &Body,
                                               const OperatorName &Operator,
                                               const OperationId &Operation) {
  const JobName Name(Body.at("job").as_string());
  const auto InForce = this->InForce();
  const bool IsKnown = InForce && InForce->Declared.Jobs.contains(Name);
  if (!IsKnown)
    return makeErrorResponse(http::status::BadRequest,
                             "no job is called '" + Name.text() + "'",
                             "name one of the jobs in the declaration");
  const declaration::Job &Job = InForce->Declared.Jobs.at(Name);
  std::vector<value> Runs;
  int64_t Remaining = Job.Tasks;
  for (int64_t Part = 0; Remaining > 0; ++Part) {
    fleet::RunRecord Run;
    Run.Id = Operation.text() + "-" + std::to_string(Part);
    Run.Job = Name;
    Run.Pool = Job.HostPool;
    Run.SubmittedBy = Operator;
    Run.SubmittedAt = this->Time.WallNow();
    Run.Tasks.resize(
        static_cast<size_t>(std::min(Remaining, fleet::MaxTasksPerRun)));
    Remaining -= static_cast<int64_t>(Run.Tasks.size());
    auto Written = this->Records.update(
        fleet::runKey(Run.Pool, Run.Id), Operation,
        [&Run](const store::Record &Before) -> std::optional<value> {
          if (Before.exists())
            return std::nullopt;
          return fleet::toJson(Run);
        });
    if (!Written)
      return makeStoreErrorResponse(Written.error());
    Runs.push_back(value(Run.Id));
  }
  value Object;
  Object["pool"] = value(Job.HostPool.text());
  Object["runs"] = value::array(Runs);
  return makeResponse(http::status::Ok, Object);
}

HttpResponse OperatorCommandHandler::cancelRun(const value &Body,
                                               const OperatorName &Operator,
                                               const OperationId &Operation) {
  const PoolName Pool(Body.at("pool").as_string());
  const std::string Id = Body.at("run").as_string();
  auto Written = this->Records.update(
      fleet::runKey(Pool, Id), Operation,
      [](const store::Record &Before) -> std::optional<value> {
        auto Run = fleet::runFromJson(Before.Body);
        if (!Run || Run->isEnded())
          return std::nullopt;
        Run->IsCancelled = true;
        return fleet::toJson(*Run);
      });
  if (!Written)
    return makeStoreErrorResponse(Written.error());
  if (Written.value().Outcome == store::UpdateOutcome::Declined)
    return makeErrorResponse(http::status::Conflict,
                             "no run '" + Id + "' is open in pool " +
                                 Pool.text(),
                             "see 'whintack job list'");
  Event Noted;
  Noted.Kind = EventKind::TaskFailed;
  Noted.Operator = Operator;
  Noted.Text = "run=" + Id + " cancelled";
  this->Journal.record(std::move(Noted));
  value Object;
  Object["pool"] = value(Pool.text());
  Object["runs"] = value::array({value(Id)});
  return makeResponse(http::status::Ok, Object);
}

HttpResponse OperatorCommandHandler::changeJob(const std::string &Text,
                                               const OperatorName &Operator,
                                               const OperationId &Operation) {
  const value Body = value::parse(Text);
  const std::string Action = Body.at("action").as_string();
  if (Action == "submit")
    return this->submitJob(Body, Operator, Operation);
  if (Action == "cancel")
    return this->cancelRun(Body, Operator, Operation);
  return makeErrorResponse(http::status::BadRequest,
                           "no action '" + Action + "'",
                           "actions are submit and cancel");
}

HttpResponse OperatorCommandHandler::listRuns() {
  auto Listed = this->Records.list(fleet::AllRunsPrefix);
  if (!Listed)
    return makeStoreErrorResponse(Listed.error());
  std::vector<value> Rows;
  for (const store::KeyedRecord &Item : Listed.value()) {
    const auto Run = fleet::runFromJson(Item.Stored.Body);
    if (!Run)
      continue;
    value Row;
    Row["run"] = value(Run->Id);
    Row["job"] = value(Run->Job.text());
    Row["pool"] = value(Run->Pool.text());
    Row["submittedBy"] = value(Run->SubmittedBy.text());
    Row["submittedAt"] = value(formatWallTime(Run->SubmittedAt));
    Row["condemned"] = value(Run->Condemned);
    for (const auto &Phase : fleet::TaskPhaseNames)
      Row[std::string(Phase.Name)] =
          value(static_cast<uint64_t>(Run->count(Phase.Value)));
    Rows.push_back(Row);
  }
  return makeResponse(http::status::Ok, value::array(Rows));
}

/// Returns the wave's record after \p Action, or nothing if \p Action is not
/// possible in the present state.
static std::optional<fleet::WaveRecord>
waveAfterAction(const std::optional<fleet::WaveRecord> &Known,
                const PoolName &Pool, const std::string &Action,
                const OperatorName &Operator, const OperationId &Id,
                WallTime Now) {
  using fleet::WaveState;
  const bool IsRunning = Known && Known->State == WaveState::Running;
  const bool IsPaused = Known && Known->State == WaveState::Paused;
  fleet::WaveRecord Next = Known.value_or(fleet::WaveRecord());
  Next.Pool = Pool;
  Next.Reason = Action + " by " + Operator.text();
  if (Action == "start" && !IsRunning && !IsPaused) {
    Next.Id = Id;
    Next.State = WaveState::Running;
    Next.StartedBy = Operator;
    Next.StartedAt = Now;
    Next.EndedAt = WallTime();
    return Next;
  }
  if (Action == "pause" && IsRunning)
    Next.State = WaveState::Paused;
  else if (Action == "resume" && IsPaused)
    Next.State = WaveState::Running;
  else if (Action == "cancel" && (IsRunning || IsPaused))
    Next.State = WaveState::Cancelled;
  else
    return std::nullopt;
  return Next;
}

HttpResponse OperatorCommandHandler::changeWave(const std::string &Text,
                                                const OperatorName &Operator,
                                                const OperationId &Operation) {
  const value Body = value::parse(Text);
  const PoolName Pool(Body.at("pool").as_string());
  const std::string Action = Body.at("action").as_string();
  const auto InForce = this->InForce();
  if (!InForce || !InForce->Declared.pool(Pool))
    return makeErrorResponse(http::status::BadRequest,
                             "no pool is called '" + Pool.text() + "'",
                             "name one of the pools in the status");
  auto Updated = this->Records.update(
      fleet::waveKey(Pool), Operation,
      [&](const store::Record &Before) -> std::optional<value> {
        const auto Known = fleet::waveFromJson(Before.Body);
        const auto Next = waveAfterAction(Known, Pool, Action, Operator,
                                          Operation, this->Time.WallNow());
        if (!Next)
          return std::nullopt;
        return fleet::toJson(*Next);
      });
  if (!Updated)
    return makeStoreErrorResponse(Updated.error());
  if (Updated.value().Outcome == store::UpdateOutcome::Declined)
    return makeErrorResponse(
        http::status::Conflict,
        "'" + Action + "' does not apply to the wave as it stands",
        "look at the wave's state; actions are start, pause, resume "
        "and cancel");
  const auto Wave = fleet::waveFromJson(Updated.value().After.Body);
  Event Noted;
  Noted.Kind =
      Action == "start" ? EventKind::WaveStarted : EventKind::WaveStopped;
  Noted.Operator = Operator;
  Noted.Text = "pool=" + Pool.text() + " " + Action;
  this->Journal.record(std::move(Noted));
  value Object;
  Object["pool"] = value(Pool.text());
  Object["state"] =
      value(std::string(nameOf(fleet::WaveStateNames, Wave->State)));
  return makeResponse(http::status::Ok, Object);
}

} // namespace whintack::entry::Internal
