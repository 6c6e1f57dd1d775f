#ifndef WHINTACK_CONFIGURATION_CONTENTCACHE_H
#define WHINTACK_CONFIGURATION_CONTENTCACHE_H

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace whintack::configuration {

/// Fetches contents by digest. Returns one text for each digest; the text is
/// empty if it could not be fetched.
using ContentSource = std::function<std::vector<std::string>(
    const std::vector<std::string> &Digests)>;

/// Cache of contents by digest. A content is only added if it matches its
/// digest. Thread-safe.
class ContentCache {
public:
  /// Returns the content with \p Digest, or nothing if it is not cached.
  std::optional<std::string> find(const std::string &Digest) const;
  /// Adds \p Content. Returns false if it does not match \p Digest.
  bool add(const std::string &Digest, const std::string &Content);
  /// Removes all contents except those with the digests \p Kept.
  void keepOnly(const std::set<std::string> &Kept);

  /// Fetches those of \p Digests that are not cached, trying the sources in
  /// order. Returns the digests that could not be fetched.
  std::vector<std::string> fetch(const std::vector<std::string> &Digests,
                                 const std::vector<ContentSource> &Sources);

private:
  mutable std::mutex Mutex;
  std::unordered_map<std::string, std::string> Contents;
};

} // namespace whintack::configuration

#endif // WHINTACK_CONFIGURATION_CONTENTCACHE_H
