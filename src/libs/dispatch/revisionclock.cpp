#include "revisionclock.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Nothing older is asked for: longer than machines are left alone.
static constexpr Duration Kept = std::chrono::seconds(20);
/// Samples closer than this to the one before are not needed.
static constexpr Duration Resolution = std::chrono::milliseconds(50);

void RevisionClock::note(uint64_t Revision, TimePoint Now) {
  if (!this->Samples.empty() && (Revision <= this->Samples.back().Revision ||
                                 Now < this->Samples.back().At + Resolution))
    return;
  this->Samples.push_back({Revision, Now});
  while (this->Samples.front().At + Kept < Now)
    this->Samples.pop_front();
}

TimePoint RevisionClock::writtenBy(uint64_t Revision, TimePoint Now) const {
  const auto First =
      std::lower_bound(this->Samples.begin(), this->Samples.end(), Revision,
                       [](const Sample &Each, uint64_t Wanted) {
                         return Each.Revision < Wanted;
                       });
  return First == this->Samples.end() ? Now : First->At;
}

} // namespace whintack::dispatch::Internal
