#ifndef WHINTACK_REPLAY_TRACE_H
#define WHINTACK_REPLAY_TRACE_H

#include "whintack/declaration/declaration.h"
#include "whintack/document/document.h"
#include "whintack/store/vmdirectory.h"

#include <string>
#include <vector>

namespace whintack::replay {

/// Kinds of events in a trace.
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

/// One event of a trace.
struct TraceEvent {
  /// Time since the start of the trace.
  Duration At = Duration::zero();
  TraceEventKind Kind = TraceEventKind::ConfirmPreset;
  /// Name or number that the event concerns; RacePresets takes two names
  /// separated by a comma.
  std::string Subject;
  /// How long FreezeHolder suspends the holder.
  Duration Length = Duration::zero();
};

/// Durations measured when the trace was recorded, with their defaults.
struct RecordedTimes {
  Duration Reboot = std::chrono::seconds(90);
  Duration ListLag = std::chrono::seconds(2);
  /// How long a draining VM takes to finish its requests in flight.
  Duration Drain = std::chrono::seconds(5);
  Duration Task = std::chrono::minutes(10);
  /// Age of the VMs' last maintenance at the start of the trace.
  Duration MaintainedAgo = std::chrono::hours(24 * 5);
};

/// Outcomes that the trace expects of its replay.
struct ExpectedOutcomes {
  bool BudgetsHold = true;
  bool PoolsFollowPreset = true;
  std::string PresetInForce;
  std::vector<std::string> WavesFinished;
  std::vector<std::string> WavesStopped;
  /// Number of tasks that must have finished, by job.
  std::map<std::string, int64_t> TasksDone;
  /// Upper limits; -1 for no limit.
  int64_t MaxReboots = -1;
  int64_t MaxMoves = -1;
};

/// A recorded trace: a fleet, the events in it and the expected outcomes.
struct Trace {
  std::string Name;
  declaration::Declaration Declared;
  std::string FirstPreset;
  std::vector<store::VmInfo> Vms;
  RecordedTimes Times;
  Duration Length = std::chrono::hours(1);
  std::vector<TraceEvent> Events;
  ExpectedOutcomes Outcomes;
};

/// Reads a trace file and the declaration that it names relative to its own
/// folder.
Result<Trace, document::DocumentError> readTrace(const std::string &File);

} // namespace whintack::replay

#endif // WHINTACK_REPLAY_TRACE_H
