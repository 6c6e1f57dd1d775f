#ifndef WHINTACK_ROUTING_MESSAGES_H
#define WHINTACK_ROUTING_MESSAGES_H

#include "whintack/base/identifier.h"
#include "whintack/base/time.h"
#include "whintack/routing/slotaccount.h"

#include <vector>

/// Messages between the routers of different entry VMs. They carry durations
/// instead of time points, because monotonic clocks of different machines
/// cannot be compared.
namespace whintack::routing {

/// Requests slots of a service from a peer.
struct LoanRequest {
  /// Assigned by the borrower and repeated in the LoanGrant.
  uint64_t Id = 0;
  ServiceName Service;
  int64_t Wanted = 0;
};

/// One lent slot.
struct GrantedLoan {
  LoanId Loan = 0;
  VmName Executor;
  uint64_t Incarnation = 0;
};

/// Answer to a LoanRequest; has no loans if the lender has none to give.
struct LoanGrant {
  uint64_t Id = 0;
  /// How long requests may be started on the slots, counted from the time at
  /// which the borrower sent the LoanRequest.
  Duration Validity = Duration::zero();
  std::vector<GrantedLoan> Loans;
};

/// Returns borrowed slots to the lender.
struct LoanReturn {
  std::vector<GrantedLoan> Loans;
};

/// Announces that a backend server is leaving and must get no new requests.
struct LeavingNotice {
  VmName Executor;
  uint64_t Incarnation = 0;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_MESSAGES_H
