#include "whintack/tenants/guaranteewindow.h"

#include <iterator>

namespace whintack::tenants {

static constexpr Duration WindowLength = std::chrono::seconds(1);
/// How long acceptance times are kept. A take-over restores jobs in any order,
/// and most of them have no value after a minute.
static constexpr Duration Retention = std::chrono::seconds(60);

bool GuaranteeWindow::admit(TimePoint Accepted, double Weight) {
  // Each window that holds the new job begins after Accepted - WindowLength.
  auto Begin = this->Admitted.upper_bound(Accepted - WindowLength);
  auto End = this->Admitted.upper_bound(Accepted);
  auto Count = std::distance(Begin, End);
  while (true) {
    if (static_cast<double>(Count) >= Weight)
      return false;
    // The next window that holds more jobs ends with the next one after this.
    if (End == this->Admitted.end() || *End >= Accepted + WindowLength)
      break;
    const TimePoint Last = *End;
    for (; End != this->Admitted.end() && *End == Last; ++End)
      ++Count;
    for (; *Begin <= Last - WindowLength; ++Begin)
      --Count;
  }
  this->Admitted.insert(Accepted);
  this->Admitted.erase(
      this->Admitted.begin(),
      this->Admitted.lower_bound(*this->Admitted.rbegin() - Retention));
  return true;
}

} // namespace whintack::tenants
