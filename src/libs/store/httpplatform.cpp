#include "whintack/store/httpplatform.h"

#include "whintack/store/keyvaluecodec.h"
#include "whintack/store/vmcodec.h"

namespace whintack::store {

/// Largest answer that is taken in, in bytes.
static constexpr size_t MaxAnswerBytes = 64U << 20U;

HttpPlatform::HttpPlatform(Address Server, Duration CallTimeout, Clock Time,
                           TimerQueue &Timers, http::ClientTls Tls)
    : Server(std::move(Server)), CallTimeout(CallTimeout),
      Time(std::move(Time)), Timers(Timers), Tls(std::move(Tls)) {}

static StoreError fromHttp(const http::HttpError &Error) {
  const auto Code = Error.isNeverSent() ? StoreErrorCode::Unreachable
                                        : StoreErrorCode::Ambiguous;
  return {Code, Error.Message};
}

static http::HttpRequest requestFor(const std::string &Method,
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

static StoreResult<std::string> bodyOf(http::HttpResult Answer) {
  if (!Answer)
    return failure(fromHttp(Answer.error()));
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

StoreResult<std::string> HttpPlatform::call(const std::string &Method,
                                            const std::string &Path,
                                            const std::string &Body) {
  return bodyOf(http::callAndWait(this->Server, requestFor(Method, Path, Body),
                                  this->Time.Now() + this->CallTimeout,
                                  this->Timers, this->Tls));
}

StoreResult<std::string> HttpPlatform::read(const std::string &Method,
                                            const std::string &Path,
                                            const std::string &Body) {
  std::shared_ptr<http::HttpConnection> Connection;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Idle.empty()) {
      Connection = std::move(this->Idle.back());
      this->Idle.pop_back();
    }
  }
  if (!Connection)
    Connection = std::make_shared<http::HttpConnection>(
        this->Server, MaxAnswerBytes, this->Timers, this->Tls);
  http::HttpResult Answer =
      http::sendAndWait(*Connection, requestFor(Method, Path, Body),
                        this->Time.Now() + this->CallTimeout);
  if (Answer) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Idle.push_back(std::move(Connection));
  }
  return bodyOf(std::move(Answer));
}

/// Turns the text of an answer into a value, and what decoding throws into an
/// error of this layer.
template <typename Decode>
static auto decoded(StoreResult<std::string> Answer, Decode Read)
    -> StoreResult<decltype(Read(std::string()))> {
  if (!Answer)
    return failure(std::move(Answer).error());
  try {
    return Read(Answer.value());
  } catch (const std::exception &Error) {
    return failure(StoreError{StoreErrorCode::BadAnswer, Error.what()});
  }
}

static StoreResult<void> withoutValue(StoreResult<std::string> Answer) {
  if (!Answer)
    return failure(std::move(Answer).error());
  return success();
}

static StoreResult<uint64_t>
versionAfter(StoreResult<codec::TransactionAnswer> Answer) {
  if (!Answer)
    return failure(std::move(Answer).error());
  if (!Answer.value().Succeeded)
    return failure(
        StoreError{StoreErrorCode::Conflict, "the value has changed"});
  return Answer.value().Revision;
}

static StoreResult<void>
leaseStillHeld(StoreResult<codec::LeaseMessage> Answer) {
  if (!Answer)
    return failure(std::move(Answer).error());
  if (Answer.value().Seconds == 0)
    return failure(
        StoreError{StoreErrorCode::LeaseLapsed, "the lease has lapsed"});
  return success();
}

KeyValueStore HttpPlatform::store() {
  KeyValueStore Store;
  Store.List = [this](const std::string &Prefix) {
    return decoded(this->read("POST", codec::RangePath,
                              codec::encodeRange({Prefix, true})),
                   codec::decodeRangeAnswer);
  };
  Store.Get = [this](const std::string &Key) -> StoreResult<VersionedValue> {
    auto Found = decoded(
        this->read("POST", codec::RangePath, codec::encodeRange({Key, false})),
        codec::decodeRangeAnswer);
    if (!Found)
      return failure(std::move(Found).error());
    if (Found.value().empty())
      return VersionedValue();
    return std::move(Found.value().front().Stored);
  };
  Store.Put = [this](const ConditionalPut &Put) {
    return versionAfter(
        decoded(this->call("POST", codec::TransactionPath,
                           codec::encodeTransaction({Put, false})),
                codec::decodeTransactionAnswer));
  };
  Store.Remove = [this](const std::string &Key,
                        uint64_t Version) -> StoreResult<void> {
    const ConditionalPut Removal{Key, Version, "", 0};
    auto After = versionAfter(
        decoded(this->call("POST", codec::TransactionPath,
                           codec::encodeTransaction({Removal, true})),
                codec::decodeTransactionAnswer));
    if (!After)
      return failure(std::move(After).error());
    return success();
  };
  Store.GrantLease = [this](Duration Length) -> StoreResult<LeaseId> {
    const auto Seconds =
        std::chrono::duration_cast<std::chrono::seconds>(Length).count();
    auto Granted = decoded(this->call("POST", codec::LeaseGrantPath,
                                      codec::encodeLease({0, Seconds})),
                           codec::decodeLease);
    if (!Granted)
      return failure(std::move(Granted).error());
    return Granted.value().Id;
  };
  Store.KeepAlive = [this](LeaseId Lease) {
    return leaseStillHeld(decoded(this->call("POST", codec::LeaseKeepAlivePath,
                                             codec::encodeLease({Lease, 0})),
                                  codec::decodeLease));
  };
  Store.Revoke = [this](LeaseId Lease) {
    return withoutValue(this->call("POST", codec::LeaseRevokePath,
                                   codec::encodeLease({Lease, 0})));
  };
  return Store;
}

VmDirectory HttpPlatform::directory() {
  VmDirectory Directory;
  Directory.List = [this] {
    return decoded(this->read("GET", codec::VmListPath, ""), codec::decodeVms);
  };
  return Directory;
}

WorkerControl HttpPlatform::workers() {
  const auto Give = [this](const codec::Order &Given) {
    return withoutValue(
        this->call("POST", codec::OrderPath, codec::encodeOrder(Given)));
  };
  WorkerControl Control;
  Control.Drain = [Give](const VmName &Vm, uint64_t Epoch) {
    codec::Order Given;
    Given.Kind = codec::OrderKind::Drain;
    Given.Vm = Vm;
    Given.Epoch = Epoch;
    return Give(Given);
  };
  Control.Reboot = [Give](const VmName &Vm, uint64_t Incarnation,
                          uint64_t Epoch) {
    codec::Order Given;
    Given.Kind = codec::OrderKind::Reboot;
    Given.Vm = Vm;
    Given.Incarnation = Incarnation;
    Given.Epoch = Epoch;
    return Give(Given);
  };
  Control.Assign = [Give](const VmName &Vm, const PoolName &Pool,
                          uint64_t Epoch) {
    codec::Order Given;
    Given.Kind = codec::OrderKind::Assign;
    Given.Vm = Vm;
    Given.Pool = Pool;
    Given.Epoch = Epoch;
    return Give(Given);
  };
  Control.StartTask = [Give](const TaskStart &Start) {
    codec::Order Given;
    Given.Kind = codec::OrderKind::StartTask;
    Given.Vm = Start.Worker;
    Given.Epoch = Start.Epoch;
    Given.Start = Start;
    return Give(Given);
  };
  const auto OrderTask = [Give](codec::OrderKind Kind, const TaskId &Task,
                                uint64_t Epoch) {
    codec::Order Given;
    Given.Kind = Kind;
    Given.Epoch = Epoch;
    Given.Start.Task = Task;
    return Give(Given);
  };
  Control.Checkpoint = [OrderTask](const TaskId &Task, uint64_t Epoch) {
    return OrderTask(codec::OrderKind::Checkpoint, Task, Epoch);
  };
  Control.Stop = [OrderTask](const TaskId &Task, uint64_t Epoch) {
    return OrderTask(codec::OrderKind::Stop, Task, Epoch);
  };
  Control.Report = [this] {
    return decoded(this->read("GET", codec::TaskListPath, ""),
                   codec::decodeTasks);
  };
  return Control;
}

} // namespace whintack::store
