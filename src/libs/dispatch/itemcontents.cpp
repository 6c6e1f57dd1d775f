#include "itemcontents.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

static const peers::ItemSummary *
findSummary(const std::vector<peers::ItemSummary> &Summaries,
            const store::StoreItem &Item) {
  const auto Found = std::find_if(Summaries.begin(), Summaries.end(),
                                  [&Item](const peers::ItemSummary &Each) {
                                    return Each.Key == Item.Key &&
                                           Each.Revision == Item.Revision;
                                  });
  return Found == Summaries.end() ? nullptr : &*Found;
}

void ItemContents::update(const ItemMap &Items,
                          const std::vector<peers::ItemSummary> &Known) {
  std::map<std::string, Entry> Updated;
  bool IsChanged = Items.size() != this->Entries.size();
  for (const auto &[Key, Item] : Items) {
    Entry &Each = Updated[Key];
    Each.Revision = Item.Revision;
    if (const configuration::ContentTree *Tree = this->findTree(Item)) {
      Each.Tree = *Tree;
      continue;
    }
    IsChanged = true;
    if (const peers::ItemSummary *Summary = findSummary(Known, Item))
      Each.Tree = {Summary->Depth, Summary->Root};
    else
      Each.Tree = configuration::addText(this->Cache, Item.Value);
  }
  this->Entries = std::move(Updated);
  if (!IsChanged)
    return;
  // Peers may still be fetching what has just been replaced.
  std::set<std::string> Used;
  for (const auto &[Key, Each] : this->Entries)
    for (std::string &Digest :
         configuration::assembleText(this->Cache, Each.Tree).Found)
      Used.insert(std::move(Digest));
  std::set<std::string> Kept = Used;
  Kept.merge(this->EarlierDigests);
  this->Cache.keepOnly(Kept);
  this->EarlierDigests = std::move(Used);
}

std::vector<peers::ItemSummary> ItemContents::summaries() const {
  std::vector<peers::ItemSummary> Summaries;
  for (const auto &[Key, Each] : this->Entries)
    Summaries.push_back({Key, Each.Revision, Each.Tree.Depth, Each.Tree.Root});
  return Summaries;
}

const configuration::ContentTree *
ItemContents::findTree(const store::StoreItem &Item) const {
  const auto Found = this->Entries.find(Item.Key);
  const bool IsSame =
      Found != this->Entries.end() && Found->second.Revision == Item.Revision;
  return IsSame ? &Found->second.Tree : nullptr;
}

} // namespace whintack::dispatch::Internal
