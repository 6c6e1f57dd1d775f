#include "waitingcounts.h"

#include <charconv>

namespace whintack::dispatch::Internal {

/// How long to wait for a planner before its last answer is used instead.
static constexpr Duration PlannerTimeout = std::chrono::milliseconds(500);
/// Maximum age of an answer that is used. Clients accept a count that is 2 s
/// old.
static constexpr Duration MaxCountAge = std::chrono::milliseconds(1500);
/// How long answers are kept.
static constexpr Duration CountRetention = std::chrono::seconds(60);

WaitingCounts::WaitingCounts(Context Shared,
                             std::shared_ptr<ServiceCalls> Calls)
    : Shared(std::move(Shared)), Calls(std::move(Calls)) {}

void WaitingCounts::count(const jobs::QueueTable &Queues,
                          const std::string &Name, const CountCallback &Done) {
  const jobs::Queue *Queue = Queues.named(Name);
  if (!Queue) {
    Done(std::nullopt);
    return;
  }
  auto Current = std::make_shared<OpenCount>();
  Current->Queue = Name;
  Current->Own = Queue->Service;
  Current->Services = {Queue->Service};
  Current->Done = Done;
  for (const jobs::ServicePolicy &Each : Queues.configuration().Services)
    if (!Each.IsSpare && Each.Name != Queue->Service)
      Current->Services.push_back(Each.Name);
  this->removeOutdated();
  // The other services seldom have jobs of the queue, so they are asked less
  // often.
  const TimePoint Now = this->Shared.now();
  std::vector<ServiceName> Asked;
  for (const ServiceName &Each : Current->Services)
    if (Each == Current->Own || !this->isKnown({Name, Each}, Now))
      Asked.push_back(Each);
  Current->OpenCalls = Asked.size();
  for (const ServiceName &Each : Asked)
    this->call(Current, Each);
}

bool WaitingCounts::isKnown(const Source &Counted, TimePoint Now) const {
  const auto Found = this->Known.find(Counted);
  return Found != this->Known.end() && Now < Found->second.ValidUntil;
}

void WaitingCounts::call(const std::shared_ptr<OpenCount> &Current,
                         const ServiceName &Service) {
  this->Calls->call(
      {0, Service, peers::ServiceCallKind::WaitingJobs, Current->Queue, ""},
      PlannerTimeout,
      [Weak = this->weak_from_this(), Current,
       Service](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Answer.Outcome == CallOutcome::Done) {
          Answered &Last = Self->Known[{Current->Queue, Service}];
          const std::string &Text = Answer.Content;
          std::from_chars(Text.data(), Text.data() + Text.size(), Last.Waiting);
          Last.ValidUntil = Self->Shared.now() + MaxCountAge;
        }
        if (--Current->OpenCalls == 0)
          Self->finish(*Current);
      });
}

void WaitingCounts::finish(const OpenCount &Current) const {
  size_t Waiting = 0;
  for (const ServiceName &Each : Current.Services) {
    const auto Last = this->Known.find({Current.Queue, Each});
    if (Each == Current.Own &&
        !this->isKnown({Current.Queue, Each}, this->Shared.now())) {
      Current.Done(std::nullopt);
      return;
    }
    // The last answer of another service is used however old it is, so that
    // the count does not depend on all planners.
    if (Last != this->Known.end())
      Waiting += Last->second.Waiting;
  }
  Current.Done(Waiting);
}

void WaitingCounts::removeOutdated() {
  const TimePoint Oldest = this->Shared.now() - CountRetention;
  std::erase_if(this->Known, [Oldest](const auto &Entry) {
    return Entry.second.ValidUntil < Oldest;
  });
}

} // namespace whintack::dispatch::Internal
