#include "roomplan.h"

namespace whintack::jobs::Internal {

/// Maximum number of lines a second.
static constexpr size_t MaxLines = 20;

void ReservationLog::note(LoggedReservation Added) {
  const StepKey Step = Added.Task.Step;
  this->Made.insert_or_assign(Step, std::move(Added));
}

bool ReservationLog::mayWrite(TimePoint Now) {
  if (!this->Log)
    return false;
  if (Now >= this->CountedSince + std::chrono::seconds(1)) {
    this->CountedSince = Now;
    this->Lines = 0;
  }
  if (this->Lines >= MaxLines) {
    ++this->LinesLeftOut;
    return false;
  }
  ++this->Lines;
  return true;
}

void ReservationLog::endPass(TimePoint Now) {
  for (auto Entry = this->Shown.begin(); Entry != this->Shown.end();) {
    if (this->Made.contains(Entry->first)) {
      ++Entry;
      continue;
    }
    if (this->mayWrite(Now))
      this->Log("room-released", {{"task", Entry->second.Task.text()},
                                  {"executor", Entry->second.Executor}});
    Entry = this->Shown.erase(Entry);
  }
  for (auto &[Step, Each] : this->Made) {
    const auto Known = this->Shown.find(Step);
    const bool IsMoved = Known != this->Shown.end();
    if ((IsMoved && Known->second.Executor == Each.Executor) ||
        !this->mayWrite(Now))
      continue;
    this->Log("room-reserved",
              {{"job", Step.Job},
               {"task", Each.Task.text()},
               {"executor", Each.Executor},
               {"starts-in-ms", toMilliseconds(Each.Start - Now)},
               {"why", Each.IsHeldBack ? "held-back" : "fits-nowhere"},
               {"moved", IsMoved ? "yes" : "no"},
               {"left-out", std::exchange(this->LinesLeftOut, 0)}});
    this->Shown.insert_or_assign(Step, std::move(Each));
  }
  this->Made.clear();
}

} // namespace whintack::jobs::Internal
