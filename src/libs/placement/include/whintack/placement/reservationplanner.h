#ifndef WHINTACK_PLACEMENT_RESERVATIONPLANNER_H
#define WHINTACK_PLACEMENT_RESERVATIONPLANNER_H

#include "whintack/base/computeresources.h"
#include "whintack/base/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace whintack::placement {

/// A run that will give back its resources.
struct EndingRun {
  TimePoint End;
  ComputeResources Need;
};

/// An executor as a reservation sees it.
struct PlaceState {
  ComputeResources Free;
  /// The runs that end, by expected end. What else is in use stays in use.
  const std::vector<EndingRun> *Runs = nullptr;
};

/// Resources of one executor that are kept for a task.
struct Reservation {
  size_t Place = 0;
  ComputeResources Need;
  /// When the task is expected to find its resources free.
  TimePoint Start;
  /// What is expected to be free at the start beyond this reservation and those
  /// made before it on the same executor.
  ComputeResources Spare;
};

/// Reserves executors for tasks that fit nowhere now, and decides which tasks
/// of a lower rank may be placed in the meantime. Used for one planning pass,
/// in which tasks are handled in rank order. Does no I/O and reads no clock.
///
/// No task that is admitted delays a reservation if it ends by the time that
/// was given for it and the runs on the executor end as expected.
class ReservationPlanner {
public:
  /// Limits of one pass, which bound its cost.
  struct Limits {
    /// Up to twice as many searches for a place are made.
    size_t MaxReservations = 0;
    /// Number of tasks that may be refused because of reservations.
    size_t MaxRefusals = 0;
  };
  /// State of a place; std::nullopt if the task may not use it at any time.
  using StateOf = std::function<std::optional<PlaceState>(size_t Place)>;

  /// Begins a pass over places 0 to \p Places - 1.
  void beginPass(size_t Places, Limits Given);

  /// Whether another reservation can be made in this pass.
  bool mayReserve() const;
  /// Reserves the place where the need is covered soonest. Returns null if none
  /// covers it after the expected ends, or not before \p Latest.
  const Reservation *reserve(const ComputeResources &Need, TimePoint Latest,
                             const StateOf &State);

  bool hasReservations() const { return !this->Reserved.empty(); }
  const std::vector<Reservation> &reservations() const {
    return this->Reserved;
  }
  bool isReserved(size_t Place) const { return this->IsReserved[Place]; }
  /// Whether a task that ends at \p End at the latest may be placed without
  /// delaying a reservation. The caller checks that it fits now.
  bool admits(size_t Place, const ComputeResources &Need, TimePoint End) const;
  /// A task was placed.
  void notePlaced(size_t Place, const ComputeResources &Need, TimePoint End);

  /// A task fits on a place that does not admit it. Returns whether that was
  /// the last refusal of this pass: the caller then offers no task more than
  /// what unreserved() leaves.
  bool noteRefusal();
  bool isClosed() const { return this->Refusals >= this->Given.MaxRefusals; }
  /// The part of \p Free that no reservation needs, whenever it is given back.
  ComputeResources unreserved(size_t Place, ComputeResources Free) const;

private:
  Limits Given;
  size_t Attempts = 0;
  size_t Refusals = 0;
  std::vector<Reservation> Reserved;
  /// Whether any of Reserved is on the place.
  std::vector<bool> IsReserved;
};

} // namespace whintack::placement

#endif // WHINTACK_PLACEMENT_RESERVATIONPLANNER_H
