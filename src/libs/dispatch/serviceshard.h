#ifndef WHINTACK_DISPATCH_SERVICESHARD_H
#define WHINTACK_DISPATCH_SERVICESHARD_H

#include "executorlink.h"
#include "jobownership.h"
#include "loadmonitor.h"
#include "lostexecutortracker.h"
#include "progresswriter.h"
#include "servicecalls.h"
#include "shardclaimer.h"
#include "shardstore.h"
#include "storebacklogmonitor.h"

#include "whintack/jobs/planner.h"

#include <unordered_map>

namespace whintack::dispatch::Internal {

/// What a service shard needs from its process.
struct ShardEnvironment {
  jobs::ExecutorGateway Executors;
  /// Requests advice and passes the answer on, on the loop's thread.
  std::function<void(const jobs::AdviceOrder &,
                     jobs::GatewayCallback<jobs::AdviceAnswer>)>
      AskAdvice;
  decltype(jobs::PlatformCodec::DecodeJob) DecodeJob;
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues;
  /// Time until which the claim certainly holds.
  std::function<TimePoint()> ClaimValidUntil;
  /// Time until which orders may be sent while the store does not answer; null
  /// if that is not longer.
  std::function<TimePoint()> GraceUntil;
  /// How long holders of claims go on while the store does not answer; those of
  /// earlier claims may have, too.
  Duration StoreOutageGrace = Duration::zero();
  decltype(jobs::MachineGateway::List) ListMachines;
  /// Returns the processor time that this process has used; null if that is not
  /// known.
  std::function<Duration()> ProcessorTime;
  std::shared_ptr<LongestWork> Longest;
  std::shared_ptr<LoadQueue> Loads;
  /// Requests a new list of executors.
  std::function<void()> RefreshExecutors;
  /// Time through which all changes of the list of executors are known.
  std::function<TimePoint()> ExecutorsKnownThrough;
  /// Time through which all changes of the configuration are known.
  std::function<TimePoint()> ConfigurationKnownThrough;
  /// How old the knowledge of the configuration may be when a task of a tenant
  /// with a maximum is started.
  Duration MaxConfigurationAge = Duration::zero();
  Duration MaxLease = Duration::zero();
  /// The planner reserves room for large tasks that wait.
  bool ReservesRoom = false;
  /// Time in which the shard must be loaded.
  Duration LoadTime = Duration::zero();
  /// The shard was not loaded in time; the claim should be released.
  std::function<void(const ShardId &Shard)> OnOverdue;
  /// The claim is lost and the shard must be dropped.
  std::function<void(const ShardId &Shard, const std::string &Cause)> OnLost;
};

/// Plans one service under a claim: recovers its state from the store and the
/// executors, executes the planner's orders, stores the planner's writes, and
/// answers calls.
class ServiceShard : public std::enable_shared_from_this<ServiceShard> {
public:
  ServiceShard(Context Shared, ShardEnvironment Environment,
               HeldClaim OwnClaim);

  /// Reads the records of the service and starts planning.
  void start();
  /// Stops sending orders. All accepted work is already stored or is reported
  /// by the executors.
  void stop();
  /// Stores what is not stored yet, then calls \p Done.
  void drain(std::function<void()> Done);

  /// Whether the state left by earlier planners is known.
  bool isRecovered() const {
    return this->IsLoaded && !this->Planner.isRecovering();
  }

  /// How far the store is behind the planner.
  BacklogSample storeBacklog() const;

  /// A request handler is gone that may have accepted jobs without announcing
  /// them: looks for these in the store.
  void handleLostHandler();

  /// Adopts a new list of executors of all services.
  void setExecutors(const std::vector<jobs::ExecutorInfo> &Listed);
  /// Adopts the queues of a new configuration.
  void setQueues(const jobs::QueueTable &Queues);
  /// Answers a call of a request handler or of the holder of the fleet shard.
  void answer(const peers::ServiceCall &Call, const AnswerCallback &Respond);

private:
  /// Whether it is known on which executors tasks of an earlier planner may
  /// run.
  enum class DiscoveryState { NotNeeded, Needed, InProgress, Done };

  using MachineList = jobs::GatewayResult<std::vector<jobs::MachineInfo>>;
  using MachineListHandler =
      std::function<void(ServiceShard &, const MachineList &)>;

  void discoverExecutors();
  void listMachines(MachineListHandler Handle);
  void handleMachines(const MachineList &Found);
  /// The records of the service while its jobs are restored.
  struct StoredState {
    ShardStore::Contents Contents;
    /// Progress of jobs, by job id.
    std::unordered_map<std::string, std::string> Progress;
    /// Number of jobs that have been restored.
    size_t Restored = 0;
  };

  void handleContents(const ShardStore::Contents &Loaded);
  void restoreJobs(const std::shared_ptr<StoredState> &Found);
  void endLoading(const ShardStore::Contents &Loaded);
  void adoptStoredQuotas(const ShardStore::Contents &Loaded);
  void restore(const store::StoreItem &Item, jobs::JobSource Source,
               const std::unordered_map<std::string, std::string> &Progress);
  /// Handles the notices whose keys are in \p Changed.
  void handleNotices(const ItemMap &Items,
                     const std::set<std::string> &Changed);
  void cancelByNotice(const jobs::JobId &Id);
  void cancelIfPending(const jobs::JobId &Id);
  void removeHandledNotices();
  void
  handleNoticesRemoved(const std::vector<std::string> &Removed,
                       const store::StoreResult<store::CommitAnswer> &Answer);
  /// Adds a job from its record. \p Earlier is the progress that an earlier
  /// planner stored for it, or null if the job was announced to this planner.
  /// Returns false if the record cannot be read.
  bool addStoredJob(const jobs::JobId &Id, const std::string &Text,
                    jobs::JobSource Source, const jobs::JobProgress *Earlier);
  void openLink(const jobs::ExecutorInfo &Info);
  /// Keeps what a later link to the executor has to know of this one's calls.
  void noteClosed(const jobs::ExecutorId &Id, const ExecutorLink &Closed);
  LinkHooks linkHooks();
  void checkLoaded();
  /// Logs when starts are paused and resumed.
  void reportStartPause();
  /// Whether the current configuration has a tenant with a maximum.
  bool hasQuotas() const;
  /// Tells the planner whether it may start tasks of tenants with a maximum.
  void checkConfigurationAge();
  void requestPlan();
  void makePass(TimePoint Now);
  void plan();
  void execute(const jobs::Order &Order);
  void askAdvice(const jobs::AdviceOrder &Request);
  ClaimPhase phase() const;
  bool isClaimValid() const { return this->phase() == ClaimPhase::Valid; }
  bool isInGrace() const { return this->phase() == ClaimPhase::Grace; }
  /// Whether a successor may have claimed the shard while this process may
  /// still, or again, send orders in its grace. A renewal that is answered late
  /// can bring the grace back.
  bool mayBeSucceeded() const {
    return this->Environment.StoreOutageGrace > Duration::zero() &&
           !this->isClaimValid();
  }
  /// Whether stop orders, extensions of leases and paces may be sent.
  bool canOrder() const;
  /// Whether this process holds the claim and knows of all cancellations that
  /// were acknowledged, and of all executors that drain or shrink, since longer
  /// than MaxKnowledgeAge. In the grace that knowledge is not required where
  /// executors check admission.
  bool canStartTasks() const;
  bool doExecutorsCheckAdmission() const;
  /// Keeps the new jobs among the changed notices until the claim is valid
  /// again; returns the other changes.
  std::set<std::string> deferNewJobs(const ItemMap &Items,
                                     const std::set<std::string> &Changed);
  /// Adds the jobs that were kept back in the grace.
  void endGrace();
  void noteUnlistedEmpty(const std::vector<jobs::ExecutorId> &Unlisted);
  /// Whether the executor is registered, or the last list may be outdated.
  bool mayBeRegistered(const jobs::ExecutorId &Id) const;
  /// Checks executors of an earlier planner that have not registered again, as
  /// one that answers nobody.
  void watchUnlisted(const std::vector<jobs::ExecutorId> &Unlisted);
  void checkSilentExecutors();
  void scheduleEarlyCheck();
  void checkEarly();
  void handleLost(const std::vector<LostExecutor> &Lost);
  void handleSilentMachines(
      const jobs::GatewayResult<std::vector<jobs::MachineInfo>> &Found);
  void learnMachines(const std::vector<jobs::MachineInfo> &List);
  void rescan();
  void readLostAnnouncements();
  void readMissedJobs(jobs::JobSource Source,
                      std::function<void(ServiceShard &)> Done);
  void endCatchUp();
  std::shared_ptr<ProgressWriter> makeWriter();
  void requestFlush();
  void handleWritten(const std::vector<jobs::JobWrite> &Writes);
  /// Calls \p Answer once the changes of the job up to \p Change are stored.
  void answerWhenStored(const jobs::JobId &Job, uint64_t Change,
                        std::function<void()> Answer);
  void endDrainIfStored();
  void checkBacklog();
  void reportLoss(const std::string &Cause);
  /// The queue and the tenant of a job; empty names if the job is not known.
  JobOrigin originOf(const jobs::JobId &Job) const;
  /// Whether the tenant in the call's content may not access the job.
  bool isOtherTenant(const peers::ServiceCall &Call) const;
  /// Number of jobs of the queue that wait here, whichever service it has now.
  size_t countWaiting(const std::string &QueueName) const;
  void answerCancel(const peers::ServiceCall &Call,
                    const AnswerCallback &Respond);
  /// Applies the shares in the call, if there are any, and reports what is in
  /// use and waits.
  void answerQuota(const peers::ServiceCall &Call,
                   const AnswerCallback &Respond);
  /// Reports the demand of the pool and releases machines for other pools.
  /// Reads the list of executors anew if the caller knows of one that is
  /// missing.
  void answerDemand(const peers::ServiceCall &Call,
                    const AnswerCallback &Respond);

  Context Shared;
  ShardEnvironment Environment;
  HeldClaim OwnClaim;
  ServiceName Service;
  jobs::Planner Planner;
  std::shared_ptr<ShardStore> Records;
  std::shared_ptr<ProgressWriter> Writer;
  StoreBacklogMonitor BacklogMonitor;
  OrderMonitor OrderTimes;
  PlannerLoadMonitor Load;
  PassMonitor PassTimes;
  std::shared_ptr<PrefixWatch> Notices;
  std::map<jobs::ExecutorId, std::shared_ptr<ExecutorLink>> Links;
  /// Time by which the leases that calls of closed links can give have expired.
  std::map<jobs::ExecutorId, TimePoint> LateLeasesEnds;
  std::unordered_map<jobs::JobId, JobOrigin> Origins;
  /// Executors that do not answer.
  std::set<jobs::ExecutorId> Silent;
  /// Executors that were silent when the machines were last requested and have
  /// not answered since.
  std::set<jobs::ExecutorId> SilentAtRequest;
  /// Number of checks of silent executors that have begun.
  uint64_t SilentChecks = 0;
  /// Executors that were silent when the last early check began and have not
  /// answered since.
  std::set<jobs::ExecutorId> SilentAtEarlyRequest;
  /// Number of early checks that have begun.
  uint64_t EarlyChecks = 0;
  bool IsEarlyCheckScheduled = false;
  TimePoint NextEarlyCheckAt = TimePoint::min();
  LostExecutorTracker LostExecutors;
  /// Jobs not known yet whose cancellation is in the store.
  std::set<jobs::JobId> PendingCancellations;
  /// Keys of the notices whose effect is stored.
  std::set<std::string> HandledNotices;
  /// Notices of new jobs that were read in the grace.
  ItemMap DeferredNotices;
  /// Answers that wait until a change of a job is stored.
  struct AwaitingAnswer {
    uint64_t Change = 0;
    std::function<void()> Answer;
  };
  std::multimap<jobs::JobId, AwaitingAnswer> AwaitingStore;
  std::function<void()> OnDrained;
  TimePoint EarlierLeasesEnd = TimePoint::min();
  TimePoint ClaimedAt;
  /// Time by which the records of the shard must have been read;
  /// TimePoint::max() once they have been.
  TimePoint LoadDeadline = TimePoint::max();
  /// Revision of the store through which all jobs have been read.
  uint64_t KnownAsOf = 0;
  TimePoint LastPlan = TimePoint::min();
  /// When the present turn of a planning pass has used its time.
  TimePoint TurnEnd = TimePoint::max();
  TimePoint NextBacklogCheck = TimePoint::min();
  TimePoint NextWaitLog = TimePoint::min();
  DiscoveryState Discovery = DiscoveryState::NotNeeded;
  bool IsLoaded = false;
  bool IsPlanRequested = false;
  bool IsRemovingNotices = false;
  bool IsStopped = false;
  bool IsStartPaused = false;
  bool IsConfigurationCheckDue = false;
  /// The loaded shard was planned under a valid claim.
  bool HasPlannedUnderClaim = false;
  /// A list of executors was not adopted, so the age of the last one does not
  /// tell how old the adopted one is.
  bool IsListDropped = false;
  /// Jobs that were announced to an earlier planner may be missing. Each job
  /// that is announced to this one may have been announced to that one before,
  /// whenever it was accepted.
  bool IsCatchingUp = false;
  /// A request handler was lost since the last read of missed jobs began.
  bool IsHandlerLost = false;
  bool IsReadingMissed = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SERVICESHARD_H
