#ifndef WHINTACK_JOBS_WAVESCHEDULER_H
#define WHINTACK_JOBS_WAVESCHEDULER_H

#include "whintack/jobs/gateways.h"

#include <map>
#include <optional>
#include <set>

namespace whintack::jobs {

/// State of a machine within a wave.
enum class WaveMachineState {
  /// Not yet started.
  Waiting,
  /// The executor gets no new tasks, and its long-running tasks are moved away
  /// as far as their steps allow.
  Evacuating,
  /// The maintenance order was sent and has not been refused; the machine may
  /// be down.
  Ordered,
  /// The maintenance has begun; the machine may still be down.
  Begun,
  /// The maintenance has begun and is over.
  Finished,
  /// The lists have lacked the machine for long, or the request no longer names
  /// it. It needs no maintenance unless it is listed again.
  Removed,
};

/// What still runs on an executor that is being evacuated.
enum class Occupancy {
  Vacant,
  /// Only tasks that may be interrupted.
  Interruptible,
  /// Tasks that must not be ended now.
  Protected,
};

inline constexpr EnumNames<Occupancy, 3> OccupancyNames = {{
    {Occupancy::Vacant, "vacant"},
    {Occupancy::Interruptible, "interruptible"},
    {Occupancy::Protected, "protected"},
}};

/// What would be lost if a machine went down now.
enum class MachineUse {
  /// Switched off, or without an executor.
  Unused,
  /// Nothing runs on its executor.
  Vacant,
  Busy,
};

using MachineUseHook = std::function<MachineUse(const MachineInfo &)>;

/// Decides in what order and when the machines of a wave are maintained. It
/// handles many machines of a busy pool being due at the same time: the wave
/// ends in time, no more than the allowed number of machines are down at once,
/// and no protected task is ended. Half of a fleet may be due while a queue
/// asks for all the room there is, so machines that nothing runs on are
/// maintained first, and machines in use only as fast as the end of the wave
/// requires.
class WaveScheduler {
public:
  /// \p Begun are the machines whose maintenance is known to have begun.
  WaveScheduler(WaveRequest Request, TimePoint Deadline,
                const std::set<MachineName> &Begun);

  /// Adopts a changed request. What is known of the machines that it still
  /// names stays.
  void setRequest(WaveRequest Changed, TimePoint NewDeadline);
  /// Sets the machines that an earlier holder has just ordered, so that their
  /// maintenance may begin at any time. They count as down.
  void setHeld(std::set<MachineName> Machines) {
    this->Held = std::move(Machines);
  }
  /// Adopts the list of machines that the platform was asked for at
  /// \p RequestedAt.
  void noteMachines(const std::vector<MachineInfo> &Listed,
                    TimePoint RequestedAt);
  bool hasList() const { return this->HasList; }
  /// Returns the machines to evacuate now, including those that are being
  /// evacuated already, and those in maintenance whose order is to be repeated.
  /// \p UseOf tells the use of a machine; without it, all machines count as
  /// unused.
  std::vector<MachineInfo> machinesToEvacuate(TimePoint Now,
                                              const MachineUseHook &UseOf = {});
  /// Whether the machine may be ordered into maintenance now.
  /// \p Remaining says what still runs on it.
  bool canOrder(const MachineName &Machine, Occupancy Remaining,
                TimePoint Now) const;
  /// The order to maintain the machine is about to be sent.
  void noteOrdered(const MachineName &Machine);
  /// The order got no answer, so the maintenance may begin at any time. The
  /// machine counts as down and is evacuated again. Only the answer to a
  /// repeated order settles whether the maintenance has begun: a list does not
  /// tell for which wave a machine is in maintenance.
  void noteUnanswered(const MachineName &Machine);
  /// The platform confirmed that the maintenance has begun, now or earlier.
  void noteBegun(const MachineName &Machine, TimePoint Now);
  /// The platform refused the order without doing anything.
  void noteRefused(const MachineName &Machine);
  /// The platform refused the order for good. A machine that the request no
  /// longer names has had no maintenance for the wave and gets none.
  void noteRejected(const MachineName &Machine);

  /// Machines whose maintenance has begun or is over.
  std::set<MachineName> begun() const;
  /// Machines that are being evacuated or may be down.
  std::set<MachineName> machinesInProgress() const;
  /// Whether the machine may be in maintenance for this wave.
  bool mayBeDown(const MachineName &Machine) const;
  /// Whether the maintenance of all requested machines that were not removed
  /// has begun or is over.
  bool isCompleted() const;
  /// Number of machines that may be down.
  size_t down() const;
  const WaveRequest &request() const { return this->Request; }

private:
  struct Machine {
    WaveMachineState State = WaveMachineState::Waiting;
    MachineInfo Info;
    /// Whether the operator's request names the machine.
    bool IsRequested = false;
    bool IsListed = false;
    /// When the first list was requested that lacked the machine, as have all
    /// since; not set if the machine is listed.
    std::optional<TimePoint> AbsentSince;
    TimePoint EvacuatingSince;
    TimePoint BegunAt = TimePoint::min();
    /// An order got no answer and may still take effect.
    bool HasUnansweredOrder = false;
  };

  static void noteAbsent(Machine &Absent, TimePoint RequestedAt);
  /// Number of machines that are not yet ordered.
  size_t unordered() const;
  Duration maxTaskWait(TimePoint Now) const;
  /// Number of machines to keep in progress so that the wave ends in time, if
  /// each takes \p TimePerMachine.
  size_t requiredConcurrency(TimePoint Now, Duration TimePerMachine) const;
  std::vector<Machine *> waitingMachines();

  WaveRequest Request;
  TimePoint Deadline;
  std::map<MachineName, Machine> Machines;
  std::set<MachineName> Held;
  bool HasList = false;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_WAVESCHEDULER_H
