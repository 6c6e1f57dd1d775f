#ifndef WHINTACK_STORE_VMCODEC_H
#define WHINTACK_STORE_VMCODEC_H

#include "whintack/store/vmdirectory.h"

#include <cpprest/json.h>
#include <string>

/// Encoders and decoders for the JSON bodies of the VM list, the orders to
/// workers and the task list. The decode functions pass on the exceptions of
/// the JSON library and throw std::runtime_error for unknown enumeration names.
namespace whintack::store::codec {

inline constexpr const char *VmListPath = "/platform/v1/vms";
inline constexpr const char *OrderPath = "/platform/v1/order";
inline constexpr const char *TaskListPath = "/platform/v1/tasks";

/// Actions that a worker can be ordered to take.
enum class OrderKind { Drain, Reboot, Assign, StartTask, Checkpoint, Stop };

inline constexpr EnumNames<OrderKind, 6> OrderKindNames = {{
    {OrderKind::Drain, "drain"},
    {OrderKind::Reboot, "reboot"},
    {OrderKind::Assign, "assign"},
    {OrderKind::StartTask, "start-task"},
    {OrderKind::Checkpoint, "checkpoint"},
    {OrderKind::Stop, "stop"},
}};

/// An order to a worker. Which fields are used depends on the kind.
struct Order {
  OrderKind Kind = OrderKind::Drain;
  VmName Vm;
  PoolName Pool;
  uint64_t Incarnation = 0;
  uint64_t Epoch = 0;
  TaskStart Start;
};

web::json::value toJson(const Resources &Amount);
Resources resourcesFromJson(const web::json::value &Object);

std::string encodeVms(const std::vector<VmInfo> &Vms);
std::vector<VmInfo> decodeVms(const std::string &Text);

std::string encodeOrder(const Order &Request);
Order decodeOrder(const std::string &Text);

std::string encodeTasks(const std::vector<TaskReport> &Tasks);
std::vector<TaskReport> decodeTasks(const std::string &Text);

} // namespace whintack::store::codec

#endif // WHINTACK_STORE_VMCODEC_H
