#ifndef WHINTACK_FLEET_SIZEESTIMATOR_H
#define WHINTACK_FLEET_SIZEESTIMATOR_H

#include "whintack/declaration/declaration.h"

#include <map>

namespace whintack::fleet {

/// Estimates the resource use of the tasks of each job from usage reports,
/// which lag, because declared sizes may be far off. Not thread-safe.
class SizeEstimator {
public:
  /// \p Cost determines the headroom above the observed use: small if spare
  /// capacity costs more than moves, large otherwise.
  explicit SizeEstimator(const declaration::Weights &Cost);

  /// Records the reported use of one task of \p Job.
  void recordUsage(const JobName &Job, const Resources &Used);
  /// Expected use of one task of \p Job: the highest reported use plus
  /// headroom, or the declared size until enough reports have arrived.
  Resources estimate(const declaration::Job &Job) const;

private:
  struct ObservedUsage {
    int64_t Samples = 0;
    Resources Peak;
  };

  int64_t HeadroomPercent;
  std::map<JobName, ObservedUsage> Jobs;
};

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_SIZEESTIMATOR_H
