#include "whintack/base/time.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <sys/resource.h>

namespace whintack {

Clock systemClock() {
  Clock Source;
  // Unlike the steady clock, CLOCK_BOOTTIME also counts the time during which
  // the machine was suspended, so deadlines that passed meanwhile are
  // recognized as passed.
  Source.Now = [] {
    timespec Read{};
    clock_gettime(CLOCK_BOOTTIME, &Read);
    return TimePoint(std::chrono::seconds(Read.tv_sec) +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::nanoseconds(Read.tv_nsec)));
  };
  Source.WallNow = [] {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::system_clock::now());
  };
  return Source;
}

Duration processorTime() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Length = [](const timeval &Value) {
    return std::chrono::seconds(Value.tv_sec) +
           std::chrono::microseconds(Value.tv_usec);
  };
  return Length(Usage.ru_utime) + Length(Usage.ru_stime);
}

std::string formatWallTime(WallTime Time) {
  constexpr int64_t MicrosecondsPerSecond = 1000000;
  constexpr int64_t MicrosecondsPerMillisecond = 1000;
  const int64_t Total = toMicroseconds(Time);
  const std::time_t Seconds = Total / MicrosecondsPerSecond;
  const int64_t Rest = Total % MicrosecondsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Date{};
  std::strftime(Date.data(), Date.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::array<char, 48> Whole{};
  std::snprintf(Whole.data(), Whole.size(), "%s.%03dZ", Date.data(),
                static_cast<int>(Rest / MicrosecondsPerMillisecond));
  return Whole.data();
}

} // namespace whintack
