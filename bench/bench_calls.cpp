// Processor time of one call to an executor, with 64 calls in flight. The
// answering server runs in a process of its own, so that its time does not
// count.

#include "scriptedserver.h"

#include "whintack/base/timerqueue.h"
#include "whintack/http/callclient.h"

#include <benchmark/benchmark.h>
#include <condition_variable>
#include <csignal>
#include <sys/resource.h>
#include <sys/wait.h>

using namespace whintack;

namespace {

const Address Server{"127.77.9.1", 18931};

/// A process that answers every request with a report of some runs.
class ServerProcess {
public:
  ServerProcess() : Child(fork()) {
    if (this->Child != 0)
      return;
    const std::string Body =
        "{\"clock-ms\":482113,\"running\":[],\"ended\":[]}";
    const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Type: "
                               "application/json\r\nContent-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body;
    const tests::ScriptedServer Answering(
        Server, [Answer](const std::string &, unsigned) {
          return tests::ScriptedAnswer{Answer};
        });
    pause();
    _exit(0);
  }
  ~ServerProcess() {
    kill(this->Child, SIGKILL);
    waitpid(this->Child, nullptr, 0);
  }

private:
  pid_t Child;
};

double processorSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  constexpr double MicrosPerSecond = 1e6;
  return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) /
             MicrosPerSecond;
}

/// Keeps a number of calls in flight until enough have ended.
class Caller {
public:
  Caller() : Timers(systemClock()), Calls(systemClock(), Timers, 1U << 20U) {
    this->Request.Method = "POST";
    this->Request.Target = "/v1/hold";
    this->Request.Headers.set("Content-Type", "application/json");
    this->Request.Headers.set("Expected-Instance", "i-0123456789");
    this->Request.Body =
        "{\"fencing-token\":7,\"last-seen\":57,\"wait-ms\":1000}";
  }

  void run(size_t Total, size_t InFlight) {
    this->Left = Total;
    this->Open = 0;
    for (size_t Count = 0; Count < InFlight; ++Count)
      this->next();
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Ended.wait(Lock, [this] { return this->Open == 0; });
  }

private:
  void next() {
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Left == 0) {
        this->Ended.notify_all();
        return;
      }
      --this->Left;
      ++this->Open;
    }
    constexpr std::chrono::seconds Timeout(5);
    this->Calls.call(Server, this->Request, systemClock().Now() + Timeout,
                     [this](const http::HttpResult &) {
                       {
                         const std::lock_guard<std::mutex> Lock(this->Mutex);
                         --this->Open;
                       }
                       this->next();
                     });
  }

  TimerQueue Timers;
  http::CallClient Calls;
  http::HttpRequest Request;
  std::mutex Mutex;
  std::condition_variable Ended;
  size_t Left = 0;
  size_t Open = 0;
};

void callExecutor(benchmark::State &State) {
  constexpr size_t CallsPerRound = 20000;
  constexpr size_t InFlight = 64;
  const ServerProcess Running;
  http::initializeHttpThreads(1);
  usleep(200000);
  Caller Client;
  Client.run(CallsPerRound / 10, InFlight);
  for (auto Round : State) {
    const double Begin = processorSeconds();
    Client.run(CallsPerRound, InFlight);
    State.SetIterationTime((processorSeconds() - Begin) / CallsPerRound);
  }
}

BENCHMARK(callExecutor)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(5);

} // namespace
