#include "busyfleet.h"

using namespace whintack;
using namespace whintack::tests;
using simulation::ExecutorRestart;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Executors that start again under their ids. The next incarnation numbers its
// ends from 1, its clock starts anew, and it knows no run of before.

namespace {

constexpr uint64_t Seeds = 3;

/// A busy fleet whose executors start again under their ids.
class RestartingFleet : public BusyFleet {
public:
  explicit RestartingFleet(uint64_t Seed, const std::string &Queue = "quotes")
      : BusyFleet(Queue, milliseconds(100), Seed), Service(Queue) {}

  /// Keeps the fleet busy until each executor has reported many ends.
  void reportManyEnds() { this->submitJobs(seconds(6)); }

  /// The machines on which executors of the busy queue are up.
  std::vector<jobs::MachineName> busyMachines() const {
    std::vector<jobs::MachineName> Names;
    for (const jobs::MachineInfo &Each : this->Platform.machineList())
      if (Each.Pool == this->Service && !Each.Executor.isEmpty())
        Names.push_back(Each.Name);
    return Names;
  }

  /// Restarts one executor of the busy queue.
  void restartAny(const ExecutorRestart &How) {
    const std::vector<jobs::MachineName> Names = this->busyMachines();
    if (!Names.empty())
      this->Platform.restartExecutor(Names[this->source()() % Names.size()],
                                     How);
  }

  void restartAll(const ExecutorRestart &How) {
    for (const jobs::MachineName &Name : this->busyMachines())
      this->Platform.restartExecutor(Name, How);
  }

  /// A time that is shorter than any silence that planners notice.
  Duration shortTime() { return milliseconds(50 + this->source()() % 450); }

  /// Loses the planner, and runs until another one has taken over.
  void awaitTakeOver() {
    const std::string Last = this->plannerOf(this->Service.text());
    this->replacePlanner();
    for (int Step = 0; Step < 100; ++Step) {
      const std::string Next = this->plannerOf(this->Service.text());
      if (!Next.empty() && Next != Last)
        return;
      this->submitJobs(milliseconds(100));
    }
  }

  /// A job of which a task has lost three executors counts as one that crashes
  /// them, also if it is innocent.
  void finishAndCheckRestarts() {
    constexpr size_t MaxLostRuns = 3;
    this->finishAndCheck({}, [this](const std::string &Path) {
      const jobs::JobId Job(Path.substr(Path.rfind('/') + 1));
      return this->Platform.runChecker().mostLostRuns(Job) >= MaxLostRuns;
    });
  }

private:
  ServiceName Service;
};

/// Plays \p Course with each seed and each way in which an executor ends, and
/// checks the guarantees after each.
template <typename Play> void playAll(Play Course) {
  for (const bool ResetsConnections : {true, false})
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      INFO("seed " << Seed << (ResetsConnections ? ", reset" : ", silent"));
      RestartingFleet Fleet(Seed);
      ExecutorRestart How;
      How.ResetsConnections = ResetsConnections;
      Course(Fleet, How);
      Fleet.Platform.setCallFaults({});
      Fleet.submitJobs(seconds(2));
      Fleet.finishAndCheckRestarts();
    }
}

/// Restarts single executors of the busy fleet \p Count times.
void restartOneByOne(RestartingFleet &Fleet, ExecutorRestart How, int Count) {
  for (int Done = 0; Done < Count; ++Done) {
    How.DownFor = Fleet.shortTime();
    Fleet.restartAny(How);
    Fleet.submitJobs(milliseconds(700));
  }
}

} // namespace

// Guards against ends of a new incarnation that are taken for ends of the
// earlier one, and discarded unread.
TEST_CASE("executors that restart one by one under their ids repeat no task") {
  playAll([](RestartingFleet &Fleet, const ExecutorRestart &How) {
    Fleet.reportManyEnds();
    restartOneByOne(Fleet, How, 12);
  });
}

// Guards against the same on all executors at once, so that nothing that runs
// is known to any of them.
TEST_CASE("executors that restart together under their ids repeat no task") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    for (int Count = 0; Count < 3; ++Count) {
      How.DownFor = Fleet.shortTime();
      Fleet.restartAll(How);
      Fleet.submitJobs(seconds(2));
    }
  });
}

// Guards against a planner that learns of the new incarnation from the list
// long after it has learnt of it from the executor itself.
TEST_CASE("executors that register late after a restart repeat no task") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    How.RegistersAfter = milliseconds(1500);
    restartOneByOne(Fleet, How, 12);
  });
}

// Guards against answers to start orders that are taken for ones of the
// earlier incarnation although they tell theirs.
TEST_CASE("executors whose start answers tell the incarnation repeat no task") {
  playAll([](RestartingFleet &Fleet, const ExecutorRestart &How) {
    Fleet.Platform.setStartAnswersTellIncarnation(true);
    Fleet.reportManyEnds();
    restartOneByOne(Fleet, How, 12);
  });
}

// Guards against a planner that adopts what was true of the earlier
// incarnation only, when it takes over just before the restart.
TEST_CASE("no task is repeated if executors restart after a take-over") {
  playAll([](RestartingFleet &Fleet, const ExecutorRestart &How) {
    Fleet.reportManyEnds();
    for (int Count = 0; Count < 3; ++Count) {
      Fleet.replacePlanner();
      restartOneByOne(Fleet, How, 6);
    }
  });
}

// Guards against the same when it takes over while executors are down.
TEST_CASE("no task is repeated if the planner is lost during restarts") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    for (int Count = 0; Count < 3; ++Count) {
      How.DownFor = milliseconds(500);
      Fleet.restartAny(How);
      Fleet.restartAny(How);
      Fleet.runFor(milliseconds(200));
      Fleet.replacePlanner();
      Fleet.submitJobs(seconds(4));
    }
  });
}

// Guards against the same when it has just taken over and adopts what runs.
TEST_CASE("no task is repeated if executors restart during a take-over") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    for (int Count = 0; Count < 3; ++Count) {
      Fleet.awaitTakeOver();
      How.DownFor = Fleet.shortTime();
      for (int Restarted = 0; Restarted < 4; ++Restarted) {
        Fleet.restartAny(How);
        Fleet.submitJobs(milliseconds(100));
      }
      Fleet.submitJobs(seconds(3));
    }
  });
}

// Guards against an incarnation that no planner has seen: orders that were
// meant for the first may have been carried out there.
TEST_CASE("executors that restart twice within one silence repeat no task") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    How.DownFor = milliseconds(100);
    for (int Count = 0; Count < 6; ++Count) {
      const std::vector<jobs::MachineName> Names = Fleet.busyMachines();
      const jobs::MachineName Name = Names[Count % Names.size()];
      Fleet.Platform.restartExecutor(Name, How);
      Fleet.runFor(How.DownFor + milliseconds(60));
      Fleet.Platform.restartExecutor(Name, How);
      Fleet.submitJobs(seconds(1));
    }
  });
}

// Guards against the same while the planner cannot reach a data centre.
TEST_CASE("executors that restart twice behind a partition repeat no task") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    How.DownFor = milliseconds(100);
    for (int Count = 0; Count < 3; ++Count) {
      const std::string Planner = Fleet.plannerOf("quotes");
      const EntryName Vm(Planner);
      for (const char *Each : {"d1", "d2"})
        Fleet.Platform.setCut(Vm, DataCentreName(Each), true);
      Fleet.submitJobs(milliseconds(300));
      Fleet.restartAll(How);
      Fleet.submitJobs(milliseconds(400));
      Fleet.restartAll(How);
      Fleet.submitJobs(milliseconds(300));
      for (const char *Each : {"d1", "d2"})
        Fleet.Platform.setCut(Vm, DataCentreName(Each), false);
      Fleet.submitJobs(seconds(2));
    }
  });
}

// Guards against incarnations that are compared by value: a lower one may be
// later.
TEST_CASE("executors whose clock is set back repeat no task") {
  playAll([](RestartingFleet &Fleet, ExecutorRestart How) {
    Fleet.reportManyEnds();
    for (int Count = 0; Count < 4; ++Count) {
      How.IsClockSetBack = true;
      restartOneByOne(Fleet, How, 2);
      How.IsClockSetBack = false;
      restartOneByOne(Fleet, How, 1);
    }
  });
}

// Guards against orders and report calls for the earlier incarnation that the
// later one carries out.
TEST_CASE("late calls across restarts repeat no task") {
  playAll([](RestartingFleet &Fleet, const ExecutorRestart &How) {
    Fleet.reportManyEnds();
    Fleet.Platform.setCallFaults({0.05, 0.05});
    restartOneByOne(Fleet, How, 12);
  });
}

// Guards against starts beyond the capacity of the new incarnation.
TEST_CASE("no task starts beyond the capacity after a restart") {
  for (const bool ResetsConnections : {true, false})
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      INFO("seed " << Seed << (ResetsConnections ? ", reset" : ", silent"));
      RestartingFleet Fleet(Seed, "payouts");
      Fleet.reportManyEnds();
      ExecutorRestart How;
      How.ResetsConnections = ResetsConnections;
      for (const int64_t MilliCores : {4000, 16000, 6000, 16000}) {
        How.DownFor = Fleet.shortTime();
        How.Capacity = {MilliCores, 64000, 0};
        Fleet.restartAll(How);
        Fleet.submitJobs(seconds(6));
      }
      Fleet.finishAndCheck();
    }
}

// Guards against executors that are served worse if they do not tell their
// incarnation: their ids do.
TEST_CASE("executors that do not tell their incarnation are served as before") {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    RestartingFleet Fleet(Seed);
    Fleet.Platform.setIncarnationsTold(false);
    for (const jobs::MachineName &Name : Fleet.busyMachines())
      Fleet.Platform.crashExecutor(Name, milliseconds(100));
    Fleet.reportManyEnds();
    for (int Count = 0; Count < 8; ++Count) {
      const std::vector<jobs::MachineName> Names = Fleet.busyMachines();
      Fleet.Platform.crashExecutor(Names[Fleet.source()() % Names.size()],
                                   Fleet.shortTime());
      Fleet.submitJobs(milliseconds(700));
    }
    Fleet.finishAndCheckRestarts();
  }
}
