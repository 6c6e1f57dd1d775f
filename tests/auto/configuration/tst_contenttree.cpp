#include "whintack/configuration/contenttree.h"

#include "whintack/base/random.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::configuration;

/// Returns text that looks like the routes of a configuration.
static std::string routesText(size_t First, size_t Count) {
  std::string Text;
  for (size_t Number = First; Number < First + Count; ++Number)
    Text += R"({"name":"route-)" + std::to_string(Number * 7919) +
            R"(","host":"host.example","prefix":"/)" +
            std::to_string(Number * 104729) +
            R"(/","service":"quotes","timeout-ms":2000,"stretch":1.6},)";
  return Text;
}

/// Fetches the text of \p Tree from \p Source into \p Target, and returns the
/// bytes that were fetched.
static size_t fetchText(ContentCache &Target, const ContentCache &Source,
                        const ContentTree &Tree) {
  size_t Bytes = 0;
  while (true) {
    const AssembledText Assembled = assembleText(Target, Tree);
    if (Assembled.Missing.empty())
      return Bytes;
    for (const std::string &Digest : Assembled.Missing) {
      const std::string Content = Source.find(Digest).value();
      Bytes += Digest.size() + Content.size();
      REQUIRE(Target.add(Digest, Content));
    }
  }
}

TEST_CASE("a text is assembled from its contents") {
  for (const size_t Count : {0U, 1U, 5U, 4000U}) {
    const std::string Text = routesText(0, Count);
    ContentCache Cache;
    const ContentTree Tree = addText(Cache, Text);
    CHECK(assembleText(Cache, Tree).Text == Text);
  }
}

TEST_CASE("bytes of any value are kept") {
  const Random Source = seededRandom(1);
  for (const size_t Size : {1U, 255U, 8192U, 8193U, 100000U}) {
    std::string Text;
    while (Text.size() < Size)
      Text += static_cast<char>(Source());
    ContentCache Cache;
    CHECK(assembleText(Cache, addText(Cache, Text)).Text == Text);
    const std::string Zeros(Size, '\0');
    CHECK(assembleText(Cache, addText(Cache, Zeros)).Text == Zeros);
  }
}

// Guards against a change of one route that makes every VM fetch the whole
// configuration.
TEST_CASE("a changed version costs little more than what has changed") {
  const std::string Before = routesText(0, 5600);
  const std::string Added = routesText(10000, 1);
  constexpr size_t MaxBytes = 24000;
  for (const size_t At : {size_t{0}, Before.size() / 2, Before.size()}) {
    std::string After = Before;
    After.insert(At, Added);
    ContentCache Source;
    ContentCache Target;
    addText(Target, Before);
    const ContentTree Tree = addText(Source, After);
    CHECK(fetchText(Target, Source, Tree) < MaxBytes);
    CHECK(assembleText(Target, Tree).Text == After);
  }
}

TEST_CASE("a malformed tree is reported") {
  ContentCache Cache;
  ContentTree Tree = addText(Cache, "short");
  Tree.Depth = 1;
  CHECK(assembleText(Cache, Tree).IsMalformed);
  Tree.Depth = 1000000;
  CHECK(assembleText(Cache, Tree).IsMalformed);
}
