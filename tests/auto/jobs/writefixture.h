#ifndef WHINTACK_TESTS_WRITEFIXTURE_H
#define WHINTACK_TESTS_WRITEFIXTURE_H

#include "plannerfixture.h"

#include <catch2/catch.hpp>

namespace whintack::tests {

/// Job writes that fit into one commit of the store.
inline constexpr size_t CommitSize = 15;

/// A planner with running tasks, whose writes are stored job by job.
class WriteFixture : public PlannerFixture {
public:
  WriteFixture() { this->list({executor("wide", 1000000)}); }

  /// Adds a job and starts all of its tasks.
  std::vector<jobs::StartOrder> run(const std::string &Id, size_t Tasks) {
    this->Planner.addJob(job(Id, {step(Tasks)}));
    const auto Starts = this->starts();
    REQUIRE(Starts.size() == Tasks);
    for (const jobs::StartOrder &Each : Starts)
      this->confirm(Each);
    return Starts;
  }

  /// Runs a job of one task to its end.
  void runToEnd(const std::string &Id) {
    this->endRun(this->run(Id, 1).front(), jobs::RunEnd::Done);
  }

  std::vector<jobs::JobId>
  writtenJobs(const std::vector<jobs::JobWrite> &Writes) const {
    std::vector<jobs::JobId> Ids;
    for (const jobs::JobWrite &Each : Writes)
      Ids.push_back(Each.Job);
    return Ids;
  }

  bool isWritten(const std::vector<jobs::JobWrite> &Writes,
                 const std::string &Id) {
    const std::vector<jobs::JobId> Ids = this->writtenJobs(Writes);
    return std::find(Ids.begin(), Ids.end(), jobs::JobId(Id)) != Ids.end();
  }

  /// Stores all writes but that of one job, which fails.
  void storeAllBut(const std::string &Id) {
    std::vector<jobs::JobWrite> Stored = this->Planner.takeWrites(SIZE_MAX);
    std::vector<jobs::JobWrite> Failed;
    std::erase_if(Stored, [&](const jobs::JobWrite &Each) {
      if (Each.Job == jobs::JobId(Id))
        Failed.push_back(Each);
      return Each.Job == jobs::JobId(Id);
    });
    this->Planner.noteWritten(Stored);
    this->Planner.noteWriteFailed(Failed);
  }

  uint64_t discardable(const std::string &On) const {
    return this->Planner.lastDiscardableEnd(jobs::ExecutorId(On));
  }
};

/// Two executors with room for one task each.
class NarrowFixture : public WriteFixture {
public:
  NarrowFixture() { this->list({executor("a", 1000), executor("b", 1000)}); }
};

inline std::string numbered(const std::string &Prefix, size_t Number) {
  return Prefix + std::to_string(100 + Number);
}

} // namespace whintack::tests

#endif // WHINTACK_TESTS_WRITEFIXTURE_H
