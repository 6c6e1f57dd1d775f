#ifndef WHINTACK_BASE_ADDRESS_H
#define WHINTACK_BASE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whintack {

/// An IPv4 address with a TCP port.
struct Address {
  std::string Ip;
  uint16_t Port = 0;

  /// Returns the address as "ip:port".
  std::string text() const;
  auto operator<=>(const Address &) const = default;
  bool operator==(const Address &) const = default;
};

/// Parses "ip:port" with an IPv4 address and a port from 1 to 65535.
std::optional<Address> parseAddress(std::string_view Text);

} // namespace whintack

#endif // WHINTACK_BASE_ADDRESS_H
