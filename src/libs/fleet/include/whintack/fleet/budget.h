#ifndef WHINTACK_FLEET_BUDGET_H
#define WHINTACK_FLEET_BUDGET_H

#include "whintack/fleet/view.h"

namespace whintack::fleet {

/// Current state of an availability budget.
struct BudgetStatus {
  ServiceName Service;
  /// Number of executors that must be available.
  int64_t Required = 0;
  /// Number of executors that serve and hold no ticket.
  int64_t Available = 0;
  int64_t Tickets = 0;

  /// Number of executors that may still be disrupted; negative if fewer than
  /// required are available.
  int64_t room() const { return this->Available - this->Required; }
};

/// Number of executors of \p Service that must be available if the pool has
/// \p Target VMs. Rounded up.
int64_t requiredExecutors(const declaration::Service &Service, int64_t Target);

/// The budget of \p Service according to \p View and the tickets in \p Record.
/// VMs that are not known to serve count as unavailable.
BudgetStatus budgetStatus(const PoolView &View,
                          const declaration::Service &Service,
                          const BudgetRecord &Record);

/// \p Record with the ticket \p Wanted added. Returns nothing if the VM has a
/// ticket already or the budget has no room. A VM of the pool that does not
/// serve reduces availability no further, so it gets a ticket without room as
/// well.
std::optional<BudgetRecord> withTicket(const PoolView &View,
                                       const declaration::Service &Service,
                                       const BudgetRecord &Record,
                                       const Ticket &Wanted);

/// \p Record without the ticket of \p Disruption for \p Vm.
BudgetRecord withoutTicket(const BudgetRecord &Record, const VmName &Vm,
                           const OperationId &Disruption);

/// Tickets whose disruption has ended or never began: the VM is in service and
/// live, or has left the pool. All other tickets remain valid.
std::vector<Ticket> endedTickets(const PoolView &View,
                                 const BudgetRecord &Record);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_BUDGET_H
