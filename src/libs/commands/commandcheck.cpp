#include "arguments.h"
#include "commands.h"
#include "exitcode.h"

#include "whintack/declaration/declaration.h"
#include "whintack/local/localsettings.h"
#include "whintack/settings/settings.h"

#include <cstdio>

namespace whintack::commands::Internal {

/// Validates one file with \p ParseText and prints the result. \p Description
/// says what the file contains.
template <typename Parse>
static bool checkFile(const std::string &File, const char *Description,
                      Parse ParseText) {
  const auto Content = document::readFile(File);
  if (!Content) {
    std::fprintf(stderr, "%s\n", Content.error().text().c_str());
    return false;
  }
  const auto Parsed = ParseText(File, Content.value());
  if (!Parsed) {
    std::fprintf(stderr, "%s\n", Parsed.error().text().c_str());
    return false;
  }
  std::printf("%s: %s is correct\n", File.c_str(), Description);
  return true;
}

int runCheck(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "[--settings FILE] [--local FILE] [--declaration FILE]\n\n"
      "Checks files and names file, line and field of all that is wrong.",
      {{"settings", OptionKind::Text, "settings of an entry VM", ""},
       {"local", OptionKind::Text, "settings of a local fleet", ""},
       {"declaration", OptionKind::Text, "declaration of a fleet", ""}},
      Args, Exit);
  if (!Options)
    return Exit;
  const bool HasFile = Options->flag("settings") || Options->flag("local") ||
                       Options->flag("declaration");
  if (!HasFile) {
    std::fputs("name a file: --settings, --local or --declaration\n", stderr);
    return static_cast<int>(ExitCode::BadInput);
  }
  bool IsCorrect = true;
  if (Options->flag("settings"))
    IsCorrect = checkFile(Options->text("settings"), "settings",
                          settings::parseEntrySettings) &&
                IsCorrect;
  if (Options->flag("local"))
    IsCorrect = checkFile(Options->text("local"), "local settings",
                          local::parseLocalSettings) &&
                IsCorrect;
  if (Options->flag("declaration"))
    IsCorrect = checkFile(Options->text("declaration"), "declaration",
                          declaration::parseDeclaration) &&
                IsCorrect;
  return static_cast<int>(IsCorrect ? ExitCode::Done : ExitCode::BadInput);
}

} // namespace whintack::commands::Internal
