#include "whintack/standin/platformserver.h"

#include "whintack/store/keyvaluecodec.h"
#include "whintack/store/vmcodec.h"

namespace whintack::standin {

namespace codec = store::codec;
using http::HttpResponse;
using http::jsonResponse;
using store::StoreError;
using store::StoreErrorCode;

PlatformServer::PlatformServer(Address Local, store::KeyValueStore Store,
                               store::VmDirectory Directory,
                               store::WorkerControl Workers, Clock Time,
                               TimerQueue &Timers)
    : Store(std::move(Store)), Directory(std::move(Directory)),
      Workers(std::move(Workers)),
      Server(std::move(Local), http::ServerLimits(), std::move(Time), Timers,
             [this](const http::HttpRequest &Request,
                    const http::Responder &Respond) {
               Respond(this->handleRequest(Request));
             }) {}

Result<void, http::ListenError> PlatformServer::open() {
  return this->Server.open();
}

void PlatformServer::close() { this->Server.close(TimePoint::min()); }

static HttpResponse errorResponse(const StoreError &Error) {
  int Status = http::status::BadRequest;
  if (Error.Code == StoreErrorCode::Unreachable)
    Status = http::status::ServiceUnavailable;
  else if (Error.Code == StoreErrorCode::Ambiguous)
    Status = http::status::GatewayTimeout;
  else if (Error.Code == StoreErrorCode::Conflict)
    Status = http::status::Conflict;
  return jsonResponse(Status, Error.Message);
}

HttpResponse
PlatformServer::handleStoreRequest(const http::HttpRequest &Request) {
  if (Request.Target == codec::RangePath) {
    const codec::Range Wanted = codec::decodeRange(Request.Body);
    if (Wanted.IsPrefix) {
      auto Found = this->Store.List(Wanted.Key);
      if (!Found)
        return errorResponse(Found.error());
      return jsonResponse(http::status::Ok,
                          codec::encodeRangeAnswer(Found.value()));
    }
    auto Found = this->Store.Get(Wanted.Key);
    if (!Found)
      return errorResponse(Found.error());
    std::vector<store::KeyedValue> Items;
    if (Found.value().exists())
      Items.push_back({Wanted.Key, Found.value()});
    return jsonResponse(http::status::Ok, codec::encodeRangeAnswer(Items));
  }
  if (Request.Target == codec::TransactionPath) {
    const codec::Transaction Wanted = codec::decodeTransaction(Request.Body);
    codec::TransactionAnswer Answer;
    if (Wanted.IsRemoval) {
      auto Removed =
          this->Store.Remove(Wanted.Put.Key, Wanted.Put.ExpectedVersion);
      if (!Removed && Removed.error().Code != StoreErrorCode::Conflict)
        return errorResponse(Removed.error());
      Answer.Succeeded = Removed.has_value();
    } else {
      auto Written = this->Store.Put(Wanted.Put);
      if (!Written && Written.error().Code != StoreErrorCode::Conflict)
        return errorResponse(Written.error());
      Answer.Succeeded = Written.has_value();
      Answer.Revision = Written ? Written.value() : 0;
    }
    return jsonResponse(http::status::Ok,
                        codec::encodeTransactionAnswer(Answer));
  }
  const codec::LeaseMessage Wanted = codec::decodeLease(Request.Body);
  if (Request.Target == codec::LeaseGrantPath) {
    auto Granted = this->Store.GrantLease(std::chrono::seconds(Wanted.Seconds));
    if (!Granted)
      return errorResponse(Granted.error());
    return jsonResponse(http::status::Ok,
                        codec::encodeLease({Granted.value(), Wanted.Seconds}));
  }
  const bool IsKeepAlive = Request.Target == codec::LeaseKeepAlivePath;
  auto Done = IsKeepAlive ? this->Store.KeepAlive(Wanted.Id)
                          : this->Store.Revoke(Wanted.Id);
  if (!Done && Done.error().Code != StoreErrorCode::LeaseExpired)
    return errorResponse(Done.error());
  return jsonResponse(http::status::Ok,
                      codec::encodeLease({Wanted.Id, Done ? 1 : 0}));
}

HttpResponse PlatformServer::handleOrder(const std::string &Body) {
  const codec::Order Given = codec::decodeOrder(Body);
  store::StoreResult<void> Done = success();
  switch (Given.Kind) {
  case codec::OrderKind::Drain:
    Done = this->Workers.Drain(Given.Vm, Given.Epoch);
    break;
  case codec::OrderKind::Reboot:
    Done = this->Workers.Reboot(Given.Vm, Given.Incarnation, Given.Epoch);
    break;
  case codec::OrderKind::Assign:
    Done = this->Workers.Assign(Given.Vm, Given.Pool, Given.Epoch);
    break;
  case codec::OrderKind::StartTask:
    Done = this->Workers.StartTask(Given.Start);
    break;
  case codec::OrderKind::Checkpoint:
    Done = this->Workers.Checkpoint(Given.Start.Task, Given.Epoch);
    break;
  case codec::OrderKind::Stop:
    Done = this->Workers.Stop(Given.Start.Task, Given.Epoch);
    break;
  }
  if (!Done)
    return errorResponse(Done.error());
  return jsonResponse(http::status::Ok, "{}");
}

HttpResponse PlatformServer::handleRequest(const http::HttpRequest &Request) {
  try {
    if (Request.Target.starts_with("/v3/"))
      return this->handleStoreRequest(Request);
    if (Request.Target == codec::OrderPath)
      return this->handleOrder(Request.Body);
    if (Request.Target == codec::VmListPath) {
      auto Vms = this->Directory.List();
      if (!Vms)
        return errorResponse(Vms.error());
      return jsonResponse(http::status::Ok, codec::encodeVms(Vms.value()));
    }
    if (Request.Target == codec::TaskListPath) {
      auto Tasks = this->Workers.Report();
      if (!Tasks)
        return errorResponse(Tasks.error());
      return jsonResponse(http::status::Ok, codec::encodeTasks(Tasks.value()));
    }
  } catch (const std::exception &Error) {
    return jsonResponse(http::status::BadRequest, Error.what());
  }
  return jsonResponse(http::status::NotFound, "{}");
}

} // namespace whintack::standin
