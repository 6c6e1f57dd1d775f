// Prints how often the coordinator of the tenants' quotas calls the store and
// the planners while the services peak in turns, in simulated time.
#include "quotacoordinator.h"
#include "steppedloop.h"
#include "storekeys.h"

#include "whintack/simulation/memorystore.h"

#include <chrono>
#include <cstdio>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What is sent in one run.
struct Traffic {
  size_t StoreCalls = 0;
  size_t StoreBytes = 0;
  size_t Calls = 0;
  size_t CallBytes = 0;
  size_t AnswerBytes = 0;
};

/// Planners that apply the shares they are told. The services peak in turns,
/// each for some seconds.
class Load {
public:
  Load(size_t Services, size_t Tenants) {
    for (size_t Number = 0; Number < Services; ++Number)
      this->Services.push_back(ServiceName("s" + std::to_string(Number)));
    for (size_t Number = 0; Number < Tenants; ++Number)
      this->Tenants.push_back(TenantName("t" + std::to_string(Number)));
    for (const ServiceName &Name : this->Services)
      this->Store.put(keys::Claims + Name.text(), "holder");
    this->Store.put(keys::claim(ShardId::fleet()), "holder");
  }

  Traffic run(Duration Length) {
    const auto Coordinator = std::make_shared<QuotaCoordinator>(
        Context{this->Loop.Time.clock(), seededRandom(1), this->Loop.Queue,
                this->store()},
        this->environment(),
        HeldClaim{ShardId::fleet(), this->tokenOf(ShardId::fleet().text()), 1,
                  TimePoint::min()});
    Coordinator->setTenants(this->configuration());
    this->Begin = this->Loop.Time.now();
    this->Loop.runFor(Length);
    Coordinator->stop();
    return this->Sent;
  }

private:
  uint64_t tokenOf(const std::string &Shard) {
    uint64_t Token = 0;
    this->Store.interface(EntryName("platform"))
        .Range(keys::Claims + Shard, "", store::ReadKind::Current,
               [&](const store::StoreResult<store::StorePage> &Found) {
                 Token = store::revisionOf(Found.value().Items,
                                           keys::Claims + Shard);
               });
    this->Loop.runFor(milliseconds(5));
    return Token;
  }

  store::AsyncStore store() {
    store::AsyncStore Counted = this->Store.interface(EntryName("e1"));
    Counted.Range = [this, Direct = Counted.Range](
                        const std::string &Prefix, const std::string &After,
                        store::ReadKind Kind, auto Done) {
      ++this->Sent.StoreCalls;
      Direct(Prefix, After, Kind, Done);
    };
    Counted.Commit = [this, Direct = Counted.Commit](
                         const store::StoreTransaction &Change, auto Done) {
      ++this->Sent.StoreCalls;
      for (const store::StorePut &Put : Change.Puts)
        this->Sent.StoreBytes += Put.Value.size();
      Direct(Change, Done);
    };
    return Counted;
  }

  QuotaEnvironment environment() {
    for (const ServiceName &Name : this->Services)
      this->Tokens[Name] = this->tokenOf(Name.text());
    QuotaEnvironment Environment;
    Environment.Call = [this](const peers::ServiceCall &Call, Duration,
                              const ResultCallback &Done) {
      ++this->Sent.Calls;
      this->Sent.CallBytes += Call.Content.size();
      this->Loop.Queue.schedule(
          this->Loop.Time.now() + milliseconds(10), [this, Call, Done] {
            const std::string Text = this->answer(Call);
            this->Sent.AnswerBytes += Text.size();
            this->Loop.Queue.schedule(this->Loop.Time.now() + milliseconds(10),
                                      [Done, Text] {
                                        Done({CallOutcome::Done, Text});
                                      });
          });
    };
    Environment.ClaimValidUntil = [] { return TimePoint::max(); };
    Environment.OnLost = [](const ShardId &, const std::string &Cause) {
      std::printf("claim lost: %s\n", Cause.c_str());
    };
    return Environment;
  }

  jobs::FleetConfiguration configuration() const {
    jobs::FleetConfiguration Configuration;
    for (const ServiceName &Name : this->Services) {
      jobs::ServicePolicy Policy;
      Policy.Name = Name;
      Configuration.Services.push_back(Policy);
    }
    for (const TenantName &Name : this->Tenants)
      Configuration.Tenants.push_back(
          {Name, {"key"}, 1, ComputeResources{100000, 400000, 0}});
    return Configuration;
  }

  std::string answer(const peers::ServiceCall &Call) {
    tenants::QuotaGrants &Applied = this->Granted[Call.Service];
    if (!Call.Content.empty())
      Applied = decodeQuotaGrants(Call.Content).value();
    constexpr Duration PeakLength = seconds(5);
    const auto Turn =
        static_cast<size_t>((this->Loop.Time.now() - this->Begin) / PeakLength);
    const bool IsPeak =
        this->Services[Turn % this->Services.size()] == Call.Service;
    QuotaAnswer Answer;
    Answer.ClaimToken = this->Tokens.at(Call.Service);
    Answer.Report.ConfirmedPlan = Applied.Plan;
    // A third of the tenants has work; what it uses varies from call to call.
    for (size_t Number = 0; Number < this->Tenants.size(); ++Number) {
      tenants::QuotaUse &Use = Answer.Report.Tenants[this->Tenants[Number]];
      if (Number % 3 != 0)
        continue;
      const int64_t Share =
          Applied.Tenants[this->Tenants[Number]].Share.MilliCores;
      const int64_t Mean =
          100000 / static_cast<int64_t>(2 * this->Services.size());
      const int64_t Demand =
          (IsPeak ? 5 * Mean : Mean) +
          static_cast<int64_t>(this->Source() % static_cast<uint64_t>(Mean));
      Use.InUse.MilliCores = std::min(Share, Demand);
      Use.Waiting.MilliCores = Demand - Use.InUse.MilliCores;
      Use.LargestWaiting.MilliCores =
          std::min<int64_t>(Use.Waiting.MilliCores, 2000);
      Use.LongestWait =
          Use.Waiting.MilliCores > 0 ? milliseconds(500) : Duration::zero();
    }
    return encodeQuotaAnswer(Answer);
  }

  tests::SteppedLoop Loop;
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  Random Source = seededRandom(7);
  TimePoint Begin = TimePoint::min();
  std::vector<ServiceName> Services;
  std::vector<TenantName> Tenants;
  std::map<ServiceName, uint64_t> Tokens;
  std::map<ServiceName, tenants::QuotaGrants> Granted;
  Traffic Sent;
};

} // namespace

int main() {
  constexpr int Length = 5;
  for (const auto &[Services, Tenants] :
       {std::pair<size_t, size_t>{5, 20}, {20, 1000}}) {
    const auto Begin = std::chrono::steady_clock::now();
    const Traffic Sent = Load(Services, Tenants).run(seconds(Length));
    const std::chrono::duration<double> Taken =
        std::chrono::steady_clock::now() - Begin;
    const auto PerSecond = [](size_t Count) {
      return static_cast<double>(Count) / Length;
    };
    std::printf(
        "%zu services x %zu tenants, per second: %.1f calls to the "
        "store (%.0f bytes), %.1f messages (calls %.0f bytes, answers "
        "%.0f bytes); %.3f s of processor time, also for the planners\n",
        Services, Tenants, PerSecond(Sent.StoreCalls),
        PerSecond(Sent.StoreBytes), 2 * PerSecond(Sent.Calls),
        PerSecond(Sent.CallBytes), PerSecond(Sent.AnswerBytes),
        Taken.count() / Length);
  }
}
