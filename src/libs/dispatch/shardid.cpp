#include "shardid.h"

namespace whintack::dispatch::Internal {

static const std::string FleetText = "fleet";
/// Precedes the names of services that could be taken for the fleet shard, and
/// of those that begin with this text themselves. All other names are texts of
/// shards as they are, as in earlier versions.
static const std::string EscapePrefix = FleetText + "%";

ShardId ShardId::fleet() { return ShardId(FleetText); }

ShardId ShardId::of(const ServiceName &Service) {
  const std::string &Name = Service.text();
  const bool NeedsEscape = Name == FleetText || Name.starts_with(EscapePrefix);
  return ShardId(NeedsEscape ? EscapePrefix + Name : Name);
}

bool ShardId::isFleet() const { return this->Text == FleetText; }

ServiceName ShardId::service() const {
  const bool IsEscaped = this->Text.starts_with(EscapePrefix);
  return ServiceName(IsEscaped ? this->Text.substr(EscapePrefix.size())
                               : this->Text);
}

} // namespace whintack::dispatch::Internal
