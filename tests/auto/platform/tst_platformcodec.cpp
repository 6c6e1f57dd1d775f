#include "whintack/platform/platform.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::jobs;

static const PlatformCodec Codec = platform::makePlatformCodec();

static const std::string ExecutorRecord =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold-remaining-ms":0,"capacity":{"cpu":16000,)"
    R"("mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"sequence":4})";

static const std::string JobBody =
    R"({"task-spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,)"
    R"("affinity":"r1-3"},{"count":2,"after":[0],"checkpointing":true,)"
    R"("may-miss":1,"long-running":true}]})";

TEST_CASE("an executor record is decoded") {
  const auto Read = Codec.DecodeExecutor("servers/i-1", ExecutorRecord);
  REQUIRE(Read);
  CHECK(Read.value().Id == ExecutorId("i-1"));
  CHECK(Read.value().Server == Address{"10.0.0.1", 80});
  CHECK(Read.value().Capacity.MilliCores == 16000);
  CHECK_FALSE(Read.value().IsDraining);
}

TEST_CASE("an executor record tells when its incarnation started") {
  const auto Without = Codec.DecodeExecutor("servers/i-1", ExecutorRecord);
  REQUIRE(Without);
  CHECK(Without.value().Incarnation == 0);
  const auto With = Codec.DecodeExecutor(
      "servers/i-1", R"({"born":1791603588123,)" + ExecutorRecord.substr(1));
  REQUIRE(With);
  CHECK(With.value().Incarnation == 1791603588123);
  CHECK_FALSE(Codec.DecodeExecutor(
      "servers/i-1", R"({"born":"x",)" + ExecutorRecord.substr(1)));
}

TEST_CASE("a malformed executor record is rejected with a message") {
  const auto Replaced = [](const std::string &From, const std::string &To) {
    std::string Text = ExecutorRecord;
    return Text.replace(Text.find(From), From.size(), To);
  };
  for (const std::string &Damaged :
       {std::string(), std::string("\xff\xfe"), std::string("[]"),
        Replaced("\"ready\"", "\"resting\""), Replaced("\"10.0.0.1:80\"", "7"),
        Replaced("10.0.0.1:80", "nowhere"),
        Replaced("\"cpu\":16000", "\"cpu\":-1"),
        Replaced("\"service\"", "\"other\""),
        Replaced("[\"a\",\"r1-3\"]", "[1]")}) {
    const auto Read = Codec.DecodeExecutor("servers/i-1", Damaged);
    REQUIRE_FALSE(Read);
    CHECK_FALSE(Read.error().Message.empty());
  }
  CHECK_FALSE(Codec.DecodeExecutor("servers/", ExecutorRecord));
}

TEST_CASE("a job body is decoded and checked") {
  const auto Read = Codec.DecodeJob(JobId("1"), JobBody);
  REQUIRE(Read);
  CHECK(Read.value().Steps.size() == 2);
  CHECK(Read.value().Steps[0].DataRack == "r1-3");
  CHECK(Read.value().Steps[1].Dependencies == std::vector<size_t>{0});
  CHECK(Read.value().Steps[1].HasMaxUnavailable);
  CHECK(Read.value().Steps[1].IsLongRunning);
}

TEST_CASE("a malformed job is rejected with a message that names the field") {
  const auto Message = [](const std::string &Body) {
    const auto Read = Codec.DecodeJob(JobId("1"), Body);
    REQUIRE_FALSE(Read);
    return Read.error().Message;
  };
  CHECK(Message(R"({"steps":[]})").find("steps") != std::string::npos);
  CHECK(Message(R"({"steps":[{"count":0}]})").find("steps[0].count") !=
        std::string::npos);
  CHECK(Message(R"({"steps":[{"count":1,"after":[0]}]})").find("after") !=
        std::string::npos);
  CHECK(Message(R"({"steps":[{"count":1,"cpu":1.5}]})").find("cpu") !=
        std::string::npos);
  CHECK(Message("{").find("JSON") != std::string::npos);
  CHECK(Message(R"({"task-spec":")" + std::string(4001, 'x') +
                R"(","steps":[{"count":1}]})")
            .find("task-spec") != std::string::npos);
}

// Guards against a stored job that ends the process of each planner that reads
// it, because it takes more memory than the process has.
TEST_CASE("a job with more tasks than a planner can hold is rejected") {
  const auto IsAccepted = [](const std::string &Body) {
    return Codec.DecodeJob(JobId("1"), Body).has_value();
  };
  CHECK(IsAccepted(R"({"steps":[{"count":10000}]})"));
  CHECK_FALSE(IsAccepted(R"({"steps":[{"count":10000},{"count":1}]})"));
  CHECK(IsAccepted(R"({"repetitions":10000,"steps":[{"count":1}]})"));
  CHECK_FALSE(IsAccepted(R"({"repetitions":10000,"steps":[{"count":2}]})"));
  const auto Read = Codec.DecodeJob(
      JobId("1"), R"({"repetitions":10000,"steps":[{"count":10000}]})");
  REQUIRE_FALSE(Read);
  CHECK(Read.error().Message.find("job.steps") != std::string::npos);
}

TEST_CASE(
    "damaged bodies neither crash the decoder nor decode to invalid values") {
  CHECK(rc::check("cut or changed bodies", [] {
    const bool IsExecutor = *rc::gen::arbitrary<bool>();
    std::string Text = IsExecutor ? ExecutorRecord : JobBody;
    const auto Position = *rc::gen::inRange<size_t>(0, Text.size());
    if (*rc::gen::arbitrary<bool>())
      Text.resize(Position);
    else
      Text[Position] = *rc::gen::arbitrary<char>();
    if (IsExecutor) {
      const auto Read = Codec.DecodeExecutor("servers/i-1", Text);
      // RC_ASSERT evaluates its operands separately, so the condition is
      // computed as a whole first.
      const bool IsValid = !Read || (Read.value().Server.Port != 0 &&
                                     Read.value().Capacity.MilliCores >= 0);
      RC_ASSERT(IsValid);
    } else {
      const auto Read = Codec.DecodeJob(JobId("1"), Text);
      const bool IsValid = !Read || !Read.value().Steps.empty();
      RC_ASSERT(IsValid);
    }
  }));
}

TEST_CASE("configurations and waves are decoded") {
  const auto Read = Codec.DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("service":"s","max-attempts":2,"stretch":1.6,"timeout-ms":3000,)"
      R"("advice":{"decision-ms":5,"each-ms":1,"validity-ms":3000}}],)"
      R"("services":[{"name":"s","admission-check":true,"spare":false}],)"
      R"("limits":{"max-body-bytes":1000}})");
  REQUIRE(Read);
  CHECK(Read.value().Queues[0].MaxAttempts == 2);
  CHECK(Read.value().Queues[0].Advice->Validity == std::chrono::seconds(3));
  CHECK(Read.value().MaxBodyBytes == 1000);
  CHECK_FALSE(Codec.DecodeConfiguration(R"({"routes":[],"services":[]})"));
  const auto Wave = Codec.DecodeWave(
      R"({"wave":1,"machines":["m"],"duration-s":20.5,"maximum":2})");
  REQUIRE(Wave);
  CHECK(Wave.value().Length == std::chrono::milliseconds(20500));
  CHECK_FALSE(Codec.DecodeWave(R"({"wave":1,"machines":["m"],"maximum":0})"));
}

namespace {

/// Decodes a configuration with \p Fields besides the required ones.
DecodeResult<FleetConfiguration> decodeWith(const std::string &Fields) {
  return Codec.DecodeConfiguration(R"({"version":1,"routes":[],"services":[])" +
                                   Fields + "}");
}

} // namespace

TEST_CASE("tenants and public queues are decoded") {
  const auto Read = Codec.DecodeConfiguration(
      R"({"version":1,"services":[],"routes":[)"
      R"({"name":"a","host":"h","prefix":"/a/","service":"s"},)"
      R"({"name":"b","host":"h","prefix":"/b/","service":"s","public":true}],)"
      R"("tenants":[{"name":"alder","api-keys":["k1","k2"],"weight":2.5,)"
      R"("priority":3,"maximum":{"cpu":4000,"mem-mb":512,"gpu":1}},)"
      R"({"name":"birch","api-keys":[]}]})");
  REQUIRE(Read);
  CHECK_FALSE(Read.value().Queues[0].IsPublic);
  CHECK(Read.value().Queues[1].IsPublic);
  REQUIRE(Read.value().Tenants.size() == 2);
  const tenants::Tenant &First = Read.value().Tenants[0];
  CHECK(First.Name == TenantName("alder"));
  CHECK(First.Keys == std::vector<std::string>{"k1", "k2"});
  CHECK(First.Weight == 2.5);
  CHECK(First.Maximum.MilliCores == 4000);
  CHECK(First.Maximum.MemoryMb == 512);
  CHECK(First.Maximum.Gpus == 1);
  CHECK(Read.value().Tenants[1].Keys.empty());
  CHECK(Read.value().Tenants[1].Weight == 1);
  CHECK(Read.value().Tenants[1].Maximum.MilliCores == 0);
}

// Guards against an empty list of tenants that opens all queues.
TEST_CASE(
    "keys are required if there is a list of tenants, even an empty one") {
  CHECK_FALSE(decodeWith("").value().RequiresKeys);
  CHECK(decodeWith(R"(,"tenants":[])").value().RequiresKeys);
  CHECK(decodeWith(R"(,"tenants":[{"name":"a"}])").value().RequiresKeys);
}

// Guards against errors that do not name the field, or that show a key in logs.
TEST_CASE(
    "a malformed tenant is rejected with a message that names the field") {
  const std::string Good = R"({"name":"a","api-keys":["secret-1"]})";
  const std::vector<std::pair<std::string, std::string>> Rows = {
      {R"({"name":"b","weight":0})", "tenants[1].weight"},
      {R"({"name":"b","weight":-1})", "tenants[1].weight"},
      {R"({"name":"b","weight":"2"})", "tenants[1].weight"},
      {R"({"api-keys":["secret-2"]})", "tenants[1].name"},
      {R"({"name":""})", "tenants[1].name"},
      {R"({"name":"a"})", "tenants[1].name"},
      {R"({"name":"b","api-keys":"secret-2"})", "tenants[1].api-keys"},
      {R"({"name":"b","api-keys":[7]})", "tenants[1].api-keys"},
      {R"({"name":"b","api-keys":[""]})", "tenants[1].api-keys"},
      {R"({"name":"b","api-keys":["secret-1"]})", "tenants[1].api-keys"},
      {R"({"name":"b","maximum":7})", "tenants[1].maximum"},
      {R"({"name":"b","maximum":{"cpu":-1}})", "tenants[1].maximum.cpu"},
      {R"({"name":"b","maximum":{"mem-mb":0.5}})", "tenants[1].maximum.mem-mb"},
      {R"({"name":"b","maximum":{"gpu":"1"}})", "tenants[1].maximum.gpu"},
      {R"("b")", "tenants[1]"}};
  for (const auto &[Row, Path] : Rows) {
    const auto Read = decodeWith(R"(,"tenants":[)" + Good + "," + Row + "]");
    INFO(Row);
    REQUIRE_FALSE(Read);
    CHECK(Read.error().Message.starts_with(Path));
    CHECK(Read.error().Message.find("secret") == std::string::npos);
  }
  CHECK_FALSE(decodeWith(R"(,"tenants":{})"));
  CHECK_FALSE(Codec.DecodeConfiguration(
      R"({"version":1,"services":[],"routes":[{"name":"a","host":"h",)"
      R"("prefix":"/a/","service":"s","public":"yes"}]})"));
}
