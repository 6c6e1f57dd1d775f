#include "whintack/peers/messagecodec.h"

#include "peerwire_generated.h"

namespace whintack::peers {

static std::unique_ptr<wire::LoanT> toWire(const routing::GrantedLoan &Loan) {
  auto Out = std::make_unique<wire::LoanT>();
  Out->id = Loan.Loan;
  Out->executor = Loan.Executor.text();
  Out->incarnation = Loan.Incarnation;
  return Out;
}

static routing::GrantedLoan fromWire(const wire::LoanT &In) {
  return {In.id, VmName(In.executor), In.incarnation};
}

static std::vector<std::unique_ptr<wire::LoanT>>
toWire(const std::vector<routing::GrantedLoan> &Loans) {
  std::vector<std::unique_ptr<wire::LoanT>> Out;
  Out.reserve(Loans.size());
  for (const routing::GrantedLoan &Loan : Loans)
    Out.push_back(toWire(Loan));
  return Out;
}

static std::vector<routing::GrantedLoan>
fromWire(const std::vector<std::unique_ptr<wire::LoanT>> &In) {
  std::vector<routing::GrantedLoan> Loans;
  Loans.reserve(In.size());
  for (const auto &Loan : In)
    Loans.push_back(fromWire(*Loan));
  return Loans;
}

static std::unique_ptr<wire::ClaimT> toWire(const routing::Claim &Claim) {
  auto Out = std::make_unique<wire::ClaimT>();
  Out->state = static_cast<uint8_t>(Claim.State);
  Out->holder = Claim.Holder.text();
  Out->request = Claim.Request.text();
  Out->digest = Claim.Digest;
  Out->answer = Claim.Answer;
  return Out;
}

static routing::Claim fromWire(const std::unique_ptr<wire::ClaimT> &In) {
  routing::Claim Claim;
  Claim.State = routing::ClaimState::Unsure;
  if (!In)
    return Claim;
  if (In->state <= static_cast<uint8_t>(routing::ClaimState::Unsure))
    Claim.State = static_cast<routing::ClaimState>(In->state);
  Claim.Holder = EntryName(In->holder);
  Claim.Request = RequestId(In->request);
  Claim.Digest = In->digest;
  Claim.Answer = In->answer;
  return Claim;
}

static std::unique_ptr<wire::TimelineEventT> toWire(const Event &Event) {
  auto Out = std::make_unique<wire::TimelineEventT>();
  Out->kind = std::string(eventKindName(Event.Kind));
  Out->wall_us = toMicroseconds(Event.Stamp.Wall);
  Out->logical = Event.Stamp.Logical;
  Out->node = Event.Node.text();
  Out->vm = Event.Vm.text();
  Out->service = Event.Service.text();
  Out->request = Event.Request.text();
  Out->operator_name = Event.Operator.text();
  Out->revision = Event.Revision;
  Out->text = Event.Text;
  return Out;
}

static Event fromWire(const wire::TimelineEventT &In) {
  Event Read;
  parseEventKind(In.kind, Read.Kind);
  Read.Stamp = {wallTimeFromMicroseconds(In.wall_us), In.logical};
  Read.Node = EntryName(In.node);
  Read.Vm = VmName(In.vm);
  Read.Service = ServiceName(In.service);
  Read.Request = RequestId(In.request);
  Read.Operator = OperatorName(In.operator_name);
  Read.Revision = In.revision;
  Read.Text = In.text;
  return Read;
}

static std::unique_ptr<wire::StoreItemT> toWire(const store::StoreItem &Item) {
  auto Out = std::make_unique<wire::StoreItemT>();
  Out->key = Item.Key;
  Out->value = Item.Value;
  Out->revision = Item.Revision;
  Out->lease = Item.Lease;
  return Out;
}

static store::StoreItem fromWire(const wire::StoreItemT &In) {
  return {In.key, In.value, In.revision, In.lease};
}

static wire::StoreRequestT toWire(const StoreRequest &Sent) {
  const store::StoreCall &Call = Sent.Call;
  wire::StoreRequestT Out;
  Out.id = Sent.Id;
  Out.kind = static_cast<uint8_t>(Call.Kind);
  Out.prefix = Call.Prefix;
  Out.after_key = Call.AfterKey;
  Out.is_stale = Call.Read == store::ReadKind::Stale;
  Out.after_revision = Call.AfterRevision;
  Out.length_us = static_cast<uint64_t>(Call.Length.count());
  Out.lease = Call.Lease;
  for (const store::ExpectedRevision &Expected : Call.Change.Expect) {
    auto Row = std::make_unique<wire::ExpectedRevisionT>();
    Row->key = Expected.Key;
    Row->revision = Expected.Revision;
    Out.expect.push_back(std::move(Row));
  }
  for (const store::StorePut &Put : Call.Change.Puts) {
    auto Row = std::make_unique<wire::StorePutT>();
    Row->key = Put.Key;
    Row->value = Put.Value;
    Row->lease = Put.Lease;
    Out.puts.push_back(std::move(Row));
  }
  Out.removals = Call.Change.Removals;
  return Out;
}

static std::optional<Message> fromWire(const wire::StoreRequestT &In) {
  if (In.kind >= store::StoreCallNames.size())
    return std::nullopt;
  StoreRequest Read;
  Read.Id = In.id;
  store::StoreCall &Call = Read.Call;
  Call.Kind = static_cast<store::StoreCallKind>(In.kind);
  Call.Prefix = In.prefix;
  Call.AfterKey = In.after_key;
  Call.Read = In.is_stale ? store::ReadKind::Stale : store::ReadKind::Current;
  Call.AfterRevision = In.after_revision;
  Call.Length = Duration(static_cast<int64_t>(In.length_us));
  Call.Lease = In.lease;
  for (const auto &Row : In.expect)
    Call.Change.Expect.push_back({Row->key, Row->revision});
  for (const auto &Row : In.puts)
    Call.Change.Puts.push_back({Row->key, Row->value, Row->lease});
  Call.Change.Removals = In.removals;
  return Read;
}

static wire::StoreResponseT toWire(const StoreResponse &Sent) {
  wire::StoreResponseT Out;
  Out.id = Sent.Id;
  Out.is_failed = !Sent.Result;
  if (!Sent.Result) {
    Out.error = static_cast<uint8_t>(Sent.Result.error().Code);
    Out.message = Sent.Result.error().Message;
    return Out;
  }
  // Only one kind of answer is set, so the shared fields do not clash.
  const store::StoreReply &Reply = Sent.Result.value();
  for (const store::StoreItem &Item : Reply.Page.Items)
    Out.items.push_back(toWire(Item));
  for (const store::StoreItem &Item : Reply.Committed.Current)
    Out.items.push_back(toWire(Item));
  Out.has_more = Reply.Page.HasMore;
  Out.as_of = std::max(Reply.Page.AsOf, Reply.Watched.AsOf);
  for (const store::StoreChange &Change : Reply.Watched.Changes) {
    auto Row = std::make_unique<wire::StoreChangeT>();
    Row->key = Change.Key;
    Row->revision = Change.Revision;
    if (Change.Item)
      Row->item = toWire(*Change.Item);
    Out.changes.push_back(std::move(Row));
  }
  Out.is_committed = Reply.Committed.IsCommitted;
  Out.revision = Reply.Committed.Revision;
  Out.lease = Reply.Lease;
  return Out;
}

static std::optional<Message> fromWire(const wire::StoreResponseT &In) {
  if (In.is_failed) {
    if (In.error >= store::StoreErrorNames.size())
      return std::nullopt;
    return StoreResponse{
        In.id, failure(store::StoreError{
                   static_cast<store::StoreErrorCode>(In.error), In.message})};
  }
  store::StoreReply Reply;
  for (const auto &Item : In.items)
    Reply.Page.Items.push_back(fromWire(*Item));
  Reply.Committed.Current = Reply.Page.Items;
  Reply.Page.HasMore = In.has_more;
  Reply.Page.AsOf = In.as_of;
  Reply.Watched.AsOf = In.as_of;
  for (const auto &Row : In.changes) {
    store::StoreChange Change{Row->key, Row->revision, std::nullopt};
    if (Row->item)
      Change.Item = fromWire(*Row->item);
    Reply.Watched.Changes.push_back(std::move(Change));
  }
  Reply.Committed.IsCommitted = In.is_committed;
  Reply.Committed.Revision = In.revision;
  Reply.Lease = In.lease;
  return StoreResponse{In.id, std::move(Reply)};
}

namespace {

/// Fills the body of an envelope from each kind of message.
struct BodyWriter {
  wire::BodyUnion &Body;

  void operator()(const Hello &Sent) const {
    wire::HelloT Out;
    Out.name = Sent.Name.text();
    Out.incarnation = Sent.Incarnation;
    Out.data_centre = Sent.DataCentre.text();
    this->Body.Set(std::move(Out));
  }
  void operator()(const Heartbeat &Sent) const {
    wire::HeartbeatT Out;
    Out.head_revision = Sent.HeadRevision;
    Out.is_ready = Sent.IsReady;
    Out.hears_you = Sent.HearsYou;
    Out.interval_us = static_cast<uint64_t>(Sent.Interval.count());
    this->Body.Set(Out);
  }
  void operator()(const HeadNotice &Sent) const {
    wire::HeadNoticeT Out;
    Out.head = Sent.Head;
    this->Body.Set(std::move(Out));
  }
  void operator()(const ContentRequest &Sent) const {
    wire::ContentRequestT Out;
    Out.id = Sent.Id;
    Out.digests = Sent.Digests;
    this->Body.Set(std::move(Out));
  }
  void operator()(const ContentAnswer &Sent) const {
    wire::ContentAnswerT Out;
    Out.id = Sent.Id;
    Out.contents = Sent.Contents;
    this->Body.Set(std::move(Out));
  }
  void operator()(const routing::LoanRequest &Sent) const {
    wire::LoanRequestT Out;
    Out.id = Sent.Id;
    Out.service = Sent.Service.text();
    Out.wanted = Sent.Wanted;
    this->Body.Set(std::move(Out));
  }
  void operator()(const routing::LoanGrant &Sent) const {
    wire::LoanGrantT Out;
    Out.id = Sent.Id;
    Out.valid_us = static_cast<uint64_t>(Sent.Valid.count());
    Out.loans = toWire(Sent.Loans);
    this->Body.Set(std::move(Out));
  }
  void operator()(const routing::LoanReturn &Sent) const {
    wire::LoanReturnT Out;
    Out.loans = toWire(Sent.Loans);
    this->Body.Set(std::move(Out));
  }
  void operator()(const routing::LeavingNotice &Sent) const {
    wire::LeavingNoticeT Out;
    Out.executor = Sent.Executor.text();
    Out.incarnation = Sent.Incarnation;
    this->Body.Set(std::move(Out));
  }
  void operator()(const ClaimRequest &Sent) const {
    wire::ClaimRequestT Out;
    Out.id = Sent.Id;
    Out.key = Sent.Key;
    Out.wanted = toWire(Sent.Wanted);
    this->Body.Set(std::move(Out));
  }
  void operator()(const ClaimAnswer &Sent) const {
    wire::ClaimAnswerT Out;
    Out.id = Sent.Id;
    Out.before = toWire(Sent.Before);
    this->Body.Set(std::move(Out));
  }
  void operator()(const ClaimSettle &Sent) const {
    wire::ClaimSettleT Out;
    Out.key = Sent.Key;
    Out.ended = toWire(Sent.Ended);
    this->Body.Set(std::move(Out));
  }
  void operator()(const ClaimForget &Sent) const {
    wire::ClaimForgetT Out;
    Out.key = Sent.Key;
    Out.request = Sent.Request.text();
    this->Body.Set(std::move(Out));
  }
  void operator()(const ClaimTableRequest &) const {
    this->Body.Set(wire::ClaimTableRequestT());
  }
  void operator()(const ClaimTablePart &Sent) const {
    wire::ClaimTablePartT Out;
    for (const routing::KeyedClaim &Keyed : Sent.Claims) {
      auto Row = std::make_unique<wire::KeyedClaimT>();
      Row->key = Keyed.Key;
      Row->claim = toWire(Keyed.Kept);
      Out.claims.push_back(std::move(Row));
    }
    Out.is_last = Sent.IsLast;
    this->Body.Set(std::move(Out));
  }
  void operator()(const RunningRequest &Sent) const {
    wire::RunningRequestT Out;
    Out.id = Sent.Id;
    Out.vm = Sent.Leaving.Executor.text();
    Out.incarnation = Sent.Leaving.Incarnation;
    this->Body.Set(std::move(Out));
  }
  void operator()(const RunningAnswer &Sent) const {
    wire::RunningAnswerT Out;
    Out.id = Sent.Id;
    Out.running = Sent.Running;
    this->Body.Set(Out);
  }
  void operator()(const TimelineRequest &Sent) const {
    wire::TimelineRequestT Out;
    Out.id = Sent.Id;
    Out.vm = Sent.Filter.Vm.text();
    Out.service = Sent.Filter.Service.text();
    Out.request = Sent.Filter.Request.text();
    Out.operator_name = Sent.Filter.Operator.text();
    Out.revision = Sent.Filter.Revision;
    Out.limit = Sent.Limit;
    this->Body.Set(std::move(Out));
  }
  void operator()(const TimelineAnswer &Sent) const {
    wire::TimelineAnswerT Out;
    Out.id = Sent.Id;
    for (const Event &One : Sent.Events)
      Out.events.push_back(toWire(One));
    this->Body.Set(std::move(Out));
  }
  void operator()(const ServiceCall &Sent) const {
    wire::ServiceCallT Out;
    Out.id = Sent.Id;
    Out.service = Sent.Service.text();
    Out.kind = static_cast<uint8_t>(Sent.Kind);
    Out.subject = Sent.Subject;
    Out.content = Sent.Content;
    this->Body.Set(std::move(Out));
  }
  void operator()(const ServiceAnswer &Sent) const {
    wire::ServiceAnswerT Out;
    Out.id = Sent.Id;
    Out.outcome = static_cast<uint8_t>(Sent.Outcome);
    Out.content = Sent.Content;
    this->Body.Set(std::move(Out));
  }
  void operator()(const StoreRequest &Sent) const {
    this->Body.Set(toWire(Sent));
  }
  void operator()(const StoreResponse &Sent) const {
    this->Body.Set(toWire(Sent));
  }
};

} // namespace

static Duration toDuration(uint64_t Microseconds) {
  return Duration(static_cast<int64_t>(Microseconds));
}

static Message fromWire(const wire::ClaimTablePartT &In) {
  ClaimTablePart Part;
  for (const auto &Row : In.claims)
    Part.Claims.push_back({Row->key, fromWire(Row->claim)});
  Part.IsLast = In.is_last;
  return Part;
}

static Message fromWire(const wire::TimelineRequestT &In) {
  TimelineRequest Request;
  Request.Id = In.id;
  Request.Filter.Vm = VmName(In.vm);
  Request.Filter.Service = ServiceName(In.service);
  Request.Filter.Request = RequestId(In.request);
  Request.Filter.Operator = OperatorName(In.operator_name);
  Request.Filter.Revision = In.revision;
  Request.Limit = In.limit;
  return Request;
}

static Message fromWire(const wire::TimelineAnswerT &In) {
  TimelineAnswer Answer;
  Answer.Id = In.id;
  for (const auto &Row : In.events)
    Answer.Events.push_back(fromWire(*Row));
  return Answer;
}

static std::optional<Message> readClaimBody(wire::BodyUnion &In) {
  switch (In.type) {
  case wire::Body::ClaimRequest: {
    const auto *Read = In.AsClaimRequest();
    return ClaimRequest{Read->id, Read->key, fromWire(Read->wanted)};
  }
  case wire::Body::ClaimAnswer: {
    const auto *Read = In.AsClaimAnswer();
    return ClaimAnswer{Read->id, fromWire(Read->before)};
  }
  case wire::Body::ClaimSettle: {
    const auto *Read = In.AsClaimSettle();
    return ClaimSettle{Read->key, fromWire(Read->ended)};
  }
  case wire::Body::ClaimForget: {
    const auto *Read = In.AsClaimForget();
    return ClaimForget{Read->key, RequestId(Read->request)};
  }
  case wire::Body::ClaimTableRequest:
    return ClaimTableRequest();
  case wire::Body::ClaimTablePart:
    return fromWire(*In.AsClaimTablePart());
  default:
    return std::nullopt;
  }
}

static std::optional<Message> readRoutingBody(wire::BodyUnion &In) {
  switch (In.type) {
  case wire::Body::LoanRequest: {
    const auto *Read = In.AsLoanRequest();
    return routing::LoanRequest{Read->id, ServiceName(Read->service),
                                Read->wanted};
  }
  case wire::Body::LoanGrant: {
    const auto *Read = In.AsLoanGrant();
    return routing::LoanGrant{Read->id, toDuration(Read->valid_us),
                              fromWire(Read->loans)};
  }
  case wire::Body::LoanReturn:
    return routing::LoanReturn{fromWire(In.AsLoanReturn()->loans)};
  case wire::Body::LeavingNotice: {
    const auto *Read = In.AsLeavingNotice();
    return routing::LeavingNotice{VmName(Read->executor), Read->incarnation};
  }
  case wire::Body::RunningRequest: {
    const auto *Read = In.AsRunningRequest();
    return RunningRequest{Read->id, {VmName(Read->vm), Read->incarnation}};
  }
  case wire::Body::RunningAnswer: {
    const auto *Read = In.AsRunningAnswer();
    return RunningAnswer{Read->id, Read->running};
  }
  default:
    return std::nullopt;
  }
}

static std::optional<Message> readServiceBody(wire::BodyUnion &In) {
  if (const auto *Read = In.AsServiceCall()) {
    if (Read->kind >= ServiceCallNames.size())
      return std::nullopt;
    return ServiceCall{Read->id, ServiceName(Read->service),
                       static_cast<ServiceCallKind>(Read->kind), Read->subject,
                       Read->content};
  }
  if (const auto *Read = In.AsServiceAnswer()) {
    if (Read->outcome >= ServiceOutcomeNames.size())
      return std::nullopt;
    return ServiceAnswer{Read->id, static_cast<ServiceOutcome>(Read->outcome),
                         Read->content};
  }
  if (const auto *Read = In.AsStoreRequest())
    return fromWire(*Read);
  if (const auto *Read = In.AsStoreResponse())
    return fromWire(*Read);
  return std::nullopt;
}

static std::optional<Message> readBody(wire::BodyUnion &In) {
  switch (In.type) {
  case wire::Body::Hello: {
    const auto *Read = In.AsHello();
    return Hello{EntryName(Read->name), Read->incarnation,
                 DataCentreName(Read->data_centre)};
  }
  case wire::Body::Heartbeat: {
    const auto *Read = In.AsHeartbeat();
    return Heartbeat{Read->head_revision, Read->is_ready, Read->hears_you,
                     toDuration(Read->interval_us)};
  }
  case wire::Body::HeadNotice:
    return HeadNotice{In.AsHeadNotice()->head};
  case wire::Body::ContentRequest: {
    const auto *Read = In.AsContentRequest();
    return ContentRequest{Read->id, Read->digests};
  }
  case wire::Body::ContentAnswer: {
    const auto *Read = In.AsContentAnswer();
    return ContentAnswer{Read->id, Read->contents};
  }
  case wire::Body::TimelineRequest:
    return fromWire(*In.AsTimelineRequest());
  case wire::Body::TimelineAnswer:
    return fromWire(*In.AsTimelineAnswer());
  default:
    break;
  }
  if (std::optional<Message> Read = readRoutingBody(In))
    return Read;
  if (std::optional<Message> Read = readServiceBody(In))
    return Read;
  return readClaimBody(In);
}

std::string encodeMessage(const StampedMessage &Sent) {
  wire::EnvelopeT Envelope;
  Envelope.wall_us = toMicroseconds(Sent.Stamp.Wall);
  Envelope.logical = Sent.Stamp.Logical;
  std::visit(BodyWriter{Envelope.body}, Sent.Body);
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
  // A valid frame may name a kind of body and yet hold none.
  if (!Envelope.body.value)
    return std::nullopt;
  std::optional<Message> Body = readBody(Envelope.body);
  if (!Body)
    return std::nullopt;
  StampedMessage Read;
  Read.Stamp = {wallTimeFromMicroseconds(Envelope.wall_us), Envelope.logical};
  Read.Body = std::move(*Body);
  return Read;
}

} // namespace whintack::peers
