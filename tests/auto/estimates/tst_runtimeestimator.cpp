// Guards against predicted run times that are worse than the clients' own
// estimates, and against predictions that never grow while a run goes on.

#include "whintack/estimates/runtimeestimator.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <random>

using namespace whintack;
using namespace whintack::estimates;
using namespace std::chrono_literals;

static const std::string Queue = "queue";

static Duration scaled(Duration Length, double Factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Length.count()) * Factor));
}

TEST_CASE("a cold start uses the client's estimate") {
  const RunTimeEstimator Estimator;
  const RunTimeEstimate Expected = Estimator.expectedTime(Queue, 700ms, {});
  CHECK(Expected.Length == 700ms);
  CHECK(Expected.Source == EstimateSource::Client);
  CHECK_FALSE(Estimator.isTrusted(Queue));
  RunInProgress Run;
  Run.Elapsed = 300ms;
  CHECK(Estimator.expectedRemainder(Queue, 700ms, {}, Run) == 400ms);
}

TEST_CASE("few steps change the estimate little, many change it fully") {
  RunTimeEstimator Estimator;
  Estimator.noteStep(Queue, 100ms, 400ms);
  CHECK(Estimator.factor(Queue) < 1.2);
  for (int Step = 0; Step < 300; ++Step)
    Estimator.noteStep(Queue, 100ms, 400ms);
  CHECK(Estimator.factor(Queue) == Approx(4).epsilon(0.1));
  CHECK(Estimator.isTrusted(Queue));
  CHECK(Estimator.factor("other") == 1);
  // The clients have mended their estimates.
  for (int Step = 0; Step < 1000; ++Step)
    Estimator.noteStep(Queue, 100ms, 100ms);
  CHECK(Estimator.factor(Queue) == Approx(1).epsilon(0.1));
}

TEST_CASE("steps without an estimate are not learned from") {
  RunTimeEstimator Estimator;
  Estimator.noteStep(Queue, 0ms, 400ms);
  CHECK(Estimator.factor(Queue) == 1);
}

TEST_CASE("queues beyond the bound are not learned") {
  RunTimeEstimator Estimator;
  for (int Number = 0; Number < 1000; ++Number)
    Estimator.noteStep(std::to_string(Number), 100ms, 400ms);
  CHECK(Estimator.factor("0") > 1);
  CHECK(Estimator.factor("999") == 1);
}

TEST_CASE("the median of the step's runs is used, of the last ones") {
  const RunTimeEstimator Estimator;
  StepRunTimes Step;
  for (const Duration Each : {1s, 2s, 20s})
    Step.noteFinished(Each);
  CHECK(Estimator.expectedTime(Queue, 100ms, Step).Length == 2s);
  for (int Run = 0; Run < 10000; ++Run)
    Step.noteFinished(3s);
  CHECK(Step.finishedRuns() < 100);
  CHECK(Step.median() == 3s);
}

TEST_CASE("a run in progress is a lower bound for the others of its step") {
  const RunTimeEstimator Estimator;
  StepRunTimes Step;
  Step.noteInProgress(5s);
  CHECK(Estimator.expectedTime(Queue, 1s, Step).Length == 5s);
  // One of the runs is slower than the others.
  Step.noteFinished(1s);
  CHECK(Estimator.expectedTime(Queue, 1s, Step).Length == 1s);
}

TEST_CASE("reported progress shows a slow run of a step with known times") {
  const RunTimeEstimator Estimator;
  StepRunTimes Step;
  for (int Run = 0; Run < 5; ++Run)
    Step.noteFinished(1s);
  RunInProgress Slow;
  Slow.Elapsed = Slow.ElapsedAtReport = 1400ms;
  Slow.Percent = 20;
  CHECK(Estimator.expectedRemainder(Queue, 1s, Step, Slow) == 5600ms);
}

TEST_CASE("the remainder of a run that is over its time grows") {
  const RunTimeEstimator Estimator;
  Duration Last = Duration::zero();
  for (const Duration Elapsed : {1100ms, 1500ms, 2000ms, 4000ms, 8000ms}) {
    RunInProgress Run;
    Run.Elapsed = Elapsed;
    const Duration Left = Estimator.expectedRemainder(Queue, 1s, {}, Run);
    CHECK(Left > Last);
    Last = Left;
  }
}

TEST_CASE("the remainder of an adopted run depends on its progress") {
  const RunTimeEstimator Estimator;
  RunInProgress Run;
  Run.IsAdopted = true;
  Run.Percent = 75;
  CHECK(Estimator.expectedRemainder(Queue, 4s, {}, Run) == 1s);
  Run.Elapsed = 400ms;
  CHECK(Estimator.expectedRemainder(Queue, 4s, {}, Run) == 600ms);
}

namespace {

/// Mean absolute logarithm of the ratio of two times; 0.69 for a factor of 2.
class ErrorMeter {
public:
  void note(Duration Expected, Duration Actual) {
    this->Sum += std::abs(std::log(static_cast<double>(Expected.count()) /
                                   static_cast<double>(Actual.count())));
    ++this->Count;
  }
  double mean() const { return this->Sum / static_cast<double>(this->Count); }

private:
  double Sum = 0;
  size_t Count = 0;
};

} // namespace

TEST_CASE("later runs of a step are predicted far better than by clients whose "
          "estimates are off by up to 90 %") {
  std::mt19937_64 Engine(5);
  std::uniform_real_distribution<double> Unit(0, 1);
  RunTimeEstimator Estimator;
  ErrorMeter Client;
  ErrorMeter FirstRun;
  ErrorMeter LaterRuns;
  ErrorMeter LaterRunsOfClient;
  for (int Job = 0; Job < 2000; ++Job) {
    // Jobs differ by a factor of 20. One in 30 takes seven times as long as it
    // otherwise would.
    const Duration Usual = scaled(200ms, std::pow(20, Unit(Engine)));
    const double Off = 0.5 + 0.4 * Unit(Engine);
    const bool IsUnder = Unit(Engine) < 0.5;
    const Duration Estimate = scaled(Usual, IsUnder ? 1 - Off : 1 + Off);
    const Duration Actual = Unit(Engine) < 1.0 / 30 ? 7 * Usual : Usual;
    StepRunTimes Step;
    for (int Run = 0; Run < 8; ++Run) {
      const Duration Time = scaled(Actual, std::pow(1.4, Unit(Engine) - 0.5));
      const Duration Expected =
          Estimator.expectedTime(Queue, Estimate, Step).Length;
      Client.note(Estimate, Time);
      (Run == 0 ? FirstRun : LaterRuns).note(Expected, Time);
      if (Run > 0)
        LaterRunsOfClient.note(Estimate, Time);
      else
        Estimator.noteStep(Queue, Estimate, Time);
      Step.noteFinished(Time);
    }
  }
  std::printf("mean error as a factor: client %.2f, first run of a step %.2f, "
              "later runs %.2f (client %.2f); learned factor %.2f\n",
              std::exp(Client.mean()), std::exp(FirstRun.mean()),
              std::exp(LaterRuns.mean()), std::exp(LaterRunsOfClient.mean()),
              Estimator.factor(Queue));
  // The errors of the clients differ from job to job, so a factor for the whole
  // queue may not help here, but must not do harm either.
  CHECK(FirstRun.mean() < Client.mean() * 1.02);
  CHECK(LaterRuns.mean() < Client.mean() / 3);
}
