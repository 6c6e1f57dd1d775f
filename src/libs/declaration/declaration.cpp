#include "whintack/declaration/declaration.h"

#include "itemreader.h"

namespace whintack::declaration {

const Service *Declaration::service(const ServiceName &Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

const Pool *Declaration::pool(const PoolName &Name) const {
  const auto Found = this->Pools.find(Name);
  return Found == this->Pools.end() ? nullptr : &Found->second;
}

const Preset *Declaration::preset(const PresetName &Name) const {
  const auto Found = this->Presets.find(Name);
  return Found == this->Presets.end() ? nullptr : &Found->second;
}

/// Reads all items of the sequence at \p Key into \p Items. Reports an error
/// for a name that occurs more than once.
template <typename Item, typename Name>
static void readAll(document::FieldReader &Root, const std::string &Key,
                    Item (*ReadItem)(document::FieldReader &),
                    std::map<Name, Item> &Items) {
  Root.sequence(Key, [&Items, ReadItem](document::FieldReader &Reader) {
    const Item Read = ReadItem(Reader);
    if (!Items.emplace(Read.Name, Read).second)
      Reader.error("name", "'" + Read.Name.text() + "' stands twice");
  });
}

Result<Declaration, document::DocumentError>
parseDeclaration(const std::string &File, const std::string &Content) {
  Declaration Declared;
  const auto Read = [&Declared](document::FieldReader &Root) {
    Declared.FleetItem = Internal::readFleet(Root);
    readAll(Root, "teams", Internal::readTeam, Declared.Teams);
    readAll(Root, "pools", Internal::readPool, Declared.Pools);
    readAll(Root, "services", Internal::readService, Declared.Services);
    readAll(Root, "jobs", Internal::readJob, Declared.Jobs);
    readAll(Root, "presets", Internal::readPreset, Declared.Presets);
    Internal::checkReferences(Declared, Root);
  };
  auto Parsed = document::readDocument(File, Content, Read);
  if (!Parsed)
    return failure(std::move(Parsed).error());
  return Declared;
}

} // namespace whintack::declaration
