#include "manualclock.h"
#include "whintack/configuration/changeclient.h"
#include "whintack/standin/memorykeyvaluestore.h"

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

/// A store, a client that changes the configuration, and the configuration in
/// force in one process.
struct Fixture {
  tests::ManualClock Time;
  standin::MemoryKeyValueStore Platform{Time.clock()};
  store::RecordClient Records{Platform.store(), 10000, Time.clock(),
                              seededRandom(1)};
  ChangeClient Changes{Records, Time.clock()};
  ConfigurationManager Configurations;

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
    return this->Configurations.adopt(this->Changes.readHead().value(),
                                      {this->Changes.contentSource()});
  }
};

} // namespace

TEST_CASE("an applied declaration comes into force unchanged") {
  Fixture Test;
  REQUIRE(Test.apply(example(), 0, "o1").Outcome == ChangeOutcome::Accepted);
  REQUIRE(Test.adopt() == AdoptOutcome::Adopted);
  REQUIRE(Test.Configurations.current()->Items == example());
  REQUIRE(Test.Configurations.current()->Current.Preset ==
          PresetName("ordinary"));
}

TEST_CASE(
    "a refused change names the operator and preset of the conflicting one") {
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

TEST_CASE("repeating a confirm has no effect, even after other changes") {
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

TEST_CASE("a confirm whose answer is lost is reported as accepted") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  standin::StoreFaults Faults;
  Faults.LostWriteAnswers = 1;
  Test.Platform.setFaults(Faults);
  REQUIRE(Test.confirm("peak", 1, "o2").Outcome == ChangeOutcome::Accepted);
  REQUIRE(Test.Changes.readHead().value().Revision == 2);
}

TEST_CASE("a change while the platform is down is reported as unreachable") {
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
  REQUIRE(Test.Configurations.adopt(Old, {Test.Changes.contentSource()}) ==
          AdoptOutcome::NotNewer);
  REQUIRE(Test.Configurations.current()->Current.Preset == PresetName("peak"));
}

TEST_CASE("a head whose contents are missing is not put in force") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  const ContentSource EmptySource =
      [](const std::vector<std::string> &Digests) {
        return std::vector<std::string>(Digests.size());
      };
  const Head Proposed = Test.Changes.readHead().value();
  REQUIRE(Test.Configurations.adopt(Proposed, {EmptySource}) ==
          AdoptOutcome::Incomplete);
  REQUIRE_FALSE(Test.Configurations.current());
  REQUIRE(Test.Configurations.adopt(
              Proposed, {EmptySource, Test.Changes.contentSource()}) ==
          AdoptOutcome::Adopted);
}

TEST_CASE("content that does not match its digest is rejected") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  const ContentSource Forged = [](const std::vector<std::string> &Digests) {
    return std::vector<std::string>(Digests.size(), "{}");
  };
  REQUIRE(Test.Configurations.adopt(Test.Changes.readHead().value(),
                                    {Forged}) == AdoptOutcome::Incomplete);
}

TEST_CASE("a process without the platform adopts the head from a peer") {
  Fixture Test;
  Test.apply(example(), 0, "o1");
  Test.adopt();
  ConfigurationManager Behind;
  const ContentSource Peer = [&](const std::vector<std::string> &Digests) {
    std::vector<std::string> Texts;
    for (const std::string &Digest : Digests)
      Texts.push_back(Test.Configurations.contents().find(Digest).value_or(""));
    return Texts;
  };
  REQUIRE(Behind.adopt(Test.Configurations.current()->Current, {Peer}) ==
          AdoptOutcome::Adopted);
  REQUIRE(Behind.current()->Items == example());
}

TEST_CASE(
    "unchanged content is not written, a changed pool takes three writes") {
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
  // The writes are the item, its bucket and the head.
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

TEST_CASE("a head is decoded from its encoded text") {
  Head Made;
  Made.Revision = 7;
  Made.Preset = PresetName("p");
  Made.Buckets[3] = "abc";
  REQUIRE(decodeHead(encodeHead(Made)) == Made);
  REQUIRE_FALSE(decodeHead("{}"));
  REQUIRE_FALSE(decodeHead("not json"));
}
