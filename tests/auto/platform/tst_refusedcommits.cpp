#include "lonehandler.h"
#include "scriptedserver.h"

#include "whintack/platform/platform.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A store that carries out the first call and answers it, carries out the
/// second one and ends its connection, and refuses all others.
class ScriptedStore {
public:
  ScriptedStore(unsigned Host, bool Resets)
      : Local(ownAddress(Host, 18110)),
        Server(this->Local, [this, Resets](const std::string &, unsigned) {
          switch (++this->Requests) {
          case 1:
            return answer("200 OK");
          case 2:
            return ScriptedAnswer{"", true, Resets};
          default:
            return answer("503 Service Unavailable");
          }
        }) {
    REQUIRE(this->Server.isOpen());
  }

  static ScriptedAnswer answer(const std::string &Status) {
    const std::string Body = R"({"revision":7,"lease":3,"ttl-ms":1000})";
    return {"HTTP/1.1 " + Status +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(Body.size()) + "\r\n\r\n" + Body,
            false, false};
  }

  Address Local;
  std::atomic<unsigned> Requests{0};
  ScriptedServer Server;
  TimerQueue Timers{systemClock()};
  http::CallClient Calls{systemClock(), Timers, 1 << 20};
  store::AsyncStore Client =
      platform::makeStore(this->Local, this->Calls, systemClock());
};

template <typename T> class Outcome {
public:
  store::StoreCallback<T> callback() {
    return [this](store::StoreResult<T> Answer) {
      this->Promise.set_value(std::move(Answer));
    };
  }
  store::StoreResult<T> get() { return this->Promise.get_future().get(); }

private:
  std::promise<store::StoreResult<T>> Promise;
};

store::StoreResult<store::CommitAnswer> commit(const ScriptedStore &Store) {
  store::StoreTransaction Change;
  Change.Expect = {{"a", 0}};
  Change.Puts = {{"a", "1", 0}};
  Outcome<store::CommitAnswer> Ended;
  Store.Client.Commit(Change, Ended.callback());
  return Ended.get();
}

/// A request handler on a scripted store.
class HandlerFixture {
public:
  explicit HandlerFixture(ScriptedStore &Store)
      : Handler(makeLoneHandler(this->Loop, this->Platform, {Store.Client})) {}

  /// Submits a job and returns the status of the answer.
  int submit(const std::string &Id) {
    http::HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/quotes/" + Id;
    Request.Headers.set("Host", simulation::ExampleHost);
    Request.Body = "short";
    int Status = 0;
    this->Handler->handle(Request, [&Status](const http::HttpResponse &Answer) {
      Status = Answer.Status;
    });
    while (Status == 0) {
      this->Loop.runFor(milliseconds(1));
      std::this_thread::sleep_for(milliseconds(1));
    }
    return Status;
  }

  SteppedLoop Loop;
  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  std::shared_ptr<JobRequestHandler> Handler;
};

} // namespace

// Guards against "not carried out" for a write whose connection broke.
TEST_CASE("a write whose connection breaks is ambiguous and is sent once") {
  const bool Resets = GENERATE(true, false);
  CAPTURE(Resets);
  ScriptedStore Store(1, Resets);
  REQUIRE(commit(Store));
  store::StoreErrorCode Code = store::StoreErrorCode::BadAnswer;
  SECTION("commit") {
    const auto Lost = commit(Store);
    REQUIRE_FALSE(Lost);
    Code = Lost.error().Code;
  }
  SECTION("grant of a lease") {
    Outcome<store::LeaseId> Ended;
    Store.Client.GrantLease(seconds(1), Ended.callback());
    const auto Lost = Ended.get();
    REQUIRE_FALSE(Lost);
    Code = Lost.error().Code;
  }
  SECTION("renewal of a lease") {
    Outcome<void> Ended;
    Store.Client.KeepLease(3, Ended.callback());
    const auto Lost = Ended.get();
    REQUIRE_FALSE(Lost);
    Code = Lost.error().Code;
  }
  SECTION("end of a lease") {
    Outcome<void> Ended;
    Store.Client.EndLease(3, Ended.callback());
    const auto Lost = Ended.get();
    REQUIRE_FALSE(Lost);
    Code = Lost.error().Code;
  }
  CHECK(Code == store::StoreErrorCode::Ambiguous);
  CHECK(Store.Requests == 2);
}

// Guards against a client that is told "not accepted" for a stored job.
TEST_CASE("a job whose commit loses its connection is never refused") {
  const bool Resets = GENERATE(true, false);
  CAPTURE(Resets);
  ScriptedStore Store(2, Resets);
  HandlerFixture Entry(Store);
  REQUIRE(Entry.submit("00000000000000a1") == http::status::Ok);
  CHECK(Entry.submit("00000000000000a2") == http::status::GatewayTimeout);
}
