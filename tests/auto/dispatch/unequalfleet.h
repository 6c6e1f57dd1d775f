#ifndef WHINTACK_TESTS_UNEQUALFLEET_H
#define WHINTACK_TESTS_UNEQUALFLEET_H

#include "simulatedfleet.h"

namespace whintack::tests {

/// A fleet of a few VMs with a large processor share and many with a small one.
/// There are as many large ones as shards.
class UnequalFleet : public SimulatedFleet {
public:
  explicit UnequalFleet(uint64_t Seed = 1);

  /// Adds the machines and the configuration, but starts no VM.
  void addPlatform();
  /// Starts one of the VMs, with its processor share.
  void startVm(const std::string &Name);
  /// Starts all VMs, or those that do not run, at once.
  void startVms();
  void killVms();
  /// Takes the configuration away until addConfiguration() is called.
  void removeConfiguration();
  void addConfiguration();
  /// Submits a job every 200 ms for \p Length.
  void submitJobs(Duration Length);

  /// Checks that all shards are held, and evenly so for the processor shares.
  void checkSpread() const;
  /// Lets everything end and checks the guarantees of the product.
  void finishAndCheck();
  /// Shards that the VM holds.
  size_t shardCount(const std::string &Name) const;
  /// How often the shards have been claimed altogether.
  uint64_t claimCount() const;

  static const std::vector<std::string> Shards;
  static const std::vector<std::string> LargeVms;
  static const std::vector<std::string> SmallVms;

private:
  std::string Configuration;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_UNEQUALFLEET_H
