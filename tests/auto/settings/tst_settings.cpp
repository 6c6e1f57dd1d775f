#include "whintack/local/localsettings.h"
#include "whintack/settings/settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>

using namespace whintack;
using namespace whintack::settings;

static const std::string Correct = R"(name: e1
data-centre: dc1
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8082
platform: 127.0.0.2:2379
peers:
  - name: e2
    data-centre: dc1
    address: 127.0.0.3:8082
operators:
  - name: ada
    salt: s
    token-hash: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
poll-interval: 200ms
)";

/// Returns the errors of the correct settings after \p Old is replaced by \p
/// New.
static std::string errorsAfter(const std::string &Old, const std::string &New) {
  std::string Text = Correct;
  Text.replace(Text.find(Old), Old.size(), New);
  const auto Read = parseEntrySettings("s.yaml", Text);
  return Read ? "" : Read.error().text();
}

TEST_CASE("valid settings are read") {
  const auto Read = parseEntrySettings("s.yaml", Correct);
  REQUIRE(Read);
  REQUIRE(Read.value().Name.text() == "e1");
  REQUIRE(Read.value().Peers.size() == 1);
  REQUIRE(Read.value().PollInterval == std::chrono::milliseconds(200));
}

TEST_CASE("invalid settings are reported with line and field") {
  REQUIRE(errorsAfter("127.0.0.1:8081", "here:1")
              .find("s.yaml:5: listen.operators: 'here:1' is not an address") ==
          0);
  REQUIRE(errorsAfter("poll-interval: 200ms", "poll-interval: 1ms")
              .find("out of range") != std::string::npos);
  REQUIRE(errorsAfter("name: e2", "name: e1").find("stands twice") !=
          std::string::npos);
  REQUIRE(errorsAfter("token-hash: 01", "token-hash: zz")
              .find("64 lower-case hexadecimal digits") != std::string::npos);
  REQUIRE(errorsAfter("platform: 127.0.0.2:2379\n", "").find("platform") !=
          std::string::npos);
}

TEST_CASE("both local examples are valid and have about 50 VMs each") {
  for (const char *Name : {"local-imigongo.yaml", "local-cascadia.yaml"}) {
    const std::string File =
        std::string(WHINTACK_SOURCE_DIR) + "/examples/" + Name;
    const auto Local =
        local::parseLocalSettings(File, document::readFile(File).value());
    REQUIRE(Local);
    REQUIRE(local::workerVms(Local.value()).size() == 48);
    const auto Entries = local::entrySettings(Local.value());
    REQUIRE(Entries.size() >= 6);
    REQUIRE(Entries.size() <= 9);
    std::set<Address> Addresses;
    for (const auto &Vm : local::workerVms(Local.value()))
      REQUIRE(Addresses.insert(Vm.Server).second);
  }
}

TEST_CASE("the operations page describes every setting") {
  std::ifstream Stream(std::string(WHINTACK_SOURCE_DIR) +
                       "/docs/OPERATIONS.md");
  const std::string Page((std::istreambuf_iterator<char>(Stream)),
                         std::istreambuf_iterator<char>());
  for (const SettingDescription &Row : settingDescriptions()) {
    INFO(Row.Key);
    REQUIRE(Page.find("| `" + Row.Key + "` | " + Row.Meaning + " | " +
                      Row.Expected + " |") != std::string::npos);
  }
}

/// Fills in a template as the platform does: a section between {{#KEY}} and
/// {{/KEY}} is kept if the key has a value, which {{.}} stands for within it.
static std::string fillIn(std::string Text,
                          const std::map<std::string, std::string> &Values) {
  for (size_t Start = Text.find("{{#"); Start != std::string::npos;
       Start = Text.find("{{#")) {
    const size_t NameEnd = Text.find("}}", Start);
    const std::string Key = Text.substr(Start + 3, NameEnd - Start - 3);
    const std::string Close = "{{/" + Key + "}}";
    const size_t End = Text.find(Close, NameEnd);
    REQUIRE(End != std::string::npos);
    std::string Section = Text.substr(NameEnd + 2, End - NameEnd - 2);
    const auto Found = Values.find(Key);
    if (Found == Values.end())
      Section.clear();
    else if (const size_t Dot = Section.find("{{.}}"); Dot != std::string::npos)
      Section.replace(Dot, 5, Found->second);
    Text.replace(Start, End + Close.size() - Start, Section);
  }
  for (size_t Start = Text.find("{{"); Start != std::string::npos;
       Start = Text.find("{{")) {
    const size_t End = Text.find("}}", Start);
    const std::string Key = Text.substr(Start + 2, End - Start - 2);
    INFO(Key);
    REQUIRE(Values.contains(Key));
    Text.replace(Start, End + 2 - Start, Values.at(Key));
  }
  return Text;
}

// Guards against a template that gives settings which an entry VM rejects, or
// that loses a bound, where the platform has or lacks the bounds of keys.
TEST_CASE("the template of the settings is valid with and without bounds") {
  std::ifstream Stream(std::string(WHINTACK_SOURCE_DIR) + "/deploy/entry.yaml");
  const std::string Template((std::istreambuf_iterator<char>(Stream)),
                             std::istreambuf_iterator<char>());
  std::map<std::string, std::string> Values = {
      {"node", "e1"},
      {"zone", "d1"},
      {"ip", "127.0.0.1"},
      {"listen-addresses.front", "127.0.0.1:8080"},
      {"listen-addresses.ready", "127.0.0.1:8083"},
      {"internal-port-range.0", "8081"},
      {"internal-port-range.1", "8082"},
      {"platform.address", "127.0.0.2:80"},
      {"cloud-api.address", "127.0.0.2:81"},
      {"advice", "127.0.0.2:82"},
      {"limits.cpu-share", "0.25"},
      {"bounds.hold-max-ms", "6000"},
      {"bounds.grace-s", "5"},
      {"bounds.config-apply-ms", "3000"}};
  const auto Read = [&] {
    const auto Parsed =
        parseEntrySettings("entry.yaml", fillIn(Template, Values));
    INFO((Parsed ? "" : Parsed.error().text()));
    REQUIRE(Parsed);
    return Parsed.value().Fleet;
  };
  CHECK(Read().ConfigurationTime == std::chrono::seconds(3));
  CHECK_FALSE(Read().RefusesStaleKeys);
  Values["bounds.revoke-ms"] = "4000";
  Values["bounds.fail-closed"] = "true";
  CHECK(Read().KeyRevocationTime == std::chrono::seconds(4));
  CHECK(Read().RefusesStaleKeys);
}
