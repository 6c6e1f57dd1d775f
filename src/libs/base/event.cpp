#include "whintack/base/event.h"

#include "whintack/base/enumnames.h"

namespace whintack {

static constexpr EnumNames<EventKind, 31> EventKindNames = {{
    {EventKind::ProcessStarted, "process-started"},
    {EventKind::ProcessStopping, "process-stopping"},
    {EventKind::PartFailed, "part-failed"},
    {EventKind::RevisionInForce, "revision-in-force"},
    {EventKind::PresetConfirmed, "preset-confirmed"},
    {EventKind::DeclarationApplied, "declaration-applied"},
    {EventKind::ChangeRefused, "change-refused"},
    {EventKind::PlatformLost, "platform-lost"},
    {EventKind::PlatformFound, "platform-found"},
    {EventKind::PeerLost, "peer-lost"},
    {EventKind::PeerFound, "peer-found"},
    {EventKind::SharesChanged, "shares-changed"},
    {EventKind::ExecutorLeaving, "executor-leaving"},
    {EventKind::ExecutorEjected, "executor-ejected"},
    {EventKind::ExecutorReturned, "executor-returned"},
    {EventKind::RequestUnknown, "request-unknown"},
    {EventKind::ShardClaimed, "shard-claimed"},
    {EventKind::ShardLost, "shard-lost"},
    {EventKind::VmMoved, "vm-moved"},
    {EventKind::VmDraining, "vm-draining"},
    {EventKind::VmRebooting, "vm-rebooting"},
    {EventKind::VmReturned, "vm-returned"},
    {EventKind::VmQuarantined, "vm-quarantined"},
    {EventKind::WaveStarted, "wave-started"},
    {EventKind::WaveStopped, "wave-stopped"},
    {EventKind::WaveFinished, "wave-finished"},
    {EventKind::TicketRefused, "ticket-refused"},
    {EventKind::TaskStarted, "task-started"},
    {EventKind::TaskFinished, "task-finished"},
    {EventKind::TaskFailed, "task-failed"},
    {EventKind::JobCondemned, "job-condemned"},
}};

std::string_view eventKindName(EventKind Kind) {
  return nameOf(EventKindNames, Kind);
}

bool parseEventKind(std::string_view Name, EventKind &Kind) {
  const std::optional<EventKind> Found = valueOf(EventKindNames, Name);
  if (!Found)
    return false;
  Kind = *Found;
  return true;
}

} // namespace whintack
