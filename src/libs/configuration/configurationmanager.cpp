#include "whintack/configuration/configurationmanager.h"

namespace whintack::configuration {

std::shared_ptr<const Configuration> ConfigurationManager::current() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->InForce;
}

uint64_t ConfigurationManager::revision() const {
  const auto Present = this->current();
  return Present ? Present->Current.Revision : 0;
}

/// Adds the digests of new and changed items to \p New, and the removed items,
/// with an empty text, to \p Updates.
static void addBucketChanges(const Bucket &Before, const Bucket &After,
                             std::map<declaration::ItemKey, std::string> &New,
                             declaration::ItemUpdates &Updates) {
  for (const auto &[Key, Digest] : After) {
    const auto Old = Before.find(Key);
    if (Old == Before.end() || Old->second != Digest)
      New.emplace(Key, Digest);
  }
  for (const auto &[Key, Digest] : Before)
    if (!After.contains(Key))
      Updates.emplace(Key, "");
}

AdoptOutcome
ConfigurationManager::load(const Head &Proposed, const Configuration &Base,
                           const std::vector<ContentSource> &Sources,
                           Configuration &Loaded) {
  std::vector<std::string> BucketDigests;
  for (size_t Index = 0; Index < BucketCount; ++Index) {
    const std::string &Digest = Proposed.Buckets[Index];
    if (!Digest.empty() && Digest != Base.Current.Buckets[Index])
      BucketDigests.push_back(Digest);
  }
  if (!this->Contents.fetch(BucketDigests, Sources).empty())
    return AdoptOutcome::Incomplete;
  std::map<declaration::ItemKey, std::string> New;
  declaration::ItemUpdates Updates;
  for (size_t Index = 0; Index < BucketCount; ++Index) {
    const std::string &Digest = Proposed.Buckets[Index];
    if (Digest == Base.Current.Buckets[Index])
      continue;
    Bucket After;
    if (!Digest.empty()) {
      const auto Text = this->Contents.find(Digest);
      auto Decoded = Text ? decodeBucket(*Text) : std::nullopt;
      if (!Decoded)
        return AdoptOutcome::Invalid;
      After = std::move(*Decoded);
    }
    addBucketChanges(Base.Buckets[Index], After, New, Updates);
    Loaded.Buckets[Index] = std::move(After);
  }
  std::vector<std::string> ItemDigests;
  ItemDigests.reserve(New.size());
  for (const auto &[Key, Digest] : New)
    ItemDigests.push_back(Digest);
  if (!this->Contents.fetch(ItemDigests, Sources).empty())
    return AdoptOutcome::Incomplete;
  for (const auto &[Key, Digest] : New)
    Updates[Key] = this->Contents.find(Digest).value_or("");
  auto Declared = declaration::withUpdates(Base.Declared, Updates);
  if (!Declared)
    return AdoptOutcome::Invalid;
  Loaded.Declared = std::move(Declared).value();
  for (const auto &[Key, Text] : Updates) {
    if (Text.empty())
      Loaded.Items.erase(Key);
    else
      Loaded.Items[Key] = Text;
  }
  Loaded.Current = Proposed;
  return AdoptOutcome::Adopted;
}

void ConfigurationManager::removeUnusedContents(const Configuration &Adopted) {
  std::set<std::string> Kept;
  for (size_t Index = 0; Index < BucketCount; ++Index) {
    Kept.insert(Adopted.Current.Buckets[Index]);
    for (const auto &[Key, Digest] : Adopted.Buckets[Index])
      Kept.insert(Digest);
  }
  this->Contents.keepOnly(Kept);
}

AdoptOutcome
ConfigurationManager::adopt(const Head &Proposed,
                            const std::vector<ContentSource> &Sources) {
  const std::lock_guard<std::mutex> AdoptLock(this->AdoptMutex);
  const auto Present = this->current();
  if (Present && Proposed.Revision <= Present->Current.Revision)
    return AdoptOutcome::NotNewer;
  const Configuration Base = Present ? *Present : Configuration();
  auto Loaded = std::make_shared<Configuration>(Base);
  const AdoptOutcome Outcome = this->load(Proposed, Base, Sources, *Loaded);
  if (Outcome != AdoptOutcome::Adopted)
    return Outcome;
  this->removeUnusedContents(*Loaded);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->InForce = std::move(Loaded);
  return AdoptOutcome::Adopted;
}

} // namespace whintack::configuration
