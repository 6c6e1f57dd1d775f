#include "manualclock.h"
#include "whintack/configuration/changeclient.h"
#include "whintack/standin/memoryplatform.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::configuration;

namespace {

declaration::ItemTexts example() {
  const std::string File =
      std::string(WHINTACK_SOURCE_DIR) + "/examples/imigongo.yaml";
  return declaration::toItems(
      declaration::parseDeclaration(File, document::readFile(File).value())
          .value());
}

/// A store with one operator's client and one process's keeper.
struct Fixture {
  tests::ManualClock Time;
  standin::MemoryPlatform Platform{Time.clock()};
  store::RecordClient Records{Platform.store(), 10000, Time.clock(),
                              seededRandom(1)};
  ChangeClient Changes{Records, Time.clock()};
  ConfigurationKeeper Keeper;

  ChangeReport apply(const declaration::ItemTexts &Items, uint64_t Seen,
                     const char *Operation) {
    return this->Changes.apply(
        Items, PresetName("ordinary"),
        {OperatorName("ada"), Seen, OperationId(Operation)});
  }

  ChangeReport confirm(const char *Preset, uint64_t Seen, const char *Operation,
                       const char *Operator = "ada") {
    return this->Changes.confirmPreset(
        PresetName(Preset),
        {OperatorName(Operator), Seen, OperationId(Operation)});
  }

  AdoptOutcome adopt() {
    return this->Keeper.adopt(this->Changes.readHead().value(),
                              {this->Changes.contentSource()});
  }
};

} // namespace

TEST_CASE("a declaration that was applied is in force as it was written") {
  Fixture Test;
  REQUIRE(Test.apply(example(), 0, "o1").Outcome == ChangeOutcome::Accepted);
  REQUIRE(Test.adopt() == AdoptOutcome::Adopted);
  REQUIRE(Test.Keeper.current()->Items == example());
  REQUIRE(Test.Keeper.current()->Current.Preset == PresetName("ordinary"));
}

TEST_CASE("of two operators one wins and the other is told who and what") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  REQUIRE(Test.confirm("peak", 1, "o2", "ada").Outcome ==
          ChangeOutcome::Accepted);
  const ChangeReport Lost = Test.confirm("maintenance", 1, "o3", "ben");
  REQUIRE(Lost.Outcome == ChangeOutcome::Refused);
  REQUIRE(Lost.Message.find("ada put revision 2") != std::string::npos);
  REQUIRE(Lost.Message.find("preset peak") != std::string::npos);
  REQUIRE(Test.Changes.readHead().value().Preset == PresetName("peak"));
}

TEST_CASE("repeating a confirm is harmless, also after others") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  Test.confirm("peak", 1, "o2");
  REQUIRE(Test.confirm("peak", 1, "o2").Outcome ==
          ChangeOutcome::AcceptedBefore);
  Test.confirm("ordinary", 2, "o3");
  REQUIRE(Test.confirm("peak", 1, "o2").Outcome ==
          ChangeOutcome::AcceptedBefore);
  REQUIRE(Test.Changes.readHead().value().Preset == PresetName("ordinary"));
}

TEST_CASE("a confirm whose answer is lost is told as accepted") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  standin::StoreFaults Faults;
  Faults.LostWriteAnswers = 1;
  Test.Platform.setFaults(Faults);
  REQUIRE(Test.confirm("peak", 1, "o2").Outcome == ChangeOutcome::Accepted);
  REQUIRE(Test.Changes.readHead().value().Revision == 2);
}

TEST_CASE("while the platform is down nothing changes and that is said") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  standin::StoreFaults Faults;
  Faults.IsDown = true;
  Test.Platform.setFaults(Faults);
  REQUIRE(Test.confirm("peak", 1, "o2").Outcome == ChangeOutcome::Unreachable);
}

TEST_CASE("an older head never comes back into force") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  const Head Old = Test.Changes.readHead().value();
  Test.adopt();
  Test.confirm("peak", 1, "o2");
  REQUIRE(Test.adopt() == AdoptOutcome::Adopted);
  REQUIRE(Test.Keeper.adopt(Old, {Test.Changes.contentSource()}) ==
          AdoptOutcome::NotNewer);
  REQUIRE(Test.Keeper.current()->Current.Preset == PresetName("peak"));
}

TEST_CASE("a head without its contents is not put in force") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  const ContentSource Nothing = [](const std::vector<std::string> &Digests) {
    return std::vector<std::string>(Digests.size());
  };
  const Head Proposed = Test.Changes.readHead().value();
  REQUIRE(Test.Keeper.adopt(Proposed, {Nothing}) == AdoptOutcome::Incomplete);
  REQUIRE_FALSE(Test.Keeper.current());
  REQUIRE(
      Test.Keeper.adopt(Proposed, {Nothing, Test.Changes.contentSource()}) ==
      AdoptOutcome::Adopted);
}

TEST_CASE("content that does not have its digest is not taken in") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  const ContentSource Forged = [](const std::vector<std::string> &Digests) {
    return std::vector<std::string>(Digests.size(), "{}");
  };
  REQUIRE(Test.Keeper.adopt(Test.Changes.readHead().value(), {Forged}) ==
          AdoptOutcome::Incomplete);
}

TEST_CASE("a process cut off from the platform learns from a peer") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  Test.adopt();
  ConfigurationKeeper Behind;
  const ContentSource Peer = [&](const std::vector<std::string> &Digests) {
    std::vector<std::string> Texts;
    for (const std::string &Digest : Digests)
      Texts.push_back(Test.Keeper.contents().find(Digest).value_or(""));
    return Texts;
  };
  REQUIRE(Behind.adopt(Test.Keeper.current()->Current, {Peer}) ==
          AdoptOutcome::Adopted);
  REQUIRE(Behind.current()->Items == example());
}

TEST_CASE("unchanged content costs no writes, one changed pool few") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  const uint64_t First = Test.Platform.calls().Writes;
  REQUIRE(Test.apply(example(), 1, "o2").Outcome == ChangeOutcome::Unchanged);
  REQUIRE(Test.Platform.calls().Writes == First);
  declaration::ItemTexts Items = example();
  std::string &Text = Items[{declaration::ItemKind::Pool, "stock"}];
  const size_t Place = Text.find("\"wave-percent\": 20");
  REQUIRE(Place != std::string::npos);
  Text.replace(Place, 18, "\"wave-percent\": 10");
  REQUIRE(Test.apply(Items, 1, "o3").Outcome == ChangeOutcome::Accepted);
  // The item, its bucket and the head.
  REQUIRE(Test.Platform.calls().Writes == First + 3);
}

TEST_CASE("a declaration that lacks the preset in force is refused") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  Test.confirm("peak", 1, "o2");
  declaration::ItemTexts Items = example();
  Items.erase({declaration::ItemKind::Preset, "peak"});
  REQUIRE(Test.apply(Items, 2, "o3").Outcome == ChangeOutcome::Invalid);
}

TEST_CASE("a head reads back from its text") {
  Head Made;
  Made.Revision = 7;
  Made.Preset = PresetName("p");
  Made.Buckets[3] = "abc";
  REQUIRE(decodeHead(encodeHead(Made)) == Made);
  REQUIRE_FALSE(decodeHead("{}"));
  REQUIRE_FALSE(decodeHead("not json"));
}
