#ifndef WHINTACK_JOBS_TENANTACCOUNTS_H
#define WHINTACK_JOBS_TENANTACCOUNTS_H

#include "whintack/jobs/jobrank.h"
#include "whintack/jobs/jobspec.h"
#include "whintack/jobs/tenantstatus.h"
#include "whintack/tenants/guaranteewindow.h"
#include "whintack/tenants/quotaledger.h"
#include "whintack/tenants/tenanttable.h"

#include <functional>
#include <map>
#include <optional>

namespace whintack::jobs::Internal {

/// Tasks that could start now.
struct WaitingTasks {
  /// Declared resources of all of them.
  ComputeResources Need;
  /// What they would book on executors.
  ComputeResources Booked;
  /// The largest and the least need that starts at once, separately for each
  /// resource. A gang starts as a whole.
  ComputeResources Largest;
  ComputeResources Least;
  bool IsEmpty = true;

  /// Adds \p Count tasks of a step.
  void add(const StepSpec &Step, size_t Count);
  void add(const WaitingTasks &Other);
};

/// A tenant's waiting tasks.
struct TenantBacklog {
  WaitingTasks Tasks;
  /// Since when the oldest of them waits.
  TimePoint Since = TimePoint::max();
};

/// Declared resources of what starts at once: a task, or all tasks of a gang.
ComputeResources needAtOnce(const StepSpec &Step);

/// How a tenant is served relative to the part that it is entitled to.
enum class ShareState { AtShare, AboveShare, BelowShare };

inline constexpr EnumNames<ShareState, 3> ShareStateNames = {{
    {ShareState::AtShare, "at-share"},
    {ShareState::AboveShare, "above-share"},
    {ShareState::BelowShare, "below-share"},
}};

/// A state whose changes are logged at most once per second.
template <typename State> struct LoggedState {
  State Logged = {};
  TimePoint NextAt = TimePoint::min();

  /// Whether the change to \p Current is to be logged now.
  bool update(State Current, TimePoint Now) {
    if (Current == this->Logged || Now < this->NextAt)
      return false;
    this->Logged = Current;
    this->NextAt = Now + std::chrono::seconds(1);
    return true;
  }
};

/// A tenant's use of the pool.
struct TenantAccount {
  TenantName Name;
  double Weight = 1;
  ComputeResources Maximum;
  /// Number of jobs whose runs are not known to be over or that may start some.
  size_t Jobs = 0;
  uint64_t JobsBeyondWeight = 0;
  tenants::GuaranteeWindow Guarantee;
  /// What the tenant's runs have booked on executors.
  ComputeResources Booked;
  /// What waits in the present planning pass.
  WaitingTasks Waiting;
  /// Part of the pool that the tenant was entitled to when room was last short.
  double EntitledPart = 0;
  /// What the ledger lets start, as of its change RoomAsOf: each waiting job
  /// asks for it several times in a pass.
  mutable std::optional<ComputeResources> Room;
  mutable uint64_t RoomAsOf = 0;
  LoggedState<bool> HeldBack;
  LoggedState<ShareState> Share;
};

/// A job's relation to its tenant.
struct TenantJob {
  /// Null if the job has no tenant.
  TenantAccount *Account = nullptr;
  /// Whether the job has a guarantee of service; determined when the job is
  /// ranked for the first time, because the weights may not be known earlier.
  std::optional<bool> IsGuaranteed;
  /// Time of the first planning pass since which tasks have been waiting;
  /// TimePoint::max() if none are.
  TimePoint WaitingSince = TimePoint::max();
  /// Number of occurrences of the job's steps that are due.
  size_t DueOccurrences = 1;
};

/// The tenants of one service: what they have running, and what they may start.
class TenantAccounts {
public:
  /// Adopts the tenants of a configuration. A tenant that has been removed
  /// keeps its weight until its last job has ended, and has no maximum.
  void configure(const tenants::TenantTable &Table);
  /// Adds a job. Returns null if \p Tenant is empty.
  TenantAccount *addJob(const TenantName &Tenant);
  static void removeJob(const TenantJob &Job);
  void book(const TenantJob &Job, const StepSpec &Step);
  void release(const TenantJob &Job, const StepSpec &Step);
  /// While not set, tenants with a maximum may start nothing.
  void setMayStartLimited(bool MayStart) { this->MayStartLimited = MayStart; }

  bool isEmpty() const { return this->Accounts.empty(); }
  /// Whether the quota lets tasks that together have this need start. \p
  /// Account is null for a job without a tenant.
  bool mayStart(const TenantAccount *Account,
                const ComputeResources &Need) const;
  /// Whether the quota lets one task of the step, or the gang, start.
  bool mayStart(const TenantJob &Job, const StepSpec &Step) const {
    return this->mayStart(Job.Account, needAtOnce(Step));
  }
  /// Whether one task of the step, or the gang, fits into the tenant's maximum
  /// while nothing else runs.
  static bool fitsMaximum(const TenantAccount &Account, const StepSpec &Step);

  /// Begins a planning pass: forgets what waited in the last one.
  void clearWaiting();
  /// Determines the parts of the pool that the tenants are entitled to.
  /// \p Pool is what the tenants divide. Without scarcity, all jobs have the
  /// same standing.
  void divide(const ComputeResources &Pool, bool IsScarce);
  ServiceStanding standing(const TenantJob &Job) const;
  ShareState shareState(const TenantAccount &Account) const;
  /// \p Waiting is what waits now.
  TenantStatus status(const TenantAccount &Account,
                      const WaitingTasks &Waiting) const;
  /// Whether any of the tasks may not start because of the tenant's quota.
  bool isHeldBack(const TenantAccount &Account,
                  const WaitingTasks &Waiting) const;
  /// What all tenants have booked on executors.
  ComputeResources booked() const;

  tenants::QuotaLedger &ledger() { return this->Ledger; }
  std::map<TenantName, TenantAccount> &accounts() { return this->Accounts; }

private:
  bool hasSeveralTenants() const;

  /// Entries do not move.
  std::map<TenantName, TenantAccount> Accounts;
  tenants::QuotaLedger Ledger;
  ComputeResources Pool;
  bool IsScarce = false;
  bool MayStartLimited = false;
};

} // namespace whintack::jobs::Internal

#endif // WHINTACK_JOBS_TENANTACCOUNTS_H
