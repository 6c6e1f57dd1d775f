#ifndef WHINTACK_DISPATCH_SHARDID_H
#define WHINTACK_DISPATCH_SHARDID_H

#include "whintack/base/identifier.h"

#include <compare>
#include <string>

namespace whintack::dispatch::Internal {

/// Identifies a shard: the jobs of one service, or the machines of the fleet.
/// Operators choose the names of services, so a service may have the text of
/// the fleet shard as its name.
class ShardId {
public:
  /// The shard that maintains and moves machines.
  static ShardId fleet();
  /// The shard that plans the jobs of the service.
  static ShardId of(const ServiceName &Service);
  /// The shard with this text.
  static ShardId fromText(std::string Text) { return ShardId(std::move(Text)); }

  bool isFleet() const;
  /// The service that is planned. Must not be called for the fleet shard.
  ServiceName service() const;
  /// Unique among all shards. Part of keys in the store and of log lines.
  const std::string &text() const { return this->Text; }

  auto operator<=>(const ShardId &) const = default;

private:
  explicit ShardId(std::string Text) : Text(std::move(Text)) {}

  std::string Text;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDID_H
