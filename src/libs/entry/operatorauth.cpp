#include "whintack/entry/operatorauth.h"

#include "whintack/base/digest.h"

#include <openssl/crypto.h>

namespace whintack::entry {

static constexpr std::string_view BearerPrefix = "Bearer ";

std::string hashToken(const std::string &Salt, const std::string &Token) {
  return contentDigest(Salt + ":" + Token);
}

OperatorAuth::OperatorAuth(std::vector<settings::OperatorAccount> Accounts)
    : Accounts(std::move(Accounts)) {}

std::optional<OperatorName>
OperatorAuth::identify(const std::string &Authorization) const {
  if (!Authorization.starts_with(BearerPrefix))
    return std::nullopt;
  const std::string Token = Authorization.substr(BearerPrefix.size());
  std::optional<OperatorName> Found;
  for (const settings::OperatorAccount &Account : this->Accounts) {
    const std::string Hash = hashToken(Account.Salt, Token);
    const bool IsSame =
        Hash.size() == Account.TokenHash.size() &&
        CRYPTO_memcmp(Hash.data(), Account.TokenHash.data(), Hash.size()) == 0;
    if (IsSame)
      Found = Account.Name;
  }
  return Found;
}

} // namespace whintack::entry
