#include "whintack/placement/reservationplanner.h"

#include <algorithm>

namespace whintack::placement {

static ComputeResources lesser(const ComputeResources &First,
                               const ComputeResources &Second) {
  return {std::min(First.MilliCores, Second.MilliCores),
          std::min(First.MemoryMb, Second.MemoryMb),
          std::min(First.Gpus, Second.Gpus)};
}

void ReservationPlanner::beginPass(size_t Places, Limits Given) {
  this->Given = Given;
  this->Attempts = 0;
  this->Refusals = 0;
  this->Reserved.clear();
  this->IsReserved.assign(Places, false);
}

bool ReservationPlanner::mayReserve() const {
  return this->Reserved.size() < this->Given.MaxReservations &&
         this->Attempts < 2 * this->Given.MaxReservations && !this->isClosed();
}

const Reservation *ReservationPlanner::reserve(const ComputeResources &Need,
                                               TimePoint Latest,
                                               const StateOf &State) {
  ++this->Attempts;
  std::optional<Reservation> Best;
  for (size_t Place = 0; Place < this->IsReserved.size(); ++Place) {
    const std::optional<PlaceState> Found = State(Place);
    if (!Found)
      continue;
    // Earlier reservations count as in use from now on. This keeps one that is
    // made later from starting first and delaying them.
    ComputeResources Free = Found->Free;
    if (this->IsReserved[Place])
      for (const Reservation &Each : this->Reserved)
        if (Each.Place == Place)
          Free -= Each.Need;
    const TimePoint Limit = Best ? std::min(Latest, Best->Start) : Latest;
    for (const EndingRun &Run : *Found->Runs) {
      if (Run.End > Limit)
        break;
      Free += Run.Need;
      if (!Free.covers(Need))
        continue;
      ComputeResources Spare = Free;
      Spare -= Need;
      // At the same time, the tightest fit is best, as for placement.
      const bool IsBetter = !Best || Run.End < Best->Start ||
                            Spare.MilliCores < Best->Spare.MilliCores;
      if (IsBetter)
        Best = Reservation{Place, Need, Run.End, Spare};
      break;
    }
  }
  if (!Best)
    return nullptr;
  this->IsReserved[Best->Place] = true;
  this->Reserved.push_back(*Best);
  return &this->Reserved.back();
}

bool ReservationPlanner::admits(size_t Place, const ComputeResources &Need,
                                TimePoint End) const {
  if (!this->IsReserved[Place])
    return true;
  return std::all_of(this->Reserved.begin(), this->Reserved.end(),
                     [&](const Reservation &Each) {
                       return Each.Place != Place || End <= Each.Start ||
                              Each.Spare.covers(Need);
                     });
}

void ReservationPlanner::notePlaced(size_t Place, const ComputeResources &Need,
                                    TimePoint End) {
  if (!this->IsReserved[Place])
    return;
  for (Reservation &Each : this->Reserved)
    if (Each.Place == Place && End > Each.Start)
      Each.Spare -= Need;
}

bool ReservationPlanner::noteRefusal() {
  ++this->Refusals;
  return this->Refusals == this->Given.MaxRefusals;
}

ComputeResources ReservationPlanner::unreserved(size_t Place,
                                                ComputeResources Free) const {
  for (const Reservation &Each : this->Reserved)
    if (Each.Place == Place)
      Free = lesser(Free, Each.Spare);
  return Free;
}

} // namespace whintack::placement
