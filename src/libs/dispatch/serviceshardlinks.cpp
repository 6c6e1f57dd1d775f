#include "serviceshard.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Interval between two checks of the machines while executors are silent.
static constexpr Duration SilentCheckInterval = std::chrono::milliseconds(600);
/// Time over which executors that become silent after the last check began are
/// collected for an early one.
static constexpr Duration EarlyCheckDelay = std::chrono::milliseconds(20);
/// Reserved from a ticket's validity for sending the order.
static constexpr Duration TicketMargin = std::chrono::milliseconds(100);

void ServiceShard::openLink(const jobs::ExecutorInfo &Info) {
  LinkSetup Setup;
  Setup.Executor = {Info.Id, Info.Server};
  Setup.Token = this->OwnClaim.Token;
  Setup.MaxLease = this->Environment.MaxLease;
  Setup.EarlierLeasesEnd = this->EarlierLeasesEnd;
  const auto Earlier = this->Links.find(Info.Id);
  if (Earlier != this->Links.end())
    this->noteClosed(Info.Id, *Earlier->second);
  const auto Late = this->LateLeasesEnds.find(Info.Id);
  if (Late != this->LateLeasesEnds.end())
    Setup.LateLeasesEnd = Late->second;
  // From now on, the link tells whether it answers.
  this->Silent.erase(Info.Id);
  this->SilentAtRequest.erase(Info.Id);
  this->SilentAtEarlyRequest.erase(Info.Id);
  auto Link = std::make_shared<ExecutorLink>(
      this->Shared, this->Environment.Executors, Setup, this->linkHooks());
  this->Links[Info.Id] = Link;
  Link->open();
}

void ServiceShard::noteClosed(const jobs::ExecutorId &Id,
                              const ExecutorLink &Closed) {
  std::erase_if(this->LateLeasesEnds,
                [Now = this->Shared.now()](const auto &Entry) {
                  return Entry.second <= Now;
                });
  this->LateLeasesEnds[Id] = Closed.lateLeasesEnd();
}

LinkHooks ServiceShard::linkHooks() {
  // Links run on the same loop as this object and are closed by it, so
  // capturing this is safe.
  LinkHooks Hooks;
  Hooks.CanOrder = [this] { return this->canOrder(); };
  Hooks.CanConcludeLoss = [this] { return !this->mayBeSucceeded(); };
  Hooks.CanStart = [this] { return this->canStartTasks(); };
  Hooks.IsCurrent = [this](const jobs::StartOrder &Order) {
    return this->Planner.isCurrent(Order);
  };
  Hooks.OnStartSent = [this](const jobs::StartOrder &Order) {
    this->Planner.noteStartSent(Order, this->Shared.now());
  };
  Hooks.LastDiscardableEnd = [this](const jobs::ExecutorId &Id) {
    return this->Planner.lastDiscardableEnd(Id);
  };
  Hooks.OnAcknowledged = [this](const jobs::ExecutorId &Id, uint64_t Through) {
    this->Planner.noteAcknowledged(Id, Through, this->Shared.now());
  };
  Hooks.OnReport = [this](const jobs::ExecutorId &Id,
                          const jobs::ExecutorReport &Report) {
    this->Load.measure(PlannerWork::Reports, Report.Running.size(), [&] {
      this->Planner.noteReport(Id, Report, this->Shared.now());
    });
    this->requestFlush();
    this->requestPlan();
  };
  Hooks.OnStartAnswered = [this](TimePoint DecidedAt, TimePoint SentAt) {
    this->OrderTimes.noteAnswered(DecidedAt, SentAt, this->Shared.now());
  };
  Hooks.OnStart = [this](const jobs::StartOrder &Order,
                         jobs::StartOutcome Outcome, jobs::ExecutorTime At) {
    this->Load.measure(PlannerWork::StartAnswers, 1, [&] {
      this->Planner.noteStart(Order, Outcome, At, this->Shared.now());
    });
    if (Outcome != jobs::StartOutcome::Started)
      this->requestPlan();
  };
  Hooks.OnStop = [this](const jobs::StopOrder &Order,
                        std::optional<jobs::ExecutorTime> At) {
    this->Planner.noteStop(Order, At, this->Shared.now());
  };
  Hooks.OnReachable = [this](const jobs::ExecutorId &Id, bool IsReachable) {
    this->Planner.setReachable(Id, IsReachable);
    if (!IsReachable && this->Silent.insert(Id).second) {
      if (this->Silent.size() == 1)
        this->checkSilentExecutors();
      else
        this->scheduleEarlyCheck();
    }
    if (IsReachable) {
      this->Silent.erase(Id);
      // A list that was requested before proves nothing about a later silence.
      this->SilentAtRequest.erase(Id);
      this->SilentAtEarlyRequest.erase(Id);
      this->LostExecutors.noteAnswer(Id);
    }
    this->requestPlan();
  };
  Hooks.OnEmpty = [this](const jobs::ExecutorId &Id, jobs::ExecutorLoss Cause) {
    this->Planner.noteEmpty(Id, Cause, this->Shared.now());
    this->requestFlush();
    this->requestPlan();
  };
  Hooks.OnFenced = [this] { this->reportLoss("fenced by a later planner"); };
  return Hooks;
}

void ServiceShard::watchUnlisted(
    const std::vector<jobs::ExecutorId> &Unlisted) {
  if (this->IsStopped || this->Shared.now() >= this->EarlierLeasesEnd)
    return;
  const bool IsChecking = !this->Silent.empty();
  for (const jobs::ExecutorId &Id : Unlisted)
    if (!this->Links.contains(Id))
      this->Silent.insert(Id);
  if (!IsChecking && !this->Silent.empty())
    this->checkSilentExecutors();
}

/// Asks the platform about executors that do not answer.
void ServiceShard::checkSilentExecutors() {
  this->SilentAtRequest = this->Silent;
  this->listMachines([Check = ++this->SilentChecks](ServiceShard &Self,
                                                    const MachineList &Found) {
    // A check that has begun later knows better who was silent at its request.
    if (Check == Self.SilentChecks)
      Self.handleSilentMachines(Found);
  });
}

/// Reads the machines once more before the next check is due, for executors
/// that have become silent since the last one began. Readings of the list are
/// limited, so there is at most one early check in an interval.
void ServiceShard::scheduleEarlyCheck() {
  if (this->IsEarlyCheckScheduled)
    return;
  this->IsEarlyCheckScheduled = true;
  scheduleFor(
      this->Shared.Loop, this->shared_from_this(),
      std::max(this->Shared.now() + EarlyCheckDelay, this->NextEarlyCheckAt),
      [](ServiceShard &Self) {
        Self.IsEarlyCheckScheduled = false;
        if (!Self.IsStopped)
          Self.checkEarly();
      });
}

void ServiceShard::checkEarly() {
  const auto &Known = this->SilentAtRequest;
  if (std::includes(Known.begin(), Known.end(), this->Silent.begin(),
                    this->Silent.end()))
    return;
  this->NextEarlyCheckAt = this->Shared.now() + SilentCheckInterval;
  this->SilentAtEarlyRequest = this->Silent;
  this->listMachines([Check = ++this->EarlyChecks](ServiceShard &Self,
                                                   const MachineList &Found) {
    if (Check != Self.EarlyChecks || Self.IsStopped || !Found ||
        Self.mayBeSucceeded())
      return;
    // Absences are counted at intervals, and not by early checks.
    Self.handleLost(Self.LostExecutors.findLostByRow(
        Found.value(), Self.SilentAtEarlyRequest));
  });
}

void ServiceShard::handleLost(const std::vector<LostExecutor> &Lost) {
  for (const LostExecutor &Each : Lost) {
    this->Silent.erase(Each.Id);
    this->SilentAtRequest.erase(Each.Id);
    this->SilentAtEarlyRequest.erase(Each.Id);
    logEvent(LogLevel::Info, "machine-lost",
             {{"executor", Each.Id}, {"machine", Each.Machine}});
    this->Planner.noteEmpty(Each.Id, Each.Cause, this->Shared.now());
  }
  this->requestFlush();
  this->requestPlan();
}

void ServiceShard::handleSilentMachines(const MachineList &Found) {
  if (this->IsStopped)
    return;
  // A successor may have read what ended on a machine that was moved since.
  if (Found && !Found.value().empty() && !this->mayBeSucceeded()) {
    this->handleLost(
        this->LostExecutors.findLost(Found.value(), this->SilentAtRequest));
    this->learnMachines(Found.value());
  }
  if (this->Silent.empty())
    return;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + SilentCheckInterval,
              [Check = this->SilentChecks](ServiceShard &Self) {
                if (Check != Self.SilentChecks)
                  return;
                std::erase_if(Self.Silent, [&Self](const auto &Id) {
                  return Self.Planner.occupancy(Id) == jobs::Occupancy::Vacant;
                });
                if (!Self.IsStopped && !Self.Silent.empty())
                  Self.checkSilentExecutors();
              });
}

void ServiceShard::learnMachines(const std::vector<jobs::MachineInfo> &List) {
  this->LostExecutors.learnMachines(List, [this](const jobs::ExecutorId &Id) {
    return this->Links.contains(Id) || this->Silent.contains(Id);
  });
}

void ServiceShard::execute(const jobs::Order &Order) {
  const auto FindLink = [this](const jobs::ExecutorId &Id) {
    const auto Found = this->Links.find(Id);
    return Found == this->Links.end() ? nullptr : Found->second;
  };
  if (const auto *Start = std::get_if<jobs::StartOrder>(&Order)) {
    if (const auto Link = FindLink(Start->Executor))
      Link->start(*Start);
    else
      this->Planner.noteStart(*Start, jobs::StartOutcome::Unhealthy, 0,
                              this->Shared.now());
  } else if (const auto *Stop = std::get_if<jobs::StopOrder>(&Order)) {
    if (const auto Link = FindLink(Stop->Executor))
      Link->stop(*Stop);
    else
      this->Planner.noteStop(*Stop, std::nullopt, this->Shared.now());
  } else if (const auto *Pace = std::get_if<jobs::PaceOrder>(&Order)) {
    if (const auto Link = FindLink(Pace->Executor))
      Link->pace(*Pace);
  } else if (const auto *Request = std::get_if<jobs::AdviceOrder>(&Order)) {
    this->askAdvice(*Request);
  }
}

void ServiceShard::askAdvice(const jobs::AdviceOrder &Request) {
  this->Environment.AskAdvice(
      Request, [Weak = this->weak_from_this(), Request](
                   const jobs::GatewayResult<jobs::AdviceAnswer> &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const TimePoint Now = Self->Shared.now();
        if (Answer)
          Self->Planner.noteAdvice(Request, Answer.value().Tickets,
                                   Now + Answer.value().Validity -
                                       TicketMargin);
        else
          Self->Planner.noteAdviceFailed(Request, Now);
        Self->requestPlan();
      });
}

} // namespace whintack::dispatch::Internal
