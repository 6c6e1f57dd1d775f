#ifndef WHINTACK_ROUTING_EXECUTORTABLE_H
#define WHINTACK_ROUTING_EXECUTORTABLE_H

#include "whintack/base/enumnames.h"
#include "whintack/base/identifier.h"
#include "whintack/base/random.h"
#include "whintack/base/time.h"
#include "whintack/routing/slotaccount.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace whintack::routing {

/// Whether an executor gets new requests.
enum class ExecutorState {
  Live,
  /// A probe on a fresh connection is under way, after a time-out or at the end
  /// of an ejection.
  Suspect,
  /// Failed repeatedly or did not answer a probe; probed when the ejection
  /// ends.
  Ejected,
  /// Finishes its current requests and gets no new ones.
  Leaving,
};

inline constexpr EnumNames<ExecutorState, 4> ExecutorStateNames = {{
    {ExecutorState::Live, "live"},
    {ExecutorState::Suspect, "suspect"},
    {ExecutorState::Ejected, "ejected"},
    {ExecutorState::Leaving, "leaving"},
}};

/// How an executor is chosen among those with an available slot.
enum class ChoicePolicy { RoundRobin, LeastLoaded, TwoChoices };

inline constexpr EnumNames<ChoicePolicy, 3> ChoicePolicyNames = {{
    {ChoicePolicy::RoundRobin, "round-robin"},
    {ChoicePolicy::LeastLoaded, "least-loaded"},
    {ChoicePolicy::TwoChoices, "two-choices"},
}};

/// An executor as listed by the platform.
struct ExecutorInfo {
  VmName Name;
  ServiceName Service;
  DataCentreName DataCentre;
  uint64_t Incarnation = 1;
  bool IsLeaving = false;
};

/// Index of an executor in the table. Remains valid until the executor is
/// removed.
using ExecutorIndex = uint32_t;

/// State of one executor in the router.
struct Executor {
  ExecutorInfo Info;
  ExecutorState State = ExecutorState::Live;
  SlotAccount Slots;
  bool IsLocal = false;
  bool IsListed = true;
  /// Consecutive failures since the last success.
  unsigned Failures = 0;
  /// Ejections since the last answered request; a successful probe does not
  /// reset the count.
  unsigned Ejections = 0;
  TimePoint EjectedUntil;
  /// Latest send time among the attempts that were answered.
  TimePoint LastAnsweredSentAt = TimePoint::min();
  /// Index in ServiceExecutors::Available of its tier, or NotAvailable.
  size_t AvailableIndex = NotAvailable;

  static constexpr size_t NotAvailable = ~size_t(0);
};

/// Executors of the own data centre are preferred over remote ones.
enum class Tier { Local, Remote };

/// The executors of one service.
struct ServiceExecutors {
  std::vector<ExecutorIndex> All;
  /// Executors with a slot on which a request may start, by tier.
  std::array<std::vector<ExecutorIndex>, 2> Available;
  size_t NextRoundRobin = 0;
  size_t Ejected = 0;
};

/// All executors, indexed by name and by service. Available executors are kept
/// in lists of their own, so that picking one at random takes constant time.
class ExecutorTable {
public:
  ExecutorTable(DataCentreName Local, ChoicePolicy Policy, Random Source);

  /// Applies the platform's list. Executors that are not listed any more become
  /// Leaving and stay in the table until their requests have ended. Returns the
  /// executors that became Leaving.
  std::vector<ExecutorIndex> update(const std::vector<ExecutorInfo> &Listed);

  /// Marks an executor as leaving. A later list with the same incarnation does
  /// not revert this. Returns false if nothing changed.
  bool markLeaving(const VmName &Name, uint64_t Incarnation);

  /// Picks an executor with an available slot, local ones first. Picks one of
  /// \p Avoided only if there is no other. Returns nothing if no slot is
  /// available.
  std::optional<ExecutorIndex> choose(const ServiceName &Service,
                                      const std::vector<VmName> &Avoided);

  /// Updates the list of available executors from the slots and the state of
  /// the executor. Must be called after each change of either.
  void refresh(ExecutorIndex Index, TimePoint Now);

  std::optional<ExecutorIndex> find(const VmName &Name) const;
  Executor &at(ExecutorIndex Index) { return this->Executors[Index]; }
  const Executor &at(ExecutorIndex Index) const {
    return this->Executors[Index];
  }

  /// The executors of \p Service; empty if it has none.
  const ServiceExecutors &executorsOf(const ServiceName &Service) const;
  /// Sets the state and updates the count of ejected executors of the service.
  void setState(ExecutorIndex Index, ExecutorState State);

  /// Calls \p Visit for each executor in the table.
  void forEach(const std::function<void(ExecutorIndex, Executor &)> &Visit);
  /// Removes executors that are not listed any more, have no running request
  /// and have no slot lent out.
  void removeIdleUnlisted();

private:
  ExecutorIndex add(const ExecutorInfo &Info);
  void applyListed(ExecutorIndex Index, const ExecutorInfo &Info,
                   std::vector<ExecutorIndex> &Leaving);
  void removeAvailable(ExecutorIndex Index);
  ExecutorIndex pick(ServiceExecutors &Service,
                     std::vector<ExecutorIndex> &Candidates);
  bool isLessLoaded(ExecutorIndex Left, ExecutorIndex Right) const;

  DataCentreName Local;
  ChoicePolicy Policy;
  Random Source;
  std::deque<Executor> Executors;
  std::vector<ExecutorIndex> FreeIndices;
  std::unordered_map<VmName, ExecutorIndex> ByName;
  std::unordered_map<ServiceName, ServiceExecutors> ByService;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_EXECUTORTABLE_H
