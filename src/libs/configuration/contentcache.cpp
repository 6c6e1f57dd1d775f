#include "whintack/configuration/contentcache.h"

#include "whintack/configuration/head.h"

namespace whintack::configuration {

std::optional<std::string> ContentCache::find(const std::string &Digest) const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Contents.find(Digest);
  if (Found == this->Contents.end())
    return std::nullopt;
  return Found->second;
}

bool ContentCache::add(const std::string &Digest, const std::string &Content) {
  if (shortDigest(Content) != Digest)
    return false;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Contents[Digest] = Content;
  return true;
}

void ContentCache::keepOnly(const std::set<std::string> &Kept) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::erase_if(this->Contents, [&Kept](const auto &Item) {
    return !Kept.contains(Item.first);
  });
}

std::vector<std::string>
ContentCache::fetch(const std::vector<std::string> &Digests,
                    const std::vector<ContentSource> &Sources) {
  std::vector<std::string> Missing;
  for (const std::string &Digest : Digests)
    if (!this->find(Digest))
      Missing.push_back(Digest);
  for (const ContentSource &Source : Sources) {
    if (Missing.empty())
      break;
    const std::vector<std::string> Texts = Source(Missing);
    std::vector<std::string> StillMissing;
    for (size_t Index = 0; Index < Missing.size(); ++Index) {
      const bool IsHere =
          Index < Texts.size() && this->add(Missing[Index], Texts[Index]);
      if (!IsHere)
        StillMissing.push_back(Missing[Index]);
    }
    Missing = std::move(StillMissing);
  }
  return Missing;
}

} // namespace whintack::configuration
