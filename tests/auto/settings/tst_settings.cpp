#include "whintack/local/localsettings.h"
#include "whintack/settings/settings.h"

#include <catch2/catch.hpp>
#include <fstream>
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
