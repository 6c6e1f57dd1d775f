#ifndef WHINTACK_DISPATCH_PROGRESSWRITER_H
#define WHINTACK_DISPATCH_PROGRESSWRITER_H

#include "context.h"

#include "whintack/jobs/planner.h"

#include <optional>
#include <vector>

namespace whintack::dispatch::Internal {

/// How the writer gets and settles the planner's writes.
struct ProgressWriterHooks {
  /// Number of jobs that could be written now.
  std::function<size_t()> Writable;
  /// Takes writes of at most \p MaxEntries entries of a transaction.
  std::function<std::vector<jobs::JobWrite>(size_t MaxEntries)> Take;
  /// The writes are not part of a commit and can be taken again.
  std::function<void(const std::vector<jobs::JobWrite> &)> Return;
  std::function<void(const std::vector<jobs::JobWrite> &)> OnWritten;
  /// Returns the queue of a job.
  std::function<std::string(const jobs::JobId &)> QueueName;
  /// Returns the tenant of a job; an empty name if it has none.
  std::function<TenantName(const jobs::JobId &)> Tenant;
  /// Another planner holds the claim.
  std::function<void()> OnSuperseded;
};

/// Stores the progress and the ends of the jobs of one service, in several
/// streams of commits.
///
/// The store may carry out a commit that was not answered, and may do so
/// seconds later. So each commit of a stream expects the key that the one
/// before it wrote: a late copy finds another revision and has no effect, and a
/// commit without an answer is repeated unchanged until its outcome is known.
/// Meanwhile its jobs are in no other commit, and other streams go on. A
/// further stream is opened only if the open ones do not keep up.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter> {
public:
  /// \p Token is the revision of the claim under which is written.
  ProgressWriter(Context Shared, ServiceName Service, uint64_t Token,
                 ProgressWriterHooks Hooks);

  /// Writes soon; changes until then share a commit.
  void requestFlush();
  /// Writes now, unless an open commit keeps up.
  void flush();
  void stop() { this->IsStopped = true; }

  /// Number of commits that have not been answered.
  size_t openCommits() const;
  /// Time at which the oldest open commit was first sent; TimePoint::max() if
  /// there is none.
  TimePoint oldestOpenSince() const;

private:
  /// Commits that follow one another, each after the one before has ended.
  struct Stream {
    /// Revision of the stream's key as far as it is known.
    uint64_t Revision = 0;
    /// Number of the open commit, or of the last one.
    uint64_t Sequence = 0;
    /// The writes of the open commit; empty if there is none.
    std::vector<jobs::JobWrite> Writes;
    store::StoreTransaction Change;
    TimePoint FirstSent = TimePoint::max();
    unsigned Failures = 0;
    /// The store certainly did not carry out the last copy.
    bool IsRefused = false;
    /// A copy was not answered and may still be carried out.
    bool MayTakeEffect = false;

    bool isOpen() const { return !this->Writes.empty(); }
  };

  std::string streamKey(size_t Index) const;
  std::string streamValue(const Stream &Written) const;
  void scheduleFlush(TimePoint At);
  /// Time from which none of the open commits counts as one that keeps up.
  TimePoint openCommitsSlowAt() const;
  bool needsFurtherStream() const;
  /// Opens a commit on the idle stream; returns false if nothing is to be
  /// written.
  bool open(size_t Index);
  void appendWrite(store::StoreTransaction &Change,
                   const jobs::JobWrite &Write) const;
  void send(size_t Index);
  void handleAnswer(size_t Index,
                    const store::StoreResult<store::CommitAnswer> &Answer);
  void handleFailure(size_t Index, const store::StoreError &Cause);
  /// The store does not accept the open commit, and never will: writes its jobs
  /// one by one. A job that is not accepted alone has to wait.
  void handleRejection(size_t Index, const store::StoreError &Cause);
  void handleConflict(size_t Index, const store::CommitAnswer &Answer);
  void finish(size_t Index, uint64_t Revision);

  Context Shared;
  ServiceName Service;
  uint64_t Token;
  ProgressWriterHooks Hooks;
  std::vector<Stream> Streams;
  /// Number of the next commits that have only one job.
  size_t SingleCommits = 0;
  /// Time through which changes are collected for the next commit.
  TimePoint NextCollected = TimePoint::min();
  std::optional<TimerId> Scheduled;
  TimePoint ScheduledAt = TimePoint::max();
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_PROGRESSWRITER_H
