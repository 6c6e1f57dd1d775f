#include "whintack/store/httpplatform.h"

#include "whintack/store/keyvaluecodec.h"
#include "whintack/store/vmcodec.h"

namespace whintack::store {

/// Maximum size of an answer, in bytes.
static constexpr size_t MaxAnswerBytes = 64U << 20U;

HttpPlatform::HttpPlatform(Address Server, Duration CallTimeout, Clock Time,
                           TimerQueue &Timers, http::ClientTls Tls)
    : Server(std::move(Server)), CallTimeout(CallTimeout),
      Time(std::move(Time)), Timers(Timers), Tls(std::move(Tls)) {}

static StoreError toStoreError(const http::HttpError &Error) {
  const auto Code = Error.isNeverSent() ? StoreErrorCode::Unreachable
                                        : StoreErrorCode::Ambiguous;
  return {Code, Error.Message};
}

static http::HttpRequest makeRequest(const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body) {
  http::HttpRequest Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Body = Body;
  if (!Body.empty())
    Request.Headers.set("Content-Type", "application/json");
  return Request;
}

/// Returns the body of a successful answer, and an error for a failed call or
/// any other status.
static StoreResult<std::string> bodyOrError(http::HttpResult Answer) {
  if (!Answer)
    return failure(toStoreError(Answer.error()));
  if (Answer.value().Status == http::status::Ok)
    return std::move(Answer.value().Body);
  if (Answer.value().Status == http::status::Conflict)
    return failure(StoreError{StoreErrorCode::Conflict, Answer.value().Body});
  if (Answer.value().Status == http::status::ServiceUnavailable ||
      Answer.value().Status == http::status::TooManyRequests)
    return failure(
        StoreError{StoreErrorCode::Unreachable, Answer.value().Body});
  return failure(StoreError{StoreErrorCode::BadAnswer,
                            std::to_string(Answer.value().Status) + " " +
                                Answer.value().Body});
}

StoreResult<std::string> HttpPlatform::sendWrite(const std::string &Method,
                                                 const std::string &Path,
                                                 const std::string &Body) {
  return bodyOrError(http::callAndWait(
      this->Server, makeRequest(Method, Path, Body),
      this->Time.Now() + this->CallTimeout, this->Timers, this->Tls));
}

StoreResult<std::string> HttpPlatform::sendRead(const std::string &Method,
                                                const std::string &Path,
                                                const std::string &Body) {
  std::shared_ptr<http::HttpConnection> Connection;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->IdleConnections.empty()) {
      Connection = std::move(this->IdleConnections.back());
      this->IdleConnections.pop_back();
    }
  }
  const http::HttpRequest Request = makeRequest(Method, Path, Body);
  const TimePoint Deadline = this->Time.Now() + this->CallTimeout;
  const auto Connect = [this] {
    return std::make_shared<http::HttpConnection>(this->Server, MaxAnswerBytes,
                                                  this->Timers, this->Tls);
  };
  if (!Connection)
    Connection = Connect();
  http::HttpResult Answer = http::sendAndWait(*Connection, Request, Deadline);
  if (!Answer && Answer.error().WasStale) {
    Connection = Connect();
    Answer = http::sendAndWait(*Connection, Request, Deadline);
  }
  if (Answer) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->IdleConnections.push_back(std::move(Connection));
  }
  return bodyOrError(std::move(Answer));
}

/// Decodes the body of an answer, and converts an exception of the decoder into
/// BadAnswer.
template <typename Decoder>
static auto decodeAnswer(StoreResult<std::string> Answer, Decoder Decode)
    -> StoreResult<decltype(Decode(std::string()))> {
  if (!Answer)
    return failure(std::move(Answer).error());
  try {
    return Decode(Answer.value());
  } catch (const std::exception &Error) {
    return failure(StoreError{StoreErrorCode::BadAnswer, Error.what()});
  }
}

static StoreResult<void> discardBody(StoreResult<std::string> Answer) {
  if (!Answer)
    return failure(std::move(Answer).error());
  return success();
}

static StoreResult<uint64_t>
versionOrConflict(StoreResult<codec::TransactionAnswer> Answer) {
  if (!Answer)
    return failure(std::move(Answer).error());
  if (!Answer.value().Succeeded)
    return failure(
        StoreError{StoreErrorCode::Conflict, "the value has changed"});
  return Answer.value().Revision;
}

static StoreResult<void> checkLease(StoreResult<codec::LeaseMessage> Answer) {
  if (!Answer)
    return failure(std::move(Answer).error());
  if (Answer.value().Seconds == 0)
    return failure(
        StoreError{StoreErrorCode::LeaseExpired, "the lease has lapsed"});
  return success();
}

KeyValueStore HttpPlatform::store() {
  KeyValueStore Store;
  Store.List = [this](const std::string &Prefix) {
    return decodeAnswer(this->sendRead("POST", codec::RangePath,
                                       codec::encodeRange({Prefix, true})),
                        codec::decodeRangeAnswer);
  };
  Store.Get = [this](const std::string &Key) -> StoreResult<VersionedValue> {
    auto Found = decodeAnswer(this->sendRead("POST", codec::RangePath,
                                             codec::encodeRange({Key, false})),
                              codec::decodeRangeAnswer);
    if (!Found)
      return failure(std::move(Found).error());
    if (Found.value().empty())
      return VersionedValue();
    return std::move(Found.value().front().Stored);
  };
  Store.Put = [this](const ConditionalPut &Put) {
    return versionOrConflict(
        decodeAnswer(this->sendWrite("POST", codec::TransactionPath,
                                     codec::encodeTransaction({Put, false})),
                     codec::decodeTransactionAnswer));
  };
  Store.Remove = [this](const std::string &Key,
                        uint64_t Version) -> StoreResult<void> {
    const ConditionalPut Removal{Key, Version, "", 0};
    auto After = versionOrConflict(
        decodeAnswer(this->sendWrite("POST", codec::TransactionPath,
                                     codec::encodeTransaction({Removal, true})),
                     codec::decodeTransactionAnswer));
    if (!After)
      return failure(std::move(After).error());
    return success();
  };
  Store.GrantLease = [this](Duration Length) -> StoreResult<LeaseId> {
    const auto Seconds =
        std::chrono::duration_cast<std::chrono::seconds>(Length).count();
    auto Granted =
        decodeAnswer(this->sendWrite("POST", codec::LeaseGrantPath,
                                     codec::encodeLease({0, Seconds})),
                     codec::decodeLease);
    if (!Granted)
      return failure(std::move(Granted).error());
    return Granted.value().Id;
  };
  Store.KeepAlive = [this](LeaseId Lease) {
    return checkLease(
        decodeAnswer(this->sendWrite("POST", codec::LeaseKeepAlivePath,
                                     codec::encodeLease({Lease, 0})),
                     codec::decodeLease));
  };
  Store.Revoke = [this](LeaseId Lease) {
    return discardBody(this->sendWrite("POST", codec::LeaseRevokePath,
                                       codec::encodeLease({Lease, 0})));
  };
  return Store;
}

VmDirectory HttpPlatform::directory() {
  VmDirectory Directory;
  Directory.List = [this] {
    return decodeAnswer(this->sendRead("GET", codec::VmListPath, ""),
                        codec::decodeVms);
  };
  return Directory;
}

WorkerControl HttpPlatform::workers() {
  const auto SendOrder = [this](const codec::Order &Request) {
    return discardBody(
        this->sendWrite("POST", codec::OrderPath, codec::encodeOrder(Request)));
  };
  WorkerControl Control;
  Control.Drain = [SendOrder](const VmName &Vm, uint64_t Epoch) {
    codec::Order Request;
    Request.Kind = codec::OrderKind::Drain;
    Request.Vm = Vm;
    Request.Epoch = Epoch;
    return SendOrder(Request);
  };
  Control.Reboot = [SendOrder](const VmName &Vm, uint64_t Incarnation,
                               uint64_t Epoch) {
    codec::Order Request;
    Request.Kind = codec::OrderKind::Reboot;
    Request.Vm = Vm;
    Request.Incarnation = Incarnation;
    Request.Epoch = Epoch;
    return SendOrder(Request);
  };
  Control.Assign = [SendOrder](const VmName &Vm, const PoolName &Pool,
                               uint64_t Epoch) {
    codec::Order Request;
    Request.Kind = codec::OrderKind::Assign;
    Request.Vm = Vm;
    Request.Pool = Pool;
    Request.Epoch = Epoch;
    return SendOrder(Request);
  };
  Control.StartTask = [SendOrder](const TaskStart &Start) {
    codec::Order Request;
    Request.Kind = codec::OrderKind::StartTask;
    Request.Vm = Start.Worker;
    Request.Epoch = Start.Epoch;
    Request.Start = Start;
    return SendOrder(Request);
  };
  const auto SendTaskOrder = [SendOrder](codec::OrderKind Kind,
                                         const TaskId &Task, uint64_t Epoch) {
    codec::Order Request;
    Request.Kind = Kind;
    Request.Epoch = Epoch;
    Request.Start.Task = Task;
    return SendOrder(Request);
  };
  Control.Checkpoint = [SendTaskOrder](const TaskId &Task, uint64_t Epoch) {
    return SendTaskOrder(codec::OrderKind::Checkpoint, Task, Epoch);
  };
  Control.Stop = [SendTaskOrder](const TaskId &Task, uint64_t Epoch) {
    return SendTaskOrder(codec::OrderKind::Stop, Task, Epoch);
  };
  Control.Report = [this] {
    return decodeAnswer(this->sendRead("GET", codec::TaskListPath, ""),
                        codec::decodeTasks);
  };
  return Control;
}

} // namespace whintack::store
