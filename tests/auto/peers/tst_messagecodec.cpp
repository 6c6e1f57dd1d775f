#include "whintack/base/random.h"
#include "whintack/peers/messagecodec.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::peers;

template <typename Body> static Body roundTrip(const Body &Outgoing) {
  const HybridStamp Stamp{WallTime(Duration(123)), 4};
  const auto Read = decodeMessage(encodeMessage({Stamp, Outgoing}));
  REQUIRE(Read);
  REQUIRE(Read->Stamp == Stamp);
  REQUIRE(std::holds_alternative<Body>(Read->Body));
  return std::get<Body>(Read->Body);
}

static routing::Claim makeClaim() {
  routing::Claim Claim;
  Claim.State = routing::ClaimState::Done;
  Claim.Holder = EntryName("e");
  Claim.Request = RequestId("r");
  Claim.Digest = "d";
  Claim.Answer = std::string("\0bin", 4);
  return Claim;
}

TEST_CASE("every message survives encoding and decoding") {
  REQUIRE(
      roundTrip(Hello{EntryName("e"), 5, DataCentreName("d")}).Incarnation ==
      5);
  REQUIRE(roundTrip(Heartbeat{7, true, true, Duration(9)}).HeadRevision == 7);
  REQUIRE(roundTrip(HeadNotice{"head"}).Head == "head");
  REQUIRE(roundTrip(ContentRequest{1, {"a", "b"}}).Digests.size() == 2);
  REQUIRE(roundTrip(ContentAnswer{1, {"x"}}).Contents[0] == "x");
  REQUIRE(roundTrip(routing::LoanRequest{2, ServiceName("s"), 3}).Wanted == 3);
  const routing::GrantedLoan Loan{4, VmName("v"), 6};
  REQUIRE(roundTrip(routing::LoanGrant{2, Duration(8), {Loan}})
              .Loans[0]
              .Incarnation == 6);
  REQUIRE(roundTrip(routing::LoanReturn{{Loan}}).Loans[0].Loan == 4);
  REQUIRE(roundTrip(routing::LeavingNotice{VmName("v"), 2}).Incarnation == 2);
  REQUIRE(roundTrip(ClaimRequest{1, "k", makeClaim()}).Wanted.Answer ==
          std::string("\0bin", 4));
  REQUIRE(roundTrip(ClaimAnswer{1, makeClaim()}).Before.State ==
          routing::ClaimState::Done);
  REQUIRE(roundTrip(ClaimSettle{"k", makeClaim()}).Key == "k");
  REQUIRE(roundTrip(ClaimForget{"k", RequestId("r")}).Request.text() == "r");
  roundTrip(ClaimTableRequest{});
  REQUIRE(roundTrip(ItemsRequest{1, 5, Duration(7)}).Wait == Duration(7));
  const ItemsAnswer Listed = roundTrip(
      ItemsAnswer{1, 6, Duration(2), Duration(3), true, {{"k", 4, 2, "d"}}});
  REQUIRE(Listed.Age == Duration(2));
  REQUIRE(Listed.Held == Duration(3));
  REQUIRE(Listed.IsChanged);
  REQUIRE(Listed.Items.at(0).Depth == 2);
  REQUIRE(Listed.Items.at(0).Root == "d");
  REQUIRE(roundTrip(ClaimTablePart{{{"k", makeClaim()}}, true}).IsLast);
  REQUIRE(roundTrip(RunningRequest{3, {VmName("v"), 4}}).Leaving.Incarnation ==
          4);
  REQUIRE(roundTrip(RunningAnswer{3, 9}).Running == 9);
  TimelineRequest Request;
  Request.Filter.Vm = VmName("v");
  Request.Limit = 10;
  REQUIRE(roundTrip(Request).Filter.Vm == VmName("v"));
  Event StoppedEvent;
  StoppedEvent.Kind = EventKind::WaveStopped;
  StoppedEvent.Text = "t";
  REQUIRE(roundTrip(TimelineAnswer{1, {StoppedEvent}}).Events[0].Kind ==
          EventKind::WaveStopped);
}

TEST_CASE("store calls and their answers survive encoding and decoding") {
  StoreRequest Request;
  Request.Id = 4;
  Request.Call.Kind = store::StoreCallKind::Commit;
  Request.Call.Change.Expect = {{"claim", 9}};
  Request.Call.Change.Puts = {{"key", std::string("\0\xff", 2), 3}};
  Request.Call.Change.Removals = {"old"};
  const store::StoreTransaction Change = roundTrip(Request).Call.Change;
  CHECK(Change.Expect.at(0).Revision == 9);
  CHECK(Change.Puts.at(0).Value == std::string("\0\xff", 2));
  CHECK(Change.Puts.at(0).Lease == 3);
  CHECK(Change.Removals.at(0) == "old");

  StoreRequest Range;
  Range.Call.AfterKey = "k";
  Range.Call.Read = store::ReadKind::Stale;
  CHECK(roundTrip(Range).Call.Read == store::ReadKind::Stale);
  CHECK(roundTrip(Range).Call.AfterKey == "k");

  store::StoreReply Page;
  Page.Page.Items = {{"k", "v", 2, 1}};
  Page.Page.HasMore = true;
  Page.Page.AsOf = 8;
  const auto Read = roundTrip(StoreResponse{5, Page}).Result;
  REQUIRE(Read);
  CHECK(Read.value().Page.Items.at(0).Revision == 2);
  CHECK(Read.value().Page.HasMore);
  CHECK(Read.value().Page.AsOf == 8);

  store::StoreReply Watched;
  Watched.Watched.AsOf = 7;
  Watched.Watched.Changes = {{"gone", 6, std::nullopt}};
  const auto Changes = roundTrip(StoreResponse{5, Watched}).Result;
  REQUIRE(Changes);
  CHECK_FALSE(Changes.value().Watched.Changes.at(0).Item);
  CHECK(Changes.value().Watched.AsOf == 7);

  const auto Failed =
      roundTrip(
          StoreResponse{6, failure(store::StoreError{
                               store::StoreErrorCode::HistoryLost, "dropped"})})
          .Result;
  REQUIRE_FALSE(Failed);
  CHECK(Failed.error().Code == store::StoreErrorCode::HistoryLost);
}

TEST_CASE("calls to executors and their answers survive encoding") {
  const jobs::TaskKey Task{{jobs::JobId("0123456789abcdef"), 3, 1}, 17};
  const jobs::ExecutorAddress To{jobs::ExecutorId("x1"), {"10.0.0.1", 80}};
  ExecutorCalls Calls;
  Calls.Session = 9;
  Calls.SentAt = TimePoint(Duration(-5));
  jobs::ReportRequest Request;
  Request.Token = 7;
  Request.DiscardThrough = 57;
  Request.LeaseUntil = 486000;
  Request.Wait = Duration(1000000);
  const jobs::StartOrder Start{To.Id, Task, 2, "payload", "saved", "ticket"};
  const TimePoint Deadline = TimePoint(Duration(800));
  Calls.Calls = {{1, To, 7, Deadline, Request},
                 {2, To, 7, Deadline, LeasedStart{Start, 481000}},
                 {3, To, 7, Deadline, jobs::StopOrder{To.Id, Task, 2}},
                 {4, To, 7, Deadline, jobs::PaceOrder{To.Id, Task, 2, 40}}};
  const ExecutorCalls Read = roundTrip(Calls);
  CHECK(Read.Session == 9);
  CHECK(Read.SentAt == Calls.SentAt);
  REQUIRE(Read.Calls.size() == 4);
  CHECK(Read.Calls[0].To.Server.Port == 80);
  CHECK(Read.Calls[0].Deadline == Deadline);
  const auto &ReadRequest =
      std::get<jobs::ReportRequest>(Read.Calls[0].Content);
  CHECK(ReadRequest.Token == 7);
  CHECK(ReadRequest.DiscardThrough == 57);
  CHECK(ReadRequest.LeaseUntil == 486000);
  CHECK(ReadRequest.Wait == Request.Wait);
  const auto &ReadStart = std::get<LeasedStart>(Read.Calls[1].Content);
  CHECK(ReadStart.LeaseUntil == 481000);
  CHECK(ReadStart.Order.Task == Task);
  CHECK(ReadStart.Order.TaskPayload == "payload");
  CHECK(ReadStart.Order.Checkpoint == "saved");
  CHECK(ReadStart.Order.Ticket == "ticket");
  CHECK(std::get<jobs::StopOrder>(Read.Calls[2].Content).Run == 2);
  CHECK(std::get<jobs::PaceOrder>(Read.Calls[3].Content).Percent == 40);

  jobs::ExecutorReport Report;
  Report.At = 482113;
  Report.Incarnation = 5;
  Report.Running = {{Task, 2, "saved", 41, 300}};
  Report.Ended = {{58, Task, 1, jobs::RunEnd::Broken, ""}};
  Report.IsTruncated = true;
  const ExecutorAnswers Answers = roundTrip(ExecutorAnswers{
      {{1, jobs::GatewayResult<jobs::ExecutorReport>(Report)},
       {2, jobs::StartAnswer{jobs::StartOutcome::NoRoom, 4, 5}},
       {3, jobs::GatewayResult<jobs::ExecutorTime>(failure(jobs::GatewayError{
               jobs::GatewayErrorCode::Fenced, "later planner"}))},
       {4, NotSent()}}});
  REQUIRE(Answers.Answers.size() == 4);
  const auto &ReadReport = std::get<jobs::GatewayResult<jobs::ExecutorReport>>(
      Answers.Answers[0].Result);
  REQUIRE(ReadReport);
  CHECK(ReadReport.value().Running.at(0).Percent == 41);
  CHECK(ReadReport.value().Running.at(0).Load == 300);
  CHECK(ReadReport.value().Ended.at(0).Outcome == jobs::RunEnd::Broken);
  CHECK(ReadReport.value().Ended.at(0).Number == 58);
  CHECK(ReadReport.value().IsTruncated);
  const auto &Refused = std::get<jobs::StartAnswer>(Answers.Answers[1].Result);
  CHECK(Refused.Outcome == jobs::StartOutcome::NoRoom);
  CHECK(Refused.At == 4);
  const auto &Failed = std::get<jobs::GatewayResult<jobs::ExecutorTime>>(
      Answers.Answers[2].Result);
  REQUIRE_FALSE(Failed);
  CHECK(Failed.error().Code == jobs::GatewayErrorCode::Fenced);
  CHECK(std::holds_alternative<NotSent>(Answers.Answers[3].Result));
}

TEST_CASE(
    "empty messages are rejected and damaged ones do not crash the decoder") {
  const Random Source = seededRandom(11);
  REQUIRE_FALSE(decodeMessage(""));
  const std::string Valid = encodeMessage(
      {HybridStamp(), ClaimTablePart{{{"k", makeClaim()}}, true}});
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Valid;
    const size_t Changes = 1 + Source() % 4;
    for (size_t Change = 0; Change < Changes; ++Change)
      Bytes[Source() % Bytes.size()] = static_cast<char>(Source());
    Bytes.resize(Bytes.size() - Source() % 8);
    // Must not crash; the result does not matter.
    decodeMessage(Bytes);
  }
}
