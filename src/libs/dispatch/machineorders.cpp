#include "machineorders.h"

#include "storekeys.h"

#include <algorithm>
#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

/// How long after an order was written down a successor leaves the machine
/// alone: the platform does not accept that holders take turns within 3 s, and
/// the order goes out within a second.
static constexpr Duration HolderDistance = std::chrono::milliseconds(4300);
/// How long a machine stays in the record: longer than HolderDistance and the
/// time until a lost claim is taken over.
static constexpr Duration RecordTime = std::chrono::seconds(8);
static constexpr Duration Retry = std::chrono::milliseconds(150);

MachineOrders::MachineOrders(Context Shared, OrderingProcess Self,
                             store::ExpectedRevision Claim,
                             MachineOrdersHooks Hooks)
    : Shared(std::move(Shared)), Self(std::move(Self)), Claim(std::move(Claim)),
      Hooks(std::move(Hooks)) {}

void MachineOrders::load() {
  this->Shared.Store.Range(
      keys::MachineOrders, "", store::ReadKind::Current,
      onLoop<MachineOrders, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](MachineOrders &Self, store::StoreResult<store::StorePage> Answer) {
            Self.takeRecord(std::move(Answer));
          }));
}

void MachineOrders::takeRecord(store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(Retry),
                [](MachineOrders &Again) { Again.load(); });
    return;
  }
  for (const store::StoreItem &Item : Answer.value().Items)
    this->readRecord(Item);
  this->IsLoaded = true;
}

void MachineOrders::readRecord(const store::StoreItem &Item) {
  try {
    const value Rows = value::parse(Item.Value);
    for (const value &Row : Rows.as_array()) {
      Noted Order;
      Order.By = {EntryName(Row.at("vm").as_string()),
                  Row.at("process").as_number().to_uint64()};
      Order.Revision = Row.at("revision").as_number().to_uint64();
      if (Order.Revision == 0)
        Order.Revision = Item.Revision;
      Order.HeldUntil = this->Hooks.WrittenBy(Order.Revision) + HolderDistance;
      Order.KeptUntil = Order.HeldUntil;
      this->Recent[jobs::MachineName(Row.at("machine").as_string())] = Order;
    }
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "machine-orders-unreadable",
             {{"cause", Error.what()}});
    this->AllHeldUntil = this->Shared.now() + HolderDistance;
  }
}

bool MachineOrders::isHeld(const jobs::MachineName &Machine) const {
  const TimePoint Now = this->Shared.now();
  if (!this->IsLoaded || Now < this->AllHeldUntil)
    return true;
  const auto Found = this->Recent.find(Machine);
  return Found != this->Recent.end() && Now < Found->second.HeldUntil &&
         !this->Hooks.HasEnded(Found->second.By);
}

void MachineOrders::announce(const jobs::MachineName &Machine, TimePoint SendBy,
                             std::function<void()> Send,
                             std::function<void()> GiveUp) {
  this->Waiting.push_back(
      {Machine, SendBy, std::move(Send), std::move(GiveUp)});
  if (this->IsWriteRequested || !this->Writing.empty())
    return;
  this->IsWriteRequested = true;
  // Orders that are decided together are written together.
  this->Shared.Loop.post([Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->write();
  });
}

/// Gives up the orders that could not be written down in time.
void MachineOrders::dropOutdated() {
  const auto IsOutdated = [Now = this->Shared.now()](const Announced &Each) {
    return Now > Each.SendBy;
  };
  const auto Outdated = std::stable_partition(
      this->Waiting.begin(), this->Waiting.end(),
      [&](const Announced &Each) { return !IsOutdated(Each); });
  std::vector<Announced> Dropped(std::make_move_iterator(Outdated),
                                 std::make_move_iterator(this->Waiting.end()));
  this->Waiting.erase(Outdated, this->Waiting.end());
  for (const Announced &Each : Dropped) {
    logEvent(LogLevel::Warning, "machine-order-dropped",
             {{"machine", Each.Machine}, {"cause", "not written in time"}});
    Each.GiveUp();
  }
}

void MachineOrders::write() {
  this->IsWriteRequested = false;
  this->dropOutdated();
  if (this->IsStopped || this->Waiting.empty())
    return;
  const TimePoint Now = this->Shared.now();
  std::erase_if(this->Recent, [Now](const auto &Entry) {
    return Entry.second.KeptUntil <= Now;
  });
  this->Writing = std::exchange(this->Waiting, {});
  for (const Announced &Each : this->Writing)
    this->Recent[Each.Machine] = {this->Self, Now + RecordTime};
  value Rows = value::array();
  size_t Next = 0;
  for (const auto &[Name, Order] : this->Recent) {
    Rows[Next]["machine"] = value::string(Name.text());
    Rows[Next]["vm"] = value::string(Order.By.Vm.text());
    Rows[Next]["process"] = value::number(Order.By.Incarnation);
    Rows[Next++]["revision"] = value::number(Order.Revision);
  }
  store::StoreTransaction Change;
  Change.Expect = {this->Claim};
  Change.Puts = {{keys::MachineOrders, Rows.serialize(), 0}};
  this->Shared.Store.Commit(
      Change, onLoop<MachineOrders, store::StoreResult<store::CommitAnswer>>(
                  this->Shared.Loop, this->shared_from_this(),
                  [](MachineOrders &Self,
                     const store::StoreResult<store::CommitAnswer> &Answer) {
                    Self.takeWritten(Answer);
                  }));
}

void MachineOrders::takeWritten(
    const store::StoreResult<store::CommitAnswer> &Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    this->Waiting.insert(this->Waiting.begin(), this->Writing.begin(),
                         this->Writing.end());
    this->Writing.clear();
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(Retry),
                [](MachineOrders &Again) { Again.write(); });
    return;
  }
  const std::vector<Announced> Written = std::exchange(this->Writing, {});
  if (!Answer.value().IsCommitted) {
    this->Hooks.OnLost("another holds the claim");
    return;
  }
  const TimePoint Now = this->Shared.now();
  for (const Announced &Each : Written) {
    this->Recent[Each.Machine].Revision = Answer.value().Revision;
    if (Now <= Each.SendBy)
      Each.Send();
    else
      this->Waiting.push_back(Each);
  }
  this->write();
}

} // namespace whintack::dispatch::Internal
