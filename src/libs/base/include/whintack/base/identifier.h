#ifndef WHINTACK_BASE_IDENTIFIER_H
#define WHINTACK_BASE_IDENTIFIER_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace whintack {

/// Strongly typed name: identifiers with different tags are different types.
template <typename Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string Text) : Text(std::move(Text)) {}

  /// Returns the name as plain text.
  const std::string &text() const { return this->Text; }
  bool isEmpty() const { return this->Text.empty(); }

  auto operator<=>(const Identifier &) const = default;
  bool operator==(const Identifier &) const = default;

private:
  std::string Text;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Stream, const Identifier<Tag> &Name) {
  return Stream << Name.text();
}

using CallerName = Identifier<struct CallerTag>;
using DataCentreName = Identifier<struct DataCentreTag>;
using EntryName = Identifier<struct EntryTag>;
using JobName = Identifier<struct JobTag>;
using OperationId = Identifier<struct OperationTag>;
using OperatorName = Identifier<struct OperatorTag>;
using PoolName = Identifier<struct PoolTag>;
using PresetName = Identifier<struct PresetTag>;
using RackName = Identifier<struct RackTag>;
using RequestId = Identifier<struct RequestTag>;
using ServiceName = Identifier<struct ServiceTag>;
using TaskId = Identifier<struct TaskTag>;
using TeamName = Identifier<struct TeamTag>;
using TenantName = Identifier<struct TenantTag>;
using VmName = Identifier<struct VmTag>;

} // namespace whintack

template <typename Tag> struct std::hash<whintack::Identifier<Tag>> {
  size_t operator()(const whintack::Identifier<Tag> &Name) const {
    return std::hash<std::string>()(Name.text());
  }
};

#endif // WHINTACK_BASE_IDENTIFIER_H
