#ifndef WHINTACK_DISPATCH_SUBMISSIONTRACKER_H
#define WHINTACK_DISPATCH_SUBMISSIONTRACKER_H

#include "servicecalls.h"

#include "whintack/base/enumnames.h"
#include "whintack/base/loglimiter.h"
#include "whintack/jobs/jobspec.h"

#include <deque>
#include <map>
#include <set>

namespace whintack::dispatch::Internal {

/// What a VM can say about the submissions of a job that it has handled.
enum class SubmissionOutcome {
  /// None that has stored the job or may still do so.
  NotStored,
  /// One has stored the job, may have done so, or is still being handled.
  MayBeStored,
  /// The VM does not remember as much as is asked for.
  NotKnown,
};

inline constexpr EnumNames<SubmissionOutcome, 3> SubmissionOutcomeNames = {{
    {SubmissionOutcome::NotStored, "not-stored"},
    {SubmissionOutcome::MayBeStored, "may-be-stored"},
    {SubmissionOutcome::NotKnown, "not-known"},
}};

/// Which submissions a question is about.
enum class SubmissionScope {
  /// All that clients may still repeat.
  Repeatable,
  /// Those whose commits may still be carried out, or were a short time ago. A
  /// read of the store shows what came of all others.
  Unsettled,
};

inline constexpr EnumNames<SubmissionScope, 2> SubmissionScopeNames = {{
    {SubmissionScope::Repeatable, "repeatable"},
    {SubmissionScope::Unsettled, "unsettled"},
}};

/// What all VMs together say about the submissions of a job.
struct SubmissionReport {
  SubmissionOutcome Outcome = SubmissionOutcome::NotKnown;
  size_t Asked = 0;
  size_t Denied = 0;
  /// The VM that could not deny it; empty if that is this one, or if all deny.
  EntryName NotDeniedBy = EntryName();
};

/// Remembers which jobs this VM may have stored, and asks the other VMs for
/// what they remember, so that a client is told that its job never runs, or
/// does not exist, only if that is true of its earlier requests to other VMs,
/// too.
///
/// Each process remembers its own submissions. A VM that does not answer, that
/// has left the fleet or that has not been up for long may have stored the job.
class SubmissionTracker
    : public std::enable_shared_from_this<SubmissionTracker> {
public:
  SubmissionTracker(Context Shared, std::shared_ptr<ServiceCalls> Calls);

  /// A submission that is being handled, until the last copy is gone.
  using OpenSubmission = std::shared_ptr<const void>;

  OpenSubmission open(const jobs::JobId &Id);
  /// Notes that the job is stored, or that a commit that would store it may
  /// still be carried out.
  void noteMayBeStored(const jobs::JobId &Id);
  /// Sets the members of the fleet except this one.
  void setPeers(const std::vector<peers::PeerEndpoint> &Others);

  /// What this VM alone can say.
  SubmissionOutcome ownOutcome(const jobs::JobId &Id, SubmissionScope Scope);
  /// Asks all VMs whether the job may be stored. Calls \p Done once, within
  /// \p Timeout.
  void ask(const jobs::JobId &Id, SubmissionScope Scope, Duration Timeout,
           std::function<void(const SubmissionReport &)> Done);
  /// Answers the question of another VM.
  void answer(const peers::ServiceCall &Call, const AnswerCallback &Respond);

private:
  struct Submissions {
    size_t Open = 0;
    /// When the job is forgotten unless a submission is open.
    TimePoint KeptUntil = TimePoint::min();
    /// When no commit can be carried out any more unless a submission is open.
    TimePoint SettledAt = TimePoint::min();
  };
  struct Question;

  void close(const jobs::JobId &Id);
  void forgetExpired();
  void logUndenied(const peers::ServiceCall &Call, SubmissionScope Scope,
                   SubmissionOutcome Outcome);

  Context Shared;
  std::shared_ptr<ServiceCalls> Calls;
  std::unordered_map<jobs::JobId, Submissions> Known;
  /// The jobs that may be stored, in the order in which they are forgotten.
  std::deque<std::pair<TimePoint, jobs::JobId>> Expiries;
  /// All submissions that may matter at this time or later are known.
  TimePoint CompleteFrom;
  /// As CompleteFrom, for the submissions whose commits are not settled.
  TimePoint UnsettledCompleteFrom;
  /// The other VMs, and when each was last known to be a member.
  std::map<EntryName, TimePoint> Peers;
  std::set<EntryName> Members;
  bool AreMembersKnown = false;
  /// Any client can cause questions.
  static constexpr size_t MaxLinesPerSecond = 20;
  LogLimiter Lines{MaxLinesPerSecond};
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SUBMISSIONTRACKER_H
