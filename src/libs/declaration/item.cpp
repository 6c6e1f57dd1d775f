#include "whintack/declaration/item.h"

#include "itemreader.h"

namespace whintack::declaration {

std::string ItemKey::text() const {
  return std::string(nameOf(ItemKindNames, this->Kind)) + "/" + this->Name;
}

std::optional<ItemKey> parseItemKey(const std::string &Text) {
  const size_t Slash = Text.find('/');
  if (Slash == std::string::npos)
    return std::nullopt;
  const auto Kind =
      valueOf(ItemKindNames, std::string_view(Text).substr(0, Slash));
  if (!Kind)
    return std::nullopt;
  return ItemKey{*Kind, Text.substr(Slash + 1)};
}

static void beginMapping(YAML::Emitter &Out) {
  Out.SetMapFormat(YAML::Flow);
  Out.SetSeqFormat(YAML::Flow);
  Out.SetStringFormat(YAML::DoubleQuoted);
  Out << YAML::BeginMap;
}

static std::string endMapping(YAML::Emitter &Out) {
  Out << YAML::EndMap;
  return Out.c_str();
}

static void writeResources(YAML::Emitter &Out, const Resources &Amount) {
  Out << YAML::BeginMap;
  Out << YAML::Key << "cores" << YAML::Value
      << Amount.MilliCores / MilliCoresPerCore;
  Out << YAML::Key << "milli-cores" << YAML::Value
      << Amount.MilliCores % MilliCoresPerCore;
  Out << YAML::Key << "memory-gb" << YAML::Value
      << Amount.MemoryMb / MegabytesPerGigabyte;
  Out << YAML::Key << "memory-mb" << YAML::Value
      << Amount.MemoryMb % MegabytesPerGigabyte;
  Out << YAML::Key << "accelerators" << YAML::Value << Amount.Accelerators;
  Out << YAML::EndMap;
}

static std::string serialize(const Fleet &Item) {
  YAML::Emitter Out;
  beginMapping(Out);
  Out << YAML::Key << "fleet" << YAML::Value << Item.Name;
  Out << YAML::Key << "weights" << YAML::Value << YAML::BeginMap;
  Out << YAML::Key << "buffer-cost" << YAML::Value << Item.Cost.BufferCost;
  Out << YAML::Key << "moves" << YAML::Value << Item.Cost.Moves;
  Out << YAML::EndMap;
  Out << YAML::Key << "data-centres" << YAML::Value << YAML::BeginSeq;
  for (const DataCentreName &Name : Item.DataCentres)
    Out << Name.text();
  Out << YAML::EndSeq;
  return endMapping(Out);
}

static std::string serialize(const Team &Item) {
  YAML::Emitter Out;
  beginMapping(Out);
  Out << YAML::Key << "name" << YAML::Value << Item.Name.text();
  Out << YAML::Key << "quota" << YAML::Value;
  writeResources(Out, Item.Quota);
  return endMapping(Out);
}

static void writeDuration(YAML::Emitter &Out, const char *Key,
                          Duration Length) {
  Out << YAML::Key << Key << YAML::Value << document::formatDuration(Length);
}

static std::string serialize(const Pool &Item) {
  YAML::Emitter Out;
  beginMapping(Out);
  Out << YAML::Key << "name" << YAML::Value << Item.Name.text();
  writeDuration(Out, "maintenance-every", Item.MaintenanceInterval);
  writeDuration(Out, "drain-timeout", Item.DrainTimeout);
  writeDuration(Out, "reboot-timeout", Item.RebootTimeout);
  Out << YAML::Key << "wave-percent" << YAML::Value << Item.WavePercent;
  return endMapping(Out);
}

static std::string serialize(const Service &Item) {
  YAML::Emitter Out;
  beginMapping(Out);
  Out << YAML::Key << "name" << YAML::Value << Item.Name.text();
  Out << YAML::Key << "pool" << YAML::Value << Item.HostPool.text();
  Out << YAML::Key << "budget-percent" << YAML::Value << Item.BudgetPercent;
  Out << YAML::Key << "slots" << YAML::Value << Item.Slots;
  Out << YAML::Key << "connections" << YAML::Value << Item.Connections;
  writeDuration(Out, "max-duration", Item.MaxDuration);
  writeDuration(Out, "default-duration", Item.DefaultDuration);
  Out << YAML::Key << "queue" << YAML::Value << Item.QueueLength;
  Out << YAML::Key << "retry-percent" << YAML::Value << Item.RetryPercent;
  return endMapping(Out);
}

static std::string serialize(const Job &Item) {
  YAML::Emitter Out;
  beginMapping(Out);
  Out << YAML::Key << "name" << YAML::Value << Item.Name.text();
  Out << YAML::Key << "team" << YAML::Value << Item.Owner.text();
  Out << YAML::Key << "pool" << YAML::Value << Item.HostPool.text();
  Out << YAML::Key << "tasks" << YAML::Value << Item.Tasks;
  Out << YAML::Key << "size" << YAML::Value;
  writeResources(Out, Item.Size);
  writeDuration(Out, "run-time", Item.RunTime);
  Out << YAML::Key << "priority" << YAML::Value
      << std::string(nameOf(PriorityNames, Item.PriorityLevel));
  Out << YAML::Key << "idempotent" << YAML::Value << Item.IsIdempotent;
  Out << YAML::Key << "checkpoint" << YAML::Value << Item.IsCheckpointable;
  return endMapping(Out);
}

static std::string serialize(const Preset &Item) {
  YAML::Emitter Out;
  beginMapping(Out);
  Out << YAML::Key << "name" << YAML::Value << Item.Name.text();
  Out << YAML::Key << "vms" << YAML::Value << YAML::BeginMap;
  for (const auto &[Name, Count] : Item.Vms)
    Out << YAML::Key << Name.text() << YAML::Value << Count;
  Out << YAML::EndMap;
  Out << YAML::Key << "waves" << YAML::Value << Item.AllowsWaves;
  return endMapping(Out);
}

template <typename Name, typename Item>
static void addItems(ItemTexts &Texts, ItemKind Kind,
                     const std::map<Name, Item> &Items) {
  for (const auto &[Key, One] : Items)
    Texts.emplace(ItemKey{Kind, Key.text()}, serialize(One));
}

ItemTexts toItems(const Declaration &Declared) {
  ItemTexts Texts;
  Texts.emplace(ItemKey{ItemKind::Fleet, "fleet"},
                serialize(Declared.FleetItem));
  addItems(Texts, ItemKind::Team, Declared.Teams);
  addItems(Texts, ItemKind::Pool, Declared.Pools);
  addItems(Texts, ItemKind::Service, Declared.Services);
  addItems(Texts, ItemKind::Job, Declared.Jobs);
  addItems(Texts, ItemKind::Preset, Declared.Presets);
  return Texts;
}

/// Reads the item \p Key and adds it to \p Declared or replaces it there.
static void readItem(const ItemKey &Key, document::FieldReader &Reader,
                     Declaration &Declared) {
  switch (Key.Kind) {
  case ItemKind::Fleet:
    Declared.FleetItem = Internal::readFleet(Reader);
    return;
  case ItemKind::Team:
    Declared.Teams[TeamName(Key.Name)] = Internal::readTeam(Reader);
    return;
  case ItemKind::Pool:
    Declared.Pools[PoolName(Key.Name)] = Internal::readPool(Reader);
    return;
  case ItemKind::Service:
    Declared.Services[ServiceName(Key.Name)] = Internal::readService(Reader);
    return;
  case ItemKind::Job:
    Declared.Jobs[JobName(Key.Name)] = Internal::readJob(Reader);
    return;
  case ItemKind::Preset:
    Declared.Presets[PresetName(Key.Name)] = Internal::readPreset(Reader);
    return;
  }
}

/// Removes the item \p Key from \p Declared.
static void removeItem(const ItemKey &Key, Declaration &Declared) {
  switch (Key.Kind) {
  case ItemKind::Fleet:
    Declared.FleetItem = Fleet();
    return;
  case ItemKind::Team:
    Declared.Teams.erase(TeamName(Key.Name));
    return;
  case ItemKind::Pool:
    Declared.Pools.erase(PoolName(Key.Name));
    return;
  case ItemKind::Service:
    Declared.Services.erase(ServiceName(Key.Name));
    return;
  case ItemKind::Job:
    Declared.Jobs.erase(JobName(Key.Name));
    return;
  case ItemKind::Preset:
    Declared.Presets.erase(PresetName(Key.Name));
    return;
  }
}

Result<Declaration, document::DocumentError>
withUpdates(const Declaration &Base, const ItemUpdates &Updates) {
  Declaration Declared = Base;
  for (const auto &Update : Updates) {
    const ItemKey &Key = Update.first;
    const std::string &Text = Update.second;
    if (Text.empty()) {
      removeItem(Key, Declared);
      continue;
    }
    auto Read = document::readDocument(
        Key.text(), Text, [&Key, &Declared](document::FieldReader &Reader) {
          readItem(Key, Reader, Declared);
        });
    if (!Read)
      return failure(std::move(Read).error());
  }
  document::ErrorList Errors("declaration");
  document::FieldReader Root(YAML::Node(YAML::NodeType::Map), "", Errors);
  Internal::checkReferences(Declared, Root);
  if (!Errors.isEmpty())
    return failure(Errors.take());
  return Declared;
}

Result<Declaration, document::DocumentError> fromItems(const ItemTexts &Items) {
  return withUpdates(Declaration(), Items);
}

std::vector<ItemChange> diffItems(const ItemTexts &Before,
                                  const ItemTexts &After) {
  std::vector<ItemChange> Changes;
  for (const auto &[Key, Text] : After) {
    const auto Old = Before.find(Key);
    if (Old == Before.end())
      Changes.push_back({Key, ChangeKind::Added, "", Text});
    else if (Old->second != Text)
      Changes.push_back({Key, ChangeKind::Changed, Old->second, Text});
  }
  for (const auto &[Key, Text] : Before)
    if (!After.contains(Key))
      Changes.push_back({Key, ChangeKind::Removed, Text, ""});
  return Changes;
}

} // namespace whintack::declaration
