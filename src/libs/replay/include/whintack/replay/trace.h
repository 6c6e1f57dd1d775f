#ifndef WHINTACK_REPLAY_TRACE_H
#define WHINTACK_REPLAY_TRACE_H

#include "whintack/declaration/declaration.h"
#include "whintack/document/document.h"
#include "whintack/store/vmdirectory.h"

#include <string>
#include <vector>

namespace whintack::replay {

/// What happened at one moment of a trace.
enum class TraceEventKind {
  ConfirmPreset,
  RacePresets,
  StartWave,
  PauseWave,
  ResumeWave,
  CancelWave,
  LoseRack,
  ReturnRack,
  LoseVm,
  ReturnVm,
  StickVm,
  FailWorker,
  PlatformDown,
  PlatformUp,
  LoseAnswers,
  StopHolder,
  ResumeHolder,
  FreezeHolder,
  SubmitJob,
  CancelJob,
};

inline constexpr EnumNames<TraceEventKind, 20> TraceEventNames = {{
    {TraceEventKind::ConfirmPreset, "confirm-preset"},
    {TraceEventKind::RacePresets, "race-presets"},
    {TraceEventKind::StartWave, "start-wave"},
    {TraceEventKind::PauseWave, "pause-wave"},
    {TraceEventKind::ResumeWave, "resume-wave"},
    {TraceEventKind::CancelWave, "cancel-wave"},
    {TraceEventKind::LoseRack, "lose-rack"},
    {TraceEventKind::ReturnRack, "return-rack"},
    {TraceEventKind::LoseVm, "lose-vm"},
    {TraceEventKind::ReturnVm, "return-vm"},
    {TraceEventKind::StickVm, "stick-vm"},
    {TraceEventKind::FailWorker, "fail-worker"},
    {TraceEventKind::PlatformDown, "platform-down"},
    {TraceEventKind::PlatformUp, "platform-up"},
    {TraceEventKind::LoseAnswers, "lose-answers"},
    {TraceEventKind::StopHolder, "stop-holder"},
    {TraceEventKind::ResumeHolder, "resume-holder"},
    {TraceEventKind::FreezeHolder, "freeze-holder"},
    {TraceEventKind::SubmitJob, "submit-job"},
    {TraceEventKind::CancelJob, "cancel-job"},
}};

/// One event: when, what, and the name or number it concerns.
struct TraceEvent {
  Duration At = Duration::zero();
  TraceEventKind Kind = TraceEventKind::ConfirmPreset;
  std::string Subject;
  /// How long a frozen holder stands still.
  Duration Length = Duration::zero();
};

/// Times as they were recorded.
struct RecordedTimes {
  Duration Reboot = std::chrono::seconds(90);
  Duration ListLag = std::chrono::seconds(2);
  /// How long requests in flight take to end on a VM that drains.
  Duration Drain = std::chrono::seconds(5);
  Duration Task = std::chrono::minutes(10);
  /// How long before the trace the VMs were last maintained.
  Duration MaintainedAgo = std::chrono::hours(24 * 5);
};

/// Outcomes that the trace states.
struct StatedOutcomes {
  bool BudgetsHold = true;
  bool PoolsFollowPreset = true;
  std::string PresetInForce;
  std::vector<std::string> WavesFinished;
  std::vector<std::string> WavesStopped;
  /// Tasks that must be done, for each job.
  std::map<std::string, int64_t> TasksDone;
  int64_t MostReboots = -1;
  int64_t MostMoves = -1;
};

/// A recorded trace.
struct Trace {
  std::string Name;
  declaration::Declaration Declared;
  std::string FirstPreset;
  std::vector<store::VmInfo> Vms;
  RecordedTimes Times;
  Duration Length = std::chrono::hours(1);
  std::vector<TraceEvent> Events;
  StatedOutcomes Outcomes;
};

/// Reads a trace; its declaration stands in a file named relative to it.
Result<Trace, document::DocumentError> readTrace(const std::string &File);

} // namespace whintack::replay

#endif // WHINTACK_REPLAY_TRACE_H
