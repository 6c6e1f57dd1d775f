#ifndef WHINTACK_DISPATCH_SERVICESHARD_H
#define WHINTACK_DISPATCH_SERVICESHARD_H

#include "claimseeker.h"
#include "executorlink.h"
#include "servicecalls.h"
#include "shardstore.h"

#include "whintack/jobs/planner.h"

#include <unordered_map>

namespace whintack::dispatch::Internal {

/// What a shard needs of its process.
struct ShardEnvironment {
  jobs::ExecutorGateway Executors;
  jobs::AdviceGateway Advice;
  decltype(jobs::PlatformWords::DecodeJob) DecodeJob;
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues;
  /// Until when the claim certainly holds.
  std::function<TimePoint()> ClaimValidUntil;
  decltype(jobs::MachineGateway::List) ListMachines;
  /// Asks for a fresh list of executors.
  std::function<void()> LookForExecutors;
  Duration LongestLease = Duration::zero();
  /// The claim is lost; the shard is to be dropped.
  std::function<void(const std::string &Shard, const std::string &Cause)>
      OnLost;
};

/// Plans one service under a claim: recovers from the store and the executors,
/// carries out the planner's orders, stores what it hands out, and answers
/// calls.
class ServiceShard : public std::enable_shared_from_this<ServiceShard> {
public:
  ServiceShard(Context Shared, ShardEnvironment Environment, WonClaim Won);

  void start();
  /// Stops giving orders. What was taken in is stored already or is listed by
  /// the executors.
  void stop();
  /// Stores what is not stored yet, then calls \p Done.
  void drain(std::function<void()> Done);

  void setExecutors(const std::vector<jobs::ExecutorInfo> &Listed);
  void setQueues(const jobs::QueueTable &Queues);
  /// Answers a call of the door or the fleet steward.
  void answer(const peers::ServiceCall &Asked, const AnswerBack &Back);

private:
  /// Whether it is known on which executors an earlier planner's tasks may run.
  enum class CensusState { NotNeeded, Needed, Taking, Done };

  using MachineList = jobs::GatewayResult<std::vector<jobs::MachineInfo>>;
  using MachineHandler = void (ServiceShard::*)(const MachineList &);

  void takeCensus();
  void listMachines(MachineHandler Take);
  void takeMachines(const MachineList &Found);
  void takeContents(const ShardStore::Contents &Loaded);
  void restore(const store::StoreItem &Item,
               const std::unordered_map<std::string, std::string> &Progress);
  void takeNotices(const ItemMap &Items);
  /// Takes a record in; \p Earlier is what an earlier planner stored of it, or
  /// null if no earlier planner can have started it.
  bool addStored(const jobs::JobId &Id, const std::string &Text,
                 const jobs::JobProgress *Earlier);
  void openLink(const jobs::ExecutorInfo &Info);
  LinkHooks linkHooks();
  void requestPlan();
  void plan();
  void carryOut(const jobs::Order &Given);
  void ask(const jobs::AdviceOrder &Question);
  bool mayHaveRunEarlier(Duration Age) const;
  void lookAtSilent();
  void
  judgeSilent(const jobs::GatewayResult<std::vector<jobs::MachineInfo>> &Found);
  void rescan();
  void requestFlush();
  void flush();
  void takeWritten(const std::vector<jobs::JobWrite> &Writes,
                   ShardStore::WriteOutcome Outcome);
  void answerStored();
  void lose(const std::string &Cause);
  std::string queueOf(const jobs::JobId &Job) const;
  void answerCancel(const peers::ServiceCall &Asked, const AnswerBack &Back);

  Context Shared;
  ShardEnvironment Environment;
  WonClaim Won;
  ServiceName Service;
  jobs::Planner Planner;
  std::shared_ptr<ShardStore> Records;
  std::shared_ptr<PrefixWatch> Notices;
  std::map<jobs::ExecutorId, std::shared_ptr<ExecutorLink>> Links;
  std::unordered_map<jobs::JobId, std::string> QueueNames;
  /// Executors that do not answer.
  std::set<jobs::ExecutorId> Silent;
  /// Those of them that were silent when the machines were last asked for.
  std::set<jobs::ExecutorId> SilentAsked;
  /// Answers that wait until a change is stored.
  std::multimap<uint64_t, std::function<void()>> AwaitingStore;
  std::function<void()> OnDrained;
  TimePoint EarlierLeasesOver = TimePoint::min();
  TimePoint ClaimedAt;
  TimePoint LastPlan = TimePoint::min();
  TimePoint NextFlush = TimePoint::min();
  CensusState Census = CensusState::NotNeeded;
  bool IsLoaded = false;
  bool IsPlanRequested = false;
  bool IsFlushRequested = false;
  bool IsWriting = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SERVICESHARD_H
