#ifndef WHINTACK_COMMANDS_LOCALINPUT_H
#define WHINTACK_COMMANDS_LOCALINPUT_H

#include "arguments.h"

#include "whintack/declaration/declaration.h"
#include "whintack/local/localsettings.h"

#include <cstdio>
#include <optional>

namespace whintack::commands::Internal {

/// The parsed and validated settings and declaration of a local fleet.
struct LocalInput {
  local::LocalSettings Local;
  declaration::Declaration Declared;
  std::string DeclarationText;
};

/// Returns \p More and the options --settings and --declaration.
inline std::vector<OptionSpec> localOptions(std::vector<OptionSpec> More) {
  More.push_back({"settings", OptionKind::Text, "settings of the local fleet",
                  "examples/local-imigongo.yaml"});
  More.push_back({"declaration", OptionKind::Text,
                  "declaration that tells the services",
                  "examples/imigongo.yaml"});
  return More;
}

/// Reads the files given by --settings and --declaration. Prints all errors to
/// stderr and returns nothing if one of the files is invalid.
inline std::optional<LocalInput> readLocalInput(const Arguments &Options) {
  LocalInput Read;
  const auto Settings = document::readFile(Options.text("settings"));
  const auto Declaration = document::readFile(Options.text("declaration"));
  for (const auto *Content : {&Settings, &Declaration})
    if (!*Content)
      std::fprintf(stderr, "%s\n", Content->error().text().c_str());
  if (!Settings || !Declaration)
    return std::nullopt;
  const auto Local =
      local::parseLocalSettings(Options.text("settings"), Settings.value());
  const auto Declared = declaration::parseDeclaration(
      Options.text("declaration"), Declaration.value());
  if (!Local)
    std::fprintf(stderr, "%s\n", Local.error().text().c_str());
  if (!Declared)
    std::fprintf(stderr, "%s\n", Declared.error().text().c_str());
  if (!Local || !Declared)
    return std::nullopt;
  Read.Local = Local.value();
  Read.Declared = Declared.value();
  Read.DeclarationText = Declaration.value();
  return Read;
}

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_LOCALINPUT_H
