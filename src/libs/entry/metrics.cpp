#include "metrics.h"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace whintack::entry::Internal {

class Metrics::Private {
public:
  void setGauge(const std::string &Name, const std::string &Help,
                const std::map<std::string, std::string> &Labels,
                double Amount);
  void setCounter(const std::string &Name, const std::string &Help,
                  const std::map<std::string, std::string> &Labels,
                  uint64_t Total);

  std::mutex Mutex;
  prometheus::Registry Registry{prometheus::Registry::InsertBehavior::Merge};
};

void Metrics::Private::setGauge(
    const std::string &Name, const std::string &Help,
    const std::map<std::string, std::string> &Labels, double Amount) {
  prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(this->Registry)
      .Add(Labels)
      .Set(Amount);
}

void Metrics::Private::setCounter(
    const std::string &Name, const std::string &Help,
    const std::map<std::string, std::string> &Labels, uint64_t Total) {
  prometheus::Counter &Counter = prometheus::BuildCounter()
                                     .Name(Name)
                                     .Help(Help)
                                     .Register(this->Registry)
                                     .Add(Labels);
  Counter.Increment(static_cast<double>(Total) - Counter.Value());
}

Metrics::Metrics() : D(std::make_unique<Private>()) {}
Metrics::~Metrics() = default;

std::string Metrics::render(const MetricsInput &Input) {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  Private &Out = *this->D;
  const std::string Requests = "whintack_requests_total";
  const std::string RequestsHelp = "Requests by how they ended.";
  Out.setCounter(Requests, RequestsHelp, {{"outcome", "done"}},
                 Input.Requests.Answered);
  Out.setCounter(Requests, RequestsHelp, {{"outcome", "not-run"}},
                 Input.Requests.NotRun);
  Out.setCounter(Requests, RequestsHelp, {{"outcome", "unknown"}},
                 Input.Requests.Unknown);
  Out.setCounter("whintack_attempts_total", "Requests sent to executors.", {},
                 Input.Requests.Sent);
  Out.setCounter("whintack_retries_total", "Attempts after the first.", {},
                 Input.Requests.Retried);
  Out.setCounter("whintack_slots_lent_total", "Slots lent to peers.", {},
                 Input.Requests.SlotsLent);
  Out.setCounter("whintack_slots_borrowed_total", "Slots borrowed from peers.",
                 {}, Input.Requests.SlotsBorrowed);
  Out.setCounter("whintack_peer_sent_bytes_total", "Bytes sent to peers.", {},
                 Input.Traffic.BytesSent);
  Out.setCounter("whintack_peer_received_bytes_total",
                 "Bytes received from peers.", {}, Input.Traffic.BytesReceived);
  Out.setCounter("whintack_store_calls_total", "Calls to the platform.", {},
                 Input.PlatformCalls);
  Out.setGauge("whintack_requests_pending", "Requests held.", {},
               static_cast<double>(Input.Pending));
  Out.setGauge("whintack_revision", "Revision in force.", {},
               static_cast<double>(Input.Revision));
  Out.setGauge("whintack_store_reachable",
               "Whether the platform answers, 0 or 1.", {},
               Input.IsPlatformReachable ? 1 : 0);
  double Usable = 0;
  for (const peers::PeerStatus &Peer : Input.Peers)
    Usable += Peer.IsUsable ? 1 : 0;
  Out.setGauge("whintack_peers_usable", "Peers that answer.", {}, Usable);
  std::map<std::string, std::map<std::string, double>> States;
  std::map<std::string, double> Running;
  for (const routing::ExecutorReport &Known : Input.Executors) {
    const std::string Service = Known.Service.text();
    auto &Counts = States[Service];
    for (const auto &Row : routing::ExecutorStateNames)
      Counts[std::string(Row.Name)] += Row.Value == Known.State ? 1 : 0;
    Running[Service] += static_cast<double>(Known.Running);
  }
  for (const auto &[Service, Counts] : States)
    for (const auto &[State, Count] : Counts)
      Out.setGauge("whintack_executors", "Executors by state.",
                   {{"service", Service}, {"state", State}}, Count);
  for (const auto &[Service, Count] : Running)
    Out.setGauge("whintack_requests_running",
                 "Requests running on executors, sent from here.",
                 {{"service", Service}}, Count);
  return prometheus::TextSerializer().Serialize(Out.Registry.Collect());
}

} // namespace whintack::entry::Internal
