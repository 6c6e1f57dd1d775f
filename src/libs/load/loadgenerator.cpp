#include "whintack/load/loadgenerator.h"

#include "whintack/http/httpclient.h"

#include <algorithm>
#include <condition_variable>
#include <cpprest/json.h>
#include <mutex>

namespace whintack::load {

static constexpr size_t MaxAnswerBytes = 16U << 20U;
static constexpr Duration RequestTimeout = std::chrono::seconds(60);
static constexpr unsigned MaxRepeats = 3;
static constexpr Duration RetryDelay = std::chrono::milliseconds(20);

namespace Internal {

/// A simulated caller, which has one request in flight at a time.
struct VirtualCaller {
  size_t Index = 0;
  size_t Target = 0;
  std::shared_ptr<http::HttpConnection> Connection;
};

/// A request of a caller, with the number of times it was repeated.
struct CallerRequest {
  std::string Service;
  std::string Path;
  bool IsOrder = false;
  std::string Order;
  unsigned Repeats = 0;
  TimePoint SentAt;
};

} // namespace Internal

class LoadGenerator::Private
    : public std::enable_shared_from_this<LoadGenerator::Private> {
public:
  Private(LoadPlan Plan, Clock Time, Random Source, TimerQueue &Timers)
      : Plan(std::move(Plan)), Time(std::move(Time)), Source(std::move(Source)),
        Timers(Timers) {}

  void sendNext(const std::shared_ptr<Internal::VirtualCaller> &Caller);
  void send(const std::shared_ptr<Internal::VirtualCaller> &Caller,
            Internal::CallerRequest Sent);
  void handleAnswer(const std::shared_ptr<Internal::VirtualCaller> &Caller,
                    const Internal::CallerRequest &Sent,
                    const http::HttpResult &Answer);
  bool recordOutcome(const Internal::CallerRequest &Sent,
                     const http::HttpResult &Answer);
  LoadReport collect();

  LoadPlan Plan;
  Clock Time;
  Random Source;
  TimerQueue &Timers;
  std::mutex Mutex;
  std::condition_variable Ended;
  LoadReport Report;
  TimePoint StartedAt;
  unsigned Active = 0;
  bool IsStopping = false;
  uint64_t LastOrder = 0;
};

Duration LoadReport::percentile(double Percent) const {
  if (this->Latencies.empty())
    return Duration::zero();
  const auto Index = static_cast<size_t>(
      Percent / 100.0 * static_cast<double>(this->Latencies.size() - 1));
  return this->Latencies[Index];
}

double LoadReport::perSecond() const {
  const double Seconds = std::chrono::duration<double>(this->Elapsed).count();
  return Seconds > 0 ? static_cast<double>(this->Done) / Seconds : 0;
}

void LoadGenerator::Private::sendNext(
    const std::shared_ptr<Internal::VirtualCaller> &Caller) {
  Internal::CallerRequest Sent;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->IsStopping || this->Report.Sent >= this->Plan.MaxRequests) {
      --this->Active;
      this->Ended.notify_all();
      return;
    }
    ++this->Report.Sent;
    Sent.Order = "order-" + std::to_string(++this->LastOrder);
  }
  const uint64_t Drawn = this->Source();
  constexpr unsigned WholePercent = 100;
  constexpr unsigned ServiceShift = 32;
  Sent.IsOrder = Drawn % WholePercent < this->Plan.OrderPercent;
  Sent.Service =
      this->Plan.Services[(Drawn >> ServiceShift) % this->Plan.Services.size()];
  Sent.Path = "/item/" + Sent.Order +
              "?caller=" + std::to_string(Caller->Index) + "&name=a%20b%2Fc";
  this->send(Caller, std::move(Sent));
}

static std::string runIdentifier(const Random &Source) {
  static const std::string Run = randomIdentifier(Source);
  return Run;
}

void LoadGenerator::Private::send(
    const std::shared_ptr<Internal::VirtualCaller> &Caller,
    Internal::CallerRequest Sent) {
  http::HttpRequest Request;
  Request.Method = Sent.IsOrder ? "POST" : "GET";
  Request.Target =
      this->Plan.IsDirect ? Sent.Path : "/" + Sent.Service + Sent.Path;
  Request.Headers.set("Caller", "caller-" + std::to_string(Caller->Index));
  Request.Headers.set("Work-Ms",
                      std::to_string(toMilliseconds(this->Plan.Work)));
  if (this->Plan.Deadline > Duration::zero())
    Request.Headers.set("Deadline-Ms",
                        std::to_string(toMilliseconds(this->Plan.Deadline)));
  if (Sent.IsOrder) {
    const std::string Key = runIdentifier(this->Source) + "-" + Sent.Order;
    Request.Headers.set("Order-Id", Key);
    Request.Headers.set("Idempotency-Key", Key);
    Request.Body = "{\"order\":\"" + Sent.Order + "\"}";
  }
  // An order takes a new connection, because its outcome is unknown if the
  // server closes a reused one.
  const bool NeedsNewConnection = Sent.IsOrder || !Caller->Connection;
  if (NeedsNewConnection)
    Caller->Connection = std::make_shared<http::HttpConnection>(
        this->Plan.Targets[Caller->Target], MaxAnswerBytes, this->Timers);
  Sent.SentAt = this->Time.Now();
  const auto Self = this->shared_from_this();
  Caller->Connection->send(
      Request, Sent.SentAt + RequestTimeout,
      [Self, Caller, Sent](const http::HttpResult &Answer) {
        Self->handleAnswer(Caller, Sent, Answer);
      });
}

/// Tells whether the answer echoes the path of its request.
static bool belongsTo(const Internal::CallerRequest &Sent,
                      const http::HttpResponse &Answer) {
  try {
    const web::json::value Object = web::json::value::parse(Answer.Body);
    return Object.at("target").as_string() == Sent.Path;
  } catch (const std::exception &) {
    return false;
  }
}

bool LoadGenerator::Private::recordOutcome(const Internal::CallerRequest &Sent,
                                           const http::HttpResult &Answer) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::string Outcome = "unknown";
  if (Answer)
    Outcome = Answer.value()
                  .Headers.find("Request-Outcome")
                  .value_or(this->Plan.IsDirect ? "done" : "");
  const bool IsCertain = Outcome == "done" || Outcome == "not-run";
  const bool MayRepeat = Sent.IsOrder && this->Plan.RepeatsOrders &&
                         !this->Plan.IsDirect && Sent.Repeats < MaxRepeats;
  if (!IsCertain && MayRepeat) {
    ++this->Report.Repeated;
    return false;
  }
  if (Outcome == "done") {
    ++this->Report.Done;
    this->Report.Latencies.push_back(this->Time.Now() - Sent.SentAt);
    if (!belongsTo(Sent, Answer.value()))
      ++this->Report.MismatchedAnswers;
  } else if (Outcome == "not-run") {
    ++this->Report.NotRun;
    if (Sent.IsOrder)
      this->Report.OrdersNotRun.push_back(runIdentifier(this->Source) + "-" +
                                          Sent.Order);
  } else if (Answer && Outcome == "unknown") {
    ++this->Report.Unknown;
  } else {
    ++this->Report.Failed;
  }
  return true;
}

void LoadGenerator::Private::handleAnswer(
    const std::shared_ptr<Internal::VirtualCaller> &Caller,
    const Internal::CallerRequest &Sent, const http::HttpResult &Answer) {
  if (!Answer && Answer.error().WasStale) {
    Caller->Connection.reset();
    this->send(Caller, Sent);
    return;
  }
  const bool IsEnded = this->recordOutcome(Sent, Answer);
  const bool IsDone =
      Answer && Answer.value().Status < http::status::BadRequest;
  if (!Answer) {
    Caller->Connection.reset();
    Caller->Target = (Caller->Target + 1) % this->Plan.Targets.size();
  }
  const auto Self = this->shared_from_this();
  if (IsDone) {
    Self->sendNext(Caller);
    return;
  }
  // After a refusal or a failure the caller waits before it goes on, as the
  // server asks.
  this->Timers.schedule(this->Time.Now() + RetryDelay,
                        [Self, Caller, Sent, IsEnded] {
                          if (IsEnded) {
                            Self->sendNext(Caller);
                            return;
                          }
                          Internal::CallerRequest Again = Sent;
                          ++Again.Repeats;
                          Self->send(Caller, std::move(Again));
                        });
}

LoadReport LoadGenerator::Private::collect() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Ended.wait(Lock, [this] { return this->Active == 0; });
  LoadReport Collected = this->Report;
  Collected.Elapsed = this->Time.Now() - this->StartedAt;
  std::sort(Collected.Latencies.begin(), Collected.Latencies.end());
  return Collected;
}

LoadGenerator::LoadGenerator(LoadPlan Plan, Clock Time, Random Source,
                             TimerQueue &Timers)
    : D(std::make_shared<Private>(std::move(Plan), std::move(Time),
                                  std::move(Source), Timers)) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start() {
  this->D->StartedAt = this->D->Time.Now();
  this->D->Active = this->D->Plan.Concurrency;
  for (unsigned Index = 0; Index < this->D->Plan.Concurrency; ++Index) {
    auto Caller = std::make_shared<Internal::VirtualCaller>();
    Caller->Index = Index;
    Caller->Target = Index % this->D->Plan.Targets.size();
    this->D->sendNext(Caller);
  }
}

LoadReport LoadGenerator::stop() {
  {
    const std::lock_guard<std::mutex> Lock(this->D->Mutex);
    this->D->IsStopping = true;
  }
  return this->D->collect();
}

LoadReport LoadGenerator::finish() { return this->D->collect(); }

uint64_t LoadGenerator::sent() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->Report.Sent;
}

} // namespace whintack::load
