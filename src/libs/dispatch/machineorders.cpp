#include "machineorders.h"

#include "storekeys.h"

#include <algorithm>
#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

/// How long after an order was recorded a successor leaves the machine alone.
/// The platform rejects orders of different holders within 3 s of each other,
/// and an order is sent within a second of being recorded.
static constexpr Duration HolderChangeDelay = std::chrono::milliseconds(4300);
/// How long an order stays in the record: longer than HolderChangeDelay plus
/// the time until a lost claim is taken over.
static constexpr Duration RecordRetention = std::chrono::seconds(8);
static constexpr Duration RetryDelay = std::chrono::milliseconds(150);
/// Interval at which a holder that waits looks whether its predecessor has
/// released the claim, and at which orders of the grace are recorded.
static constexpr Duration GraceCheckInterval = std::chrono::milliseconds(400);

MachineOrders::MachineOrders(Context Shared, OrderingProcess Self,
                             store::ExpectedRevision Claim,
                             MachineOrdersHooks Hooks, HolderGrace Grace)
    : Shared(std::move(Shared)), Self(std::move(Self)), Claim(std::move(Claim)),
      Hooks(std::move(Hooks)),
      Holders(this->Shared, {this->Self, this->Claim.Revision}, Grace,
              this->Hooks.HasEnded) {}

void MachineOrders::load() {
  this->Shared.Store.Range(
      keys::MachineOrders, "", store::ReadKind::Current,
      onLoop<MachineOrders, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](MachineOrders &Self, store::StoreResult<store::StorePage> Answer) {
            Self.handleRecord(std::move(Answer));
          }));
}

void MachineOrders::handleRecord(store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(RetryDelay),
                [](MachineOrders &Owner) { Owner.load(); });
    return;
  }
  for (const store::StoreItem &Item : Answer.value().Items) {
    this->readRecord(Item);
    this->Holders.readRelease(Item);
  }
  this->IsLoaded = true;
  if (!this->Holders.isEnabled())
    return;
  this->NeedsWrite = true;
  this->requestWrite();
  if (!this->mustWait())
    return;
  logEvent(LogLevel::Info, "machine-orders-waiting",
           {{"cause", "an earlier holder may go on without the store"}});
  this->readReleasesLater();
}

void MachineOrders::readReleasesLater() {
  if (this->IsStopped)
    return;
  if (!this->mustWait()) {
    logEvent(LogLevel::Info, "machine-orders-resumed", {});
    // The record still names the earlier holder.
    this->NeedsWrite = true;
    this->requestWrite();
    return;
  }
  scheduleFor(
      this->Shared.Loop, this->shared_from_this(),
      this->Shared.now() + GraceCheckInterval, [](MachineOrders &Owner) {
        Owner.Shared.Store.Range(
            keys::MachineReleases, "", store::ReadKind::Current,
            onLoop<MachineOrders, store::StoreResult<store::StorePage>>(
                Owner.Shared.Loop, Owner.shared_from_this(),
                [](MachineOrders &Self,
                   const store::StoreResult<store::StorePage> &Answer) {
                  if (Answer)
                    for (const store::StoreItem &Item : Answer.value().Items)
                      Self.Holders.readRelease(Item);
                  Self.readReleasesLater();
                }));
      });
}

void MachineOrders::stop() {
  if (std::exchange(this->IsStopped, true) || !this->Holders.isEnabled())
    return;
  this->scheduleRelease(
      std::max(this->Shared.now(), this->LastUnrecorded + MinHolderInterval));
}

void MachineOrders::sendUnrecorded() {
  const TimePoint Now = this->Shared.now();
  for (const PendingOrder &Each : std::exchange(this->PendingOrders, {})) {
    if (!this->mayOrderInGrace()) {
      Each.GiveUp();
      continue;
    }
    this->noteOrder(Each, Now);
    this->LastUnrecorded = Now;
    this->NeedsWrite = true;
    Each.Send();
  }
  this->recordLater();
}

void MachineOrders::recordLater() {
  if (std::exchange(this->IsRecordScheduled, true))
    return;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + GraceCheckInterval,
              [](MachineOrders &Owner) {
                Owner.IsRecordScheduled = false;
                Owner.write();
              });
}

void MachineOrders::scheduleRelease(TimePoint At) {
  scheduleFor(
      this->Shared.Loop, this->shared_from_this(), At, [](MachineOrders &Self) {
        Self.Shared.Store.Commit(
            Self.Holders.release(),
            onLoop<MachineOrders, store::StoreResult<store::CommitAnswer>>(
                Self.Shared.Loop, Self.shared_from_this(),
                [](MachineOrders &Owner,
                   const store::StoreResult<store::CommitAnswer> &Answer) {
                  if (!Answer)
                    Owner.scheduleRelease(Owner.Shared.now() +
                                          GraceCheckInterval);
                }));
      });
}

void MachineOrders::readRecord(const store::StoreItem &Item) {
  if (Item.Key != keys::MachineOrders)
    return;
  this->RecordRevision = Item.Revision;
  try {
    const value Rows = value::parse(Item.Value);
    for (const value &Row : Rows.as_array()) {
      if (MachineHolders::isHolderRow(Row)) {
        this->Holders.readRow(Row);
        continue;
      }
      RecordedOrder Order;
      Order.OrderedBy = {EntryName(Row.at("vm").as_string()),
                         Row.at("process").as_number().to_uint64()};
      Order.Revision = Row.at("revision").as_number().to_uint64();
      if (Order.Revision == 0)
        Order.Revision = Item.Revision;
      Order.HeldUntil =
          this->Hooks.WrittenBy(Order.Revision) + HolderChangeDelay;
      Order.KeptUntil = Order.HeldUntil;
      if (Row.has_field("wave"))
        Order.Wave = Row.at("wave").as_number().to_uint64();
      this->RecentOrders[jobs::MachineName(Row.at("machine").as_string())] =
          Order;
    }
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "machine-orders-unreadable",
             {{"cause", Error.what()}});
    this->AllHeldUntil = this->Shared.now() + HolderChangeDelay;
    this->Holders.assumeUnknownHolder();
  }
}

bool MachineOrders::isHeld(const jobs::MachineName &Machine) const {
  const TimePoint Now = this->Shared.now();
  if (!this->IsLoaded || Now < this->AllHeldUntil || this->mustWait())
    return true;
  const auto Found = this->RecentOrders.find(Machine);
  return Found != this->RecentOrders.end() && Now < Found->second.HeldUntil &&
         !this->Hooks.HasEnded(Found->second.OrderedBy);
}

std::set<jobs::MachineName> MachineOrders::heldFor(uint64_t Wave) const {
  std::set<jobs::MachineName> Names;
  for (const auto &[Name, Order] : this->RecentOrders)
    if (Order.Wave == Wave && this->isHeld(Name))
      Names.insert(Name);
  return Names;
}

void MachineOrders::noteOrder(const PendingOrder &Given, TimePoint Now) {
  RecordedOrder Order;
  Order.OrderedBy = this->Self;
  Order.KeptUntil = Now + RecordRetention;
  Order.Wave = Given.Wave;
  this->RecentOrders[Given.Machine] = Order;
}

void MachineOrders::recordAndSend(const jobs::MachineName &Machine,
                                  TimePoint SendBy, std::function<void()> Send,
                                  std::function<void()> GiveUp,
                                  std::optional<uint64_t> Wave) {
  this->PendingOrders.push_back(
      {Machine, SendBy, std::move(Send), std::move(GiveUp), Wave});
  if (this->isInGrace())
    this->sendUnrecorded();
  else
    this->requestWrite();
}

void MachineOrders::requestWrite() {
  if (this->IsWriteRequested || this->IsWriting)
    return;
  this->IsWriteRequested = true;
  // Orders that are decided together are recorded in one write.
  this->Shared.Loop.post([Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->write();
  });
}

/// Gives up the orders that could not be recorded in time.
void MachineOrders::dropOutdated() {
  const auto IsOutdated = [Now = this->Shared.now()](const PendingOrder &Each) {
    return Now > Each.SendBy;
  };
  const auto Outdated = std::stable_partition(
      this->PendingOrders.begin(), this->PendingOrders.end(),
      [&](const PendingOrder &Each) { return !IsOutdated(Each); });
  std::vector<PendingOrder> Dropped(
      std::make_move_iterator(Outdated),
      std::make_move_iterator(this->PendingOrders.end()));
  this->PendingOrders.erase(Outdated, this->PendingOrders.end());
  for (const PendingOrder &Each : Dropped) {
    logEvent(LogLevel::Warning, "machine-order-dropped",
             {{"machine", Each.Machine}, {"cause", "not recorded in time"}});
    Each.GiveUp();
  }
}

void MachineOrders::write() {
  this->IsWriteRequested = false;
  this->dropOutdated();
  if (this->IsStopped || this->IsWriting ||
      (this->PendingOrders.empty() && !this->NeedsWrite))
    return;
  if (this->isInGrace()) {
    this->sendUnrecorded();
    return;
  }
  const TimePoint Now = this->Shared.now();
  std::erase_if(this->RecentOrders, [Now](const auto &Entry) {
    return Entry.second.KeptUntil <= Now;
  });
  this->OrdersInWrite = std::exchange(this->PendingOrders, {});
  for (const PendingOrder &Each : this->OrdersInWrite)
    this->noteOrder(Each, Now);
  value Rows = value::array();
  size_t Next = 0;
  for (const value &Holder : this->Holders.rows())
    Rows[Next++] = Holder;
  for (const auto &[Name, Order] : this->RecentOrders) {
    Rows[Next]["machine"] = value::string(Name.text());
    Rows[Next]["vm"] = value::string(Order.OrderedBy.Vm.text());
    Rows[Next]["process"] = value::number(Order.OrderedBy.Incarnation);
    if (Order.Wave)
      Rows[Next]["wave"] = value::number(*Order.Wave);
    Rows[Next++]["revision"] = value::number(Order.Revision);
  }
  store::StoreTransaction Change;
  Change.Expect = {this->Claim, {keys::MachineOrders, this->RecordRevision}};
  Change.Puts = {{keys::MachineOrders, Rows.serialize(), 0}};
  this->IsWriting = true;
  this->IsWriteOfNeeded = std::exchange(this->NeedsWrite, false);
  this->Shared.Store.Commit(
      Change, onLoop<MachineOrders, store::StoreResult<store::CommitAnswer>>(
                  this->Shared.Loop, this->shared_from_this(),
                  [](MachineOrders &Self,
                     const store::StoreResult<store::CommitAnswer> &Answer) {
                    Self.handleWriteResult(Answer);
                  }));
}

void MachineOrders::handleWriteResult(
    const store::StoreResult<store::CommitAnswer> &Answer) {
  this->IsWriting = false;
  if (this->IsStopped)
    return;
  const bool IsConflict =
      Answer && !Answer.value().IsCommitted &&
      store::revisionOf(Answer.value().Current, this->Claim.Key) ==
          this->Claim.Revision;
  // An earlier copy of a write took effect after its time-out.
  if (IsConflict)
    this->RecordRevision =
        store::revisionOf(Answer.value().Current, keys::MachineOrders);
  if (!Answer || IsConflict) {
    this->NeedsWrite = this->NeedsWrite || this->IsWriteOfNeeded;
    this->PendingOrders.insert(this->PendingOrders.begin(),
                               this->OrdersInWrite.begin(),
                               this->OrdersInWrite.end());
    this->OrdersInWrite.clear();
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(RetryDelay),
                [](MachineOrders &Owner) { Owner.write(); });
    return;
  }
  const std::vector<PendingOrder> Written =
      std::exchange(this->OrdersInWrite, {});
  if (!Answer.value().IsCommitted) {
    this->Hooks.OnLost("another process holds the claim");
    return;
  }
  this->RecordRevision = Answer.value().Revision;
  this->IsHolderRecorded = this->Holders.isEnabled();
  const TimePoint Now = this->Shared.now();
  for (const PendingOrder &Each : Written) {
    this->RecentOrders[Each.Machine].Revision = Answer.value().Revision;
    if (Now <= Each.SendBy)
      Each.Send();
    else
      this->PendingOrders.push_back(Each);
  }
  this->write();
}

} // namespace whintack::dispatch::Internal
