#ifndef WHINTACK_DECLARATION_ITEM_H
#define WHINTACK_DECLARATION_ITEM_H

#include "whintack/declaration/declaration.h"

#include <map>
#include <string>
#include <vector>

namespace whintack::declaration {

/// Kinds of items that a declaration is split into. Items are stored
/// separately, so that a change of one pool rewrites only that pool.
enum class ItemKind { Fleet, Team, Pool, Service, Job, Preset };

inline constexpr EnumNames<ItemKind, 6> ItemKindNames = {{
    {ItemKind::Fleet, "fleet"},
    {ItemKind::Team, "team"},
    {ItemKind::Pool, "pool"},
    {ItemKind::Service, "service"},
    {ItemKind::Job, "job"},
    {ItemKind::Preset, "preset"},
}};

/// Identifies one item of a declaration.
struct ItemKey {
  ItemKind Kind = ItemKind::Fleet;
  std::string Name;

  /// Returns "kind/name".
  std::string text() const;
  auto operator<=>(const ItemKey &) const = default;
  bool operator==(const ItemKey &) const = default;
};

/// Parses "kind/name". Returns nothing if \p Text has no slash or an unknown
/// kind.
std::optional<ItemKey> parseItemKey(const std::string &Text);

/// The items of a declaration, each serialized as canonical text.
using ItemTexts = std::map<ItemKey, std::string>;

/// Splits \p Declared into items. Equal items have equal texts.
ItemTexts toItems(const Declaration &Declared);

/// Rebuilds a declaration from \p Items and validates it.
Result<Declaration, document::DocumentError> fromItems(const ItemTexts &Items);

/// New texts of the items that differ between two declarations. An empty text
/// removes the item.
using ItemUpdates = std::map<ItemKey, std::string>;

/// Applies \p Updates to a copy of \p Base and validates the result. Only the
/// items in \p Updates are parsed, so parsing time depends on the size of the
/// change and not on the size of the declaration.
Result<Declaration, document::DocumentError>
withUpdates(const Declaration &Base, const ItemUpdates &Updates);

/// How an item differs between two declarations.
enum class ChangeKind { Added, Changed, Removed };

inline constexpr EnumNames<ChangeKind, 3> ChangeKindNames = {{
    {ChangeKind::Added, "added"},
    {ChangeKind::Changed, "changed"},
    {ChangeKind::Removed, "removed"},
}};

/// One difference between two declarations.
struct ItemChange {
  ItemKey Key;
  ChangeKind Kind = ChangeKind::Changed;
  std::string Before;
  std::string After;
};

/// Returns the changes that turn \p Before into \p After.
std::vector<ItemChange> diffItems(const ItemTexts &Before,
                                  const ItemTexts &After);

} // namespace whintack::declaration

#endif // WHINTACK_DECLARATION_ITEM_H
