#include "machineholders.h"

#include "storekeys.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

using web::json::value;

static value encodeHolder(const MachineHolder &Written) {
  value Row = value::object();
  Row["holder"] = value::string(Written.Process.Vm.text());
  Row["process"] = value::number(Written.Process.Incarnation);
  Row["token"] = value::number(Written.Token);
  return Row;
}

static MachineHolder decodeHolder(const value &Row) {
  return {{EntryName(Row.at("holder").as_string()),
           Row.at("process").as_number().to_uint64()},
          Row.at("token").as_number().to_uint64()};
}

MachineHolders::MachineHolders(
    Context Shared, MachineHolder Self, HolderGrace Setup,
    std::function<bool(const OrderingProcess &)> HasEnded)
    : Shared(std::move(Shared)), Self(std::move(Self)), Setup(Setup),
      HasEnded(std::move(HasEnded)) {}

bool MachineHolders::isHolderRow(const value &Row) {
  return Row.has_field("holder");
}

void MachineHolders::readRow(const value &Row) {
  const MachineHolder Read = decodeHolder(Row);
  if (this->isEnabled() && Read.Process != this->Self.Process)
    this->EarlierHolders.push_back(Read);
}

void MachineHolders::readRelease(const store::StoreItem &Item) {
  if (!Item.Key.starts_with(keys::MachineReleases))
    return;
  try {
    const MachineHolder Read = decodeHolder(value::parse(Item.Value));
    this->Releases[Read.Process.Vm] = Read;
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "machine-release-unreadable",
             {{"key", Item.Key}, {"cause", Error.what()}});
  }
}

bool MachineHolders::mayOrder(const MachineHolder &Earlier) const {
  const auto Found = this->Releases.find(Earlier.Process.Vm);
  const bool HasReleased = Found != this->Releases.end() &&
                           Found->second.Process == Earlier.Process &&
                           Found->second.Token >= Earlier.Token;
  return !HasReleased && !this->HasEnded(Earlier.Process);
}

bool MachineHolders::mustWait() const {
  // If the store ended the lease early, the last order of an earlier holder may
  // be sent as late as a lease and the grace after this claim.
  const TimePoint WaitUntil = this->Setup.ClaimedAt + this->Setup.LeaseLength +
                              this->Setup.Grace + MinHolderInterval;
  if (!this->isEnabled() || this->Shared.now() >= WaitUntil)
    return false;
  return this->IsHolderUnknown ||
         std::any_of(this->EarlierHolders.begin(), this->EarlierHolders.end(),
                     [this](const MachineHolder &Each) {
                       return this->mayOrder(Each);
                     });
}

std::vector<value> MachineHolders::rows() const {
  std::vector<value> Rows;
  if (!this->isEnabled())
    return Rows;
  Rows.push_back(encodeHolder(this->Self));
  if (this->mustWait())
    for (const MachineHolder &Each : this->EarlierHolders)
      if (this->mayOrder(Each))
        Rows.push_back(encodeHolder(Each));
  return Rows;
}

store::StoreTransaction MachineHolders::release() const {
  store::StoreTransaction Change;
  Change.Puts = {{keys::MachineReleases + this->Self.Process.Vm.text(),
                  encodeHolder(this->Self).serialize(), 0}};
  Change.IsRepeatable = true;
  return Change;
}

} // namespace whintack::dispatch::Internal
