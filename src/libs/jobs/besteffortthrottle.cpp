#include "whintack/jobs/besteffortthrottle.h"

#include <algorithm>

namespace whintack::jobs {

/// Ratio of tail latency to its target from which best-effort tasks are slowed
/// down. It is below 1 because the reported figure is rough and half a second
/// old.
static constexpr double SlowDownRatio = 0.8;
/// Ratio from which best-effort tasks are paused.
static constexpr double PauseRatio = 1.0;
/// Ratio below which the pace of best-effort tasks is raised.
static constexpr double IncreaseRatio = 0.6;
static constexpr int64_t IncreaseStep = 20;
static constexpr int64_t MaxPercent = 100;
static constexpr int64_t MinPercent = 10;
/// Minimum time between two increases. The reported figures cover the last half
/// second, so a new pace only shows in them after that.
static constexpr Duration IncreaseInterval = std::chrono::milliseconds(700);

std::optional<int64_t> BestEffortThrottle::update(double WorstRatio,
                                                  TimePoint Now) {
  const int64_t Before = this->Percent;
  if (WorstRatio >= PauseRatio) {
    this->Percent = 0;
    this->NextIncrease = Now + 2 * IncreaseInterval;
  } else if (WorstRatio >= SlowDownRatio) {
    this->Percent = this->Percent > MinPercent ? this->Percent / 2 : 0;
    this->NextIncrease = Now + IncreaseInterval;
  } else if (WorstRatio < IncreaseRatio && Now >= this->NextIncrease) {
    this->Percent = std::min(MaxPercent, this->Percent + IncreaseStep);
    this->NextIncrease = Now + IncreaseInterval;
  }
  if (this->Percent == Before)
    return std::nullopt;
  return this->Percent;
}

} // namespace whintack::jobs
