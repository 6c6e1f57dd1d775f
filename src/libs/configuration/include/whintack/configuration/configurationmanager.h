#ifndef WHINTACK_CONFIGURATION_CONFIGURATIONMANAGER_H
#define WHINTACK_CONFIGURATION_CONFIGURATIONMANAGER_H

#include "whintack/configuration/contentcache.h"
#include "whintack/configuration/head.h"

#include <memory>
#include <mutex>

namespace whintack::configuration {

/// A configuration: the head and the declaration that it refers to.
struct Configuration {
  Head Current;
  declaration::Declaration Declared;
  declaration::ItemTexts Items;
  /// The buckets of the head, to determine which items a new head changes.
  std::array<Bucket, BucketCount> Buckets;
};

/// Outcome of adopting a head.
enum class AdoptOutcome {
  /// The head is in force from now on.
  Adopted,
  /// A head with the same or a newer revision was already in force.
  NotNewer,
  /// Some contents of the head could not be fetched; to be tried again.
  Incomplete,
  /// The contents of the head are not a valid declaration.
  Invalid,
};

inline constexpr EnumNames<AdoptOutcome, 4> AdoptOutcomeNames = {{
    {AdoptOutcome::Adopted, "adopted"},
    {AdoptOutcome::NotNewer, "not-newer"},
    {AdoptOutcome::Incomplete, "incomplete"},
    {AdoptOutcome::Invalid, "invalid"},
}};

/// Holds the configuration that is in force in this process. A head that is not
/// newer than the present one is rejected whichever source it comes from, so
/// that an accepted change is never reverted. Thread-safe.
class ConfigurationManager {
public:
  /// Puts \p Proposed in force, if it is newer than the present head. Fetches
  /// the missing contents from \p Sources, which are tried in order.
  AdoptOutcome adopt(const Head &Proposed,
                     const std::vector<ContentSource> &Sources);

  /// The configuration in force; null before the first head.
  std::shared_ptr<const Configuration> current() const;
  /// Revision of the configuration in force; 0 before the first head.
  uint64_t revision() const;

  /// The cached contents, by digest.
  ContentCache &contents() { return this->Contents; }

private:
  /// Loads the contents of \p Proposed into \p Loaded, which is a copy of
  /// \p Base. Only the buckets that differ from those of \p Base are fetched.
  AdoptOutcome load(const Head &Proposed, const Configuration &Base,
                    const std::vector<ContentSource> &Sources,
                    Configuration &Loaded);
  void removeUnusedContents(const Configuration &InForce);

  ContentCache Contents;
  /// Locked while a head is adopted, so that only one is adopted at a time.
  std::mutex AdoptMutex;
  mutable std::mutex Mutex;
  std::shared_ptr<const Configuration> InForce;
};

} // namespace whintack::configuration

#endif // WHINTACK_CONFIGURATION_CONFIGURATIONMANAGER_H
