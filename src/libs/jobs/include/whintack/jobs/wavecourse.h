#ifndef WHINTACK_JOBS_WAVECOURSE_H
#define WHINTACK_JOBS_WAVECOURSE_H

#include "whintack/jobs/gateways.h"

#include <map>
#include <set>

namespace whintack::jobs {

/// How a machine of a wave stands.
enum class WaveStep {
  /// Its turn has not come.
  Waiting,
  /// Its executor gets no new work and loses what lasts, as far as it may.
  Vacating,
  /// The order to maintain it was sent and not refused; it may be down.
  Ordered,
  /// It has begun its maintenance; it may still be down.
  Begun,
  /// It has begun its maintenance and is up again, or is not there any more.
  Over,
};

/// What is left on an executor that is being vacated.
enum class Occupancy {
  Vacant,
  /// Only work that may be lost.
  Interruptible,
  /// Tasks that may not be ended now.
  Protected,
};

inline constexpr EnumNames<Occupancy, 3> OccupancyNames = {{
    {Occupancy::Vacant, "vacant"},
    {Occupancy::Interruptible, "interruptible"},
    {Occupancy::Protected, "protected"},
}};

/// Decides in what order and when the machines of a wave are maintained, so
/// that the wave ends in time, at most so many are down at once, and nothing
/// that is protected is ended. For the load "many machines of a busy pool are
/// due at once".
class WaveCourse {
public:
  /// \p Begun are machines known to have begun their maintenance.
  WaveCourse(WaveRequest Request, TimePoint Deadline,
             const std::set<MachineName> &Begun);

  /// Adopts the platform's list of machines, asked for at \p AskedAt.
  void noteMachines(const std::vector<MachineInfo> &Listed, TimePoint AskedAt);
  /// Machines that are to be vacated now, those included that already are.
  std::vector<MachineInfo> vacate(TimePoint Now);
  /// Whether the machine may be ordered into maintenance now.
  bool mayOrder(const MachineName &Machine, Occupancy Left,
                TimePoint Now) const;
  void noteOrdered(const MachineName &Machine);
  /// The order got no answer: the maintenance may begin at any time. The
  /// machine counts as down, is vacated again and may be ordered again, which
  /// the platform answers truthfully.
  void noteUnanswered(const MachineName &Machine);
  /// The platform confirmed that the maintenance has begun, now or earlier.
  void noteBegun(const MachineName &Machine, TimePoint Now);
  /// The platform refused the order and did nothing.
  void noteRefused(const MachineName &Machine);

  std::set<MachineName> begun() const;
  /// Machines that are being vacated or may be down.
  std::set<MachineName> inWork() const;
  bool isCompleted() const;
  /// Machines that may be down.
  size_t down() const;
  const WaveRequest &request() const { return this->Request; }

private:
  struct Machine {
    WaveStep Step = WaveStep::Waiting;
    MachineInfo Info;
    bool IsListed = false;
    TimePoint VacatingSince;
    TimePoint BegunAt = TimePoint::min();
    /// An order that got no answer may still take effect.
    bool MayBegin = false;
  };

  Duration patience(TimePoint Now) const;

  WaveRequest Request;
  TimePoint Deadline;
  std::map<MachineName, Machine> Machines;
  bool HasList = false;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_WAVECOURSE_H
