#ifndef WHINTACK_BASE_ENUMNAMES_H
#define WHINTACK_BASE_ENUMNAMES_H

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace whintack {

/// Name of one value of an enumeration.
template <typename Enum> struct EnumName {
  Enum Value;
  std::string_view Name;
};

/// Table of the names of an enumeration. Every enumeration that is shown to
/// users or written to a record has one.
template <typename Enum, size_t Count>
using EnumNames = std::array<EnumName<Enum>, Count>;

/// Returns the name of \p Value, or "unknown" if \p Table lacks it.
template <typename Enum, size_t Count>
constexpr std::string_view nameOf(const EnumNames<Enum, Count> &Table,
                                  Enum Value) {
  for (const auto &Row : Table)
    if (Row.Value == Value)
      return Row.Name;
  return "unknown";
}

/// Returns the value named \p Name, if there is one.
template <typename Enum, size_t Count>
constexpr std::optional<Enum> valueOf(const EnumNames<Enum, Count> &Table,
                                      std::string_view Name) {
  for (const auto &Row : Table)
    if (Row.Name == Name)
      return Row.Value;
  return std::nullopt;
}

/// Returns all names, separated by ", ", for error messages.
template <typename Enum, size_t Count>
std::string joinNames(const EnumNames<Enum, Count> &Table) {
  std::string Joined;
  for (const auto &Row : Table) {
    if (!Joined.empty())
      Joined += ", ";
    Joined += Row.Name;
  }
  return Joined;
}

} // namespace whintack

#endif // WHINTACK_BASE_ENUMNAMES_H
