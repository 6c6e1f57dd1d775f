#include "whintack/fleet/records.h"

#include <algorithm>
#include <stdexcept>

namespace whintack::fleet {

using web::json::value;

std::string rackKey(const RackName &Rack) { return RackPrefix + Rack.text(); }

std::string budgetKey(const ServiceName &Service) {
  return BudgetPrefix + Service.text();
}

std::string waveKey(const PoolName &Pool) { return WavePrefix + Pool.text(); }

std::string shardKey(const std::string &Shard) {
  return "whintack/shard/" + Shard;
}

std::string holderKey(const std::string &Shard) { return HolderPrefix + Shard; }

VmRecord *RackRecord::find(const VmName &Name) {
  const auto Found =
      std::find_if(this->Vms.begin(), this->Vms.end(),
                   [&Name](const VmRecord &Vm) { return Vm.Name == Name; });
  return Found == this->Vms.end() ? nullptr : &*Found;
}

const VmRecord *RackRecord::find(const VmName &Name) const {
  return const_cast<RackRecord *>(this)->find(Name);
}

bool BudgetRecord::holds(const VmName &Vm) const {
  return std::any_of(this->Tickets.begin(), this->Tickets.end(),
                     [&Vm](const Ticket &Taken) { return Taken.Vm == Vm; });
}

static value fromText(std::string_view Text) {
  return value(std::string(Text));
}

static value fromWallTime(WallTime Time) { return value(toMicroseconds(Time)); }

static WallTime toWallTime(const value &Number) {
  return wallTimeFromMicroseconds(Number.as_number().to_int64());
}

static uint64_t toUnsigned(const value &Number) {
  return Number.as_number().to_uint64();
}

template <typename Enum, size_t Count>
static Enum toEnum(const EnumNames<Enum, Count> &Table, const value &Name) {
  const std::optional<Enum> Found = valueOf(Table, Name.as_string());
  if (!Found)
    throw std::runtime_error("unknown enumeration name");
  return *Found;
}

/// Returns the result of \p Parse, or nothing if it throws, as the JSON library
/// does for missing fields and wrong types.
template <typename Function>
static auto parseOrNone(Function Parse) -> std::optional<decltype(Parse())> {
  try {
    return Parse();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

static value toJson(const VmRecord &Vm) {
  value Object;
  Object["name"] = fromText(Vm.Name.text());
  Object["pool"] = fromText(Vm.Pool.text());
  Object["phase"] = fromText(nameOf(VmPhaseNames, Vm.Phase));
  Object["phaseSince"] = fromWallTime(Vm.PhaseSince);
  Object["maintainedAt"] = fromWallTime(Vm.MaintainedAt);
  if (!Vm.Disruption.isEmpty())
    Object["disruption"] = fromText(Vm.Disruption.text());
  if (!Vm.NextPool.isEmpty())
    Object["nextPool"] = fromText(Vm.NextPool.text());
  if (Vm.IncarnationBefore != 0)
    Object["incarnationBefore"] = value(Vm.IncarnationBefore);
  if (Vm.Epoch != 0)
    Object["epoch"] = value(Vm.Epoch);
  return Object;
}

static VmRecord vmFromJson(const value &Object) {
  VmRecord Vm;
  Vm.Name = VmName(Object.at("name").as_string());
  Vm.Pool = PoolName(Object.at("pool").as_string());
  Vm.Phase = toEnum(VmPhaseNames, Object.at("phase"));
  Vm.PhaseSince = toWallTime(Object.at("phaseSince"));
  Vm.MaintainedAt = toWallTime(Object.at("maintainedAt"));
  if (Object.has_field("disruption"))
    Vm.Disruption = OperationId(Object.at("disruption").as_string());
  if (Object.has_field("nextPool"))
    Vm.NextPool = PoolName(Object.at("nextPool").as_string());
  if (Object.has_field("incarnationBefore"))
    Vm.IncarnationBefore = toUnsigned(Object.at("incarnationBefore"));
  if (Object.has_field("epoch"))
    Vm.Epoch = toUnsigned(Object.at("epoch"));
  return Vm;
}

value toJson(const RackRecord &Record) {
  std::vector<value> Rows;
  for (const VmRecord &Vm : Record.Vms)
    Rows.push_back(toJson(Vm));
  value Object;
  Object["rack"] = fromText(Record.Rack.text());
  Object["dataCentre"] = fromText(Record.DataCentre.text());
  Object["vms"] = value::array(Rows);
  return Object;
}

std::optional<RackRecord> rackFromJson(const value &Object) {
  return parseOrNone([&Object] {
    RackRecord Record;
    Record.Rack = RackName(Object.at("rack").as_string());
    Record.DataCentre = DataCentreName(Object.at("dataCentre").as_string());
    for (const value &Row : Object.at("vms").as_array())
      Record.Vms.push_back(vmFromJson(Row));
    return Record;
  });
}

value toJson(const BudgetRecord &Record) {
  std::vector<value> Rows;
  for (const Ticket &Taken : Record.Tickets) {
    value Row;
    Row["vm"] = fromText(Taken.Vm.text());
    Row["disruption"] = fromText(Taken.Disruption.text());
    Row["takenAt"] = fromWallTime(Taken.TakenAt);
    Rows.push_back(Row);
  }
  value Object;
  Object["service"] = fromText(Record.Service.text());
  Object["tickets"] = value::array(Rows);
  return Object;
}

std::optional<BudgetRecord> budgetFromJson(const value &Object) {
  return parseOrNone([&Object] {
    BudgetRecord Record;
    Record.Service = ServiceName(Object.at("service").as_string());
    for (const value &Row : Object.at("tickets").as_array())
      Record.Tickets.push_back({VmName(Row.at("vm").as_string()),
                                OperationId(Row.at("disruption").as_string()),
                                toWallTime(Row.at("takenAt"))});
    return Record;
  });
}

value toJson(const WaveRecord &Record) {
  value Object;
  Object["pool"] = fromText(Record.Pool.text());
  Object["id"] = fromText(Record.Id.text());
  Object["state"] = fromText(nameOf(WaveStateNames, Record.State));
  Object["startedBy"] = fromText(Record.StartedBy.text());
  Object["startedAt"] = fromWallTime(Record.StartedAt);
  Object["endedAt"] = fromWallTime(Record.EndedAt);
  Object["reason"] = fromText(Record.Reason);
  return Object;
}

std::optional<WaveRecord> waveFromJson(const value &Object) {
  return parseOrNone([&Object] {
    WaveRecord Record;
    Record.Pool = PoolName(Object.at("pool").as_string());
    Record.Id = OperationId(Object.at("id").as_string());
    Record.State = toEnum(WaveStateNames, Object.at("state"));
    Record.StartedBy = OperatorName(Object.at("startedBy").as_string());
    Record.StartedAt = toWallTime(Object.at("startedAt"));
    Record.EndedAt = toWallTime(Object.at("endedAt"));
    Record.Reason = Object.at("reason").as_string();
    return Record;
  });
}

value toJson(const ShardRecord &Record) {
  value Object;
  Object["epoch"] = value(Record.Epoch);
  Object["holder"] = fromText(Record.Holder.text());
  Object["incarnation"] = value(Record.Incarnation);
  return Object;
}

std::optional<ShardRecord> shardFromJson(const value &Object) {
  return parseOrNone([&Object] {
    ShardRecord Record;
    Record.Epoch = toUnsigned(Object.at("epoch"));
    Record.Holder = EntryName(Object.at("holder").as_string());
    Record.Incarnation = toUnsigned(Object.at("incarnation"));
    return Record;
  });
}

} // namespace whintack::fleet
