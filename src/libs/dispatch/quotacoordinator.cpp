#include "quotacoordinator.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// Interval between two calls to each planner. An idle share must move within
/// 500 ms, which takes one interval, two calls and a write.
static constexpr Duration CallInterval = std::chrono::milliseconds(150);
/// How long a decision waits for the answers of the planners.
static constexpr Duration DecisionTimeout = std::chrono::milliseconds(100);
/// Time after which a planner that has not answered is called again. A new
/// planner must be told its shares soon after it has loaded.
static constexpr Duration CallTimeout = std::chrono::milliseconds(400);
/// Number of times within one interval that planners are called at once,
/// because their shares have changed: once to confirm lower shares, and once to
/// grant higher ones.
static constexpr unsigned MaxExtraCalls = 2;
/// The upper half of a plan's number is the generation of the claim, so that
/// plans that an earlier coordinator told planners without storing them have
/// lower numbers as well.
static constexpr unsigned GenerationShift = 32;

QuotaCoordinator::QuotaCoordinator(Context Shared, QuotaEnvironment Environment,
                                   HeldClaim OwnClaim)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      OwnClaim(std::move(OwnClaim)) {
  this->Allocator.setLastPlan(this->OwnClaim.Generation << GenerationShift);
}

void QuotaCoordinator::stop() {
  this->IsStopped = true;
  if (this->Reading)
    this->Reading->stop();
  if (this->Writer)
    this->Writer->stop();
}

bool QuotaCoordinator::canDecide() const {
  return !this->IsStopped && this->IsActive && this->IsLoaded &&
         this->Shared.now() < this->Environment.ClaimValidUntil();
}

void QuotaCoordinator::setTenants(
    const jobs::FleetConfiguration &Configuration) {
  // A removed tenant has no maximum any more, here as in the planners. Both
  // sides must know the same tenants, because idle ones are not reported by
  // name.
  this->Maximums.clear();
  for (const tenants::Tenant &Each : Configuration.Tenants)
    if (Each.Maximum != ComputeResources())
      this->Maximums[Each.Name] = Each.Maximum;
  const bool HasMaximum = !this->Maximums.empty();
  std::set<ServiceName> Services;
  for (const jobs::ServicePolicy &Each : Configuration.Services)
    if (!Each.IsSpare)
      Services.insert(Each.Name);
  this->Allocator.setServices(std::move(Services));
  this->Allocator.setMaximums(this->Maximums);
  if (HasMaximum == this->IsActive || this->IsStopped)
    return;
  this->IsActive = HasMaximum;
  if (!HasMaximum)
    return;
  ++this->Activation;
  this->load();
  this->checkPlanners(this->Activation);
}

void QuotaCoordinator::openWriter() {
  if (this->Writer)
    this->Writer->stop();
  const std::weak_ptr<QuotaCoordinator> Weak = this->weak_from_this();
  QuotaWriterHooks Hooks;
  Hooks.OnStored = [Weak](const tenants::QuotaPlan &Plan) {
    const auto Self = Weak.lock();
    if (!Self || Self->IsStopped)
      return;
    Self->Allocator.noteStored(Plan);
    if (!Self->Writer->isBusy())
      Self->callUntold();
  };
  Hooks.OnRefused = [Weak](const tenants::QuotaPlan &Plan) {
    if (const auto Self = Weak.lock())
      Self->Allocator.noteRefused(Plan);
  };
  Hooks.OnChanged = [Weak] {
    if (const auto Self = Weak.lock())
      Self->load();
  };
  Hooks.OnLost = [OnLost = this->Environment.OnLost,
                  Shard = this->OwnClaim.Shard](const std::string &Cause) {
    OnLost(Shard, Cause);
  };
  this->Writer = std::make_shared<QuotaRecordWriter>(
      this->Shared,
      store::ExpectedRevision{keys::claim(this->OwnClaim.Shard),
                              this->OwnClaim.Token},
      std::move(Hooks));
}

void QuotaCoordinator::load() {
  this->IsLoaded = false;
  // An open write may take effect after the read. No other write begins before
  // the records are loaded.
  if (this->Writer && this->Writer->isBusy()) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + CallInterval, [](QuotaCoordinator &Self) {
                  if (!Self.IsStopped)
                    Self.load();
                });
    return;
  }
  if (this->Reading)
    this->Reading->stop();
  this->Reading = std::make_shared<QuotaRecordReader>(
      this->Shared, [Weak = this->weak_from_this()](
                        const std::vector<store::StoreItem> &Items) {
        if (const auto Self = Weak.lock())
          Self->handleRecords(Items);
      });
  this->Reading->start();
}

void QuotaCoordinator::handleRecords(
    const std::vector<store::StoreItem> &Items) {
  if (this->IsStopped)
    return;
  this->openWriter();
  this->Writer->adopt(Items);
  const std::vector<QuotaRecord> Records = decodeQuotaRecords(Items);
  std::set<ServiceName> Recorded = this->Allocator.services();
  for (const QuotaRecord &Record : Records)
    for (const auto &[Name, Stored] : Record.Tenants)
      for (const auto &[Service, Share] : Stored.Shares)
        Recorded.insert(Service);
  for (const ServiceName &Service : Recorded)
    this->Allocator.restore(Service, grantsOf(Service, Records));
  this->IsLoaded = true;
  logEvent(LogLevel::Info, "quota-records-read",
           {{"token", this->OwnClaim.Token},
            {"records", Items.size()},
            {"tenants", this->Maximums.size()}});
  this->callUntold();
}

void QuotaCoordinator::checkPlanners(uint64_t OfActivation) {
  if (this->IsStopped || !this->IsActive || this->Activation != OfActivation)
    return;
  this->ExtraCalls = 0;
  if (this->canDecide())
    this->callPlanners(this->Allocator.services());
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + CallInterval,
              [OfActivation](QuotaCoordinator &Self) {
                Self.checkPlanners(OfActivation);
              });
}

void QuotaCoordinator::callPlanners(const std::set<ServiceName> &Called) {
  auto Current = std::make_shared<Round>();
  // Counts this function itself, so that the round ends only after all calls
  // are made.
  Current->OpenCalls = 1;
  for (const ServiceName &Service : Called)
    if (!this->OpenCalls.contains(Service))
      this->callPlanner(Service, Current);
  scheduleFor(
      this->Shared.Loop, this->shared_from_this(),
      this->Shared.now() + DecisionTimeout,
      [Current](QuotaCoordinator &Self) { Self.finishRound(*Current); });
  if (--Current->OpenCalls == 0)
    this->finishRound(*Current);
}

void QuotaCoordinator::callPlanner(const ServiceName &Service,
                                   const std::shared_ptr<Round> &Current) {
  ++Current->OpenCalls;
  this->OpenCalls.insert(Service);
  // A planner that applies its shares already is only asked for a report.
  std::string Content;
  if (!this->Allocator.isConfirmed(Service)) {
    const tenants::QuotaGrants Granted = this->Allocator.grants(Service);
    this->ToldPlans[Service] = Granted.Plan;
    Content = encodeQuotaGrants(Granted);
  }
  this->Environment.Call(
      {0, Service, peers::ServiceCallKind::TenantQuota, "", std::move(Content)},
      CallTimeout,
      [Weak = this->weak_from_this(), Service,
       Current](const CallResult &Result) {
        const auto Self = Weak.lock();
        if (!Self || Self->IsStopped)
          return;
        Self->OpenCalls.erase(Service);
        Self->handleAnswer(Service, Result);
        if (--Current->OpenCalls == 0)
          Self->finishRound(*Current);
      });
}

void QuotaCoordinator::callUntold() {
  if (!this->canDecide() || this->ExtraCalls >= MaxExtraCalls)
    return;
  std::set<ServiceName> Untold;
  for (const ServiceName &Service : this->Allocator.services())
    if (!this->Allocator.isConfirmed(Service) &&
        this->ToldPlans[Service] != this->Allocator.grantPlan(Service))
      Untold.insert(Service);
  if (Untold.empty())
    return;
  ++this->ExtraCalls;
  this->callPlanners(Untold);
}

void QuotaCoordinator::handleAnswer(const ServiceName &Service,
                                    const CallResult &Result) {
  if (Result.Outcome != CallOutcome::Done)
    return;
  const auto Answer = decodeQuotaAnswer(Result.Content, this->Maximums);
  if (!Answer) {
    logEvent(LogLevel::Error, "quota-answer-unreadable",
             {{"service", Service}, {"cause", Answer.error().Message}});
    return;
  }
  this->Allocator.noteReport(Service, Answer.value().Report,
                             Answer.value().ClaimToken, this->Shared.now());
}

void QuotaCoordinator::finishRound(Round &Current) {
  if (std::exchange(Current.IsDecided, true))
    return;
  this->decide();
}

void QuotaCoordinator::decide() {
  if (!this->canDecide() || this->Writer->isBusy())
    return;
  if (const auto Plan = this->Allocator.propose(this->Shared.now())) {
    std::set<TenantName> Changed;
    for (const auto &[Service, Grants] : Plan->Services)
      for (const auto &[Name, Grant] : Grants.Tenants)
        Changed.insert(Name);
    logEvent(LogLevel::Info, "quota-plan",
             {{"plan", Plan->Number},
              {"tenants", Changed.size()},
              {"trigger", nameOf(tenants::QuotaTriggerNames, Plan->Trigger)},
              {"confirmations", Plan->Confirmations.size()}});
    this->Writer->store(*Plan, this->Maximums);
  }
  this->callUntold();
}

} // namespace whintack::dispatch::Internal
