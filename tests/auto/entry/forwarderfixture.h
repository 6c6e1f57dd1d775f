#ifndef WHINTACK_TESTS_FORWARDERFIXTURE_H
#define WHINTACK_TESTS_FORWARDERFIXTURE_H

#include "whintack/base/log.h"
#include "whintack/entry/forwarder.h"

#include <future>

namespace whintack::tests {

inline ServiceName testService() { return ServiceName("shop"); }

/// Starts the threads of the HTTP library; they can be set only once per
/// process.
inline void prepareHttp() {
  static const bool IsPrepared = [] {
    setLogLevel(LogLevel::Error);
    http::initializeHttpThreads(4);
    return true;
  }();
  (void)IsPrepared;
}

/// A forwarder of the only entry VM of its data centre, with one executor for
/// each scripted server.
struct ForwarderFixture {
  explicit ForwarderFixture(const std::vector<Address> &Servers,
                            size_t MaxAnswerBytes = 16U << 20U) {
    prepareHttp();
    entry::ForwarderLimits Limits;
    Limits.MaxAnswerBytes = MaxAnswerBytes;
    entry::ForwarderHooks Hooks;
    Hooks.SendToPeer = [](const EntryName &, const peers::Message &) {};
    Hooks.Broadcast = [Held = this->Lifetime](const peers::Message &) {};
    Hooks.Connect = [this, MaxAnswerBytes](const Address &Server) {
      return std::make_shared<http::HttpConnection>(Server, MaxAnswerBytes,
                                                    this->Timers);
    };
    const routing::ShareMember Self{EntryName("e1"), 1};
    this->Forwarding = std::make_unique<entry::Forwarder>(
        routing::RouterIdentity{Self, DataCentreName("dc")},
        routing::ChoicePolicy::TwoChoices, Limits, Hooks, this->Time,
        seededRandom(1), this->Timers, this->Journal);
    routing::ServiceLimits Service;
    Service.Name = testService();
    this->Forwarding->setServices({Service});
    this->Forwarding->setSharePlan(
        routing::withAcknowledgement(routing::withMember({}, Self), Self));
    std::vector<store::VmInfo> Vms;
    for (const Address &Server : Servers) {
      store::VmInfo Vm;
      Vm.Name = VmName("vm" + std::to_string(Vms.size() + 1));
      Vm.DataCentre = DataCentreName("dc");
      Vm.Server = Server;
      Vm.Pool = PoolName("pool");
      Vms.push_back(Vm);
    }
    this->Forwarding->setVms(Vms, {{PoolName("pool"), testService()}});
  }

  entry::ForwardResult call(const std::string &Method,
                            const std::string &Target,
                            const std::string &Body = "",
                            Duration Wanted = std::chrono::seconds(10)) {
    entry::ForwardRequest Request;
    Request.Id = RequestId("r" + std::to_string(++this->LastId));
    Request.Info = {testService(), CallerName("c"), Method != "POST", Wanted};
    Request.Content.Method = Method;
    Request.Content.Target = Target;
    Request.Content.Body = Body;
    auto Promise = std::make_shared<std::promise<entry::ForwardResult>>();
    this->Forwarding->submit(Request, [Promise](entry::ForwardResult Result) {
      Promise->set_value(std::move(Result));
    });
    return Promise->get_future().get();
  }

  /// Shared with the forwarder's state, which calls in flight keep.
  std::shared_ptr<int> Lifetime = std::make_shared<int>();
  Clock Time = systemClock();
  TimerQueue Timers{Time};
  HybridClock Stamps{Time.WallNow};
  EventJournal Journal{EntryName("e1"), Stamps, 1000};
  std::unique_ptr<entry::Forwarder> Forwarding;
  int LastId = 0;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_FORWARDERFIXTURE_H
