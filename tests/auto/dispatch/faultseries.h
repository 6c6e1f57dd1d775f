#ifndef WHINTACK_TESTS_FAULTSERIES_H
#define WHINTACK_TESTS_FAULTSERIES_H

#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace whintack::tests {

/// Which faults a series draws from. The draws of the plain ones stay as they
/// are, so that seeds which found a fault keep playing it.
enum class FaultKinds {
  Plain,
  /// Also tasks and processes that crash executors, and capacity that changes.
  WithCrashes,
  /// Also executors that start again under their ids.
  WithRestarts,
};

/// How the planners of a series reach executors.
enum class ExecutorPath {
  Direct,
  /// Through VMs that hold no shard.
  Relayed,
};

/// Runs one seed: jobs arrive throughout while faults come and go, overlap and
/// repeat. Then all faults end and every guarantee must hold.
class FaultSeries {
public:
  explicit FaultSeries(uint64_t Seed, FaultKinds Kinds = FaultKinds::Plain,
                       Duration StoreOutageGrace = Duration::zero(),
                       ExecutorPath Path = ExecutorPath::Direct)
      : Fleet(Seed), Kinds(Kinds), Path(Path) {
    this->Fleet.setStoreOutageGrace(StoreOutageGrace);
  }

  std::vector<std::string> run() {
    this->startFleet();
    this->Fleet.Platform.setCrashingTasks([this](const jobs::TaskKey &Task) {
      return Task.Index == 0 && this->Crashing.contains(Task.Step.Job);
    });
    if (this->Kinds == FaultKinds::WithRestarts) {
      this->Fleet.Platform.setCrashedExecutorsKeepIds(this->draw(2) == 0);
      this->Fleet.Platform.setStartAnswersTellIncarnation(this->draw(2) == 0);
    }
    const Duration Length = std::chrono::seconds(20);
    this->End = this->Fleet.Loop.Time.now() + Length;
    const size_t Faults = 2 + this->draw(5);
    for (size_t Count = 0; Count < Faults; ++Count)
      this->scheduleAfter(std::chrono::milliseconds(this->draw(14000)),
                          [this] { this->injectFault(); });
    this->submitJobs();
    this->Fleet.runFor(Length);
    this->endFaults();
    this->Fleet.runFor(std::chrono::seconds(30));
    return this->checkGuarantees();
  }

private:
  void startFleet() {
    if (this->Path == ExecutorPath::Direct) {
      this->Fleet.startAll();
      return;
    }
    // With this share, a VM calls no more than one executor itself.
    constexpr double ProcessorShare = 0.01;
    simulation::addExampleFleet(this->Fleet.Platform);
    for (int Number = 1; Number <= 6; ++Number)
      this->Fleet.startNode("e" + std::to_string(Number),
                            Number % 2 == 1 ? "d1" : "d2", ProcessorShare);
    this->Fleet.runFor(std::chrono::seconds(5));
  }

  size_t draw(size_t Bound) { return this->Fleet.source()() % Bound; }

  void scheduleAfter(Duration After, std::function<void()> Call) {
    this->Fleet.Loop.Queue.schedule(this->Fleet.Loop.Time.now() + After,
                                    std::move(Call));
  }

  std::string anyNode() {
    const auto Names = this->Fleet.nodeNames();
    return Names[this->draw(Names.size())];
  }

  jobs::MachineName anyMachine() {
    const auto Names = this->Fleet.Platform.machineNames();
    return Names[this->draw(Names.size())];
  }

  void submitJobs() {
    if (this->Fleet.Loop.Time.now() > this->End)
      return;
    const char *Templates[] = {"short", "chain", "short", "lasting"};
    const size_t Drawn = this->draw(40);
    const std::string Path =
        this->Fleet.submit(this->draw(2) == 0 ? "quotes" : "payouts",
                           Drawn == 0 ? "lasting" : Templates[Drawn % 3]);
    if (Drawn == 0)
      this->Lasting.insert(Path);
    if (this->Kinds != FaultKinds::Plain && this->draw(20) == 0) {
      this->Crashing.insert(jobs::JobId(Path.substr(Path.rfind('/') + 1)));
      this->CrashingPaths.insert(Path);
    }
    this->scheduleAfter(std::chrono::milliseconds(60 + this->draw(160)),
                        [this] { this->submitJobs(); });
  }

  void kill(const std::string &Node, Duration For) {
    this->Fleet.killNode(Node);
    this->scheduleAfter(For, [this, Node] { this->Fleet.restartNode(Node); });
  }

  void injectFault() {
    const Duration For = std::chrono::milliseconds(300 + this->draw(6000));
    const std::string Node = this->anyNode();
    auto &Platform = this->Fleet.Platform;
    const size_t Kind = this->draw(this->countKinds());
    switch (Kind) {
    case 0:
      this->kill(Node, For);
      return;
    case 1:
      this->Fleet.setCut(Node, true);
      this->scheduleAfter(For,
                          [this, Node] { this->Fleet.setCut(Node, false); });
      return;
    case 2:
    case 3: {
      const simulation::StoreFaultMode Modes[] = {
          simulation::StoreFaultMode::Refused,
          simulation::StoreFaultMode::Silent,
          simulation::StoreFaultMode::AnswersLost};
      const simulation::StoreFaultMode Mode = Modes[this->draw(3)];
      if (this->draw(2) == 0)
        Platform.store().setFaultModeForAll(Mode);
      else
        Platform.store().setFaultMode(EntryName(Node), Mode);
      this->scheduleAfter(For, [&Platform] {
        Platform.store().setFaultModeForAll(simulation::StoreFaultMode::Served);
      });
      return;
    }
    case 4:
      Platform.store().revokeLeases(EntryName(Node));
      return;
    case 5:
      Platform.store().dropHistory();
      return;
    case 6:
      Platform.setCallFaults({0.1, 0.1});
      this->scheduleAfter(For, [&Platform] { Platform.setCallFaults({}); });
      return;
    case 7:
      Platform.crash(this->anyMachine(), For);
      Platform.crash(this->anyMachine(), For);
      return;
    case 8:
      for (const std::string &Each : this->Fleet.nodeNames())
        this->kill(Each, For);
      return;
    case 9:
      Platform.store().setDelay(std::chrono::milliseconds(150));
      this->scheduleAfter(For, [&Platform] {
        Platform.store().setDelay(std::chrono::milliseconds(2));
      });
      return;
    case 10:
      for (size_t Count = this->draw(5); Count > 0; --Count)
        Platform.crashExecutor(this->anyMachine(), For);
      return;
    case 11:
      for (size_t Count = 1 + this->draw(5); Count > 0; --Count)
        this->shrink(this->anyMachine(), For);
      return;
    default:
      this->restartExecutors(For);
      return;
    }
  }

  size_t countKinds() const {
    switch (this->Kinds) {
    case FaultKinds::Plain:
      return 10;
    case FaultKinds::WithCrashes:
      return 12;
    case FaultKinds::WithRestarts:
      return 18;
    }
    return 0;
  }

  /// Restarts one to five executors under their ids, some of them twice.
  void restartExecutors(Duration For) {
    const bool IsQuick = this->draw(3) != 0;
    for (size_t Count = 1 + this->draw(5); Count > 0; --Count) {
      simulation::ExecutorRestart How;
      How.DownFor =
          IsQuick ? std::chrono::milliseconds(50 + this->draw(450)) : For;
      How.ResetsConnections = this->draw(2) == 0;
      How.IsClockSetBack = this->draw(8) == 0;
      if (this->draw(4) == 0)
        How.RegistersAfter = std::chrono::milliseconds(this->draw(3000));
      const jobs::MachineName Machine = this->anyMachine();
      if (this->draw(8) == 0) {
        How.Capacity = {8000, 64000, 0};
        this->scheduleAfter(std::chrono::seconds(8), [this, Machine] {
          this->Fleet.Platform.setCapacity(Machine, {16000, 64000, 0});
        });
      }
      this->Fleet.Platform.restartExecutor(Machine, How);
      if (this->draw(3) != 0)
        continue;
      const Duration UpFor = std::chrono::milliseconds(this->draw(800));
      this->scheduleAfter(How.DownFor + UpFor, [this, Machine, How] {
        this->Fleet.Platform.restartExecutor(Machine, How);
      });
    }
  }

  void shrink(const jobs::MachineName &Machine, Duration For) {
    auto &Platform = this->Fleet.Platform;
    Platform.setCapacity(
        Machine, {static_cast<int64_t>(this->draw(9)) * 1000, 64000, 0});
    this->scheduleAfter(For, [&Platform, Machine] {
      Platform.setCapacity(Machine, {16000, 64000, 0});
    });
  }

  void endFaults() {
    this->Fleet.Platform.setCallFaults({});
    this->Fleet.Platform.store().setFaultModeForAll(
        simulation::StoreFaultMode::Served);
    this->Fleet.Platform.store().setDelay(std::chrono::milliseconds(2));
    for (const std::string &Name : this->Fleet.nodeNames()) {
      this->Fleet.setCut(Name, false);
      this->Fleet.restartNode(Name);
    }
  }

  std::vector<std::string> checkGuarantees() {
    std::vector<std::string> Violations =
        this->Fleet.Platform.runChecker().violations();
    for (const std::string &Path : this->Fleet.Accepted) {
      const std::string State = this->Fleet.stateOf(Path);
      const std::string Expected =
          this->Lasting.contains(Path) ? "running" : "completed";
      const bool IsGivenUp =
          this->CrashingPaths.contains(Path) && State == "failed";
      if (State != Expected && !IsGivenUp)
        Violations.push_back(Path + " is shown as " + State + ", not " +
                             Expected);
    }
    return Violations;
  }

  SimulatedFleet Fleet;
  FaultKinds Kinds;
  ExecutorPath Path;
  TimePoint End;
  std::set<std::string> Lasting;
  std::set<jobs::JobId> Crashing;
  std::set<std::string> CrashingPaths;
};

/// Grace of the series that are also played with one, and how many seeds of
/// these are played by default.
inline constexpr Duration SeriesGrace = std::chrono::seconds(4);
inline constexpr uint64_t GraceSeedCount = 15;

/// Seeds of WithRestarts in which a late start order reaches an incarnation
/// that knows nothing of it.
inline const std::set<uint64_t> LateOrderSeeds = {14, 40};

/// Plays one series and checks that it violates no guarantee.
inline void checkSeries(uint64_t Seed, FaultKinds Kinds,
                        Duration StoreOutageGrace = Duration::zero(),
                        ExecutorPath Path = ExecutorPath::Direct) {
  FaultSeries Series(Seed, Kinds, StoreOutageGrace, Path);
  for (const std::string &Text : Series.run())
    FAIL_CHECK("seed " << Seed << ": " << Text);
}

/// Returns the first and last seed to run.
inline std::pair<uint64_t, uint64_t> seedsToRun(uint64_t DefaultCount = 40) {
  const char *Given = std::getenv("WHINTACK_FLEET_SEEDS");
  if (!Given)
    return {1, DefaultCount};
  const std::string Text = Given;
  const size_t Dash = Text.find('-');
  if (Dash == std::string::npos)
    return {1, std::stoull(Text)};
  return {std::stoull(Text.substr(0, Dash)),
          std::stoull(Text.substr(Dash + 1))};
}

} // namespace whintack::tests

#endif // WHINTACK_TESTS_FAULTSERIES_H
