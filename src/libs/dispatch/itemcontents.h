#ifndef WHINTACK_DISPATCH_ITEMCONTENTS_H
#define WHINTACK_DISPATCH_ITEMCONTENTS_H

#include "prefixwatch.h"

#include "whintack/configuration/contenttree.h"
#include "whintack/peers/message.h"

namespace whintack::dispatch::Internal {

/// The values of the operator's items as contents that entry VMs send each
/// other.
class ItemContents {
public:
  /// Splits the values of \p Items where they have changed, unless \p Known
  /// describes them, and forgets contents that neither these nor the items
  /// before them have.
  void update(const ItemMap &Items,
              const std::vector<peers::ItemSummary> &Known = {});
  /// Describes the items of the last update().
  std::vector<peers::ItemSummary> summaries() const;

  configuration::ContentCache &cache() { return this->Cache; }

private:
  struct Entry {
    uint64_t Revision = 0;
    configuration::ContentTree Tree;
  };

  /// Returns the tree of an item that the last update() had; null if it had
  /// another revision of the item, or none.
  const configuration::ContentTree *
  findTree(const store::StoreItem &Item) const;

  configuration::ContentCache Cache;
  std::map<std::string, Entry> Entries;
  /// Digests that the items before the last update() had.
  std::set<std::string> EarlierDigests;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_ITEMCONTENTS_H
