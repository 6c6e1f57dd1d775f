#ifndef WHINTACK_TESTS_LONEHANDLER_H
#define WHINTACK_TESTS_LONEHANDLER_H

#include "jobrequesthandler.h"
#include "steppedloop.h"

#include "whintack/simulation/examplefleet.h"

namespace whintack::tests {

/// What a lone request handler works with.
struct LoneHandlerHooks {
  store::AsyncStore Store;
  /// Returns the outcome of a call to a planner.
  std::function<peers::ServiceOutcome(const peers::ServiceCall &)> CallPlanner =
      [](const peers::ServiceCall &) { return peers::ServiceOutcome::Done; };
  /// Returns the queues; null for those of the example fleet.
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues = nullptr;
  /// Returns the time through which the configuration is known; null for now.
  std::function<TimePoint()> KnownThrough = nullptr;
  /// Reads the configuration again.
  std::function<void(std::function<void()>)> Refresh =
      [](const std::function<void()> &Done) { Done(); };
};

/// Adds the example fleet to \p Platform and returns the request handler of a
/// VM without peers. The VM has been up for long, so it knows what it has
/// stored.
inline std::shared_ptr<dispatch::Internal::JobRequestHandler>
makeLoneHandler(SteppedLoop &Loop, simulation::SimulatedPlatform &Platform,
                LoneHandlerHooks Hooks) {
  using namespace dispatch::Internal;
  simulation::addExampleFleet(Platform);
  const Context Shared{Loop.Time.clock(), seededRandom(3), Loop.Queue,
                       std::move(Hooks.Store)};
  const auto Calls = std::make_shared<ServiceCalls>(
      Shared, EntryName("e1"), 0, nullptr,
      [](const EntryName &, const peers::Message &) { return false; },
      [CallPlanner = std::move(Hooks.CallPlanner)](
          const peers::ServiceCall &Call, const AnswerCallback &Respond) {
        Respond({Call.Id, CallPlanner(Call), ""});
        return true;
      });
  ConfigurationHooks Configuration;
  Configuration.Queues = std::move(Hooks.Queues);
  if (!Configuration.Queues)
    Configuration.Queues =
        [Queues = std::make_shared<const jobs::QueueTable>(
             Platform.codec().DecodeConfiguration("1").value())] {
          return Queues;
        };
  Configuration.KnownThrough = std::move(Hooks.KnownThrough);
  if (!Configuration.KnownThrough)
    Configuration.KnownThrough = [&Loop] { return Loop.Time.now(); };
  Configuration.Refresh = std::move(Hooks.Refresh);
  Configuration.IsOutdated = [] { return false; };
  const auto Submissions = std::make_shared<SubmissionTracker>(Shared, Calls);
  Submissions->setPeers({});
  Loop.runFor(std::chrono::minutes(2));
  return std::make_shared<JobRequestHandler>(
      Shared, Platform.codec(), Calls, Submissions, Configuration,
      tenants::AccessBounds{std::chrono::seconds(2), std::nullopt});
}

} // namespace whintack::tests

#endif // WHINTACK_TESTS_LONEHANDLER_H
