#include "arguments.h"

#include "exitcode.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <stdexcept>

namespace whintack::commands::Internal {

/// Value by which popt reports --help. The options of a command are numbered
/// from 1, so it must be higher than their number.
static constexpr int HelpOptionValue = 1000000;

namespace {

/// Frees a popt context.
struct PoptDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};

using PoptContext = std::unique_ptr<poptContext_s, PoptDeleter>;

} // namespace

/// Returns popt's option table for \p Options, with --help added.
static std::vector<poptOption>
poptTable(const std::vector<OptionSpec> &Options) {
  std::vector<poptOption> Table;
  int Value = 1;
  for (const OptionSpec &Spec : Options) {
    poptOption Row{};
    Row.longName = Spec.Name.c_str();
    Row.argInfo =
        Spec.Kind == OptionKind::Flag ? POPT_ARG_NONE : POPT_ARG_STRING;
    Row.val = Value++;
    Row.descrip = Spec.Help.c_str();
    Row.argDescrip = Spec.Kind == OptionKind::Flag
                         ? nullptr
                         : (Spec.Kind == OptionKind::Number ? "N" : "TEXT");
    Table.push_back(Row);
  }
  poptOption Help{};
  Help.longName = "help";
  Help.argInfo = POPT_ARG_NONE;
  Help.val = HelpOptionValue;
  Help.descrip = "Show this help";
  Table.push_back(Help);
  Table.push_back(poptOption{});
  return Table;
}

static bool isNumber(const std::string &Text) {
  return !Text.empty() &&
         Text.find_first_not_of("0123456789") == std::string::npos;
}

std::optional<Arguments>
Arguments::parse(const std::string &Usage,
                 const std::vector<OptionSpec> &Options,
                 const std::vector<std::string> &Args, int &Exit) {
  Arguments Result;
  for (const OptionSpec &Spec : Options)
    Result.Options.push_back({Spec, Spec.Fallback});
  const std::vector<poptOption> Table = poptTable(Options);
  std::vector<const char *> RawArgs = {"whintack"};
  for (const std::string &Arg : Args)
    RawArgs.push_back(Arg.c_str());
  const PoptContext Context(poptGetContext("whintack",
                                           static_cast<int>(RawArgs.size()),
                                           RawArgs.data(), Table.data(), 0));
  poptSetOtherOptionHelp(Context.get(), Usage.c_str());
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    if (Code == HelpOptionValue) {
      poptPrintHelp(Context.get(), stdout, 0);
      Exit = static_cast<int>(ExitCode::Done);
      return std::nullopt;
    }
    Parsed &Option = Result.Options[static_cast<size_t>(Code) - 1];
    char *Value = poptGetOptArg(Context.get());
    Option.Value = Value ? Value : "yes";
    std::free(Value);
    if (Option.Spec.Kind == OptionKind::Number && !isNumber(Option.Value)) {
      std::fprintf(stderr, "--%s: '%s' is not a number\n",
                   Option.Spec.Name.c_str(), Option.Value.c_str());
      Exit = static_cast<int>(ExitCode::BadInput);
      return std::nullopt;
    }
  }
  if (Code < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(Context.get(), 0),
                 poptStrerror(Code));
    Exit = static_cast<int>(ExitCode::BadInput);
    return std::nullopt;
  }
  while (const char *Arg = poptGetArg(Context.get()))
    Result.Positionals.emplace_back(Arg);
  return Result;
}

const Arguments::Parsed &Arguments::find(const std::string &Name) const {
  for (const Parsed &Option : this->Options)
    if (Option.Spec.Name == Name)
      return Option;
  throw std::logic_error("undeclared option: " + Name);
}

bool Arguments::flag(const std::string &Name) const {
  return !this->find(Name).Value.empty();
}

std::string Arguments::text(const std::string &Name) const {
  return this->find(Name).Value;
}

long Arguments::number(const std::string &Name) const {
  return std::strtol(this->find(Name).Value.c_str(), nullptr, 10);
}

} // namespace whintack::commands::Internal
