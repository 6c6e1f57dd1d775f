#ifndef WHINTACK_TESTS_SLOWFLEET_H
#define WHINTACK_TESTS_SLOWFLEET_H

#include "jobrecords.h"
#include "simulatedfleet.h"
#include "storekeys.h"

#include <iomanip>
#include <sstream>

namespace whintack::tests {

/// 10 Mbit/s.
inline constexpr double SlowLinkRate = 10e6 / 8;
/// Time after which service must have recovered from a fault: recovery-s of the
/// smallest sites, 12 s, of which restartAll() takes 1.5 s.
inline constexpr Duration RecoveryTime = std::chrono::milliseconds(10500);

/// A fleet whose VMs have slow links, with many stored jobs of two services.
/// All VMs have lost power.
class SlowFleet : public SimulatedFleet {
public:
  explicit SlowFleet(size_t JobsPerService) {
    this->startAll();
    const std::string Payload = "short" + std::string(3000, ' ');
    jobs::JobSpec Spec =
        this->Platform.codec().DecodeJob(jobs::JobId("0"), "short").value();
    this->Platform.addTemplate(Payload, Spec);
    for (const std::string &Name : this->nodeNames())
      this->Platform.store().setLinkRate(EntryName(Name), SlowLinkRate);
    for (const std::string &Name : this->nodeNames())
      this->killNode(Name);
    for (const char *Service : {"quotes", "payouts"})
      for (size_t Count = 0; Count < JobsPerService; ++Count)
        this->storeJob(Service, Payload);
    this->runFor(std::chrono::seconds(3));
  }

  /// Starts e1 again, and the others once it has claimed all shards.
  void restartAll() {
    this->restartNode("e1");
    this->runFor(std::chrono::milliseconds(1500));
    this->restartNode("e2");
    this->restartNode("e3");
  }

  /// Returns how many of the stored jobs of the service have ended.
  size_t completedJobs(const std::string &Service) const {
    size_t Completed = 0;
    for (const std::string &Key : this->StoredJobs.at(Service)) {
      const auto Text = this->Platform.store().value(Key);
      const auto Record =
          dispatch::Internal::decodeStoredJob(Text.value_or(""));
      if (Record && Record.value().End == jobs::JobState::Completed)
        ++Completed;
    }
    return Completed;
  }

  /// Leaves a notice for each stored job, as a request handler does that cannot
  /// reach the planner.
  void leaveNotices() {
    for (const auto &[Service, Keys] : this->StoredJobs) {
      const size_t Prefix =
          dispatch::Internal::keys::jobs(ServiceName(Service)).size();
      for (const std::string &Key : Keys)
        this->Platform.store().put(noticePrefix(Service) + Key.substr(Prefix),
                                   *this->Platform.store().value(Key));
    }
  }

  /// Returns how many of the notices of the service are left.
  size_t noticesLeft(const std::string &Service) const {
    const size_t Prefix =
        dispatch::Internal::keys::jobs(ServiceName(Service)).size();
    size_t Left = 0;
    for (const std::string &Key : this->StoredJobs.at(Service))
      if (this->Platform.store().value(noticePrefix(Service) +
                                       Key.substr(Prefix)))
        ++Left;
    return Left;
  }

private:
  static std::string noticePrefix(const std::string &Service) {
    return dispatch::Internal::keys::newJobs(ServiceName(Service));
  }

  void storeJob(const std::string &Service, const std::string &Payload) {
    std::ostringstream Id;
    Id << std::hex << std::setfill('0') << std::setw(16) << this->Source();
    const std::string Key =
        dispatch::Internal::keys::jobs(ServiceName(Service)) + Id.str();
    auto Spec =
        this->Platform.codec().DecodeJob(jobs::JobId(Id.str()), Payload);
    this->Platform.runChecker().noteSubmitted(Spec.value(), 5);
    this->Platform.store().put(Key,
                               dispatch::Internal::encodeStoredJob(
                                   {Service, this->Loop.Time.clock().WallNow(),
                                    Payload, std::nullopt}));
    this->StoredJobs[Service].push_back(Key);
  }

  std::map<std::string, std::vector<std::string>> StoredJobs;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_SLOWFLEET_H
