// Guards against waves that are completed although a machine has had no
// maintenance for them, and against waves that take more machines down than
// they allow: orders and their answers are lost or late, lists lag or miss a
// row, machines are removed, holders are replaced, and two waves name the same
// machines.

#include "whintack/jobs/wavescheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 200ms;
constexpr Duration MaintenanceLength = 2s;
/// How long a successor counts a machine as down that its predecessor ordered.
constexpr Duration HoldTime = 6s;
constexpr Duration WaveLength = 40s;
constexpr size_t MachineCount = 4;
constexpr size_t MaxConcurrent = 1;
constexpr size_t WaveCount = 2;

/// What becomes of an order.
enum class OrderFate { Answered, AnswerLost, Lost, Late };

/// A platform that keeps to its specification, and the waves of one holder.
class WaveSimulation {
public:
  explicit WaveSimulation(bool HasSuccessors) : HasSuccessors(HasSuccessors) {
    for (size_t Number = 0; Number < MachineCount; ++Number)
      this->Machines[MachineName("m" + std::to_string(Number))];
    for (uint64_t Number = 1; Number <= WaveCount; ++Number)
      this->Waves.emplace(Number, this->makeScheduler(Number, {}));
  }

  /// Lets faults occur for \p Steps, then none until all waves are completed.
  void play(size_t Steps) {
    for (size_t Number = 0; Number < Steps; ++Number)
      this->advance(true);
    for (size_t Number = 0; Number < 600 && !this->areCompleted(); ++Number)
      this->advance(false);
    RC_ASSERT(this->areCompleted());
  }

private:
  struct SimulatedMachine {
    MachineState State = MachineState::Up;
    TimePoint UpAt;
    bool IsRemoved = false;
    /// The wave of the last maintenance.
    uint64_t Wave = 0;
    std::set<uint64_t> BegunFor;
  };

  struct LateOrder {
    TimePoint ArrivesAt;
    MachineName Machine;
    uint64_t Wave = 0;
  };

  using Snapshot = std::vector<MachineInfo>;

  WaveScheduler makeScheduler(uint64_t Number,
                              const std::set<MachineName> &Begun) const {
    WaveRequest Request;
    Request.Number = Number;
    Request.MaxConcurrent = MaxConcurrent;
    for (const auto &[Name, Each] : this->Machines)
      Request.Machines.push_back(Name);
    return WaveScheduler(Request, this->End, Begun);
  }

  bool areCompleted() const {
    return std::all_of(
        this->Waves.begin(), this->Waves.end(),
        [](const auto &Entry) { return Entry.second.isCompleted(); });
  }

  /// A list of the machines, which may miss a row.
  Snapshot snapshot(bool HasFaults) const {
    const int Missed =
        HasFaults && *rc::gen::inRange(0, 6) == 0
            ? *rc::gen::inRange(0, static_cast<int>(MachineCount))
            : -1;
    Snapshot Rows;
    int Row = 0;
    for (const auto &[Name, Each] : this->Machines) {
      if (Each.IsRemoved || Row++ == Missed)
        continue;
      MachineInfo Info;
      Info.Name = Name;
      Info.State = Each.State;
      Rows.push_back(Info);
    }
    return Rows;
  }

  /// Carries out an order, and returns whether its maintenance has begun.
  bool carryOut(const MachineName &Name, uint64_t Wave) {
    SimulatedMachine &Target = this->Machines.at(Name);
    if (Target.BegunFor.contains(Wave))
      return true;
    if (Target.IsRemoved || Target.State != MachineState::Up)
      return false;
    const auto Down = static_cast<size_t>(std::count_if(
        this->Machines.begin(), this->Machines.end(), [&](const auto &Entry) {
          return Entry.second.State == MachineState::Maintenance &&
                 Entry.second.Wave == Wave;
        }));
    RC_ASSERT(Down < MaxConcurrent);
    Target.State = MachineState::Maintenance;
    Target.UpAt = this->Now + MaintenanceLength;
    Target.Wave = Wave;
    Target.BegunFor.insert(Wave);
    return true;
  }

  void order(const MachineName &Name, uint64_t Wave, OrderFate Fate) {
    WaveScheduler &Scheduler = this->Waves.at(Wave);
    this->Orders[{Wave, Name}] = this->Now + HoldTime;
    Scheduler.noteOrdered(Name);
    switch (Fate) {
    case OrderFate::Answered:
      if (this->carryOut(Name, Wave))
        Scheduler.noteBegun(Name, this->Now);
      else
        Scheduler.noteRefused(Name);
      return;
    case OrderFate::AnswerLost:
      this->carryOut(Name, Wave);
      break;
    case OrderFate::Late:
      this->LateOrders.push_back(
          {this->Now + Step * *rc::gen::inRange(1, 30), Name, Wave});
      break;
    case OrderFate::Lost:
      break;
    }
    Scheduler.noteUnanswered(Name);
  }

  void advance(bool HasFaults) {
    this->Now += Step;
    for (auto &[Name, Each] : this->Machines)
      if (Each.State == MachineState::Maintenance && this->Now >= Each.UpAt)
        Each.State = MachineState::Up;
    for (const LateOrder &Each : std::exchange(this->LateOrders, {}))
      if (this->Now >= Each.ArrivesAt)
        this->carryOut(Each.Machine, Each.Wave);
      else
        this->LateOrders.push_back(Each);
    this->Snapshots.push_front(this->snapshot(HasFaults));
    if (this->Snapshots.size() > 2)
      this->Snapshots.pop_back();
    if (HasFaults && *rc::gen::inRange(0, 100) == 0)
      this->removeMachine();
    if (HasFaults && this->HasSuccessors && *rc::gen::inRange(0, 25) == 0)
      this->replaceHolder();
    const size_t Age =
        HasFaults ? *rc::gen::inRange<size_t>(0, this->Snapshots.size()) : 0;
    for (auto &[Number, Scheduler] : this->Waves) {
      if (!HasFaults || *rc::gen::inRange(0, 4) != 0)
        Scheduler.noteMachines(this->Snapshots[Age], this->Now);
      Scheduler.setHeld(this->heldFor(Number));
      for (const MachineInfo &Each : Scheduler.machinesToEvacuate(this->Now))
        if (Scheduler.canOrder(Each.Name, Occupancy::Vacant, this->Now))
          this->order(Each.Name, Number, this->drawFate(HasFaults));
      this->check(Number);
    }
  }

  OrderFate drawFate(bool HasFaults) {
    if (!HasFaults)
      return OrderFate::Answered;
    return *rc::gen::weightedElement<OrderFate>({{5, OrderFate::Answered},
                                                 {2, OrderFate::AnswerLost},
                                                 {2, OrderFate::Lost},
                                                 {1, OrderFate::Late}});
  }

  void removeMachine() {
    const auto Index = *rc::gen::inRange<size_t>(0, MachineCount);
    SimulatedMachine &Removed =
        std::next(this->Machines.begin(), static_cast<int>(Index))->second;
    Removed.IsRemoved = true;
    Removed.State = MachineState::Down;
  }

  void replaceHolder() {
    for (auto &[Number, Scheduler] : this->Waves)
      Scheduler = this->makeScheduler(Number, Scheduler.begun());
    for (const auto &[Key, Until] : std::exchange(this->Orders, {}))
      this->OrdersOfEarlier[Key] = Until;
  }

  std::set<MachineName> heldFor(uint64_t Wave) const {
    std::set<MachineName> Names;
    for (const auto &[Key, Until] : this->OrdersOfEarlier)
      if (Key.first == Wave && this->Now < Until)
        Names.insert(Key.second);
    return Names;
  }

  void check(uint64_t Wave) {
    if (!this->Waves.at(Wave).isCompleted())
      return;
    for (const auto &[Name, Each] : this->Machines)
      RC_ASSERT(Each.IsRemoved || Each.BegunFor.contains(Wave));
  }

  bool HasSuccessors;
  TimePoint Now = TimePoint(1000s);
  TimePoint End = this->Now + WaveLength;
  std::map<MachineName, SimulatedMachine> Machines;
  std::map<uint64_t, WaveScheduler> Waves;
  /// The orders of the holder and those of its predecessors, and until when
  /// they are held.
  using OrderRecord = std::map<std::pair<uint64_t, MachineName>, TimePoint>;
  OrderRecord Orders;
  OrderRecord OrdersOfEarlier;
  std::vector<LateOrder> LateOrders;
  /// What the platform listed, newest first.
  std::deque<Snapshot> Snapshots;
};

} // namespace

TEST_CASE("waves over the same machines are completed only after each machine "
          "was maintained for each of them") {
  CHECK(rc::check("without a change of the holder", [] {
    WaveSimulation(false).play(*rc::gen::inRange<size_t>(1, 150));
  }));
  CHECK(rc::check("with successors", [] {
    WaveSimulation(true).play(*rc::gen::inRange<size_t>(1, 150));
  }));
}
