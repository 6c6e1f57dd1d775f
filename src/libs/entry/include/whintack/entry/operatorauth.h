#ifndef WHINTACK_ENTRY_OPERATORAUTH_H
#define WHINTACK_ENTRY_OPERATORAUTH_H

#include "whintack/settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace whintack::entry {

/// Hash of \p Token with \p Salt, as stored in the settings.
std::string hashToken(const std::string &Salt, const std::string &Token);

/// Authenticates operators by their bearer tokens.
class OperatorAuth {
public:
  explicit OperatorAuth(std::vector<settings::OperatorAccount> Accounts);

  /// Returns the operator whose token is in the Authorization header field, if
  /// any. All accounts are compared, each in constant time, so that the time
  /// taken does not tell which part of the token differs.
  std::optional<OperatorName> identify(const std::string &Authorization) const;

private:
  std::vector<settings::OperatorAccount> Accounts;
};

} // namespace whintack::entry

#endif // WHINTACK_ENTRY_OPERATORAUTH_H
