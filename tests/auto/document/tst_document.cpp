#include "whintack/document/document.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::document;

static std::string parseErrors(const std::string &Content) {
  const auto Read = readDocument("file.yaml", Content, [](FieldReader &Root) {
    Root.requiredName("name");
    Root.number("count", 5, 1, 10);
    Root.duration("wait", Duration(0), std::chrono::milliseconds(1),
                  std::chrono::hours(1));
    Root.boolean("flag", false);
    Root.sequence("items", [](FieldReader &Item) { Item.requiredText("key"); });
  });
  return Read ? "" : Read.error().text();
}

TEST_CASE("a correct document has no errors") {
  REQUIRE(parseErrors("name: a\ncount: 3\nwait: 250ms\nflag: true\n"
                      "items:\n  - key: x\n")
              .empty());
}

TEST_CASE("each error names file, line and field") {
  REQUIRE(parseErrors("name: a\nconut: 3\n") ==
          "file.yaml:2: conut: unknown key; expected one of name, count, "
          "wait, flag, items");
  REQUIRE(parseErrors("name: a\ncount: many\n") ==
          "file.yaml:2: count: not a number; expected a whole number from 1 "
          "to 10");
  REQUIRE(parseErrors("name: a\n\ncount: 11\n") ==
          "file.yaml:3: count: 11 is out of range; expected a whole number "
          "from 1 to 10");
  REQUIRE(parseErrors("name: a\nname: b\n") ==
          "file.yaml:2: name: this key stands twice");
  REQUIRE(parseErrors("name: a\nitems:\n  - key: x\n  - kye: y\n") ==
          "file.yaml:4: items[1].key: 'key' is missing or empty; expected a "
          "text\nfile.yaml:4: items[1].kye: unknown key; expected one of key");
}

TEST_CASE("invalid durations are rejected") {
  REQUIRE(parseErrors("name: a\nwait: 5\n").find("as in 250ms or 3s") !=
          std::string::npos);
  REQUIRE(parseErrors("name: a\nwait: 2h\n").find("out of range") !=
          std::string::npos);
  REQUIRE(parseErrors("name: a\nwait: 99999999999999999999s\n")
              .find("not a length of time") != std::string::npos);
}

TEST_CASE("invalid names are rejected") {
  REQUIRE(parseErrors("name: Two Words\n").find("is not a name") !=
          std::string::npos);
}

TEST_CASE("invalid YAML is reported with its line") {
  REQUIRE(parseErrors("name: [a\n").find("file.yaml:") == 0);
  REQUIRE(parseErrors("- a\n").find("expected a mapping") != std::string::npos);
  REQUIRE(parseErrors("").find("expected a mapping") != std::string::npos);
}

TEST_CASE("a formatted duration is read as the same duration") {
  for (const Duration Length :
       {Duration(0), Duration(std::chrono::milliseconds(1500)),
        Duration(std::chrono::hours(48)), Duration(std::chrono::minutes(90))}) {
    const std::string Text = "wait: " + formatDuration(Length) + "\n";
    Duration Read(-1);
    const auto Parsed = readDocument("f", Text, [&Read](FieldReader &Root) {
      Read = Root.duration("wait", Duration(-1), Duration::zero(),
                           std::chrono::hours(1000));
    });
    REQUIRE(Parsed);
    REQUIRE(Read == Length);
  }
}

TEST_CASE("a missing file is an error, not an empty file") {
  REQUIRE_FALSE(readFile("/nonexistent/file.yaml"));
}
