#include "whintack/jobs/fillpace.h"

#include <algorithm>

namespace whintack::jobs {

/// Ratio of tail to target from which filling tasks give way; below the target
/// because the figure is rough and half a second old.
static constexpr double GiveWayRatio = 0.8;
/// Ratio from which filling tasks stand still.
static constexpr double StandStillRatio = 1.0;
/// Ratio under which filling tasks may speed up.
static constexpr double RiseRatio = 0.6;
static constexpr int64_t RiseStep = 20;
static constexpr int64_t FullPace = 100;
static constexpr int64_t LeastPace = 10;
/// The figures cover the last half second; a new pace shows in them after
/// that.
static constexpr Duration RiseInterval = std::chrono::milliseconds(700);

std::optional<int64_t> FillPace::update(double WorstRatio, TimePoint Now) {
  const int64_t Before = this->Percent;
  if (WorstRatio >= StandStillRatio) {
    this->Percent = 0;
    this->NextRise = Now + 2 * RiseInterval;
  } else if (WorstRatio >= GiveWayRatio) {
    this->Percent = this->Percent > LeastPace ? this->Percent / 2 : 0;
    this->NextRise = Now + RiseInterval;
  } else if (WorstRatio < RiseRatio && Now >= this->NextRise) {
    this->Percent = std::min(FullPace, this->Percent + RiseStep);
    this->NextRise = Now + RiseInterval;
  }
  if (this->Percent == Before)
    return std::nullopt;
  return this->Percent;
}

} // namespace whintack::jobs
