#include "jobrecords.h"
#include "simulatedfleet.h"
#include "storekeys.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// 10 Mbit/s.
constexpr double SlowLink = 10e6 / 8;
/// Time after which service must have recovered from a fault (recovery-s).
constexpr Duration RecoveryTime = seconds(15);

/// A fleet whose VMs all have slow links, with many stored jobs of two
/// services. All VMs lose power; e1 comes back first, and claims all shards.
class SlowFleet : public SimulatedFleet {
public:
  explicit SlowFleet(size_t JobsPerService) {
    this->startAll();
    const std::string Payload = "short" + std::string(3000, ' ');
    jobs::JobSpec Spec =
        this->Platform.codec().DecodeJob(jobs::JobId("0"), "short").value();
    this->Platform.addTemplate(Payload, Spec);
    for (const std::string &Name : this->nodeNames())
      this->Platform.store().setLinkRate(EntryName(Name), SlowLink);
    for (const std::string &Name : this->nodeNames())
      this->killNode(Name);
    for (const char *Service : {"quotes", "payouts"})
      for (size_t Count = 0; Count < JobsPerService; ++Count)
        this->storeJob(Service, Payload);
    this->runFor(seconds(3));
    this->restartNode("e1");
    this->runFor(milliseconds(1500));
    this->restartNode("e2");
    this->restartNode("e3");
  }

  /// Returns how many of the stored jobs of the service have ended.
  size_t completedJobs(const std::string &Service) const {
    size_t Completed = 0;
    for (const std::string &Key : this->StoredJobs.at(Service)) {
      const auto Text = this->Platform.store().value(Key);
      const auto Record = decodeStoredJob(Text.value_or(""));
      if (Record && Record.value().End == jobs::JobState::Completed)
        ++Completed;
    }
    return Completed;
  }

private:
  void storeJob(const std::string &Service, const std::string &Payload) {
    std::ostringstream Id;
    Id << std::hex << std::setfill('0') << std::setw(16) << this->Source();
    const std::string Key = keys::jobs(ServiceName(Service)) + Id.str();
    auto Spec =
        this->Platform.codec().DecodeJob(jobs::JobId(Id.str()), Payload);
    this->Platform.runChecker().noteSubmitted(Spec.value(), 5);
    this->Platform.store().put(
        Key, encodeStoredJob({Service, this->Loop.Time.clock().WallNow(),
                              Payload, std::nullopt}));
    this->StoredJobs[Service].push_back(Key);
  }

  std::map<std::string, std::vector<std::string>> StoredJobs;
};

} // namespace

// Guards against loads of shards that never end because their reads and copies
// of them share a slow link, time out and start again.
TEST_CASE("a VM with a slow link loads thousands of jobs and completes some "
          "within the time for recovery") {
  SlowFleet Fleet(1000);
  Fleet.runFor(RecoveryTime);
  CHECK(Fleet.completedJobs("quotes") > 0);
  CHECK(Fleet.completedJobs("payouts") > 0);
}
