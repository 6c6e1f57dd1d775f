#include "claimtracker.h"

#include "storekeys.h"

#include <algorithm>
#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

std::string encodeClaim(const Claim &Written) {
  value Body = value::object();
  Body["holder"] = value::string(Written.Holder.text());
  Body["attempt"] = value::string(Written.Attempt);
  return Body.serialize();
}

std::optional<Claim> decodeClaim(const store::StoreItem &Item) {
  try {
    const value Body = value::parse(Item.Value);
    Claim Read;
    Read.Holder = EntryName(Body.at("holder").as_string());
    Read.Attempt = Body.at("attempt").as_string();
    Read.Token = Item.Revision;
    return Read;
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "claim-unreadable",
             {{"key", Item.Key}, {"cause", Error.what()}});
    return std::nullopt;
  }
}

ClaimTracker::ClaimTracker(Context Shared, std::function<void()> OnChange)
    : Shared(std::move(Shared)), OnChange(std::move(OnChange)) {}

void ClaimTracker::start() {
  this->Watch = std::make_shared<PrefixWatch>(
      this->Shared, keys::Claims,
      [this](const ItemMap &Items, const std::set<std::string> &) {
        this->Holders.clear();
        for (const auto &[Key, Item] : Items)
          if (std::optional<Claim> Read = decodeClaim(Item))
            this->Holders[ShardId::fromText(Key.substr(keys::Claims.size()))] =
                std::move(*Read);
        this->IsKnown = true;
        this->OnChange();
      },
      [this](uint64_t Revision) {
        this->Revisions.note(Revision, this->Shared.now());
      });
  this->Watch->start();
}

void ClaimTracker::stop() {
  if (this->Watch)
    this->Watch->stop();
}

std::optional<Claim> ClaimTracker::holder(const ShardId &Shard) const {
  const auto Found = this->Holders.find(Shard);
  if (Found == this->Holders.end())
    return std::nullopt;
  return Found->second;
}

size_t ClaimTracker::shardCount(const EntryName &Node) const {
  return static_cast<size_t>(std::count_if(
      this->Holders.begin(), this->Holders.end(),
      [&Node](const auto &Entry) { return Entry.second.Holder == Node; }));
}

} // namespace whintack::dispatch::Internal
