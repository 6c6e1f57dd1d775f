#include "executorcallcodec.h"

namespace whintack::peers::Internal {

/// What a call asks for, by its place in ExecutorCall::Content.
enum class CallKind : uint8_t { Report, Start, Stop, Pace };
/// What an answer holds, by its place in ExecutorResult.
enum class AnswerKind : uint8_t { NotSent, Report, Start, Confirmation };

template <typename Table>
static void writeTask(const jobs::TaskKey &Task, Table &Row) {
  Row.job = Task.Step.Job.text();
  Row.occurrence = Task.Step.Occurrence;
  Row.step = Task.Step.Index;
  Row.index = Task.Index;
}

template <typename Table> static jobs::TaskKey readTask(const Table &Row) {
  return {{jobs::JobId(Row.job), Row.occurrence, Row.step}, Row.index};
}

static TimePoint toTimePoint(int64_t Microseconds) {
  return TimePoint(Duration(Microseconds));
}

namespace {

/// Visitor that writes what a call asks for into its table.
class ContentWriter {
public:
  explicit ContentWriter(wire::ExecutorCallT &Row) : Row(Row) {}

  void operator()(const jobs::ReportRequest &Request) const {
    this->Row.discard_through = Request.DiscardThrough;
    this->Row.has_lease = Request.LeaseUntil.has_value();
    this->Row.lease_until = Request.LeaseUntil.value_or(0);
    this->Row.wait_us = Request.Wait.count();
  }
  void operator()(const LeasedStart &Start) const {
    this->writeOrder(Start.Order);
    this->Row.payload = Start.Order.TaskPayload;
    this->Row.checkpoint = Start.Order.Checkpoint;
    this->Row.ticket = Start.Order.Ticket;
    this->Row.lease_until = Start.LeaseUntil;
  }
  void operator()(const jobs::StopOrder &Order) const {
    this->writeOrder(Order);
  }
  void operator()(const jobs::PaceOrder &Order) const {
    this->writeOrder(Order);
    this->Row.percent = Order.Percent;
  }

private:
  template <typename Order> void writeOrder(const Order &Written) const {
    writeTask(Written.Task, this->Row);
    this->Row.run = Written.Run;
  }

  wire::ExecutorCallT &Row;
};

} // namespace

wire::ExecutorCallsT toWire(const ExecutorCalls &Outgoing) {
  wire::ExecutorCallsT Table;
  Table.session = Outgoing.Session;
  Table.sent_us = Outgoing.SentAt.time_since_epoch().count();
  Table.calls.reserve(Outgoing.Calls.size());
  for (const ExecutorCall &Call : Outgoing.Calls) {
    auto Row = std::make_unique<wire::ExecutorCallT>();
    Row->id = Call.Id;
    Row->kind = static_cast<uint8_t>(Call.Content.index());
    Row->executor = Call.To.Id.text();
    Row->ip = Call.To.Server.Ip;
    Row->port = Call.To.Server.Port;
    Row->token = Call.Token;
    Row->deadline_us = Call.Deadline.time_since_epoch().count();
    std::visit(ContentWriter(*Row), Call.Content);
    Table.calls.push_back(std::move(Row));
  }
  return Table;
}

static std::optional<ExecutorCall> fromWire(const wire::ExecutorCallT &Row) {
  ExecutorCall Call;
  Call.Id = Row.id;
  Call.To = {jobs::ExecutorId(Row.executor), Address{Row.ip, Row.port}};
  Call.Token = Row.token;
  Call.Deadline = toTimePoint(Row.deadline_us);
  switch (static_cast<CallKind>(Row.kind)) {
  case CallKind::Report: {
    jobs::ReportRequest Request;
    Request.Token = Row.token;
    Request.DiscardThrough = Row.discard_through;
    if (Row.has_lease)
      Request.LeaseUntil = Row.lease_until;
    Request.Wait = Duration(Row.wait_us);
    Call.Content = Request;
    return Call;
  }
  case CallKind::Start:
    Call.Content = LeasedStart{{Call.To.Id, readTask(Row), Row.run, Row.payload,
                                Row.checkpoint, Row.ticket},
                               Row.lease_until};
    return Call;
  case CallKind::Stop:
    Call.Content = jobs::StopOrder{Call.To.Id, readTask(Row), Row.run};
    return Call;
  case CallKind::Pace:
    Call.Content =
        jobs::PaceOrder{Call.To.Id, readTask(Row), Row.run, Row.percent};
    return Call;
  }
  return std::nullopt;
}

std::optional<ExecutorCalls> fromWire(const wire::ExecutorCallsT &Table) {
  ExecutorCalls Read;
  Read.Session = Table.session;
  Read.SentAt = toTimePoint(Table.sent_us);
  Read.Calls.reserve(Table.calls.size());
  for (const auto &Row : Table.calls) {
    std::optional<ExecutorCall> Call = fromWire(*Row);
    if (!Call)
      return std::nullopt;
    Read.Calls.push_back(std::move(*Call));
  }
  return Read;
}

namespace {

/// Visitor that writes the result of a call into its table.
class ResultWriter {
public:
  explicit ResultWriter(wire::ExecutorAnswerT &Row) : Row(Row) {}

  void operator()(const NotSent &) const {}
  void
  operator()(const jobs::GatewayResult<jobs::ExecutorReport> &Answer) const {
    if (!Answer) {
      this->writeError(Answer.error());
      return;
    }
    const jobs::ExecutorReport &Report = Answer.value();
    this->Row.at = Report.At;
    this->Row.incarnation = Report.Incarnation;
    this->Row.is_truncated = Report.IsTruncated;
    this->Row.running.reserve(Report.Running.size());
    for (const jobs::RunReport &Run : Report.Running) {
      auto Each = std::make_unique<wire::ReportedRunT>();
      writeTask(Run.Task, *Each);
      Each->run = Run.Run;
      Each->checkpoint = Run.Checkpoint;
      Each->percent = Run.Percent;
      Each->load = Run.Load;
      this->Row.running.push_back(std::move(Each));
    }
    this->Row.ended.reserve(Report.Ended.size());
    for (const jobs::EndReport &End : Report.Ended) {
      auto Each = std::make_unique<wire::ReportedEndT>();
      writeTask(End.Task, *Each);
      Each->number = End.Number;
      Each->run = End.Run;
      Each->outcome = static_cast<uint8_t>(End.Outcome);
      Each->checkpoint = End.Checkpoint;
      this->Row.ended.push_back(std::move(Each));
    }
  }
  void operator()(const jobs::StartAnswer &Answer) const {
    this->Row.outcome = static_cast<uint8_t>(Answer.Outcome);
    this->Row.has_time = Answer.At.has_value();
    this->Row.at = Answer.At.value_or(0);
    this->Row.incarnation = Answer.Incarnation;
  }
  void operator()(const jobs::GatewayResult<jobs::ExecutorTime> &Answer) const {
    if (Answer)
      this->Row.at = Answer.value();
    else
      this->writeError(Answer.error());
  }

private:
  void writeError(const jobs::GatewayError &Cause) const {
    this->Row.is_failed = true;
    this->Row.error = static_cast<uint8_t>(Cause.Code);
    this->Row.message = Cause.Message;
  }

  wire::ExecutorAnswerT &Row;
};

} // namespace

wire::ExecutorAnswersT toWire(const ExecutorAnswers &Outgoing) {
  wire::ExecutorAnswersT Table;
  Table.answers.reserve(Outgoing.Answers.size());
  for (const ExecutorAnswer &Answer : Outgoing.Answers) {
    auto Row = std::make_unique<wire::ExecutorAnswerT>();
    Row->id = Answer.Id;
    Row->kind = static_cast<uint8_t>(Answer.Result.index());
    std::visit(ResultWriter(*Row), Answer.Result);
    Table.answers.push_back(std::move(Row));
  }
  return Table;
}

static std::optional<jobs::ExecutorReport>
readReport(const wire::ExecutorAnswerT &Row) {
  jobs::ExecutorReport Report;
  Report.At = Row.at;
  Report.Incarnation = Row.incarnation;
  Report.IsTruncated = Row.is_truncated;
  Report.Running.reserve(Row.running.size());
  for (const auto &Run : Row.running)
    Report.Running.push_back(
        {readTask(*Run), Run->run, Run->checkpoint, Run->percent, Run->load});
  Report.Ended.reserve(Row.ended.size());
  for (const auto &End : Row.ended) {
    if (End->outcome >= jobs::RunEndNames.size())
      return std::nullopt;
    Report.Ended.push_back({End->number, readTask(*End), End->run,
                            static_cast<jobs::RunEnd>(End->outcome),
                            End->checkpoint});
  }
  return Report;
}

static std::optional<ExecutorResult>
readResult(const wire::ExecutorAnswerT &Row) {
  if (Row.error >= jobs::GatewayErrorNames.size() ||
      Row.outcome >= jobs::StartOutcomeNames.size())
    return std::nullopt;
  const jobs::GatewayError Cause{static_cast<jobs::GatewayErrorCode>(Row.error),
                                 Row.message};
  switch (static_cast<AnswerKind>(Row.kind)) {
  case AnswerKind::NotSent:
    return NotSent();
  case AnswerKind::Report: {
    if (Row.is_failed)
      return jobs::GatewayResult<jobs::ExecutorReport>(
          failure(jobs::GatewayError(Cause)));
    std::optional<jobs::ExecutorReport> Report = readReport(Row);
    if (!Report)
      return std::nullopt;
    return jobs::GatewayResult<jobs::ExecutorReport>(std::move(*Report));
  }
  case AnswerKind::Start: {
    jobs::StartAnswer Answer;
    Answer.Outcome = static_cast<jobs::StartOutcome>(Row.outcome);
    if (Row.has_time)
      Answer.At = Row.at;
    Answer.Incarnation = Row.incarnation;
    return Answer;
  }
  case AnswerKind::Confirmation:
    if (Row.is_failed)
      return jobs::GatewayResult<jobs::ExecutorTime>(
          failure(jobs::GatewayError(Cause)));
    return jobs::GatewayResult<jobs::ExecutorTime>(jobs::ExecutorTime(Row.at));
  }
  return std::nullopt;
}

std::optional<ExecutorAnswers> fromWire(const wire::ExecutorAnswersT &Table) {
  ExecutorAnswers Read;
  Read.Answers.reserve(Table.answers.size());
  for (const auto &Row : Table.answers) {
    std::optional<ExecutorResult> Result = readResult(*Row);
    if (!Result)
      return std::nullopt;
    Read.Answers.push_back({Row->id, std::move(*Result)});
  }
  return Read;
}

} // namespace whintack::peers::Internal
