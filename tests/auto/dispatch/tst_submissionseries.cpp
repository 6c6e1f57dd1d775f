#include "faultseries.h"
#include "unansweredcommits.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Ok = 200;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// Clients that submit jobs while the store fails again and again. They repeat
/// a request without an answer, or with 504, at another VM, and stop at 503.
class OutageSeries {
public:
  explicit OutageSeries(uint64_t Seed) : Fleet(Seed) {
    for (const char *Name : {"e4", "e5", "e6"})
      this->Fleet.startNode(Name, "d2");
    this->Fleet.Decide = [this] { return this->decide(); };
    this->Fleet.OnMessage = [this](const peers::Message &Sent) {
      const auto *Call = std::get_if<peers::ServiceCall>(&Sent);
      if (Call && Call->Service.isEmpty())
        ++this->Questions;
    };
    this->Fleet.runFor(seconds(70));
  }

  void run() {
    for (int Count = 0; Count < 8; ++Count) {
      this->startOutage();
      for (int Jobs = 0; Jobs < 50; ++Jobs) {
        this->submit();
        this->Fleet.runFor(milliseconds(this->draw(200)));
      }
      this->IsOutage = false;
      this->Fleet.runFor(milliseconds(1000 + this->draw(3000)));
    }
    this->Fleet.runFor(seconds(30));
    for (const std::string &Path : this->Refused)
      ++(this->Fleet.isStored(Path) ? this->FalseRefusals : this->TrueRefusals);
  }

  size_t Questions = 0;
  size_t TimeOuts = 0;
  size_t AcceptedJobs = 0;
  size_t FalseRefusals = 0;
  size_t TrueRefusals = 0;
  size_t GivenUp = 0;

private:
  size_t draw(size_t Bound) { return this->Fleet.source()() % Bound; }

  void after(Duration Delay, std::function<void()> Call) {
    this->Fleet.Loop.Queue.schedule(this->Fleet.Loop.Time.now() + Delay,
                                    std::move(Call));
  }

  CommitFate decide() {
    if (!this->IsOutage)
      return {};
    if (this->draw(100) < this->RefusedPercent)
      return {CommitFate::Kind::Refused};
    if (this->draw(2) == 0)
      return {CommitFate::Kind::Dropped};
    return {CommitFate::Kind::CarriedOut, milliseconds(this->draw(6000))};
  }

  void startOutage() {
    constexpr size_t Percentages[] = {100, 100, 98, 90, 50};
    this->RefusedPercent = Percentages[this->draw(5)];
    this->IsOutage = true;
    if (this->draw(4) != 0)
      return;
    const std::vector<std::string> Names = this->Fleet.nodeNames();
    const std::string Lost = Names[this->draw(Names.size())];
    this->after(milliseconds(this->draw(2500)), [this, Lost] {
      this->Fleet.killNode(Lost);
      this->after(seconds(2), [this, Lost] { this->Fleet.restartNode(Lost); });
    });
  }

  void submit() {
    constexpr uint64_t FirstId = 0x2000000000000000;
    std::ostringstream Path;
    Path << "/quotes/" << std::hex << FirstId + ++this->LastJob;
    // A tenth of the connections break before the answer.
    const Duration Patience = this->draw(10) == 0
                                  ? milliseconds(this->draw(1500))
                                  : Duration(seconds(3));
    this->attempt(Path.str(), 1, Patience);
  }

  void attempt(const std::string &Path, int Number, Duration Patience) {
    constexpr int MaxAttempts = 5;
    if (Number > MaxAttempts) {
      ++this->GivenUp;
      return;
    }
    const std::vector<std::string> Names = this->Fleet.nodeNames();
    const auto Answer = this->Fleet.post(Names[this->draw(Names.size())], Path);
    this->after(Patience, [this, Path, Number, Answer] {
      if (Answer->Status == Ok)
        ++this->AcceptedJobs;
      else if (Answer->Status == ServiceUnavailable)
        this->Refused.push_back(Path);
      else
        this->attempt(Path, Number + 1, seconds(3));
      if (Answer->Status == GatewayTimeout)
        ++this->TimeOuts;
    });
  }

  UnansweredCommitsFleet Fleet;
  bool IsOutage = false;
  size_t RefusedPercent = 100;
  uint64_t LastJob = 0;
  std::vector<std::string> Refused;
};

} // namespace

// Guards against a refused job that runs, in series of store outages with late
// commits, lost connections and lost VMs (issue 55).
TEST_CASE("no job of a series of store outages is refused and stored") {
  constexpr uint64_t SeedCount = 10;
  const auto [First, Last] = seedsToRun(SeedCount);
  size_t TrueRefusals = 0;
  for (uint64_t Seed = First; Seed <= Last; ++Seed) {
    OutageSeries Series(Seed);
    Series.run();
    TrueRefusals += Series.TrueRefusals;
    INFO("seed " << Seed << ": accepted " << Series.AcceptedJobs
                 << ", refused truly " << Series.TrueRefusals << ", falsely "
                 << Series.FalseRefusals << ", answers 504 " << Series.TimeOuts
                 << ", given up " << Series.GivenUp << ", questions "
                 << Series.Questions);
    CHECK(Series.FalseRefusals == 0);
  }
  CHECK(TrueRefusals > 0);
}
