#include "whintack/store/vmcodec.h"

#include <stdexcept>

namespace whintack::store::codec {

using web::json::value;

static value textToJson(std::string_view Text) {
  return value(std::string(Text));
}

static uint64_t unsignedFromJson(const value &Number) {
  return Number.as_number().to_uint64();
}

template <typename Enum, size_t Count>
static Enum enumFromJson(const EnumNames<Enum, Count> &Table,
                         const value &Name) {
  const std::optional<Enum> Found = valueOf(Table, Name.as_string());
  if (!Found)
    throw std::runtime_error("unknown name " + Name.as_string());
  return *Found;
}

value toJson(const Resources &Amount) {
  value Object;
  Object["milliCores"] = value(Amount.MilliCores);
  Object["memoryMb"] = value(Amount.MemoryMb);
  Object["accelerators"] = value(Amount.Accelerators);
  return Object;
}

Resources resourcesFromJson(const value &Object) {
  Resources Amount;
  Amount.MilliCores = Object.at("milliCores").as_number().to_int64();
  Amount.MemoryMb = Object.at("memoryMb").as_number().to_int64();
  Amount.Accelerators = Object.at("accelerators").as_number().to_int64();
  return Amount;
}

static value toJson(const VmInfo &Vm) {
  value Object;
  Object["name"] = textToJson(Vm.Name.text());
  Object["role"] = textToJson(nameOf(VmRoleNames, Vm.Role));
  Object["dataCentre"] = textToJson(Vm.DataCentre.text());
  Object["rack"] = textToJson(Vm.Rack.text());
  Object["state"] = textToJson(nameOf(VmStateNames, Vm.State));
  Object["incarnation"] = value(Vm.Incarnation);
  Object["server"] = textToJson(Vm.Server.text());
  Object["capacity"] = toJson(Vm.Capacity);
  Object["pool"] = textToJson(Vm.Pool.text());
  return Object;
}

static VmInfo vmFromJson(const value &Object) {
  VmInfo Vm;
  Vm.Name = VmName(Object.at("name").as_string());
  Vm.Role = enumFromJson(VmRoleNames, Object.at("role"));
  Vm.DataCentre = DataCentreName(Object.at("dataCentre").as_string());
  Vm.Rack = RackName(Object.at("rack").as_string());
  Vm.State = enumFromJson(VmStateNames, Object.at("state"));
  Vm.Incarnation = unsignedFromJson(Object.at("incarnation"));
  Vm.Server = parseAddress(Object.at("server").as_string()).value_or(Address());
  Vm.Capacity = resourcesFromJson(Object.at("capacity"));
  Vm.Pool = PoolName(Object.at("pool").as_string());
  return Vm;
}

std::string encodeVms(const std::vector<VmInfo> &Vms) {
  std::vector<value> Rows;
  Rows.reserve(Vms.size());
  for (const VmInfo &Vm : Vms)
    Rows.push_back(toJson(Vm));
  return value::array(Rows).serialize();
}

std::vector<VmInfo> decodeVms(const std::string &Text) {
  std::vector<VmInfo> Vms;
  const value Rows = value::parse(Text);
  for (const value &Row : Rows.as_array())
    Vms.push_back(vmFromJson(Row));
  return Vms;
}

static value toJson(const TaskStart &Start) {
  value Object;
  Object["task"] = textToJson(Start.Task.text());
  Object["job"] = textToJson(Start.Job.text());
  Object["size"] = toJson(Start.Size);
  Object["resumes"] = value(Start.ResumesCheckpoint);
  return Object;
}

std::string encodeOrder(const Order &Request) {
  value Object;
  Object["kind"] = textToJson(nameOf(OrderKindNames, Request.Kind));
  Object["vm"] = textToJson(Request.Vm.text());
  Object["pool"] = textToJson(Request.Pool.text());
  Object["incarnation"] = value(Request.Incarnation);
  Object["epoch"] = value(Request.Epoch);
  Object["start"] = toJson(Request.Start);
  return Object.serialize();
}

Order decodeOrder(const std::string &Text) {
  const value Object = value::parse(Text);
  Order Request;
  Request.Kind = enumFromJson(OrderKindNames, Object.at("kind"));
  Request.Vm = VmName(Object.at("vm").as_string());
  Request.Pool = PoolName(Object.at("pool").as_string());
  Request.Incarnation = unsignedFromJson(Object.at("incarnation"));
  Request.Epoch = unsignedFromJson(Object.at("epoch"));
  const value &Start = Object.at("start");
  Request.Start.Task = TaskId(Start.at("task").as_string());
  Request.Start.Job = JobName(Start.at("job").as_string());
  Request.Start.Size = resourcesFromJson(Start.at("size"));
  Request.Start.ResumesCheckpoint = Start.at("resumes").as_bool();
  Request.Start.Worker = Request.Vm;
  Request.Start.Epoch = Request.Epoch;
  return Request;
}

std::string encodeTasks(const std::vector<TaskReport> &Tasks) {
  std::vector<value> Rows;
  for (const TaskReport &Task : Tasks) {
    value Row;
    Row["task"] = textToJson(Task.Task.text());
    Row["job"] = textToJson(Task.Job.text());
    Row["worker"] = textToJson(Task.Worker.text());
    Row["state"] = textToJson(nameOf(TaskStateNames, Task.State));
    Row["epoch"] = value(Task.Epoch);
    Row["used"] = toJson(Task.Used);
    Rows.push_back(Row);
  }
  return value::array(Rows).serialize();
}

std::vector<TaskReport> decodeTasks(const std::string &Text) {
  std::vector<TaskReport> Tasks;
  const value Rows = value::parse(Text);
  for (const value &Row : Rows.as_array()) {
    TaskReport Task;
    Task.Task = TaskId(Row.at("task").as_string());
    Task.Job = JobName(Row.at("job").as_string());
    Task.Worker = VmName(Row.at("worker").as_string());
    Task.State = enumFromJson(TaskStateNames, Row.at("state"));
    Task.Epoch = unsignedFromJson(Row.at("epoch"));
    Task.Used = resourcesFromJson(Row.at("used"));
    Tasks.push_back(std::move(Task));
  }
  return Tasks;
}

} // namespace whintack::store::codec
