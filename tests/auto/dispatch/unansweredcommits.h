#ifndef WHINTACK_TESTS_UNANSWEREDCOMMITS_H
#define WHINTACK_TESTS_UNANSWEREDCOMMITS_H

#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

namespace whintack::tests {

/// How the store handles one commit that accepts a job.
struct CommitFate {
  enum class Kind {
    Served,
    /// Answered 503; nothing is done.
    Refused,
    /// Not answered and never carried out.
    Dropped,
    /// Not answered and carried out after Delay.
    CarriedOut,
  };
  Kind What = Kind::Served;
  Duration Delay = Duration::zero();
};

/// A fleet whose store serves everything but the commits that accept jobs.
class UnansweredCommitsFleet : public SimulatedFleet {
public:
  explicit UnansweredCommitsFleet(uint64_t Seed = 1) : SimulatedFleet(Seed) {
    this->WrapStore = [this](store::AsyncStore Store) {
      return this->wrap(std::move(Store));
    };
    this->startAll();
  }

  /// Decides the fate of each commit; null for no faults.
  std::function<CommitFate()> Decide;

  std::shared_ptr<ClientAnswer> post(const std::string &Node,
                                     const std::string &Path) {
    const jobs::JobId Id(Path.substr(Path.rfind('/') + 1));
    if (this->Posted.insert(Path).second)
      this->Platform.runChecker().noteSubmitted(
          this->Platform.codec().DecodeJob(Id, "short").value(),
          simulation::ExampleMaxAttempts);
    return this->send(Node, "POST", Path, "short");
  }
  /// Whether the job is in the store.
  bool isStored(const std::string &Path) const {
    return this->Platform.store()
        .value("whintack/job-service/" + Path.substr(Path.rfind('/') + 1))
        .has_value();
  }

private:
  store::AsyncStore wrap(store::AsyncStore Store) {
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      const bool AcceptsJob =
          !Change.Puts.empty() &&
          Change.Puts.front().Key.starts_with("whintack/job-service/") &&
          Change.Puts.back().Value.find("\"end\":") == std::string::npos;
      const CommitFate Fate =
          AcceptsJob && this->Decide ? this->Decide() : CommitFate();
      this->handle(Fate, Direct, Change, Done);
    };
    return Store;
  }

  void handle(const CommitFate &Fate,
              const decltype(store::AsyncStore::Commit) &Direct,
              const store::StoreTransaction &Change,
              const store::StoreCallback<store::CommitAnswer> &Done) {
    constexpr Duration RefusalTime = std::chrono::milliseconds(2);
    constexpr Duration CommitTimeout = std::chrono::milliseconds(1500);
    const TimePoint Now = this->Loop.Time.now();
    switch (Fate.What) {
    case CommitFate::Kind::Served:
      Direct(Change, Done);
      return;
    case CommitFate::Kind::Refused:
      this->Loop.Queue.schedule(Now + RefusalTime, [Done] {
        Done(failure(
            store::StoreError{store::StoreErrorCode::Unreachable, "refused"}));
      });
      return;
    case CommitFate::Kind::CarriedOut:
      this->Loop.Queue.schedule(Now + Fate.Delay, [Direct, Change] {
        Direct(Change, [](const store::StoreResult<store::CommitAnswer> &) {});
      });
      break;
    case CommitFate::Kind::Dropped:
      break;
    }
    this->Loop.Queue.schedule(Now + CommitTimeout, [Done] {
      Done(failure(
          store::StoreError{store::StoreErrorCode::Ambiguous, "no answer"}));
    });
  }

  std::set<std::string> Posted;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_UNANSWEREDCOMMITS_H
