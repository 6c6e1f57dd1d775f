#include "whintack/entry/forwarder.h"

#include "connectionpool.h"

#include "whintack/base/callbackgate.h"

#include <mutex>
#include <unordered_map>

namespace whintack::entry {

using routing::AttemptResult;
using routing::RequestHandle;
using routing::Router;
using routing::RouterActions;

static constexpr int MisdirectedRequest = 421;
static constexpr int FirstServerError = 500;

namespace Internal {

/// A request that is not completed yet.
struct PendingRequest {
  ForwardRequest Request;
  ForwardDone Done;
};

} // namespace Internal

class Forwarder::Private
    : public std::enable_shared_from_this<Forwarder::Private> {
public:
  Private(routing::RouterIdentity Identity, routing::ChoicePolicy Policy,
          ForwarderLimits Limits, ForwarderHooks Hooks, const Clock &Time,
          const Random &Source, TimerQueue &Timers, EventJournal &Journal)
      : Limits(Limits), Hooks(std::move(Hooks)), Time(Time), Timers(Timers),
        Journal(Journal), RequestRouter(std::move(Identity), Policy, Source),
        Connections(this->Hooks.Connect, Time) {}

  using RouterStep = std::function<RouterActions(Router &, TimePoint)>;

  void runRouter(const RouterStep &Step);
  void scheduleTick();
  void carryOut(RouterActions Actions);
  void send(const routing::SendAction &Sent, bool IsRepeated);
  /// Repeats an attempt whose used connection broke before an answer began;
  /// returns false otherwise.
  bool repeatIfStale(const routing::SendAction &Sent,
                     const Internal::PooledConnection &Used,
                     const http::HttpResult &Answer);
  void endAttempt(RequestHandle Handle, Internal::PooledConnection Used,
                  bool IsRepeated, http::HttpResult Answer);
  void probe(const routing::ProbeAction &Ordered);
  void complete(RequestHandle Handle, ForwardResult Result);
  void giveUpPending();
  std::shared_ptr<Internal::PendingRequest>
  findPending(RequestHandle Handle) const;
  AttemptResult classify(const Internal::PendingRequest &Pending,
                         const http::HttpResult &Answer) const;

  ForwarderLimits Limits;
  ForwarderHooks Hooks;
  Clock Time;
  TimerQueue &Timers;
  EventJournal &Journal;
  mutable std::mutex Mutex;
  Router RequestRouter;
  TimePoint NextTick = TimePoint::max();
  RequestHandle LastHandle = 0;
  std::unordered_map<RequestHandle, std::shared_ptr<Internal::PendingRequest>>
      Requests;
  Internal::ConnectionPool Connections;
  /// Closed before the owner destroys what the references and hooks refer to.
  CallbackGate Gate;
};

void Forwarder::Private::runRouter(const RouterStep &Step) {
  RouterActions Actions;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Actions = Step(this->RequestRouter, this->Time.Now());
    this->scheduleTick();
  }
  this->carryOut(std::move(Actions));
}

void Forwarder::Private::scheduleTick() {
  const TimePoint Next = this->RequestRouter.nextDeadline();
  if (Next >= this->NextTick)
    return;
  this->NextTick = Next;
  const std::weak_ptr<Private> Weak = this->weak_from_this();
  this->Timers.schedule(Next, [Weak] {
    const std::shared_ptr<Private> Self = Weak.lock();
    if (!Self)
      return;
    Self->Gate.run([&Self] {
      Self->runRouter([&Self](Router &RequestRouter, TimePoint Now) {
        Self->NextTick = TimePoint::max();
        return RequestRouter.tick(Now);
      });
    });
  });
}

void Forwarder::Private::carryOut(RouterActions Actions) {
  for (Event &Noted : Actions.Events)
    this->Journal.record(std::move(Noted));
  for (const VmName &Executor : Actions.DroppedConnections)
    this->Connections.closeIdle(Executor);
  for (const auto &Action : Actions.LoanReturns)
    this->Hooks.SendToPeer(Action.Peer, Action.Message);
  for (const auto &Action : Actions.LoanGrants)
    this->Hooks.SendToPeer(Action.Peer, Action.Message);
  for (const auto &Action : Actions.LoanRequests)
    this->Hooks.SendToPeer(Action.Peer, Action.Message);
  for (const routing::LeavingNotice &Notice : Actions.Notices)
    this->Hooks.Broadcast(Notice);
  for (const routing::SendAction &Sent : Actions.Sends)
    this->send(Sent, false);
  for (const routing::ProbeAction &Ordered : Actions.Probes)
    this->probe(Ordered);
  for (const routing::OutcomeAction &Answer : Actions.Answers) {
    ForwardResult Result;
    Result.Outcome = Answer.Outcome;
    Result.Reason = Answer.Reason;
    Result.RetryAfter = Answer.RetryAfter;
    this->complete(Answer.Request, std::move(Result));
  }
}

std::shared_ptr<Internal::PendingRequest>
Forwarder::Private::findPending(RequestHandle Handle) const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Requests.find(Handle);
  return Found == this->Requests.end() ? nullptr : Found->second;
}

void Forwarder::Private::complete(RequestHandle Handle, ForwardResult Result) {
  std::shared_ptr<Internal::PendingRequest> Pending;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Requests.find(Handle);
    if (Found == this->Requests.end())
      return;
    Pending = std::move(Found->second);
    this->Requests.erase(Found);
  }
  if (Result.Outcome == routing::RequestOutcome::Unknown) {
    Event Noted;
    Noted.Kind = EventKind::RequestUnknown;
    Noted.Service = Pending->Request.Info.Service;
    Noted.Request = Pending->Request.Id;
    Noted.Text =
        std::string(nameOf(routing::OutcomeReasonNames, Result.Reason));
    this->Journal.record(std::move(Noted));
  }
  Pending->Done(std::move(Result));
}

void Forwarder::Private::giveUpPending() {
  std::vector<RequestHandle> Handles;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const auto &[Handle, Pending] : this->Requests)
      Handles.push_back(Handle);
  }
  ForwardResult GivenUp;
  GivenUp.Outcome = routing::RequestOutcome::Unknown;
  GivenUp.Reason = routing::OutcomeReason::Stopping;
  for (const RequestHandle Handle : Handles)
    this->complete(Handle, GivenUp);
}

void Forwarder::Private::send(const routing::SendAction &Sent,
                              bool IsRepeated) {
  const std::shared_ptr<Internal::PendingRequest> Pending =
      this->findPending(Sent.Request);
  if (!Pending)
    return;
  int64_t Allowance = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Allowance = this->RequestRouter.connectionAllowance(Sent.Executor);
  }
  auto Acquired = this->Connections.acquire(
      Sent.Executor, Sent.NeedsFreshConnection || IsRepeated, Allowance);
  if (!Acquired) {
    const AttemptResult Result =
        IsRepeated ? AttemptResult::Broken : AttemptResult::NeverSent;
    this->runRouter([&Sent, Result](Router &RequestRouter, TimePoint Now) {
      return RequestRouter.finish({Sent.Request, Result, false}, Now);
    });
    return;
  }
  http::HttpRequest Content = Pending->Request.Content;
  const Duration Left = Sent.Deadline - this->Time.Now();
  Content.Headers.set(header::Deadline, std::to_string(std::max<int64_t>(
                                            1, toMilliseconds(Left))));
  Content.Headers.set(header::RequestId, Pending->Request.Id.text());
  Content.Headers.set(header::Service, Pending->Request.Info.Service.text());
  const auto Self = this->shared_from_this();
  const Internal::PooledConnection Used = *Acquired;
  Used.Connection->send(
      Content, Sent.Deadline,
      [Self, Sent, Used, IsRepeated](http::HttpResult Answer) {
        Self->Gate.run([&] {
          if (!Self->repeatIfStale(Sent, Used, Answer))
            Self->endAttempt(Sent.Request, Used, IsRepeated, std::move(Answer));
        });
      });
}

bool Forwarder::Private::repeatIfStale(const routing::SendAction &Sent,
                                       const Internal::PooledConnection &Used,
                                       const http::HttpResult &Answer) {
  if (Answer || !Answer.error().WasStale || !this->findPending(Sent.Request))
    return false;
  this->Connections.release(Used, false);
  // The server has probably closed the others, too.
  this->Connections.closeIdle(Sent.Executor);
  this->send(Sent, true);
  return true;
}

AttemptResult
Forwarder::Private::classify(const Internal::PendingRequest &Pending,
                             const http::HttpResult &Answer) const {
  if (!Answer) {
    switch (Answer.error().Code) {
    case http::HttpErrorCode::NotConnected:
    case http::HttpErrorCode::BadRequest:
      return AttemptResult::NeverSent;
    case http::HttpErrorCode::TimedOut:
      return AttemptResult::TimedOut;
    case http::HttpErrorCode::TooLarge:
      return AttemptResult::TooLarge;
    case http::HttpErrorCode::Broken:
      return AttemptResult::Broken;
    }
  }
  const http::HttpResponse &Response = Answer.value();
  const auto AnsweredId = Response.Headers.find(header::RequestId);
  // The answer belongs to another request; it must not reach this caller.
  if (AnsweredId && *AnsweredId != Pending.Request.Id.text())
    return AttemptResult::Broken;
  const bool IsRefusal =
      Response.Status == MisdirectedRequest ||
      (Response.Status == http::status::ServiceUnavailable &&
       Response.Headers.find(header::Outcome).value_or("") == "not-run");
  if (IsRefusal)
    return AttemptResult::RefusedByServer;
  return Response.Status >= FirstServerError
             ? AttemptResult::AnsweredWithFailure
             : AttemptResult::Answered;
}

void Forwarder::Private::endAttempt(RequestHandle Handle,
                                    Internal::PooledConnection Used,
                                    bool IsRepeated, http::HttpResult Answer) {
  const std::shared_ptr<Internal::PendingRequest> Pending =
      this->findPending(Handle);
  const VmName Executor = Used.Executor;
  AttemptResult Result = AttemptResult::Broken;
  bool IsLeaving = false;
  if (Pending)
    Result = this->classify(*Pending, Answer);
  // What the server answers to the second copy says nothing about the first.
  if (IsRepeated && (Result == AttemptResult::NeverSent ||
                     Result == AttemptResult::RefusedByServer))
    Result = AttemptResult::Broken;
  const bool IsComplete = Answer.has_value() && Result != AttemptResult::Broken;
  if (IsComplete)
    IsLeaving = Answer.value().Headers.find(header::ServerState).value_or("") ==
                "leaving";
  this->Connections.release(std::move(Used), IsComplete);
  const bool IsAnswered = Result == AttemptResult::Answered ||
                          Result == AttemptResult::AnsweredWithFailure;
  const auto CompleteRequest = [&] {
    ForwardResult Ended;
    Ended.Outcome = routing::RequestOutcome::Done;
    Ended.Answer = std::move(Answer).value();
    Ended.Executor = Executor;
    this->complete(Handle, std::move(Ended));
  };
  const auto ReportResult = [&] {
    this->runRouter([&](Router &RequestRouter, TimePoint Now) {
      return RequestRouter.finish({Handle, Result, IsLeaving}, Now);
    });
  };
  if (!IsAnswered) {
    ReportResult();
  } else if (IsLeaving) {
    // The router must know that the server is leaving before the caller has its
    // answer: the caller's next request must not be sent to that server.
    ReportResult();
    CompleteRequest();
  } else {
    CompleteRequest();
    ReportResult();
  }
}

void Forwarder::Private::probe(const routing::ProbeAction &Ordered) {
  auto Acquired = this->Connections.acquire(Ordered.Executor, true, 1);
  const VmName Executor = Ordered.Executor;
  const auto Self = this->shared_from_this();
  const auto Finish = [Self, Executor](bool IsAnswered) {
    Self->runRouter([&](Router &RequestRouter, TimePoint Now) {
      return RequestRouter.finishProbe(Executor, IsAnswered, Now);
    });
  };
  if (!Acquired) {
    Finish(false);
    return;
  }
  http::HttpRequest Request;
  Request.Method = "GET";
  Request.Target = "/healthz";
  const Internal::PooledConnection Used = *Acquired;
  Used.Connection->send(
      Request, Ordered.Deadline, [Self, Used, Finish](http::HttpResult Answer) {
        Self->Gate.run([&] {
          Self->Connections.release(Used, Answer.has_value());
          Finish(Answer && Answer.value().Status < FirstServerError);
        });
      });
}

Forwarder::Forwarder(routing::RouterIdentity Identity,
                     routing::ChoicePolicy Policy, ForwarderLimits Limits,
                     ForwarderHooks Hooks, const Clock &Time,
                     const Random &Source, TimerQueue &Timers,
                     EventJournal &Journal)
    : D(std::make_shared<Private>(std::move(Identity), Policy, Limits,
                                  std::move(Hooks), Time, Source, Timers,
                                  Journal)) {}

Forwarder::~Forwarder() { this->close(); }

void Forwarder::close() {
  this->D->Gate.close();
  this->D->giveUpPending();
}

void Forwarder::submit(ForwardRequest Request, ForwardDone Done) {
  auto Pending = std::make_shared<Internal::PendingRequest>(
      Internal::PendingRequest{std::move(Request), std::move(Done)});
  RequestHandle Handle = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->D->Mutex);
    if (this->D->Requests.size() < this->D->Limits.MaxRequests) {
      Handle = ++this->D->LastHandle;
      this->D->Requests.emplace(Handle, Pending);
    }
  }
  if (Handle == 0) {
    ForwardResult Refused;
    Refused.Reason = routing::OutcomeReason::Overloaded;
    Refused.RetryAfter = std::chrono::milliseconds(100);
    Pending->Done(std::move(Refused));
    return;
  }
  this->D->runRouter([&](Router &RequestRouter, TimePoint Now) {
    return RequestRouter.submit(Handle, Pending->Request.Info, Now);
  });
}

void Forwarder::stop() {
  this->D->runRouter([](Router &RequestRouter, TimePoint Now) {
    return RequestRouter.stop(Now);
  });
}

void Forwarder::setServices(
    const std::vector<routing::ServiceLimits> &Services) {
  this->D->runRouter([&Services](Router &RequestRouter, TimePoint Now) {
    return RequestRouter.setServices(Services, Now);
  });
}

void Forwarder::setVms(const std::vector<store::VmInfo> &Vms,
                       const std::map<PoolName, ServiceName> &ServiceOfPool) {
  std::vector<routing::ExecutorInfo> Executors;
  for (const store::VmInfo &Vm : Vms) {
    const auto Service = ServiceOfPool.find(Vm.Pool);
    const bool IsExecutor = Vm.Role == store::VmRole::Worker &&
                            Vm.State != store::VmState::Gone &&
                            Service != ServiceOfPool.end();
    if (!IsExecutor)
      continue;
    this->D->Connections.setAddress(Vm.Name, Vm.Server);
    Executors.push_back({Vm.Name, Service->second, Vm.DataCentre,
                         Vm.Incarnation, Vm.State == store::VmState::Leaving});
  }
  this->D->runRouter([&Executors](Router &RequestRouter, TimePoint Now) {
    return RequestRouter.setExecutors(Executors, Now);
  });
}

void Forwarder::setSharePlan(const routing::SharePlan &Plan) {
  this->D->runRouter([&](Router &RequestRouter, TimePoint Now) {
    return RequestRouter.setSharePlan(Plan, Now);
  });
}

void Forwarder::setPeers(const std::vector<routing::PeerInfo> &Peers) {
  this->D->runRouter([&Peers](Router &RequestRouter, TimePoint) {
    RequestRouter.setPeers(Peers);
    return RouterActions();
  });
}

bool Forwarder::handleMessage(const EntryName &Peer,
                              const peers::Message &Received) {
  if (const auto *Asked = std::get_if<routing::LoanRequest>(&Received))
    this->D->runRouter([&](Router &RequestRouter, TimePoint Now) {
      return RequestRouter.handleLoanRequest(Peer, *Asked, Now);
    });
  else if (const auto *Granted = std::get_if<routing::LoanGrant>(&Received))
    this->D->runRouter([&](Router &RequestRouter, TimePoint Now) {
      return RequestRouter.handleLoanGrant(Peer, *Granted, Now);
    });
  else if (const auto *Returned = std::get_if<routing::LoanReturn>(&Received))
    this->D->runRouter([&](Router &RequestRouter, TimePoint Now) {
      return RequestRouter.handleLoanReturn(Peer, *Returned, Now);
    });
  else if (const auto *Notice = std::get_if<routing::LeavingNotice>(&Received))
    this->handleLeavingNotice(*Notice, false);
  else
    return false;
  return true;
}

void Forwarder::handleLeavingNotice(const routing::LeavingNotice &Notice,
                                    bool NotifyPeers) {
  this->D->runRouter([&Notice](Router &RequestRouter, TimePoint Now) {
    return RequestRouter.handleLeavingNotice(Notice, Now);
  });
  if (NotifyPeers)
    this->D->Hooks.Broadcast(Notice);
}

bool Forwarder::isWithinShares() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->RequestRouter.isWithinShares();
}

int64_t Forwarder::running(const VmName &Executor) const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->RequestRouter.running(Executor);
}

Duration Forwarder::maxRequestDuration() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->RequestRouter.maxRequestDuration();
}

Duration Forwarder::maxRunTimeAfterLoss() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->RequestRouter.maxRunTimeAfterLoss();
}

size_t Forwarder::pending() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->Requests.size();
}

routing::RouterCounts Forwarder::counts() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->RequestRouter.counts();
}

std::vector<routing::ExecutorReport> Forwarder::executors() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->RequestRouter.executors();
}

int64_t Forwarder::openConnections(const VmName &Executor) const {
  return this->D->Connections.openCount(Executor);
}

} // namespace whintack::entry
