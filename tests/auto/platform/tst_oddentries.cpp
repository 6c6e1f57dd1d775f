#include "executorlistmonitor.h"
#include "steppedloop.h"

#include "whintack/platform/platform.h"
#include "whintack/simulation/memorystore.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace whintack;
using namespace whintack::jobs;
using std::chrono::seconds;

static const PlatformCodec Codec = platform::makePlatformCodec();

/// An entry of an executor with \p Fields before the usual ones, in which
/// \p From is replaced by \p To.
static std::string makeEntry(const std::string &Fields = "",
                             const std::string &From = "",
                             const std::string &To = "") {
  std::string Text =
      "{" + Fields +
      R"("service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("slots":8,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"sequence":4})";
  if (!From.empty())
    Text.replace(Text.find(From), From.size(), To);
  return Text;
}

static std::string nested(const std::string &Open, const std::string &Close,
                          size_t Depth) {
  std::string Text;
  for (size_t Level = 0; Level < Depth; ++Level)
    Text += Open;
  Text += "1";
  for (size_t Level = 0; Level < Depth; ++Level)
    Text += Close;
  return Text;
}

static std::string manyLabels(size_t Count) {
  std::string Text = R"("labels":["a")";
  for (size_t Added = 0; Added < Count; ++Added)
    Text += ",\"l" + std::to_string(Added) + "\"";
  return Text + "]";
}

static std::vector<std::string> oddEntries() {
  constexpr size_t Deep = 100000;
  constexpr size_t Megabyte = 1 << 20;
  return {
      nested("[", "]", Deep),
      nested("{\"a\":", "}", Deep),
      std::string(Deep, '['),
      makeEntry("\"extra\":" + nested("[", "]", Deep) + ","),
      makeEntry("", "[\"a\",\"r1-3\"]", nested("[", "]", Deep)),
      makeEntry("", "16000", "1e400"),
      makeEntry("", "16000", "-1e400"),
      makeEntry("", "16000", "99999999999999999999999"),
      makeEntry("", "16000", "9223372036854775807"),
      makeEntry("", "16000", "18446744073709551615"),
      makeEntry("", "16000", "9007199254740992"),
      makeEntry("", "16000", std::string(Megabyte, '9')),
      makeEntry("\"born\":1e400,"),
      makeEntry("\"born\":-1,"),
      makeEntry("", "10.0.0.1:80", "10.0.0.1:65536"),
      makeEntry("", "10.0.0.1:80", "10.0.0.1:-1"),
      makeEntry("", "10.0.0.1:80", "10.0.0.1:0"),
      makeEntry("", "10.0.0.1:80", "10.0.0.1:99999999999999999999"),
      makeEntry("", "10.0.0.1:80", "10.0.0.1:" + std::string(Megabyte, '8')),
      makeEntry("", "\"ready\"", "\"" + std::string(Megabyte, 'r') + "\""),
      makeEntry("", R"("service":"s")",
                R"("service":")" + std::string(Megabyte, 's') + "\""),
      makeEntry("", R"("labels":["a","r1-3"])", manyLabels(10000)),
      makeEntry("", "\"r1-3\"", "\"" + std::string(Megabyte, 'l') + "\""),
      makeEntry("", "\"r1-3\"", "\"\\ud800\""),
      std::string("\xff\xfe\x00\x01", 4),
      "",
      "null",
      "{",
  };
}

// Guards against an entry of another writer that ends the processes which read
// it, or that counts as an executor.
TEST_CASE("an odd entry among the executors is rejected with a short message") {
  REQUIRE(Codec.DecodeExecutor("servers/i-1", makeEntry()));
  constexpr size_t MaxMessageBytes = 500;
  for (const std::string &Text : oddEntries()) {
    INFO(Text.substr(0, 200));
    const auto Read = Codec.DecodeExecutor("servers/i-1", Text);
    CHECK_FALSE(Read);
    if (!Read)
      CHECK(Read.error().Message.size() < MaxMessageBytes);
  }
}

// Guards against one odd entry that keeps the other executors from being
// followed.
TEST_CASE("odd entries do not keep the other executors from being listed") {
  tests::SteppedLoop Loop;
  simulation::MemoryStore Store(Loop.Time.clock(), Loop.Queue);
  std::vector<ExecutorInfo> Listed;
  const auto Monitor =
      std::make_shared<dispatch::Internal::ExecutorListMonitor>(
          dispatch::Internal::Context{Loop.Time.clock(), seededRandom(3),
                                      Loop.Queue,
                                      Store.interface(EntryName("e1"))},
          Codec.ExecutorPrefix, Codec.DecodeExecutor, [] { return true; },
          [&Listed](const std::vector<ExecutorInfo> &Read) { Listed = Read; });
  Store.put("servers/i-first", makeEntry());
  size_t Number = 0;
  for (const std::string &Text : oddEntries())
    Store.put("servers/i-" + std::to_string(++Number), Text);
  Store.put("servers/i-last", makeEntry());
  Monitor->start();
  Loop.runFor(seconds(3));
  CHECK(Listed.size() == 2);
  // An entry that turns odd names no executor until it can be read again.
  Store.put("servers/i-last", oddEntries().front());
  Store.put("servers/i-late", makeEntry());
  Loop.runFor(seconds(3));
  REQUIRE(Listed.size() == 2);
  CHECK(Listed.back().Id == ExecutorId("i-late"));
  Store.put("servers/i-last", makeEntry());
  Loop.runFor(seconds(3));
  CHECK(Listed.size() == 3);
}

// Guards against numbers in the operator's items and in jobs that overflow when
// times are computed from them.
TEST_CASE("numbers that no time can hold are rejected") {
  for (const char *Number : {"1e300", "1e400", "-1e300"}) {
    INFO(Number);
    const std::string Text = Number;
    CHECK_FALSE(Codec.DecodeWave(R"({"wave":1,"machines":["m"],"maximum":1,)"
                                 R"("duration-s":)" +
                                 Text + "}"));
    CHECK_FALSE(Codec.DecodeConfiguration(
        R"({"version":1,"services":[],"routes":[{"name":"a","host":"h",)"
        R"("prefix":"/a/","service":"s","advice":{"each-ms":)" +
        Text + "}}]}"));
  }
  CHECK_FALSE(Codec.DecodeJob(
      JobId("1"), R"({"repetitions":10000,"interval-ms":1099511627776,)"
                  R"("steps":[{"count":1}]})"));
}
