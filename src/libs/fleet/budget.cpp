#include "whintack/fleet/budget.h"

#include <algorithm>

namespace whintack::fleet {

static constexpr int64_t WholePercent = 100;

int64_t requiredExecutors(const declaration::Service &Service, int64_t Target) {
  const int64_t Product = Service.BudgetPercent * Target;
  return (Product + WholePercent - 1) / WholePercent;
}

BudgetStatus budgetStatus(const PoolView &View,
                          const declaration::Service &Service,
                          const BudgetRecord &Record) {
  BudgetStatus Status;
  Status.Service = Service.Name;
  Status.Required = requiredExecutors(Service, View.Target);
  Status.Tickets = static_cast<int64_t>(Record.Tickets.size());
  for (const VmView &Vm : View.Vms)
    if (isServing(Vm) && !Record.holds(Vm.Record.Name))
      ++Status.Available;
  return Status;
}

std::optional<BudgetRecord> withTicket(const PoolView &View,
                                       const declaration::Service &Service,
                                       const BudgetRecord &Record,
                                       const Ticket &Wanted) {
  if (Record.holds(Wanted.Vm))
    return std::nullopt;
  const auto Vm = std::find_if(View.Vms.begin(), View.Vms.end(),
                               [&Wanted](const VmView &Candidate) {
                                 return Candidate.Record.Name == Wanted.Vm;
                               });
  const bool CostsNothing = Vm != View.Vms.end() && !isServing(*Vm);
  const BudgetStatus Status = budgetStatus(View, Service, Record);
  if (!CostsNothing && Status.room() < 1)
    return std::nullopt;
  BudgetRecord Taken = Record;
  Taken.Service = Service.Name;
  Taken.Tickets.push_back(Wanted);
  return Taken;
}

BudgetRecord withoutTicket(const BudgetRecord &Record, const VmName &Vm,
                           const OperationId &Disruption) {
  BudgetRecord Remaining = Record;
  std::erase_if(Remaining.Tickets, [&Vm, &Disruption](const Ticket &Taken) {
    return Taken.Vm == Vm && Taken.Disruption == Disruption;
  });
  return Remaining;
}

std::vector<Ticket> endedTickets(const PoolView &View,
                                 const BudgetRecord &Record) {
  std::vector<Ticket> Ended;
  for (const Ticket &Taken : Record.Tickets) {
    const auto Vm = std::find_if(View.Vms.begin(), View.Vms.end(),
                                 [&Taken](const VmView &Candidate) {
                                   return Candidate.Record.Name == Taken.Vm;
                                 });
    const bool HasLeftPool = Vm == View.Vms.end();
    if (HasLeftPool || isServing(*Vm))
      Ended.push_back(Taken);
  }
  return Ended;
}

} // namespace whintack::fleet
