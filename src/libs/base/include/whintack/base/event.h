#ifndef WHINTACK_BASE_EVENT_H
#define WHINTACK_BASE_EVENT_H

#include "whintack/base/hybridclock.h"
#include "whintack/base/identifier.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace whintack {

/// Kind of an event on the time line.
enum class EventKind {
  ProcessStarted,
  ProcessStopping,
  PartFailed,
  RevisionInForce,
  PresetConfirmed,
  DeclarationApplied,
  ChangeRefused,
  PlatformLost,
  PlatformFound,
  PeerLost,
  PeerFound,
  SharesChanged,
  ExecutorLeaving,
  ExecutorEjected,
  ExecutorReturned,
  RequestUnknown,
  ShardClaimed,
  ShardLost,
  VmMoved,
  VmDraining,
  VmRebooting,
  VmReturned,
  VmQuarantined,
  WaveStarted,
  WaveStopped,
  WaveFinished,
  TicketRefused,
  TaskStarted,
  TaskFinished,
  TaskFailed,
  JobCondemned,
};

/// Returns the name of \p Kind in logs, in records and on the command line.
std::string_view eventKindName(EventKind Kind);

/// Sets \p Kind to the kind named \p Name. Returns false if there is none.
bool parseEventKind(std::string_view Name, EventKind &Kind);

/// One event of the time line. Fields that do not apply are empty.
struct Event {
  EventKind Kind = EventKind::ProcessStarted;
  HybridStamp Stamp;
  EntryName Node;
  VmName Vm;
  ServiceName Service;
  RequestId Request;
  OperatorName Operator;
  uint64_t Revision = 0;
  std::string Text;
};

} // namespace whintack

#endif // WHINTACK_BASE_EVENT_H
