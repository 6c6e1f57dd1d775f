#ifndef WHINTACK_REPLAY_REPLAYSESSION_H
#define WHINTACK_REPLAY_REPLAYSESSION_H

#include "whintack/replay/trace.h"

#include <memory>
#include <string>
#include <vector>

namespace whintack::replay {

/// Whether the replay met one expected outcome.
struct OutcomeVerdict {
  std::string Outcome;
  bool Holds = true;
  /// What violated the outcome, with the time in the trace where known; empty
  /// if it holds.
  std::string BrokenBy;
};

/// What a replay measured.
struct ReplayMeasures {
  /// Number of VMs beyond what the preset requires, averaged over the trace.
  double BufferVms = 0;
  /// Time from the first preset or wave event until the last unavailable VM was
  /// back.
  Duration RollOut = Duration::zero();
  int64_t VmMoves = 0;
  int64_t TaskMoves = 0;
  uint64_t Reboots = 0;
  uint64_t StoreReads = 0;
  uint64_t StoreWrites = 0;
};

/// Result of a replay.
struct ReplayReport {
  std::vector<OutcomeVerdict> Verdicts;
  ReplayMeasures Measures;
};

/// Replays \p Recorded in simulated time: the fleet controllers of two entry
/// VMs run against the in-memory platform, which takes its delays from the
/// trace.
ReplayReport replay(const Trace &Recorded);

} // namespace whintack::replay

#endif // WHINTACK_REPLAY_REPLAYSESSION_H
