#include "quotarecords.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;

static const TenantName Tenant("acme");

TEST_CASE("grants, answers and records keep their content when encoded") {
  QuotaRecord Record;
  Record.Plan = (uint64_t{7} << 32U) + 3;
  Record.Tenants[Tenant] = {{1000, 2000, 3},
                            {{ServiceName("a"), {400, 700, 1}}}};
  const auto Read = decodeQuotaRecord(encodeQuotaRecord(Record));
  REQUIRE(Read);
  CHECK(Read.value().Plan == Record.Plan);
  CHECK(Read.value().Tenants == Record.Tenants);

  const tenants::QuotaGrants Grants = grantsOf(ServiceName("a"), {Record});
  const auto Granted = decodeQuotaGrants(encodeQuotaGrants(Grants));
  REQUIRE(Granted);
  CHECK(Granted.value().Plan == Record.Plan);
  CHECK(Granted.value().Tenants ==
        std::map<TenantName, tenants::QuotaGrant>{
            {Tenant, {{400, 700, 1}, {1000, 2000, 3}}}});

  QuotaAnswer Answer;
  Answer.ClaimToken = 77;
  Answer.Report.ConfirmedPlan = Record.Plan;
  Answer.Report.Tenants[Tenant] = {
      {1, 2, 3}, {4, 5, 6}, {7, 8, 9}, std::chrono::milliseconds(20)};
  Answer.Report.Tenants[TenantName("idle")] = {};
  const std::string Text = encodeQuotaAnswer(Answer);
  const auto Answered =
      decodeQuotaAnswer(Text, {{Tenant, {}}, {TenantName("idle"), {}}});
  REQUIRE(Answered);
  CHECK(Answered.value().ClaimToken == 77);
  CHECK(Answered.value().Report.ConfirmedPlan == Record.Plan);
  CHECK(Answered.value().Report.Tenants.size() == 2);
  const tenants::QuotaUse &Use = Answered.value().Report.Tenants.at(Tenant);
  CHECK(Use.InUse == ComputeResources{1, 2, 3});
  CHECK(Use.Waiting == ComputeResources{4, 5, 6});
  CHECK(Use.LargestWaiting == ComputeResources{7, 8, 9});
  CHECK(Use.LongestWait == std::chrono::milliseconds(20));
}

// Guards against a planner that does not know a tenant's maximum and is taken
// for one that uses nothing of it.
TEST_CASE("tenants are not filled in if the planner knows others") {
  QuotaAnswer Answer;
  Answer.Report.Tenants[Tenant] = {};
  const auto Read = decodeQuotaAnswer(encodeQuotaAnswer(Answer),
                                      {{Tenant, {}}, {TenantName("new"), {}}});
  REQUIRE(Read);
  CHECK(Read.value().Report.Tenants.empty());
}

TEST_CASE("errors of quota records name the field") {
  const auto CauseOf = [](const std::string &Text) {
    const auto Read = decodeQuotaRecord(Text);
    REQUIRE_FALSE(Read);
    return Read.error().Message;
  };
  using Catch::Contains;
  CHECK_THAT(CauseOf(R"({"tenants": {}})"), Contains("plan"));
  CHECK_THAT(CauseOf(R"({"plan": -1, "tenants": {}})"), Contains("plan"));
  CHECK_THAT(CauseOf(R"({"plan": 1})"), Contains("tenants"));
  CHECK_THAT(CauseOf(R"({"plan": 1, "tenants": {"acme": {"shares": {}}}})"),
             Contains("acme") && Contains("maximum"));
  CHECK_THAT(
      CauseOf(
          R"({"plan": 1, "tenants": {"acme": {"maximum": [1, 2], "shares": {}}}})"),
      Contains("maximum"));
  CHECK_THAT(
      CauseOf(
          R"({"plan": 1, "tenants": {"acme": {"maximum": [1, 2, 3], "shares": {"a": [1, "x", 3]}}}})"),
      Contains("acme") && Contains("shares") && Contains("'a'"));
  const auto Grants = decodeQuotaGrants(
      R"({"plan": 1, "tenants": {"acme": {"maximum": [1, 2, 3]}}})");
  REQUIRE_FALSE(Grants);
  CHECK_THAT(Grants.error().Message, Contains("share"));
  const auto Answer =
      decodeQuotaAnswer(R"({"plan": 1, "names": "", "tenants": {}})", {});
  REQUIRE_FALSE(Answer);
  CHECK_THAT(Answer.error().Message, Contains("token"));
}
