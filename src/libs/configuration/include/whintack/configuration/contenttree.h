#ifndef WHINTACK_CONFIGURATION_CONTENTTREE_H
#define WHINTACK_CONFIGURATION_CONTENTTREE_H

#include "whintack/configuration/contentcache.h"

namespace whintack::configuration {

/// Reference to a text that is split into parts found by digest. The boundaries
/// depend on the text around them only, so that two versions of a text share
/// all parts but those in which they differ. The digests of the parts are kept
/// in lists, which are contents like the parts, up to a single one.
struct ContentTree {
  /// Number of levels of lists above the parts.
  unsigned Depth = 0;
  /// Digest of the part or list at the top.
  std::string Root;

  bool operator==(const ContentTree &) const = default;
};

/// Splits \p Text and adds its parts and lists to \p Cache.
ContentTree addText(ContentCache &Cache, const std::string &Text);

/// What is known of a text.
struct AssembledText {
  /// The text; nothing if contents are missing.
  std::optional<std::string> Text;
  /// Digests of missing contents. Those of lower levels are known only when the
  /// levels above are complete.
  std::vector<std::string> Missing;
  /// Digests of all contents that were found.
  std::vector<std::string> Found;
  /// The tree is malformed, so that no content can complete it.
  bool IsMalformed = false;
};

/// Assembles the text of \p Tree from \p Cache.
AssembledText assembleText(const ContentCache &Cache, const ContentTree &Tree);

} // namespace whintack::configuration

#endif // WHINTACK_CONFIGURATION_CONTENTTREE_H
