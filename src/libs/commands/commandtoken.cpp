#include "arguments.h"
#include "commands.h"
#include "exitcode.h"

#include "whintack/base/random.h"
#include "whintack/entry/operatorauth.h"

#include <cstdio>

namespace whintack::commands::Internal {

int runToken(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "NAME\n\nMakes a token for the operator NAME. The token is printed once; "
      "the settings keep its salted hash.",
      {}, Args, Exit);
  if (!Options)
    return Exit;
  if (Options->positionals().size() != 1) {
    std::fputs("expected the name of one operator\n", stderr);
    return static_cast<int>(ExitCode::BadInput);
  }
  const Random Source = systemRandom();
  const std::string Token = randomIdentifier(Source) + randomIdentifier(Source);
  const std::string Salt = randomIdentifier(Source);
  std::printf("token, for the operator:\n  %s\n\nfor the settings:\n"
              "operators:\n  - name: %s\n    salt: %s\n    token-hash: %s\n",
              Token.c_str(), Options->positionals().front().c_str(),
              Salt.c_str(), entry::hashToken(Salt, Token).c_str());
  return static_cast<int>(ExitCode::Done);
}

} // namespace whintack::commands::Internal
