#ifndef WHINTACK_ROUTING_SHAREPLAN_H
#define WHINTACK_ROUTING_SHAREPLAN_H

#include "whintack/base/identifier.h"

#include <cstdint>
#include <vector>

namespace whintack::routing {

/// One incarnation of an entry VM. A restarted process is a new member, because
/// requests sent by its previous incarnation may still be running.
struct ShareMember {
  EntryName Name;
  uint64_t Incarnation = 0;

  auto operator<=>(const ShareMember &) const = default;
  bool operator==(const ShareMember &) const = default;
};

/// Divides the slots of the executors of one data centre among its members,
/// which are the entry VMs of that data centre. Entry VMs of other data centres
/// borrow slots.
///
/// The plan changes one step at a time. Until every member of the old and the
/// new step has acknowledged the new one, each member uses the smaller of its
/// two shares. The shares in use therefore never add up to more than the slots,
/// even if members are paused, cut off or late.
///
/// A member acknowledges a step with lost members only when no request that
/// they sent can still be running. A settled step therefore implies this as
/// well.
struct SharePlan {
  uint64_t Epoch = 0;
  std::vector<ShareMember> Members;
  /// Members before the current step.
  std::vector<ShareMember> Previous;
  /// Members that have acknowledged the current step: they use no more than the
  /// smaller of their two shares.
  std::vector<ShareMember> Acknowledged;
  /// Members that the platform does not list any more, or whose process was
  /// restarted. They need not acknowledge; requests that they sent may still be
  /// running for some time.
  std::vector<ShareMember> Lost;

  bool isMember(const ShareMember &Member) const;
  /// Whether all members of both steps have acknowledged the current step or
  /// are lost.
  bool isSettled() const;

  bool operator==(const SharePlan &) const = default;
};

/// Number of the \p Slots of \p Executor that belong to \p Member if they are
/// divided among \p Members.
int64_t shareOf(const std::vector<ShareMember> &Members,
                const ShareMember &Member, const VmName &Executor,
                int64_t Slots);

/// Number of slots of \p Executor that \p Member may use under \p Plan.
int64_t usableShare(const SharePlan &Plan, const ShareMember &Member,
                    const VmName &Executor, int64_t Slots);

/// The plan after \p Joining has joined. Unchanged if \p Before is not settled
/// or already has the member. Previous incarnations of the member count as
/// lost.
SharePlan withMember(const SharePlan &Before, const ShareMember &Joining);

/// The plan after \p Leaving has finished all its requests and left. Unchanged
/// if \p Before is not settled.
SharePlan withoutMember(const SharePlan &Before, const ShareMember &Leaving);

/// The plan after the platform stopped listing \p LostMember. If a step is
/// under way, all other members must acknowledge it again, and the lost member
/// leaves in a step of its own afterwards.
SharePlan withLostMember(const SharePlan &Before,
                         const ShareMember &LostMember);

/// The plan after \p Member has acknowledged the current step.
SharePlan withAcknowledgement(const SharePlan &Before,
                              const ShareMember &Member);

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_SHAREPLAN_H
