#include "whintack/base/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace whintack {

std::string Address::text() const {
  return this->Ip + ":" + std::to_string(this->Port);
}

std::optional<Address> parseAddress(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  Address Parsed;
  Parsed.Ip = std::string(Text.substr(0, Colon));
  in_addr Number{};
  if (inet_pton(AF_INET, Parsed.Ip.c_str(), &Number) != 1)
    return std::nullopt;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Parsed.Port);
  if (Read.ec != std::errc() || Read.ptr != End || Parsed.Port == 0)
    return std::nullopt;
  return Parsed;
}

} // namespace whintack
