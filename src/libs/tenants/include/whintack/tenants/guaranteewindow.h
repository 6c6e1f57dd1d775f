#ifndef WHINTACK_TENANTS_GUARANTEEWINDOW_H
#define WHINTACK_TENANTS_GUARANTEEWINDOW_H

#include "whintack/base/time.h"

#include <set>

namespace whintack::tenants {

/// Decides which of a tenant's jobs have a guarantee of service: at most
/// `weight` of the jobs that were accepted within any one second. Jobs without
/// the guarantee do not count, so that a tenant that submits too many jobs all
/// the time keeps the guarantee for `weight` jobs per second. Reads no clock.
class GuaranteeWindow {
public:
  /// Whether a job that was accepted at \p Accepted has the guarantee. If so,
  /// the job is counted. Jobs may be passed in any order, as after a take-over.
  bool admit(TimePoint Accepted, double Weight);

private:
  /// Acceptance times of the jobs with the guarantee.
  std::multiset<TimePoint> Admitted;
};

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_GUARANTEEWINDOW_H
