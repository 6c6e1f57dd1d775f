#include "machineorders.h"

#include "storekeys.h"

#include <algorithm>
#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

/// How long a successor leaves a machine alone: the platform does not accept
/// that holders take turns within 3 s, and the last order takes up to a second.
static constexpr Duration HolderDistance = std::chrono::milliseconds(4300);
/// How long a machine stays in the record: longer than HolderDistance and the
/// time until a lost claim is taken over.
static constexpr Duration RecordTime = std::chrono::seconds(8);
static constexpr Duration Retry = std::chrono::milliseconds(150);

MachineOrders::MachineOrders(
    Context Shared, store::ExpectedRevision Claim,
    std::function<void(const std::string &Cause)> OnLost)
    : Shared(std::move(Shared)), Claim(std::move(Claim)),
      OnLost(std::move(OnLost)) {}

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
  this->EarlierOver = this->Shared.now() + HolderDistance;
  for (const store::StoreItem &Item : Answer.value().Items) {
    try {
      const value Names = value::parse(Item.Value);
      for (const value &Name : Names.as_array())
        this->EarlierOrdered.insert(jobs::MachineName(Name.as_string()));
    } catch (const std::exception &Error) {
      logEvent(LogLevel::Error, "machine-orders-unreadable",
               {{"cause", Error.what()}});
    }
  }
  this->IsLoaded = true;
}

bool MachineOrders::isHeld(const jobs::MachineName &Machine) const {
  return !this->IsLoaded || (this->Shared.now() < this->EarlierOver &&
                             this->EarlierOrdered.contains(Machine));
}

void MachineOrders::announce(const jobs::MachineName &Machine,
                             TimePoint SendBy, std::function<void()> Send,
                             std::function<void()> GiveUp) {
  this->Waiting.push_back({Machine, SendBy, std::move(Send),
                           std::move(GiveUp)});
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
  std::erase_if(this->Recent,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  this->Writing = std::exchange(this->Waiting, {});
  for (const Announced &Each : this->Writing)
    this->Recent[Each.Machine] = Now + RecordTime;
  value Names = value::array();
  size_t Next = 0;
  for (const auto &[Name, Until] : this->Recent)
    Names[Next++] = value::string(Name.text());
  store::StoreTransaction Change;
  Change.Expect = {this->Claim};
  Change.Puts = {{keys::MachineOrders, Names.serialize(), 0}};
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
    this->OnLost("another holds the claim");
    return;
  }
  const TimePoint Now = this->Shared.now();
  for (const Announced &Each : Written) {
    if (Now <= Each.SendBy)
      Each.Send();
    else
      this->Waiting.push_back(Each);
  }
  this->write();
}

} // namespace whintack::dispatch::Internal
