#ifndef WHINTACK_TESTS_MOVABLEQUEUES_H
#define WHINTACK_TESTS_MOVABLEQUEUES_H

#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <functional>

namespace whintack::tests {

/// A fleet whose operator sends queues to other services.
class MovableQueuesFleet : public SimulatedFleet {
public:
  explicit MovableQueuesFleet(uint64_t Seed = 1) : SimulatedFleet(Seed) {
    this->startAll();
  }

  /// Makes a version of the configuration that \p Change has altered the
  /// current one.
  void
  reconfigure(const std::function<void(jobs::FleetConfiguration &)> &Change) {
    Change(this->Current);
    ++this->Current.Version;
    this->Platform.configure(this->Current);
  }
  void moveQueue(const std::string &Name, const std::string &Service) {
    this->reconfigure([&](jobs::FleetConfiguration &Next) {
      for (jobs::Queue &Each : Next.Queues)
        if (Each.Name == Name)
          Each.Service = ServiceName(Service);
    });
  }
  /// Replaces a queue by one of another name for the same requests.
  void renameQueue(const std::string &Name, const std::string &NewName) {
    this->reconfigure([&](jobs::FleetConfiguration &Next) {
      for (jobs::Queue &Each : Next.Queues)
        if (Each.Name == Name)
          Each.Name = NewName;
    });
  }

  /// Sends the queue to the service, and adds a queue, while \p Node goes on
  /// with the earlier configuration for a second or longer.
  void moveQueueUnseenBy(const std::string &Node, const std::string &Name,
                         const std::string &Service) {
    this->breakWatches(Node);
    this->Platform.store().loseWatches(EntryName(Node), "declared/", 1000);
    this->reconfigure([](jobs::FleetConfiguration &Next) {
      jobs::Queue Added = Next.Queues.front();
      Added.Name = "added";
      Added.Prefix = "/added/";
      Next.Queues.push_back(Added);
    });
    this->moveQueue(Name, Service);
    this->runFor(std::chrono::milliseconds(300));
  }
  /// Whether the VM knows the queue that moveQueueUnseenBy() has added.
  bool knowsAddedQueue(const std::string &Node) {
    const auto Answer = this->send(Node, "GET", "/added/");
    this->runFor(std::chrono::milliseconds(20));
    constexpr int NotFound = 404;
    return Answer->Status != NotFound;
  }

  /// Submits a job by a path and runs until it is answered.
  int post(const std::string &Node, const std::string &Path,
           const std::string &Template) {
    const auto Answer = this->postAndContinue(Node, Path, Template);
    this->runFor(std::chrono::seconds(2));
    return Answer->Status;
  }
  std::shared_ptr<ClientAnswer> postAndContinue(const std::string &Node,
                                                const std::string &Path,
                                                const std::string &Template) {
    const jobs::JobId Id(Path.substr(Path.rfind('/') + 1));
    if (this->Submitted.insert(Path).second)
      this->Platform.runChecker().noteSubmitted(
          this->Platform.codec().DecodeJob(Id, Template).value(),
          simulation::ExampleMaxAttempts);
    return this->send(Node, "POST", Path, Template);
  }
  ClientAnswer get(const std::string &Node, const std::string &Path) {
    const auto Answer = this->send(Node, "GET", Path);
    this->runFor(std::chrono::seconds(2));
    return *Answer;
  }

private:
  jobs::FleetConfiguration Current = simulation::exampleConfiguration(1);
  std::set<std::string> Submitted;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_MOVABLEQUEUES_H
