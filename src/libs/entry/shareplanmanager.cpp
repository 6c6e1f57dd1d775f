#include "shareplanmanager.h"

#include "whintack/base/log.h"

#include <algorithm>

namespace whintack::entry::Internal {

using routing::ShareMember;
using routing::SharePlan;
using web::json::value;

static constexpr Duration SettledInterval = std::chrono::seconds(2);
static constexpr Duration UnsettledInterval = std::chrono::milliseconds(100);

static value toJson(const std::vector<ShareMember> &Members) {
  std::vector<value> Rows;
  for (const ShareMember &Member : Members) {
    value Row;
    Row["name"] = value(Member.Name.text());
    Row["incarnation"] = value(Member.Incarnation);
    Rows.push_back(Row);
  }
  return value::array(Rows);
}

static std::vector<ShareMember> membersFromJson(const value &Rows) {
  std::vector<ShareMember> Members;
  for (const value &Row : Rows.as_array())
    Members.push_back({EntryName(Row.at("name").as_string()),
                       Row.at("incarnation").as_number().to_uint64()});
  return Members;
}

static value planToJson(const SharePlan &Plan) {
  value Object;
  Object["epoch"] = value(Plan.Epoch);
  Object["members"] = toJson(Plan.Members);
  Object["previous"] = toJson(Plan.Previous);
  Object["acknowledged"] = toJson(Plan.Acknowledged);
  Object["lost"] = toJson(Plan.Lost);
  return Object;
}

static SharePlan planFromRecord(const store::Record &Read) {
  SharePlan Plan;
  if (!Read.exists())
    return Plan;
  try {
    Plan.Epoch = Read.Body.at("epoch").as_number().to_uint64();
    Plan.Members = membersFromJson(Read.Body.at("members"));
    Plan.Previous = membersFromJson(Read.Body.at("previous"));
    Plan.Acknowledged = membersFromJson(Read.Body.at("acknowledged"));
    Plan.Lost = membersFromJson(Read.Body.at("lost"));
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "share-plan-invalid", {{"text", Error.what()}});
  }
  return Plan;
}

SharePlanManager::SharePlanManager(routing::RouterIdentity Identity,
                                   store::RecordClient &Records,
                                   Forwarder &Forwarding,
                                   ListedEntries ListEntries, Clock Time,
                                   Random Source, EventJournal &Journal)
    : Identity(std::move(Identity)), Records(Records), Forwarding(Forwarding),
      ListEntries(std::move(ListEntries)), Time(std::move(Time)),
      Source(std::move(Source)), Journal(Journal) {}

std::string SharePlanManager::recordKey() const {
  return "whintack/shares/" + this->Identity.DataCentre.text();
}

SharePlan SharePlanManager::plan() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->CurrentPlan;
}

void SharePlanManager::applyPlan(const SharePlan &Plan) {
  SharePlan Before;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Before = this->CurrentPlan;
    if (Plan == Before || Plan.Epoch < Before.Epoch)
      return;
    this->CurrentPlan = Plan;
  }
  this->Forwarding.setSharePlan(Plan);
  if (Plan.Epoch == Before.Epoch)
    return;
  Event Noted;
  Noted.Kind = EventKind::SharesChanged;
  Noted.Text = "epoch=" + std::to_string(Plan.Epoch) +
               " members=" + std::to_string(Plan.Members.size());
  this->Journal.record(std::move(Noted));
}

bool SharePlanManager::updatePlan(const PlanChange &Next) {
  SharePlan After;
  const auto Change = [&](const store::Record &Read) -> std::optional<value> {
    const SharePlan Before = planFromRecord(Read);
    After = Next(Before);
    if (After == Before)
      return std::nullopt;
    return planToJson(After);
  };
  auto Updated = this->Records.update(
      this->recordKey(), OperationId(randomIdentifier(this->Source)), Change);
  if (!Updated)
    return false;
  this->applyPlan(After);
  return true;
}

std::optional<ShareMember>
SharePlanManager::findLostMember(const SharePlan &Plan) const {
  const auto Entries = this->ListEntries();
  if (!Entries)
    return std::nullopt;
  const auto IsGone = [&Entries](const ShareMember &Member) {
    return std::find(Entries->begin(), Entries->end(), Member.Name) ==
           Entries->end();
  };
  for (const auto &Members : {Plan.Members, Plan.Previous})
    for (const ShareMember &Member : Members)
      if (Member != this->Identity.Self && IsGone(Member) &&
          routing::withLostMember(Plan, Member) != Plan)
        return Member;
  return std::nullopt;
}

bool SharePlanManager::canAcknowledge(const SharePlan &Seen) {
  const TimePoint Now = this->Time.Now();
  const Duration RunTimeAfterLoss = this->Forwarding.maxRunTimeAfterLoss();
  bool HasWaited = true;
  for (const ShareMember &Gone : Seen.Lost) {
    const TimePoint Since = this->LostSince.emplace(Gone, Now).first->second;
    HasWaited = HasWaited && Since + RunTimeAfterLoss <= Now;
  }
  return HasWaited && this->Forwarding.isWithinShares();
}

Duration SharePlanManager::synchronizePlan() {
  // Without a declaration the maximum duration of requests is not known.
  if (this->Forwarding.maxRequestDuration() == Duration::zero())
    return UnsettledInterval;
  auto Read = this->Records.read(this->recordKey());
  if (!Read)
    return SettledInterval;
  const SharePlan Seen = planFromRecord(Read.value());
  this->applyPlan(Seen);
  const ShareMember &Self = this->Identity.Self;
  if (const auto Lost = this->findLostMember(Seen)) {
    this->updatePlan([&](const SharePlan &Before) {
      return routing::withLostMember(Before, *Lost);
    });
    return UnsettledInterval;
  }
  if (!Seen.isMember(Self) && !this->isLeaving()) {
    this->updatePlan([&](const SharePlan &Before) {
      return routing::withMember(Before, Self);
    });
    return UnsettledInterval;
  }
  const bool HasAcknowledged =
      std::find(Seen.Acknowledged.begin(), Seen.Acknowledged.end(), Self) !=
      Seen.Acknowledged.end();
  const bool CanAcknowledge = this->canAcknowledge(Seen);
  if (!HasAcknowledged && CanAcknowledge)
    this->updatePlan([&](const SharePlan &Before) {
      const bool IsSameStep =
          Before.Epoch == Seen.Epoch && Before.Lost == Seen.Lost;
      return IsSameStep ? routing::withAcknowledgement(Before, Self) : Before;
    });
  return Seen.isSettled() ? SettledInterval : UnsettledInterval;
}

bool SharePlanManager::isLeaving() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->IsLeaving;
}

void SharePlanManager::run(const StopSignal &Stop) {
  while (!Stop.isRequested()) {
    const Duration Wait = this->synchronizePlan();
    Stop.waitFor(Wait);
  }
}

bool SharePlanManager::leave() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->IsLeaving = true;
  }
  bool HasLeft = false;
  const bool IsWritten = this->updatePlan([&](const SharePlan &Before) {
    SharePlan After = routing::withoutMember(Before, this->Identity.Self);
    HasLeft = !After.isMember(this->Identity.Self);
    return After;
  });
  return IsWritten && HasLeft;
}

} // namespace whintack::entry::Internal
