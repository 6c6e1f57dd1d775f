#include "fleetcore.h"

#include "whintack/base/digest.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Number of VMs of a data centre that read the operator's items from the
/// store; the second one is there for when the first is lost.
static constexpr size_t ReadersPerDataCentre = 2;
/// Wait of one watch call for the operator's items. While none change, they are
/// known through up to two waits ago. An overdue call is repeated on another
/// path 0.3 s later, and a configuration must be in force within 2 s.
static constexpr Duration OperatorWait = std::chrono::milliseconds(600);

void FleetCore::openOperatorItems() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->OperatorItems = std::make_shared<PrefixWatch>(
      this->Shared, this->Connections.Codec.OperatorPrefix,
      [Weak](const ItemMap &Items, const std::set<std::string> &) {
        const auto Alive = Weak.lock();
        if (!Alive)
          return;
        Alive->handleOperatorItems(Items);
        Alive->Feed->noteReport(true);
      });
  this->OperatorItems->setCallWait(OperatorWait);
  this->OperatorItems->readInBulk();
  this->OperatorItems->onReport([Weak] {
    if (const auto Alive = Weak.lock())
      Alive->Feed->noteReport(false);
  });
  ItemFeedHooks Hooks;
  Hooks.Send = this->Transport.Send;
  Hooks.Sources = [Weak] {
    const auto Alive = Weak.lock();
    return Alive ? Alive->ItemSources : std::vector<EntryName>();
  };
  Hooks.IsReader = [Weak] {
    const auto Alive = Weak.lock();
    return !Alive || Alive->IsItemReader;
  };
  this->Feed =
      std::make_shared<ItemFeed>(this->Shared, this->Self.Incarnation,
                                 this->OperatorItems, std::move(Hooks));
}

void FleetCore::handleItemMessage(const EntryName &From,
                                  const peers::Message &Received) {
  if (const auto *Request = std::get_if<peers::ItemsRequest>(&Received))
    this->Feed->handle(From, *Request);
  else if (const auto *Answer = std::get_if<peers::ItemsAnswer>(&Received))
    this->Feed->handle(From, *Answer);
  else if (const auto *Wanted = std::get_if<peers::ContentRequest>(&Received))
    this->Feed->handle(From, *Wanted);
  else if (const auto *Sent = std::get_if<peers::ContentAnswer>(&Received))
    this->Feed->handle(From, *Sent);
}

/// Whether the answer to a call for the operator's items may fill a slow link.
/// Such items come from peers when the store does not answer.
bool FleetCore::isBulkCall(const store::StoreCall &Call) const {
  return Call.Prefix == this->Connections.Codec.OperatorPrefix &&
         this->OperatorItems->isLarge();
}

/// Chooses which VMs of the data centre read the operator's items from the
/// store, those with the widest links first, and whom this VM asks for them.
void FleetCore::updateItemSources() {
  struct Candidate {
    double Bandwidth = 0;
    EntryName Name;
  };
  const std::vector<EntryName> Usable = this->usablePeers();
  std::vector<Candidate> Near;
  std::vector<EntryName> Far;
  for (const Member &Each : this->Members->all()) {
    const EntryName &Name = Each.Endpoint.Name;
    const bool IsSelf = Name == this->Self.Name;
    const bool IsLinked =
        std::find(Usable.begin(), Usable.end(), Name) != Usable.end();
    if (!Each.Bandwidth || !(IsSelf || IsLinked))
      continue;
    if (Each.Endpoint.DataCentre == this->Self.DataCentre)
      Near.push_back({*Each.Bandwidth, Name});
    else
      Far.push_back(Name);
  }
  std::sort(Near.begin(), Near.end(),
            [](const Candidate &First, const Candidate &Second) {
              return First.Bandwidth != Second.Bandwidth
                         ? First.Bandwidth > Second.Bandwidth
                         : First.Name < Second.Name;
            });
  std::vector<EntryName> Readers;
  std::vector<EntryName> Others;
  this->IsItemReader = false;
  for (size_t Rank = 0; Rank < Near.size(); ++Rank) {
    const bool IsReader = Rank < ReadersPerDataCentre;
    if (Near[Rank].Name == this->Self.Name)
      this->IsItemReader = IsReader;
    else
      (IsReader ? Readers : Others).push_back(std::move(Near[Rank].Name));
  }
  // The VMs of a data centre are spread over its readers, and over the other
  // VMs when these fail.
  const auto SpreadOver = [this](std::vector<EntryName> &Names) {
    if (!Names.empty())
      std::rotate(Names.begin(),
                  Names.begin() +
                      static_cast<ptrdiff_t>(
                          stableHash(this->Self.Name.text()) % Names.size()),
                  Names.end());
  };
  for (std::vector<EntryName> *Names : {&Readers, &Far, &Others})
    SpreadOver(*Names);
  this->ItemSources = std::move(Readers);
  for (const std::vector<EntryName> *Names : {&Far, &Others})
    this->ItemSources.insert(this->ItemSources.end(), Names->begin(),
                             Names->end());
}

} // namespace whintack::dispatch::Internal
