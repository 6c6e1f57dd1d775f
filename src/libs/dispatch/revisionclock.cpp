#include "revisionclock.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// How long samples are kept. No older revision is looked up: this is longer
/// than machines are left alone after an order.
static constexpr Duration SampleRetention = std::chrono::seconds(20);
/// A sample closer than this to the one before is not recorded.
static constexpr Duration Resolution = std::chrono::milliseconds(50);

void RevisionClock::note(uint64_t Revision, TimePoint Now) {
  if (!this->Samples.empty() && (Revision <= this->Samples.back().Revision ||
                                 Now < this->Samples.back().At + Resolution))
    return;
  this->Samples.push_back({Revision, Now});
  while (this->Samples.front().At + SampleRetention < Now)
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
