#include "whintack/local/localfleet.h"

#include "whintack/base/log.h"

#include <future>

namespace whintack::local {

std::map<PoolName, ServiceName>
servicesByPool(const declaration::Declaration &Declared) {
  std::map<PoolName, ServiceName> Services;
  for (const auto &[Name, Service] : Declared.Services)
    Services[Service.HostPool] = Name;
  return Services;
}

static standin::VmBehaviour vmBehaviour(const LocalSettings &Local) {
  standin::VmBehaviour Behaviour;
  Behaviour.RebootTime = Local.RebootTime;
  Behaviour.ListLag = Local.ListLag;
  return Behaviour;
}

LocalPlatform::LocalPlatform(LocalSettings Given,
                             std::map<PoolName, ServiceName> ServiceOfPool,
                             Clock GivenTime, TimerQueue &Timers)
    : Local(std::move(Given)), ServiceOfPool(std::move(ServiceOfPool)),
      Time(std::move(GivenTime)), Timers(Timers), Store(Time),
      Machines(workerVms(Local), vmBehaviour(Local),
               {[this](const store::VmInfo &Vm) { this->startServer(Vm); },
                [this](const store::VmInfo &Vm) { this->stopServer(Vm); },
                [this](const store::VmInfo &Vm) { this->setLeaving(Vm); }},
               Time,
               [&Timers](TimePoint Deadline, std::function<void()> Call) {
                 Timers.schedule(Deadline, std::move(Call));
               }),
      Server(platformAddress(Local), Store.store(), Machines.directory(),
             Machines.workers(), Time, Timers) {}

LocalPlatform::~LocalPlatform() { this->Server.close(); }

Result<void, LocalError> LocalPlatform::start() {
  this->Machines.start();
  for (const store::VmInfo &Entry : entryVms(this->Local))
    this->Machines.addListed(Entry);
  if (auto Opened = this->Server.open(); !Opened)
    return failure(LocalError{Opened.error().Message});
  return success();
}

void LocalPlatform::startServer(const store::VmInfo &Vm) {
  const auto Service = this->ServiceOfPool.find(Vm.Pool);
  if (Service == this->ServiceOfPool.end())
    return;
  standin::BackendBehaviour Behaviour;
  Behaviour.Name = Vm.Name.text();
  Behaviour.Service = Service->second.text();
  Behaviour.Work = this->Local.Work;
  auto Started = std::make_unique<standin::BackendServer>(
      Vm.Server, Behaviour, this->Counter, this->Time, this->Timers);
  if (auto Opened = Started->open(); !Opened) {
    logEvent(LogLevel::Error, "server-not-started",
             {{"vm", Vm.Name}, {"text", Opened.error().Message}});
    return;
  }
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Servers[Vm.Name] = std::move(Started);
}

void LocalPlatform::stopServer(const store::VmInfo &Vm) {
  std::unique_ptr<standin::BackendServer> Stopped;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Servers.find(Vm.Name);
  if (Found == this->Servers.end())
    return;
  Stopped = std::move(Found->second);
  this->Servers.erase(Found);
}

void LocalPlatform::setLeaving(const store::VmInfo &Vm) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Servers.find(Vm.Name);
  if (Found != this->Servers.end())
    Found->second->setLeaving(true);
}

LocalFleet::LocalFleet(const LocalSettings &Local,
                       std::map<PoolName, ServiceName> ServiceOfPool,
                       const Clock &Time, const Random &Source,
                       TimerQueue &Timers)
    : Platform(Local, std::move(ServiceOfPool), Time, Timers),
      Entries(entrySettings(Local)) {
  for (const settings::EntrySettings &Entry : this->Entries)
    this->Nodes.push_back(
        std::make_unique<entry::EntryNode>(Entry, Time, Source, Timers));
}

LocalFleet::~LocalFleet() = default;

Result<void, LocalError> LocalFleet::start() {
  if (auto Started = this->Platform.start(); !Started)
    return Started;
  for (const auto &Node : this->Nodes)
    if (auto Started = Node->start(); !Started)
      return failure(LocalError{Started.error().Message});
  return success();
}

size_t LocalFleet::stop() {
  std::vector<std::future<size_t>> Stops;
  for (const auto &Node : this->Nodes)
    Stops.push_back(std::async(std::launch::async,
                               [&Node] { return Node->stop().CutOff; }));
  size_t CutOff = 0;
  for (std::future<size_t> &Stopped : Stops)
    CutOff += Stopped.get();
  return CutOff;
}

} // namespace whintack::local
