#include "whintack/peers/messagecodec.h"

#include "executorcallcodec.h"
#include "peerwire_generated.h"
#include "storecallcodec.h"

namespace whintack::peers {

static std::unique_ptr<wire::LoanT> toWire(const routing::GrantedLoan &Loan) {
  auto Table = std::make_unique<wire::LoanT>();
  Table->id = Loan.Loan;
  Table->executor = Loan.Executor.text();
  Table->incarnation = Loan.Incarnation;
  return Table;
}

static routing::GrantedLoan fromWire(const wire::LoanT &Table) {
  return {Table.id, VmName(Table.executor), Table.incarnation};
}

static std::vector<std::unique_ptr<wire::LoanT>>
toWire(const std::vector<routing::GrantedLoan> &Loans) {
  std::vector<std::unique_ptr<wire::LoanT>> Tables;
  Tables.reserve(Loans.size());
  for (const routing::GrantedLoan &Loan : Loans)
    Tables.push_back(toWire(Loan));
  return Tables;
}

static std::vector<routing::GrantedLoan>
fromWire(const std::vector<std::unique_ptr<wire::LoanT>> &Tables) {
  std::vector<routing::GrantedLoan> Loans;
  Loans.reserve(Tables.size());
  for (const auto &Loan : Tables)
    Loans.push_back(fromWire(*Loan));
  return Loans;
}

static std::unique_ptr<wire::ClaimT> toWire(const routing::Claim &Claim) {
  auto Table = std::make_unique<wire::ClaimT>();
  Table->state = static_cast<uint8_t>(Claim.State);
  Table->holder = Claim.Holder.text();
  Table->request = Claim.Request.text();
  Table->digest = Claim.Digest;
  Table->answer = Claim.Answer;
  return Table;
}

static routing::Claim fromWire(const std::unique_ptr<wire::ClaimT> &Table) {
  routing::Claim Claim;
  Claim.State = routing::ClaimState::Unsure;
  if (!Table)
    return Claim;
  if (Table->state <= static_cast<uint8_t>(routing::ClaimState::Unsure))
    Claim.State = static_cast<routing::ClaimState>(Table->state);
  Claim.Holder = EntryName(Table->holder);
  Claim.Request = RequestId(Table->request);
  Claim.Digest = Table->digest;
  Claim.Answer = Table->answer;
  return Claim;
}

static std::unique_ptr<wire::TimelineEventT> toWire(const Event &Event) {
  auto Table = std::make_unique<wire::TimelineEventT>();
  Table->kind = std::string(eventKindName(Event.Kind));
  Table->wall_us = toMicroseconds(Event.Stamp.Wall);
  Table->logical = Event.Stamp.Logical;
  Table->node = Event.Node.text();
  Table->vm = Event.Vm.text();
  Table->service = Event.Service.text();
  Table->request = Event.Request.text();
  Table->operator_name = Event.Operator.text();
  Table->revision = Event.Revision;
  Table->text = Event.Text;
  return Table;
}

static Event fromWire(const wire::TimelineEventT &Table) {
  Event Read;
  parseEventKind(Table.kind, Read.Kind);
  Read.Stamp = {wallTimeFromMicroseconds(Table.wall_us), Table.logical};
  Read.Node = EntryName(Table.node);
  Read.Vm = VmName(Table.vm);
  Read.Service = ServiceName(Table.service);
  Read.Request = RequestId(Table.request);
  Read.Operator = OperatorName(Table.operator_name);
  Read.Revision = Table.revision;
  Read.Text = Table.text;
  return Read;
}

namespace {

/// Visitor that writes a message into the body of an envelope.
struct BodyWriter {
  wire::BodyUnion &Body;

  void operator()(const Hello &Outgoing) const {
    wire::HelloT Table;
    Table.name = Outgoing.Name.text();
    Table.incarnation = Outgoing.Incarnation;
    Table.data_centre = Outgoing.DataCentre.text();
    this->Body.Set(std::move(Table));
  }
  void operator()(const Heartbeat &Outgoing) const {
    wire::HeartbeatT Table;
    Table.head_revision = Outgoing.HeadRevision;
    Table.is_ready = Outgoing.IsReady;
    Table.hears_you = Outgoing.HearsReceiver;
    Table.interval_us = static_cast<uint64_t>(Outgoing.Interval.count());
    this->Body.Set(Table);
  }
  void operator()(const HeadNotice &Outgoing) const {
    wire::HeadNoticeT Table;
    Table.head = Outgoing.Head;
    this->Body.Set(std::move(Table));
  }
  void operator()(const ContentRequest &Outgoing) const {
    wire::ContentRequestT Table;
    Table.id = Outgoing.Id;
    Table.digests = Outgoing.Digests;
    this->Body.Set(std::move(Table));
  }
  void operator()(const ContentAnswer &Outgoing) const {
    wire::ContentAnswerT Table;
    Table.id = Outgoing.Id;
    Table.contents = Outgoing.Contents;
    this->Body.Set(std::move(Table));
  }
  void operator()(const routing::LoanRequest &Outgoing) const {
    wire::LoanRequestT Table;
    Table.id = Outgoing.Id;
    Table.service = Outgoing.Service.text();
    Table.wanted = Outgoing.Wanted;
    this->Body.Set(std::move(Table));
  }
  void operator()(const routing::LoanGrant &Outgoing) const {
    wire::LoanGrantT Table;
    Table.id = Outgoing.Id;
    Table.valid_us = static_cast<uint64_t>(Outgoing.Validity.count());
    Table.loans = toWire(Outgoing.Loans);
    this->Body.Set(std::move(Table));
  }
  void operator()(const routing::LoanReturn &Outgoing) const {
    wire::LoanReturnT Table;
    Table.loans = toWire(Outgoing.Loans);
    this->Body.Set(std::move(Table));
  }
  void operator()(const routing::LeavingNotice &Outgoing) const {
    wire::LeavingNoticeT Table;
    Table.executor = Outgoing.Executor.text();
    Table.incarnation = Outgoing.Incarnation;
    this->Body.Set(std::move(Table));
  }
  void operator()(const ClaimRequest &Outgoing) const {
    wire::ClaimRequestT Table;
    Table.id = Outgoing.Id;
    Table.key = Outgoing.Key;
    Table.wanted = toWire(Outgoing.Wanted);
    this->Body.Set(std::move(Table));
  }
  void operator()(const ClaimAnswer &Outgoing) const {
    wire::ClaimAnswerT Table;
    Table.id = Outgoing.Id;
    Table.before = toWire(Outgoing.Before);
    this->Body.Set(std::move(Table));
  }
  void operator()(const ClaimSettle &Outgoing) const {
    wire::ClaimSettleT Table;
    Table.key = Outgoing.Key;
    Table.ended = toWire(Outgoing.Ended);
    this->Body.Set(std::move(Table));
  }
  void operator()(const ClaimForget &Outgoing) const {
    wire::ClaimForgetT Table;
    Table.key = Outgoing.Key;
    Table.request = Outgoing.Request.text();
    this->Body.Set(std::move(Table));
  }
  void operator()(const ClaimTableRequest &) const {
    this->Body.Set(wire::ClaimTableRequestT());
  }
  void operator()(const ClaimTablePart &Outgoing) const {
    wire::ClaimTablePartT Table;
    for (const routing::KeyedClaim &Keyed : Outgoing.Claims) {
      auto Row = std::make_unique<wire::KeyedClaimT>();
      Row->key = Keyed.Key;
      Row->claim = toWire(Keyed.Value);
      Table.claims.push_back(std::move(Row));
    }
    Table.is_last = Outgoing.IsLast;
    this->Body.Set(std::move(Table));
  }
  void operator()(const RunningRequest &Outgoing) const {
    wire::RunningRequestT Table;
    Table.id = Outgoing.Id;
    Table.vm = Outgoing.Leaving.Executor.text();
    Table.incarnation = Outgoing.Leaving.Incarnation;
    this->Body.Set(std::move(Table));
  }
  void operator()(const RunningAnswer &Outgoing) const {
    wire::RunningAnswerT Table;
    Table.id = Outgoing.Id;
    Table.running = Outgoing.Running;
    this->Body.Set(Table);
  }
  void operator()(const TimelineRequest &Outgoing) const {
    wire::TimelineRequestT Table;
    Table.id = Outgoing.Id;
    Table.vm = Outgoing.Filter.Vm.text();
    Table.service = Outgoing.Filter.Service.text();
    Table.request = Outgoing.Filter.Request.text();
    Table.operator_name = Outgoing.Filter.Operator.text();
    Table.revision = Outgoing.Filter.Revision;
    Table.limit = Outgoing.Limit;
    this->Body.Set(std::move(Table));
  }
  void operator()(const TimelineAnswer &Outgoing) const {
    wire::TimelineAnswerT Table;
    Table.id = Outgoing.Id;
    for (const Event &TimelineEvent : Outgoing.Events)
      Table.events.push_back(toWire(TimelineEvent));
    this->Body.Set(std::move(Table));
  }
  void operator()(const ServiceCall &Outgoing) const {
    wire::ServiceCallT Table;
    Table.id = Outgoing.Id;
    Table.service = Outgoing.Service.text();
    Table.kind = static_cast<uint8_t>(Outgoing.Kind);
    Table.subject = Outgoing.Subject;
    Table.content = Outgoing.Content;
    this->Body.Set(std::move(Table));
  }
  void operator()(const ServiceAnswer &Outgoing) const {
    wire::ServiceAnswerT Table;
    Table.id = Outgoing.Id;
    Table.outcome = static_cast<uint8_t>(Outgoing.Outcome);
    Table.content = Outgoing.Content;
    this->Body.Set(std::move(Table));
  }
  void operator()(const StoreRequest &Outgoing) const {
    this->Body.Set(Internal::toWire(Outgoing));
  }
  void operator()(const StoreResponse &Outgoing) const {
    this->Body.Set(Internal::toWire(Outgoing));
  }
  void operator()(const ExecutorCalls &Outgoing) const {
    this->Body.Set(Internal::toWire(Outgoing));
  }
  void operator()(const ExecutorAnswers &Outgoing) const {
    this->Body.Set(Internal::toWire(Outgoing));
  }
  void operator()(const ItemsRequest &Outgoing) const {
    wire::ItemsRequestT Table;
    Table.id = Outgoing.Id;
    Table.as_of = Outgoing.AsOf;
    Table.wait_us = static_cast<uint64_t>(Outgoing.Wait.count());
    this->Body.Set(Table);
  }
  void operator()(const ItemsAnswer &Outgoing) const {
    wire::ItemsAnswerT Table;
    Table.id = Outgoing.Id;
    Table.as_of = Outgoing.AsOf;
    Table.age_us = static_cast<uint64_t>(Outgoing.Age.count());
    Table.held_us = static_cast<uint64_t>(Outgoing.Held.count());
    Table.is_changed = Outgoing.IsChanged;
    for (const ItemSummary &Item : Outgoing.Items) {
      auto Row = std::make_unique<wire::ItemSummaryT>();
      Row->key = Item.Key;
      Row->revision = Item.Revision;
      Row->depth = Item.Depth;
      Row->root = Item.Root;
      Table.items.push_back(std::move(Row));
    }
    this->Body.Set(std::move(Table));
  }
};

} // namespace

static Duration toDuration(uint64_t Microseconds) {
  return Duration(static_cast<int64_t>(Microseconds));
}

static Message fromWire(const wire::ClaimTablePartT &Table) {
  ClaimTablePart Part;
  for (const auto &Row : Table.claims)
    Part.Claims.push_back({Row->key, fromWire(Row->claim)});
  Part.IsLast = Table.is_last;
  return Part;
}

static Message fromWire(const wire::TimelineRequestT &Table) {
  TimelineRequest Request;
  Request.Id = Table.id;
  Request.Filter.Vm = VmName(Table.vm);
  Request.Filter.Service = ServiceName(Table.service);
  Request.Filter.Request = RequestId(Table.request);
  Request.Filter.Operator = OperatorName(Table.operator_name);
  Request.Filter.Revision = Table.revision;
  Request.Limit = Table.limit;
  return Request;
}

static Message fromWire(const wire::TimelineAnswerT &Table) {
  TimelineAnswer Answer;
  Answer.Id = Table.id;
  for (const auto &Row : Table.events)
    Answer.Events.push_back(fromWire(*Row));
  return Answer;
}

static Message fromWire(const wire::ItemsAnswerT &Table) {
  ItemsAnswer Answer;
  Answer.Id = Table.id;
  Answer.AsOf = Table.as_of;
  Answer.Age = toDuration(Table.age_us);
  Answer.Held = toDuration(Table.held_us);
  Answer.IsChanged = Table.is_changed;
  for (const auto &Row : Table.items)
    Answer.Items.push_back({Row->key, Row->revision, Row->depth, Row->root});
  return Answer;
}

static std::optional<Message> decodeClaimBody(wire::BodyUnion &Body) {
  switch (Body.type) {
  case wire::Body::ClaimRequest: {
    const auto *Read = Body.AsClaimRequest();
    return ClaimRequest{Read->id, Read->key, fromWire(Read->wanted)};
  }
  case wire::Body::ClaimAnswer: {
    const auto *Read = Body.AsClaimAnswer();
    return ClaimAnswer{Read->id, fromWire(Read->before)};
  }
  case wire::Body::ClaimSettle: {
    const auto *Read = Body.AsClaimSettle();
    return ClaimSettle{Read->key, fromWire(Read->ended)};
  }
  case wire::Body::ClaimForget: {
    const auto *Read = Body.AsClaimForget();
    return ClaimForget{Read->key, RequestId(Read->request)};
  }
  case wire::Body::ClaimTableRequest:
    return ClaimTableRequest();
  case wire::Body::ClaimTablePart:
    return fromWire(*Body.AsClaimTablePart());
  default:
    return std::nullopt;
  }
}

static std::optional<Message> decodeRoutingBody(wire::BodyUnion &Body) {
  switch (Body.type) {
  case wire::Body::LoanRequest: {
    const auto *Read = Body.AsLoanRequest();
    return routing::LoanRequest{Read->id, ServiceName(Read->service),
                                Read->wanted};
  }
  case wire::Body::LoanGrant: {
    const auto *Read = Body.AsLoanGrant();
    return routing::LoanGrant{Read->id, toDuration(Read->valid_us),
                              fromWire(Read->loans)};
  }
  case wire::Body::LoanReturn:
    return routing::LoanReturn{fromWire(Body.AsLoanReturn()->loans)};
  case wire::Body::LeavingNotice: {
    const auto *Read = Body.AsLeavingNotice();
    return routing::LeavingNotice{VmName(Read->executor), Read->incarnation};
  }
  case wire::Body::RunningRequest: {
    const auto *Read = Body.AsRunningRequest();
    return RunningRequest{Read->id, {VmName(Read->vm), Read->incarnation}};
  }
  case wire::Body::RunningAnswer: {
    const auto *Read = Body.AsRunningAnswer();
    return RunningAnswer{Read->id, Read->running};
  }
  default:
    return std::nullopt;
  }
}

static std::optional<Message> decodeServiceBody(wire::BodyUnion &Body) {
  if (const auto *Read = Body.AsServiceCall()) {
    if (Read->kind >= ServiceCallNames.size())
      return std::nullopt;
    return ServiceCall{Read->id, ServiceName(Read->service),
                       static_cast<ServiceCallKind>(Read->kind), Read->subject,
                       Read->content};
  }
  if (const auto *Read = Body.AsServiceAnswer()) {
    if (Read->outcome >= ServiceOutcomeNames.size())
      return std::nullopt;
    return ServiceAnswer{Read->id, static_cast<ServiceOutcome>(Read->outcome),
                         Read->content};
  }
  if (const auto *Read = Body.AsStoreRequest())
    return Internal::fromWire(*Read);
  if (const auto *Read = Body.AsStoreResponse())
    return Internal::fromWire(*Read);
  if (const auto *Read = Body.AsExecutorCalls())
    return Internal::fromWire(*Read);
  if (const auto *Read = Body.AsExecutorAnswers())
    return Internal::fromWire(*Read);
  if (const auto *Read = Body.AsItemsRequest())
    return ItemsRequest{Read->id, Read->as_of, toDuration(Read->wait_us)};
  if (const auto *Read = Body.AsItemsAnswer())
    return fromWire(*Read);
  return std::nullopt;
}

static std::optional<Message> decodeBody(wire::BodyUnion &Body) {
  switch (Body.type) {
  case wire::Body::Hello: {
    const auto *Read = Body.AsHello();
    return Hello{EntryName(Read->name), Read->incarnation,
                 DataCentreName(Read->data_centre)};
  }
  case wire::Body::Heartbeat: {
    const auto *Read = Body.AsHeartbeat();
    return Heartbeat{Read->head_revision, Read->is_ready, Read->hears_you,
                     toDuration(Read->interval_us)};
  }
  case wire::Body::HeadNotice:
    return HeadNotice{Body.AsHeadNotice()->head};
  case wire::Body::ContentRequest: {
    const auto *Read = Body.AsContentRequest();
    return ContentRequest{Read->id, Read->digests};
  }
  case wire::Body::ContentAnswer: {
    const auto *Read = Body.AsContentAnswer();
    return ContentAnswer{Read->id, Read->contents};
  }
  case wire::Body::TimelineRequest:
    return fromWire(*Body.AsTimelineRequest());
  case wire::Body::TimelineAnswer:
    return fromWire(*Body.AsTimelineAnswer());
  default:
    break;
  }
  if (std::optional<Message> Read = decodeRoutingBody(Body))
    return Read;
  if (std::optional<Message> Read = decodeServiceBody(Body))
    return Read;
  return decodeClaimBody(Body);
}

std::string encodeMessage(const StampedMessage &Outgoing) {
  wire::EnvelopeT Envelope;
  Envelope.wall_us = toMicroseconds(Outgoing.Stamp.Wall);
  Envelope.logical = Outgoing.Stamp.Logical;
  std::visit(BodyWriter{Envelope.body}, Outgoing.Body);
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::CreateEnvelope(Builder, &Envelope));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

std::optional<StampedMessage> decodeMessage(std::string_view Bytes) {
  const auto *Start = reinterpret_cast<const uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Start, Bytes.size());
  if (!wire::VerifyEnvelopeBuffer(Verifier))
    return std::nullopt;
  wire::EnvelopeT Envelope;
  wire::GetEnvelope(Start)->UnPackTo(&Envelope);
  // A buffer that passes verification may name a type of body without having
  // one.
  if (!Envelope.body.value)
    return std::nullopt;
  std::optional<Message> Body = decodeBody(Envelope.body);
  if (!Body)
    return std::nullopt;
  StampedMessage Read;
  Read.Stamp = {wallTimeFromMicroseconds(Envelope.wall_us), Envelope.logical};
  Read.Body = std::move(*Body);
  return Read;
}

} // namespace whintack::peers
