#include "whintack/declaration/item.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::declaration;

static std::string exampleText(const std::string &Name) {
  return document::readFile(std::string(WHINTACK_SOURCE_DIR) + "/examples/" +
                            Name)
      .value();
}

static Declaration example(const std::string &Name) {
  const auto Parsed = parseDeclaration(Name, exampleText(Name));
  INFO((Parsed ? "" : Parsed.error().text()));
  REQUIRE(Parsed);
  return Parsed.value();
}

/// Returns the errors of the Imigongo example after \p Old is replaced by \p
/// New.
static std::string errorsAfter(const std::string &Old, const std::string &New) {
  std::string Text = exampleText("imigongo.yaml");
  const size_t Position = Text.find(Old);
  REQUIRE(Position != std::string::npos);
  Text.replace(Position, Old.size(), New);
  const auto Parsed = parseDeclaration("f.yaml", Text);
  return Parsed ? "" : Parsed.error().text();
}

TEST_CASE("both example declarations are valid and have the required sizes") {
  for (const char *Name : {"imigongo.yaml", "cascadia.yaml"}) {
    const Declaration Declared = example(Name);
    REQUIRE(Declared.Services.size() == 5);
    REQUIRE(Declared.Presets.size() == 3);
    for (const auto &[Service, Item] : Declared.Services) {
      REQUIRE(Item.Slots == 8);
      REQUIRE(Item.Connections == 64);
    }
  }
}

TEST_CASE("a declaration can be rebuilt from its items") {
  const Declaration Declared = example("cascadia.yaml");
  const ItemTexts Items = toItems(Declared);
  const auto Again = fromItems(Items);
  REQUIRE(Again);
  REQUIRE(Again.value() == Declared);
  REQUIRE(toItems(Again.value()) == Items);
}

TEST_CASE("a change of one pool changes one item") {
  const Declaration Before = example("imigongo.yaml");
  Declaration After = Before;
  After.Pools.begin()->second.WavePercent = 7;
  const auto Changes = diffItems(toItems(Before), toItems(After));
  REQUIRE(Changes.size() == 1);
  REQUIRE(Changes[0].Kind == ChangeKind::Changed);
  ItemUpdates Updates;
  Updates[Changes[0].Key] = Changes[0].After;
  const auto Updated = withUpdates(Before, Updates);
  REQUIRE(Updated);
  REQUIRE(Updated.value() == After);
}

TEST_CASE("an item can be removed unless other items refer to it") {
  const Declaration Before = example("imigongo.yaml");
  ItemUpdates Updates;
  Updates[{ItemKind::Job, "reconciliation"}] = "";
  const auto After = withUpdates(Before, Updates);
  REQUIRE(After);
  REQUIRE(After.value().Jobs.size() + 1 == Before.Jobs.size());
  Updates[{ItemKind::Pool, "stock"}] = "";
  REQUIRE_FALSE(withUpdates(Before, Updates));
}

TEST_CASE("references to undeclared items are errors") {
  REQUIRE(errorsAfter("pool: catalogue", "pool: missing")
              .find("names the pool 'missing', which is not declared") !=
          std::string::npos);
  REQUIRE(errorsAfter("team: franchise", "team: missing")
              .find("names the team 'missing'") != std::string::npos);
  REQUIRE(errorsAfter("vms: {catalogue: 12, ", "vms: {")
              .find("gives no number of VMs for the pool 'catalogue'") !=
          std::string::npos);
  REQUIRE(errorsAfter("pool: checkout", "pool: catalogue")
              .find("expected one service a pool") != std::string::npos);
}

TEST_CASE("a service cannot be named like a reserved path") {
  REQUIRE(errorsAfter("  - name: catalogue\n    pool",
                      "  - name: healthz\n    pool")
              .find("reserved path") != std::string::npos);
}

TEST_CASE("limits that contradict each other are errors") {
  REQUIRE(
      errorsAfter("connections: 64", "connections: 4").find("below slots") !=
      std::string::npos);
  REQUIRE(errorsAfter("default-duration: 2s", "default-duration: 9s")
              .find("longer than max-duration") != std::string::npos);
  REQUIRE(errorsAfter("cores: 8, memory-gb: 32", "cores: 9000, memory-gb: 1")
              .find("larger than the quota") != std::string::npos);
}
