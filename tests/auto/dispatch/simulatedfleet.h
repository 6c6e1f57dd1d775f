#ifndef WHINTACK_TESTS_SIMULATEDFLEET_H
#define WHINTACK_TESTS_SIMULATEDFLEET_H

#include "fleetcore.h"
#include "steppedloop.h"

#include "whintack/simulation/simulatedplatform.h"

#include <map>
#include <optional>
#include <set>

namespace whintack::tests {

/// The response that a client got; a status of 0 means none yet.
struct ClientAnswer {
  int Status = 0;
  std::string Body;
  std::string RetryAfter;
};

/// How the store handles one commit.
enum class CommitFault {
  None,
  /// It is carried out, but times out because its answer is lost.
  AnswerLost,
  /// It times out and is carried out seconds later, if its conditions still
  /// hold.
  CarriedOutLate,
};

/// Entry VMs without listeners on a simulated platform, all on one stepped
/// loop: the same seed gives the same run.
class SimulatedFleet {
public:
  explicit SimulatedFleet(uint64_t Seed = 1);
  ~SimulatedFleet();

  /// Sets up the example fleet with two services, a spare pool and three entry
  /// VMs in two data centres, and lets it settle.
  void startAll();
  void startNode(const std::string &Name, const std::string &DataCentre,
                 double ProcessorShare = 1);
  /// Limits the link of a VM that starts from now on, and tells the VM.
  void setLinkRate(const std::string &Name, double BytesPerSecond);
  /// Sets the maximum lease that executors grant that start from now on.
  void setMaxLease(Duration Length);
  /// Sets how long the VMs that start from now on go on while the store does
  /// not answer.
  void setStoreOutageGrace(Duration Length) {
    this->StoreOutageGrace = Length;
    this->MachineOrderGrace = Length;
  }
  /// Sets how long the holder of the machines goes on, if not as long.
  void setMachineOrderGrace(Duration Length) {
    this->MachineOrderGrace = Length;
  }
  /// Ends the process without a shutdown.
  void killNode(const std::string &Name);
  void restartNode(const std::string &Name);
  /// Stops the process in the way a signal does.
  void stopNode(const std::string &Name);
  /// Cuts one VM off from the store, from the other VMs and from the other data
  /// centre, or restores its connections.
  void setCut(const std::string &Name, bool IsCut);
  /// Delays all messages that one VM sends to the others, as a busy processor
  /// does.
  void setSendDelay(const std::string &Name, Duration Delay) {
    this->SendDelays[Name] = Delay;
  }
  /// Sets the function that decides how the store handles each commit that one
  /// VM sends to it; null for no faults.
  void setCommitFaults(const std::string &Name,
                       std::function<CommitFault()> Decide) {
    this->CommitFaults[Name] = std::move(Decide);
  }
  /// Breaks the watches of one VM and its connections to the other VMs. It can
  /// still renew its lease, write to the store and reach all executors.
  void breakWatches(const std::string &Name);

  std::vector<std::string> nodeNames() const;
  /// Share of a processor core that the VM was started with.
  double processorShareOf(const std::string &Name) const;
  /// The VM that plans the service; empty if there is none.
  std::string plannerOf(const std::string &Service) const;

  /// Sets the key that requests carry from now on; empty for none.
  void setKey(std::string Key) { this->Key = std::move(Key); }
  /// Lets VMs that start from now on refuse calls with keys while their
  /// configuration may be older than \p Bound.
  void refuseStaleKeys(Duration Bound) { this->KeyRevocationTime = Bound; }
  /// Sets the wall clocks of all VMs forward, or back.
  void jumpWallClock(Duration By) { *this->WallOffset += By; }

  /// Sends a request to a VM; the answer is filled in when it arrives.
  std::shared_ptr<ClientAnswer> send(const std::string &Node,
                                     const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body = "");
  /// Submits a job from a template and retries at other VMs until it is
  /// accepted or the attempts are used up. Returns the job's path.
  std::string submit(const std::string &Queue, const std::string &Template);
  /// The state shown for the job, the status "410" if the job does not exist,
  /// or "no answer".
  std::string stateOf(const std::string &Path);
  void cancel(const std::string &Path);

  void runFor(Duration Length) { this->Loop.runFor(Length); }
  Random &source() { return this->Source; }

  /// Applied to the calls of each VM when it starts, to record or change them.
  std::function<store::AsyncStore(store::AsyncStore)> WrapStore;
  std::function<jobs::ExecutorGateway(jobs::ExecutorGateway)> WrapExecutors;
  std::function<jobs::MachineGateway(jobs::MachineGateway)> WrapMachines;
  std::function<jobs::PlatformCodec(jobs::PlatformCodec)> WrapCodec;

  /// Called with each message that a VM sends to another one.
  std::function<void(const peers::Message &)> OnMessage;

  /// The advice service that VMs are given when they start.
  jobs::AdviceGateway Advice;

  SteppedLoop Loop;
  Random Source;
  simulation::SimulatedPlatform Platform;
  /// Paths of the jobs whose acceptance was confirmed to a client.
  std::set<std::string> Accepted;
  std::set<std::string> Cancelled;

private:
  struct Node {
    std::string DataCentre;
    double ProcessorShare = 1;
    uint64_t Incarnation = 0;
    std::shared_ptr<dispatch::Internal::FleetCore> Core;
    std::vector<peers::PeerEndpoint> Known;
  };

  store::AsyncStore storeOf(const std::string &Name);
  bool areLinked(const std::string &First, const std::string &Second) const;
  dispatch::Internal::PeerTransport transportOf(const std::string &Name);
  void tryToSubmit(const std::string &Path, const std::string &Template,
                   size_t Attempt);

  Clock clock() const;

  std::map<std::string, Node> Nodes;
  std::string Key;
  std::optional<Duration> KeyRevocationTime;
  std::shared_ptr<Duration> WallOffset =
      std::make_shared<Duration>(Duration::zero());
  std::set<std::string> CutOff;
  std::map<std::string, Duration> SendDelays;
  /// In bytes per second.
  std::map<std::string, double> LinkRates;
  std::map<std::string, std::function<CommitFault()>> CommitFaults;
  Duration MaxLease = Duration::zero();
  Duration StoreOutageGrace = Duration::zero();
  Duration MachineOrderGrace = Duration::zero();
  uint64_t LastJob = 0;
  std::map<std::string, unsigned> Attempts;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_SIMULATEDFLEET_H
