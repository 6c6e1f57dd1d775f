#include "progresswriter.h"

#include "jobrecords.h"
#include "storekeys.h"

#include <algorithm>
#include <bit>

namespace whintack::dispatch::Internal {

/// Time over which changes are collected before they are stored. Executor links
/// wait for the write before they ask for the next ends.
static constexpr Duration FlushInterval = std::chrono::milliseconds(15);
/// Time after which a commit without an answer no longer counts as one that
/// keeps up.
static constexpr Duration SlowCommitTime = std::chrono::milliseconds(50);
static constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
static constexpr unsigned MaxRetryDoublings = 2;
/// Number of rejections after which a commit is not sent again unchanged.
static constexpr unsigned MaxRejections = 2;
/// How long a job whose progress the store rejects is not written. Only a
/// change of the job or of the store can help.
static constexpr Duration RejectedRetryDelay = std::chrono::seconds(5);
static constexpr size_t MaxStreams = 8;
/// The claim, and the stream's key as a condition and as a write.
static constexpr size_t OwnEntries = 3;
static constexpr size_t MaxJobEntries =
    store::MaxTransactionEntries - OwnEntries;
/// Takes a twentieth of a second at 10 Mbit/s.
static constexpr size_t MaxCommitBytes = 64000;

ProgressWriter::ProgressWriter(Context Shared, ServiceName Service,
                               uint64_t Token, ProgressWriterHooks Hooks)
    : Shared(std::move(Shared)), Service(std::move(Service)), Token(Token),
      Hooks(std::move(Hooks)), Streams(MaxStreams) {}

std::string ProgressWriter::streamKey(size_t Index) const {
  return keys::writeStreams(this->Service) + std::to_string(Index);
}

/// Identifies the commit: no other one writes the same value.
std::string ProgressWriter::streamValue(const Stream &Written) const {
  return std::to_string(this->Token) + "." + std::to_string(Written.Sequence);
}

size_t ProgressWriter::openCommits() const {
  return static_cast<size_t>(
      std::count_if(this->Streams.begin(), this->Streams.end(),
                    [](const Stream &Each) { return Each.isOpen(); }));
}

TimePoint ProgressWriter::oldestOpenSince() const {
  TimePoint Oldest = TimePoint::max();
  for (const Stream &Each : this->Streams)
    if (Each.isOpen())
      Oldest = std::min(Oldest, Each.FirstSent);
  return Oldest;
}

void ProgressWriter::requestFlush() {
  const bool IsFull = this->Hooks.Writable() >= MaxJobEntries;
  const TimePoint Now = this->Shared.now();
  this->scheduleFlush(IsFull ? Now : std::max(this->NextCollected, Now));
}

void ProgressWriter::scheduleFlush(TimePoint At) {
  if (this->IsStopped || this->ScheduledAt <= At)
    return;
  if (this->Scheduled)
    this->Shared.Loop.cancel(*this->Scheduled);
  this->ScheduledAt = At;
  this->Scheduled = scheduleFor(this->Shared.Loop, this->shared_from_this(), At,
                                [](ProgressWriter &Self) {
                                  Self.Scheduled.reset();
                                  Self.ScheduledAt = TimePoint::max();
                                  Self.flush();
                                });
}

TimePoint ProgressWriter::openCommitsSlowAt() const {
  TimePoint SlowAt = TimePoint::min();
  for (const Stream &Each : this->Streams)
    if (Each.isOpen())
      SlowAt = std::max(SlowAt, Each.FirstSent + SlowCommitTime);
  return SlowAt;
}

/// Whether the open commits do not keep up with the changes.
bool ProgressWriter::needsFurtherStream() const {
  // While the store refuses commits, further ones would only add to its load.
  const bool IsRefused = std::any_of(
      this->Streams.begin(), this->Streams.end(),
      [](const Stream &Each) { return Each.isOpen() && Each.IsRefused; });
  if (IsRefused)
    return false;
  return this->Hooks.Writable() >= MaxJobEntries ||
         this->Shared.now() >= this->openCommitsSlowAt();
}

void ProgressWriter::flush() {
  if (this->IsStopped)
    return;
  for (size_t Index = 0; Index < this->Streams.size(); ++Index) {
    if (this->Streams[Index].isOpen())
      continue;
    if (!this->needsFurtherStream() || !this->open(Index))
      break;
  }
  if (this->Hooks.Writable() > 0 && this->openCommits() < MaxStreams)
    this->scheduleFlush(std::max(this->openCommitsSlowAt(),
                                 this->Shared.now() + FlushInterval));
}

bool ProgressWriter::open(size_t Index) {
  std::vector<jobs::JobWrite> Taken = this->Hooks.Take(MaxJobEntries);
  if (Taken.empty())
    return false;
  if (this->SingleCommits > 0) {
    --this->SingleCommits;
    this->Hooks.Return({Taken.begin() + 1, Taken.end()});
    Taken.resize(1);
  }
  Stream &Opened = this->Streams[Index];
  ++Opened.Sequence;
  Opened.Change = store::StoreTransaction();
  Opened.Change.IsRepeatable = true;
  size_t Bytes = 0;
  auto Each = Taken.begin();
  for (; Each != Taken.end() && Bytes < MaxCommitBytes; ++Each) {
    this->appendWrite(Opened.Change, *Each);
    Bytes += Opened.Change.Puts.back().Value.size();
  }
  this->Hooks.Return({Each, Taken.end()});
  Taken.erase(Each, Taken.end());
  Opened.Change.Puts.push_back(
      {this->streamKey(Index), this->streamValue(Opened), 0});
  Opened.Writes = std::move(Taken);
  Opened.FirstSent = this->Shared.now();
  Opened.Failures = 0;
  Opened.IsRefused = false;
  Opened.MayTakeEffect = false;
  this->NextCollected = this->Shared.now() + FlushInterval;
  this->send(Index);
  return true;
}

void ProgressWriter::appendWrite(store::StoreTransaction &Change,
                                 const jobs::JobWrite &Write) const {
  const std::string Id = Write.Job.text();
  if (!jobs::isFinal(Write.Progress.State)) {
    Change.Puts.push_back({keys::progress(this->Service) + Id,
                           jobs::encodeProgress(Write.Progress), 0});
    return;
  }
  StoredJob Final;
  Final.QueueName = this->Hooks.QueueName(Write.Job);
  Final.End = Write.Progress.State;
  Final.Tenant = this->Hooks.Tenant(Write.Job);
  Change.Puts.push_back(
      {keys::jobs(this->Service) + Id, encodeStoredJob(Final), 0});
  Change.Removals.push_back(keys::progress(this->Service) + Id);
}

void ProgressWriter::send(size_t Index) {
  Stream &Sent = this->Streams[Index];
  Sent.Change.Expect = {{keys::claim(ShardId::of(this->Service)), this->Token},
                        {this->streamKey(Index), Sent.Revision}};
  this->Shared.Store.Commit(
      Sent.Change,
      onLoop<ProgressWriter, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Index](ProgressWriter &Self,
                  const store::StoreResult<store::CommitAnswer> &Answer) {
            Self.handleAnswer(Index, Answer);
          }));
}

void ProgressWriter::handleAnswer(
    size_t Index, const store::StoreResult<store::CommitAnswer> &Answer) {
  if (this->IsStopped)
    return;
  if (!Answer)
    this->handleFailure(Index, Answer.error());
  else if (Answer.value().IsCommitted)
    this->finish(Index, Answer.value().Revision);
  else
    this->handleConflict(Index, Answer.value());
}

void ProgressWriter::handleFailure(size_t Index,
                                   const store::StoreError &Cause) {
  Stream &Failed = this->Streams[Index];
  const Duration Delay =
      MinRetryDelay * (1 << std::min(Failed.Failures, MaxRetryDoublings));
  ++Failed.Failures;
  const bool IsRejected = Cause.Code == store::StoreErrorCode::BadAnswer;
  Failed.MayTakeEffect =
      Failed.MayTakeEffect || Cause.Code == store::StoreErrorCode::Ambiguous;
  if (IsRejected && !Failed.MayTakeEffect && Failed.Failures >= MaxRejections) {
    this->handleRejection(Index, Cause);
    return;
  }
  Failed.IsRefused = Cause.Code == store::StoreErrorCode::Unreachable;
  if (std::has_single_bit(Failed.Failures))
    logEvent(
        LogLevel::Warning, "progress-not-written",
        {{"shard", this->Service},
         {"stream", Index},
         {"failures", Failed.Failures},
         {"open-ms", toMilliseconds(this->Shared.now() - Failed.FirstSent)},
         {"code", nameOf(store::StoreErrorNames, Cause.Code)},
         {"cause", Cause.Message}});
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(Delay),
              [Index](ProgressWriter &Self) {
                if (!Self.IsStopped)
                  Self.send(Index);
              });
}

void ProgressWriter::handleRejection(size_t Index,
                                     const store::StoreError &Cause) {
  Stream &Rejected = this->Streams[Index];
  Rejected.FirstSent = TimePoint::max();
  const std::vector<jobs::JobWrite> Writes = std::exchange(Rejected.Writes, {});
  logEvent(LogLevel::Error, "progress-rejected",
           {{"shard", this->Service},
            {"jobs", Writes.size()},
            {"job", Writes.front().Job},
            {"cause", Cause.Message}});
  if (Writes.size() > 1) {
    this->SingleCommits += Writes.size();
    this->Hooks.Return(Writes);
    this->requestFlush();
    return;
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + RejectedRetryDelay,
              [Writes](ProgressWriter &Self) {
                if (Self.IsStopped)
                  return;
                Self.Hooks.Return(Writes);
                Self.requestFlush();
              });
}

void ProgressWriter::handleConflict(size_t Index,
                                    const store::CommitAnswer &Answer) {
  Stream &Current = this->Streams[Index];
  const std::string Claim = keys::claim(ShardId::of(this->Service));
  if (store::revisionOf(Answer.Current, Claim) != this->Token) {
    this->IsStopped = true;
    this->Hooks.OnSuperseded();
    return;
  }
  const store::StoreItem *Written =
      store::findItem(Answer.Current, this->streamKey(Index));
  if (Written && Written->Value == this->streamValue(Current)) {
    // An earlier copy of this commit has taken effect.
    this->finish(Index, Written->Revision);
    return;
  }
  // Otherwise the key is from an earlier planner, or has not been written yet.
  Current.Revision = Written ? Written->Revision : 0;
  this->send(Index);
}

void ProgressWriter::finish(size_t Index, uint64_t Revision) {
  Stream &Ended = this->Streams[Index];
  Ended.Revision = Revision;
  Ended.FirstSent = TimePoint::max();
  const std::vector<jobs::JobWrite> Writes = std::exchange(Ended.Writes, {});
  this->Hooks.OnWritten(Writes);
  this->requestFlush();
}

} // namespace whintack::dispatch::Internal
