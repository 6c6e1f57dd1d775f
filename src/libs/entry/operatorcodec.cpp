#include "operatorcodec.h"

#include "whintack/fleet/budget.h"
#include "whintack/fleet/waveplanner.h"

#include <cpprest/base_uri.h>

namespace whintack::entry::Internal {

using web::json::value;

static value textToJson(std::string_view Text) {
  return value(std::string(Text));
}

static value wallTimeToJson(WallTime Time) {
  if (Time == WallTime())
    return value::null();
  return textToJson(formatWallTime(Time));
}

static value peersToJson(const std::vector<peers::PeerStatus> &Peers) {
  std::vector<value> Rows;
  for (const peers::PeerStatus &Peer : Peers) {
    value Row;
    Row["name"] = textToJson(Peer.Name.text());
    Row["dataCentre"] = textToJson(Peer.DataCentre.text());
    Row["usable"] = value(Peer.IsUsable);
    Row["ready"] = value(Peer.IsReady);
    Row["revision"] = value(Peer.HeadRevision);
    Rows.push_back(Row);
  }
  return value::array(Rows);
}

static value countsToJson(const routing::RouterCounts &Counts) {
  value Object;
  Object["submitted"] = value(Counts.Submitted);
  Object["sent"] = value(Counts.Sent);
  Object["retried"] = value(Counts.Retried);
  Object["done"] = value(Counts.Answered);
  Object["notRun"] = value(Counts.NotRun);
  Object["unknown"] = value(Counts.Unknown);
  Object["slotsLent"] = value(Counts.SlotsLent);
  Object["slotsBorrowed"] = value(Counts.SlotsBorrowed);
  return Object;
}

static value
executorsToJson(const std::vector<routing::ExecutorReport> &Executors) {
  std::vector<value> Rows;
  for (const routing::ExecutorReport &Known : Executors) {
    value Row;
    Row["vm"] = textToJson(Known.Name.text());
    Row["service"] = textToJson(Known.Service.text());
    Row["dataCentre"] = textToJson(Known.DataCentre.text());
    Row["state"] = textToJson(nameOf(routing::ExecutorStateNames, Known.State));
    Row["owned"] = value(Known.Owned);
    Row["running"] = value(Known.Running);
    Row["lent"] = value(Known.Lent);
    Rows.push_back(Row);
  }
  return value::array(Rows);
}

static value budgetToJson(const fleet::PoolView &View,
                          const declaration::Service &Service) {
  const auto Record = View.Budgets.find(Service.Name);
  const fleet::BudgetStatus Status = fleet::budgetStatus(
      View, Service,
      Record == View.Budgets.end() ? fleet::BudgetRecord() : Record->second);
  value Row;
  Row["service"] = textToJson(Service.Name.text());
  Row["pool"] = textToJson(View.Pool.Name.text());
  Row["required"] = value(Status.Required);
  Row["available"] = value(Status.Available);
  Row["tickets"] = value(Status.Tickets);
  Row["room"] = value(Status.room());
  Row["target"] = value(View.Target);
  return Row;
}

static value waveToJson(const fleet::PoolView &View) {
  const fleet::WaveProgress Progress = fleet::waveProgress(View);
  value Row;
  Row["pool"] = textToJson(View.Pool.Name.text());
  Row["state"] = textToJson(nameOf(fleet::WaveStateNames, View.Wave->State));
  Row["startedBy"] = textToJson(View.Wave->StartedBy.text());
  Row["startedAt"] = wallTimeToJson(View.Wave->StartedAt);
  Row["endedAt"] = wallTimeToJson(View.Wave->EndedAt);
  Row["reason"] = textToJson(View.Wave->Reason);
  Row["done"] = value(Progress.Done);
  Row["underWay"] = value(Progress.UnderWay);
  Row["waiting"] = value(Progress.Waiting);
  Row["failed"] = value(Progress.Failed);
  return Row;
}

static void addFleet(const EntryStatus &Status, value &Object) {
  std::vector<value> Budgets;
  std::vector<value> Waves;
  std::vector<value> Pools;
  const auto NoFacts = [](const VmName &) { return VmFacts(); };
  for (const auto &[Name, Pool] : Status.InForce->Declared.Pools) {
    const fleet::PoolView View =
        poolView(Pool, *Status.Fleet, *Status.InForce, Status.Listed, NoFacts);
    for (const declaration::Service &Service : View.Services)
      Budgets.push_back(budgetToJson(View, Service));
    if (View.Wave)
      Waves.push_back(waveToJson(View));
    value Row;
    Row["pool"] = textToJson(Name.text());
    Row["vms"] = value(static_cast<uint64_t>(View.Vms.size()));
    Row["target"] = value(View.Target);
    Pools.push_back(Row);
  }
  Object["budgets"] = value::array(Budgets);
  Object["waves"] = value::array(Waves);
  Object["pools"] = value::array(Pools);
  Object["fleetReadAt"] = wallTimeToJson(Status.Fleet->ReadAt);
}

value toJson(const EntryStatus &Status) {
  value Object;
  Object["entry"] = textToJson(Status.Name.text());
  Object["dataCentre"] = textToJson(Status.DataCentre.text());
  Object["ready"] = value(Status.IsReady);
  Object["now"] = wallTimeToJson(Status.Now);
  Object["platform"]["reachable"] = value(Status.Platform.IsReachable);
  Object["platform"]["lastHeard"] = wallTimeToJson(Status.Platform.LastHeard);
  Object["peers"] = peersToJson(Status.Peers);
  Object["requests"] = countsToJson(Status.Counts);
  Object["executors"] = executorsToJson(Status.Executors);
  Object["revision"] = value(uint64_t(0));
  if (!Status.InForce)
    return Object;
  const configuration::Head &Head = Status.InForce->Current;
  Object["fleet"] = textToJson(Status.InForce->Declared.FleetItem.Name);
  Object["revision"] = value(Head.Revision);
  Object["preset"] = textToJson(Head.Preset.text());
  Object["presetSince"] = wallTimeToJson(Head.PresetSince);
  Object["changedBy"] = textToJson(Head.ChangedBy.text());
  Object["changedAt"] = wallTimeToJson(Head.ChangedAt);
  Object["summary"] = textToJson(Head.Summary);
  std::vector<value> Presets;
  for (const auto &[Name, Preset] : Status.InForce->Declared.Presets)
    Presets.push_back(textToJson(Name.text()));
  Object["presets"] = value::array(Presets);
  if (Status.Fleet)
    addFleet(Status, Object);
  return Object;
}

value toJson(const MergedTimeline &Timeline) {
  std::vector<value> Rows;
  for (const Event &Item : Timeline.Events) {
    value Row;
    Row["time"] = wallTimeToJson(Item.Stamp.Wall);
    Row["logical"] = value(Item.Stamp.Logical);
    Row["kind"] = textToJson(eventKindName(Item.Kind));
    Row["node"] = textToJson(Item.Node.text());
    Row["vm"] = textToJson(Item.Vm.text());
    Row["service"] = textToJson(Item.Service.text());
    Row["request"] = textToJson(Item.Request.text());
    Row["operator"] = textToJson(Item.Operator.text());
    Row["revision"] = value(Item.Revision);
    Row["text"] = textToJson(Item.Text);
    Rows.push_back(Row);
  }
  std::vector<value> Missing;
  for (const EntryName &Name : Timeline.Missing)
    Missing.push_back(textToJson(Name.text()));
  value Object;
  Object["events"] = value::array(Rows);
  Object["missing"] = value::array(Missing);
  return Object;
}

value toJson(const configuration::ChangeReport &Report) {
  value Object;
  Object["outcome"] =
      textToJson(nameOf(configuration::ChangeOutcomeNames, Report.Outcome));
  Object["revision"] = value(Report.After.Revision);
  Object["preset"] = textToJson(Report.After.Preset.text());
  Object["changedBy"] = textToJson(Report.After.ChangedBy.text());
  Object["changedAt"] = wallTimeToJson(Report.After.ChangedAt);
  Object["message"] = textToJson(Report.Message);
  return Object;
}

value toJson(const std::vector<declaration::ItemChange> &Changes) {
  std::vector<value> Rows;
  for (const declaration::ItemChange &Change : Changes) {
    value Row;
    Row["item"] = textToJson(Change.Key.text());
    Row["change"] =
        textToJson(nameOf(declaration::ChangeKindNames, Change.Kind));
    Row["before"] = textToJson(Change.Before);
    Row["after"] = textToJson(Change.After);
    Rows.push_back(Row);
  }
  return value::array(Rows);
}

value toJson(const fleet::MoveEstimate &Estimate) {
  value Object;
  Object["moves"] = value(Estimate.Moves);
  Object["spareVms"] = value(Estimate.SpareVms);
  Object["missingVms"] = value(Estimate.MissingVms);
  Object["rollOutSeconds"] =
      value(toMilliseconds(Estimate.RollOut) / int64_t(1000));
  return Object;
}

value vmsToJson(const FleetSnapshot &Fleet,
                const std::vector<store::VmInfo> &Listed) {
  std::map<VmName, const store::VmInfo *> Index;
  for (const store::VmInfo &Vm : Listed)
    Index.emplace(Vm.Name, &Vm);
  std::vector<value> Rows;
  for (const fleet::RackRecord &Rack : Fleet.Racks)
    for (const fleet::VmRecord &Vm : Rack.Vms) {
      const auto Found = Index.find(Vm.Name);
      value Row;
      Row["vm"] = textToJson(Vm.Name.text());
      Row["pool"] = textToJson(Vm.Pool.text());
      Row["phase"] = textToJson(nameOf(fleet::VmPhaseNames, Vm.Phase));
      Row["phaseSince"] = wallTimeToJson(Vm.PhaseSince);
      Row["maintainedAt"] = wallTimeToJson(Vm.MaintainedAt);
      Row["nextPool"] = textToJson(Vm.NextPool.text());
      Row["rack"] = textToJson(Rack.Rack.text());
      Row["dataCentre"] = textToJson(Rack.DataCentre.text());
      Row["listed"] =
          textToJson(Found == Index.end()
                         ? std::string_view("no")
                         : nameOf(store::VmStateNames, Found->second->State));
      Rows.push_back(Row);
    }
  return value::array(Rows);
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Parameters;
  const size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Parameters;
  for (const auto &[Key, Text] : web::uri::split_query(Target.substr(Mark + 1)))
    Parameters[Key] = web::uri::decode(Text);
  return Parameters;
}

} // namespace whintack::entry::Internal
