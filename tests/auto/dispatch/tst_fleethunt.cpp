#include "simulatedfleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>

// Random series of faults on a simulated fleet. The environment variable
// WHINTACK_FLEET_SEEDS names how many seeds are played (or FIRST-LAST).

using namespace whintack;
using namespace whintack::tests;
using simulation::StorePath;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Plays one seed: jobs come in all the while, faults come and go, overlap
/// and repeat; then all is well and everything has to end as promised.
class Hunt {
public:
  explicit Hunt(uint64_t Seed) : Fleet(Seed) {}

  std::vector<std::string> play() {
    this->Fleet.startAll();
    const Duration Length = seconds(20);
    this->End = this->Fleet.Loop.Time.now() + Length;
    const size_t Faults = 2 + this->draw(5);
    for (size_t Count = 0; Count < Faults; ++Count)
      this->later(milliseconds(this->draw(14000)), [this] { this->fault(); });
    this->work();
    this->Fleet.runFor(Length);
    this->heal();
    this->Fleet.runFor(seconds(30));
    return this->judge();
  }

private:
  size_t draw(size_t Bound) { return this->Fleet.source()() % Bound; }

  void later(Duration After, std::function<void()> Call) {
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

  void work() {
    if (this->Fleet.Loop.Time.now() > this->End)
      return;
    const char *Templates[] = {"short", "chain", "short", "lasting"};
    const size_t Drawn = this->draw(40);
    const std::string Path =
        this->Fleet.submit(this->draw(2) == 0 ? "quotes" : "payouts",
                           Drawn == 0 ? "lasting" : Templates[Drawn % 3]);
    if (Drawn == 0)
      this->Lasting.insert(Path);
    this->later(milliseconds(60 + this->draw(160)), [this] { this->work(); });
  }

  void kill(const std::string &Node, Duration For) {
    this->Fleet.killNode(Node);
    this->later(For, [this, Node] { this->Fleet.restartNode(Node); });
  }

  void fault() {
    const Duration For = milliseconds(300 + this->draw(6000));
    const std::string Node = this->anyNode();
    auto &Platform = this->Fleet.Platform;
    switch (this->draw(10)) {
    case 0:
      this->kill(Node, For);
      return;
    case 1:
      this->Fleet.setCut(Node, true);
      this->later(For, [this, Node] { this->Fleet.setCut(Node, false); });
      return;
    case 2:
    case 3: {
      const StorePath Paths[] = {StorePath::Refused, StorePath::Silent,
                                 StorePath::AnswersLost};
      const StorePath Path = Paths[this->draw(3)];
      if (this->draw(2) == 0)
        Platform.store().setPathOfAll(Path);
      else
        Platform.store().setPath(EntryName(Node), Path);
      this->later(For, [&Platform] {
        Platform.store().setPathOfAll(StorePath::Served);
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
      Platform.setTrouble({0.1, 0.1});
      this->later(For, [&Platform] { Platform.setTrouble({}); });
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
      Platform.store().setDelay(milliseconds(150));
      this->later(For,
                  [&Platform] { Platform.store().setDelay(milliseconds(2)); });
      return;
    }
  }

  void heal() {
    this->Fleet.Platform.setTrouble({});
    this->Fleet.Platform.store().setPathOfAll(StorePath::Served);
    this->Fleet.Platform.store().setDelay(milliseconds(2));
    for (const std::string &Name : this->Fleet.nodeNames()) {
      this->Fleet.setCut(Name, false);
      this->Fleet.restartNode(Name);
    }
  }

  std::vector<std::string> judge() {
    std::vector<std::string> Broken =
        this->Fleet.Platform.ledger().violations();
    for (const std::string &Path : this->Fleet.Accepted) {
      const std::string State = this->Fleet.stateOf(Path);
      const std::string Wanted =
          this->Lasting.contains(Path) ? "running" : "completed";
      if (State != Wanted)
        Broken.push_back(Path + " is shown as " + State + ", not " + Wanted);
    }
    return Broken;
  }

  SimulatedFleet Fleet;
  TimePoint End;
  std::set<std::string> Lasting;
};

/// First and last seed to play.
std::pair<uint64_t, uint64_t> seedsToPlay() {
  constexpr uint64_t Usual = 40;
  const char *Given = std::getenv("WHINTACK_FLEET_SEEDS");
  if (!Given)
    return {1, Usual};
  const std::string Text = Given;
  const size_t Dash = Text.find('-');
  if (Dash == std::string::npos)
    return {1, std::stoull(Text)};
  return {std::stoull(Text.substr(0, Dash)),
          std::stoull(Text.substr(Dash + 1))};
}

} // namespace

TEST_CASE("no series of faults breaks a promise") {
  const auto [First, Last] = seedsToPlay();
  for (uint64_t Seed = First; Seed <= Last; ++Seed) {
    Hunt Played(Seed);
    for (const std::string &Text : Played.play())
      FAIL_CHECK("seed " << Seed << ": " << Text);
  }
}
