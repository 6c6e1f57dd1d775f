#include "serviceshard.h"

namespace whintack::dispatch::Internal {

/// Minimum time between two looks at what is not stored yet.
static constexpr Duration BacklogCheckInterval = std::chrono::milliseconds(100);

std::shared_ptr<ProgressWriter> ServiceShard::makeWriter() {
  // The writer runs on the same loop as this object and is stopped by it, so
  // capturing this is safe.
  ProgressWriterHooks Hooks;
  Hooks.Writable = [this] { return this->Planner.writableJobs(); };
  Hooks.Take = [this](size_t MaxEntries) {
    std::vector<jobs::JobWrite> Taken;
    this->Load.measure(PlannerWork::Flush, this->Planner.writableJobs(),
                       [&] { Taken = this->Planner.takeWrites(MaxEntries); });
    return Taken;
  };
  Hooks.Return = [this](const std::vector<jobs::JobWrite> &Writes) {
    this->Planner.noteWriteFailed(Writes);
  };
  Hooks.OnWritten = [this](const std::vector<jobs::JobWrite> &Writes) {
    this->handleWritten(Writes);
  };
  Hooks.QueueName = [this](const jobs::JobId &Job) {
    return this->originOf(Job).QueueName;
  };
  Hooks.Tenant = [this](const jobs::JobId &Job) {
    return this->originOf(Job).Tenant;
  };
  Hooks.OnSuperseded = [this] {
    this->reportLoss("another planner holds the claim");
  };
  return std::make_shared<ProgressWriter>(
      this->Shared, this->Service, this->OwnClaim.Token, std::move(Hooks));
}

void ServiceShard::requestFlush() {
  if (!this->IsStopped)
    this->Writer->requestFlush();
}

BacklogSample ServiceShard::storeBacklog() const {
  return {this->Planner.storeBacklog(), this->Writer->openCommits(),
          this->Writer->oldestOpenSince(), this->isClaimValid()};
}

void ServiceShard::checkBacklog() {
  const TimePoint Now = this->Shared.now();
  if (Now < this->NextBacklogCheck)
    return;
  this->NextBacklogCheck = Now + BacklogCheckInterval;
  this->BacklogMonitor.update(this->storeBacklog(), Now);
}

void ServiceShard::handleWritten(const std::vector<jobs::JobWrite> &Writes) {
  this->Planner.noteWritten(Writes);
  this->BacklogMonitor.noteWritten(Writes.size());
  this->checkBacklog();
  for (const jobs::JobWrite &Write : Writes) {
    auto [Each, End] = this->AwaitingStore.equal_range(Write.Job);
    while (Each != End) {
      const auto Current = Each++;
      if (!this->Planner.isStored(Write.Job, Current->second.Change))
        continue;
      const std::function<void()> Answer = std::move(Current->second.Answer);
      this->AwaitingStore.erase(Current);
      Answer();
    }
  }
  this->endDrainIfStored();
}

void ServiceShard::answerWhenStored(const jobs::JobId &Job, uint64_t Change,
                                    std::function<void()> Answer) {
  if (this->Planner.isStored(Job, Change))
    Answer();
  else
    this->AwaitingStore.emplace(Job, AwaitingAnswer{Change, std::move(Answer)});
}

void ServiceShard::endDrainIfStored() {
  if (!this->OnDrained ||
      this->Planner.storedThrough() != this->Planner.lastChange())
    return;
  const std::function<void()> Done = std::exchange(this->OnDrained, nullptr);
  Done();
}

void ServiceShard::drain(std::function<void()> Done) {
  this->OnDrained = std::move(Done);
  this->Writer->flush();
  this->endDrainIfStored();
}

} // namespace whintack::dispatch::Internal
