// Simulates requests with random arrival and service times on a simulated clock
// and prints the refusals, latencies and utilization of each choice policy.

#include "whintack/routing/router.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>
#include <random>

using namespace whintack;
using namespace whintack::routing;

namespace {

constexpr int Executors = 50;
constexpr int64_t Slots = 8;
constexpr Duration MeanServiceTime = std::chrono::milliseconds(10);
constexpr Duration RequestTimeout = std::chrono::milliseconds(500);
constexpr Duration SimulatedTime = std::chrono::seconds(5);
/// Factor by which every fifth executor is slower than the others.
constexpr double SlowFactor = 3;

/// Time at which an executor completes a request.
struct Completion {
  TimePoint At;
  RequestHandle Request = 0;

  bool operator>(const Completion &Other) const { return this->At > Other.At; }
};

/// Results of one run.
struct RunResult {
  uint64_t Arrived = 0;
  uint64_t Refused = 0;
  /// Share of the slots that were busy when the first request was refused.
  double BusyAtFirstRefusal = 0;
  double BusyMean = 0;
  std::vector<Duration> Latencies;
};

/// Simulates one choice policy under one load. \p Load is relative to the total
/// capacity of the executors.
class LoadRun {
public:
  LoadRun(ChoicePolicy Policy, double Load)
      : Routing({{EntryName("e"), 1}, DataCentreName("d")}, Policy,
                seededRandom(1)),
        Engine(7), ArrivalsPerSecond(Load * capacity()) {
    const ShareMember Self{EntryName("e"), 1};
    ServiceLimits Limits;
    Limits.Name = ServiceName("s");
    Limits.Slots = Slots;
    this->Routing.setServices({Limits}, this->Now);
    this->Routing.setSharePlan(withAcknowledgement(withMember({}, Self), Self),
                               this->Now);
    std::vector<ExecutorInfo> Listed;
    for (int Number = 0; Number < Executors; ++Number)
      Listed.push_back({VmName("vm" + std::to_string(Number)), ServiceName("s"),
                        DataCentreName("d"), 1, false});
    this->Routing.setExecutors(Listed, this->Now);
  }

  RunResult run() {
    TimePoint NextArrival = this->Now + this->drawInterarrivalTime();
    while (this->Now < TimePoint(SimulatedTime)) {
      TimePoint Next = NextArrival;
      if (!this->Running.empty())
        Next = std::min(Next, this->Running.top().At);
      Next = std::min(Next, this->Routing.nextDeadline());
      const Duration Elapsed = std::max(Next, this->Now) - this->Now;
      this->BusySum += this->busy() * static_cast<double>(Elapsed.count());
      this->Now = std::max(Next, this->Now);
      this->applyActions(this->Routing.tick(this->Now));
      while (!this->Running.empty() && this->Running.top().At <= this->Now)
        this->complete();
      if (NextArrival <= this->Now) {
        this->arrive();
        NextArrival = this->Now + this->drawInterarrivalTime();
      }
    }
    this->Result.BusyMean =
        this->BusySum / static_cast<double>(SimulatedTime.count());
    std::sort(this->Result.Latencies.begin(), this->Result.Latencies.end());
    return this->Result;
  }

private:
  /// Number of requests per second that all slots together can run.
  static double capacity() {
    const double Fast = Executors * 4.0 / 5;
    const double Slow = Executors / 5.0 / SlowFactor;
    return (Fast + Slow) * static_cast<double>(Slots) * 1e6 /
           static_cast<double>(MeanServiceTime.count());
  }

  double busy() const {
    return static_cast<double>(this->Running.size()) /
           static_cast<double>(Executors * Slots);
  }

  Duration drawInterarrivalTime() {
    std::exponential_distribution<double> Draw(this->ArrivalsPerSecond / 1e6);
    return Duration(static_cast<int64_t>(Draw(this->Engine)));
  }

  Duration drawServiceTime(const VmName &Executor) {
    const int Number = std::stoi(Executor.text().substr(2));
    const double Factor = Number % 5 == 0 ? SlowFactor : 1;
    std::exponential_distribution<double> Draw(
        1.0 / (static_cast<double>(MeanServiceTime.count()) * Factor));
    return Duration(1 + static_cast<int64_t>(Draw(this->Engine)));
  }

  void applyActions(const RouterActions &Actions) {
    for (const SendAction &Send : Actions.Sends)
      this->Running.push(
          {this->Now + this->drawServiceTime(Send.Executor), Send.Request});
    for (const OutcomeAction &Answer : Actions.Answers) {
      if (this->Result.Refused++ == 0)
        this->Result.BusyAtFirstRefusal = this->busy();
      this->ArrivedAt.erase(Answer.Request);
    }
  }

  void arrive() {
    ++this->Result.Arrived;
    const RequestHandle Request = ++this->LastRequest;
    this->ArrivedAt[Request] = this->Now;
    const CallerName Caller("c" + std::to_string(Request % 20));
    this->applyActions(this->Routing.submit(
        Request, {ServiceName("s"), Caller, false, RequestTimeout}, this->Now));
  }

  void complete() {
    const Completion Completed = this->Running.top();
    this->Running.pop();
    this->Result.Latencies.push_back(this->Now -
                                     this->ArrivedAt[Completed.Request]);
    this->ArrivedAt.erase(Completed.Request);
    this->applyActions(this->Routing.finish(
        {Completed.Request, AttemptResult::Answered, false}, this->Now));
  }

  TimePoint Now{};
  Router Routing;
  std::mt19937_64 Engine;
  double ArrivalsPerSecond;
  double BusySum = 0;
  RequestHandle LastRequest = 0;
  std::map<RequestHandle, TimePoint> ArrivedAt;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      Running;
  RunResult Result;
};

double milliseconds(const std::vector<Duration> &Sorted, double Percent) {
  const auto Position = static_cast<size_t>(
      Percent / 100 * static_cast<double>(Sorted.size() - 1));
  return static_cast<double>(Sorted[Position].count()) / 1000;
}

} // namespace

int main() {
  std::printf("%-13s %5s %9s %9s %9s %10s %10s\n", "policy", "load", "refused",
              "p50 ms", "p99 ms", "busy mean", "at refusal");
  for (const auto &Policy : ChoicePolicyNames)
    for (const double Load : {0.5, 0.9, 1.2}) {
      const RunResult Run = LoadRun(Policy.Value, Load).run();
      std::printf("%-13s %4.0f%% %8.2f%% %9.2f %9.2f %9.1f%% %9.1f%%\n",
                  std::string(Policy.Name).c_str(), Load * 100,
                  100.0 * static_cast<double>(Run.Refused) /
                      static_cast<double>(Run.Arrived),
                  milliseconds(Run.Latencies, 50),
                  milliseconds(Run.Latencies, 99), Run.BusyMean * 100,
                  Run.BusyAtFirstRefusal * 100);
    }
  return 0;
}
