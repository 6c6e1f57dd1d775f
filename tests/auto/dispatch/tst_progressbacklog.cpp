#include "jobrecords.h"
#include "simulatedfleet.h"
#include "storekeys.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iomanip>
#include <sstream>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace keys = whintack::dispatch::Internal::keys;

namespace {

/// Time in which ends must be acknowledged: ack-ms of the smallest sites.
constexpr Duration AcknowledgementTime = milliseconds(4000);
/// Time after which an executor learns that its ends are stored: the maximum
/// delay of its next report call, and the way there and back.
constexpr Duration AcknowledgementDelay = milliseconds(200);
/// 40 ms each way.
constexpr Duration StoreRoundTrip = milliseconds(80);
/// 100 ms each way.
constexpr Duration SlowStoreRoundTrip = milliseconds(200);

const ServiceName Service("quotes");

/// What happened to an end after its executor first listed it.
struct EndHistory {
  jobs::JobId Job;
  TimePoint ListedAt;
  TimePoint AcknowledgedAt = TimePoint::max();
};

/// A successful commit that contains a job.
struct JobCommit {
  TimePoint SentAt;
  TimePoint AnsweredAt;
};

/// A fleet with many executors, which records when ends are listed,
/// acknowledged and stored.
class BacklogFleet : public SimulatedFleet {
public:
  explicit BacklogFleet(Duration RoundTrip) {
    this->WrapExecutors = [this](jobs::ExecutorGateway Gateway) {
      return this->recordReports(std::move(Gateway));
    };
    this->WrapStore = [this](store::AsyncStore Store) {
      return this->recordCommits(std::move(Store));
    };
    this->startAll();
    jobs::JobSpec Uneven;
    for (int Number = 0; Number < 8; ++Number)
      Uneven.Steps.push_back(makeStep(milliseconds(300 + 100 * Number)));
    this->Platform.addTemplate("uneven", Uneven);
    jobs::JobSpec Single;
    Single.Steps = {makeStep(milliseconds(200))};
    this->Platform.addTemplate("single", Single);
    jobs::JobSpec Unfinished;
    Unfinished.Steps = {makeStep(milliseconds(300)), makeStep(seconds(60))};
    this->Platform.addTemplate("unfinished", Unfinished);
    for (int Number = 0; Number < 40; ++Number) {
      simulation::MachineSetup Machine;
      Machine.Name = jobs::MachineName("large" + std::to_string(Number));
      Machine.Pool = Service;
      Machine.Rack = "r" + std::to_string(Number % 4);
      Machine.DataCentre = DataCentreName(Number % 2 == 0 ? "d1" : "d2");
      Machine.Capacity = {32000, 64000, 0};
      this->Platform.addMachine(Machine);
    }
    this->runFor(seconds(3));
    this->Planner = this->plannerOf(Service.text());
    this->Platform.store().setDelay(RoundTrip);
  }

  /// Submits jobs at a steady rate for a number of seconds.
  void submitFor(int Seconds, int JobsPerSecond, const std::string &Template) {
    for (int Count = 0; Count < Seconds * JobsPerSecond; ++Count) {
      this->submitAs(this->Source() % HighestId, Template);
      this->runFor(Duration(seconds(1)) / JobsPerSecond);
    }
  }

  jobs::JobId submitAs(uint64_t Number, const std::string &Template) {
    std::ostringstream Id;
    Id << std::hex << std::setfill('0') << std::setw(16) << Number;
    auto Spec =
        this->Platform.codec().DecodeJob(jobs::JobId(Id.str()), Template);
    this->Platform.runChecker().noteSubmitted(Spec.value(), 3);
    const std::vector<std::string> Names = this->nodeNames();
    this->Answers.push_back(this->send(Names[Number % Names.size()], "POST",
                                       "/" + Service.text() + "/" + Id.str(),
                                       Template));
    return jobs::JobId(Id.str());
  }

  /// Whether all jobs were accepted and run, by the same planner.
  bool isUndisturbed() {
    return this->plannerOf(Service.text()) == this->Planner &&
           std::all_of(this->Answers.begin(), this->Answers.end(),
                       [](const auto &Each) { return Each->Status == 200; }) &&
           this->Platform.runChecker().violations().empty();
  }

  size_t listedEnds() const {
    size_t Count = 0;
    for (const auto &[Executor, Each] : this->Ends)
      Count += Each.size();
    return Count;
  }

  /// Returns how many ends were acknowledged later than they had to be.
  size_t lateEnds() const {
    size_t Late = 0;
    for (const auto &[Executor, Each] : this->Ends)
      for (const auto &[Number, End] : Each)
        if (End.AcknowledgedAt > End.ListedAt + AcknowledgementTime)
          ++Late;
    return Late;
  }

  /// Returns how many ends were acknowledged later than their own job, and
  /// those of the earlier ends of the same executor, were stored.
  size_t endsThatWaitedForOthers() const {
    size_t Waited = 0;
    for (const auto &[Executor, Each] : this->Ends) {
      TimePoint Stored = TimePoint::min();
      for (const auto &[Number, End] : Each) {
        Stored = std::max(Stored, this->storedAt(End));
        if (Stored < TimePoint::max() - AcknowledgementDelay &&
            End.AcknowledgedAt > Stored + AcknowledgementDelay)
          ++Waited;
      }
    }
    return Waited;
  }

  /// When the job's progress or end was first stored.
  std::optional<TimePoint> firstStoredAt(const jobs::JobId &Job) const {
    const auto Found = this->Commits.find(Job);
    if (Found == this->Commits.end())
      return std::nullopt;
    return Found->second.front().AnsweredAt;
  }

  std::optional<TimePoint> firstListedAt(const jobs::JobId &Job) const {
    std::optional<TimePoint> First;
    for (const auto &[Executor, Each] : this->Ends)
      for (const auto &[Number, End] : Each)
        if (End.Job == Job && (!First || End.ListedAt < *First))
          First = End.ListedAt;
    return First;
  }

  /// All other jobs have lower identifiers.
  static constexpr uint64_t HighestId = UINT64_MAX;

private:
  static jobs::StepSpec makeStep(Duration Estimate) {
    jobs::StepSpec Step;
    Step.Count = 1;
    Step.Need = {500, 64, 0};
    Step.Estimate = Estimate;
    return Step;
  }

  /// When the first commit that may contain the end was answered.
  TimePoint storedAt(const EndHistory &End) const {
    const auto Found = this->Commits.find(End.Job);
    if (Found != this->Commits.end())
      for (const JobCommit &Each : Found->second)
        if (Each.SentAt > End.ListedAt)
          return Each.AnsweredAt;
    return TimePoint::max();
  }

  jobs::ExecutorGateway recordReports(jobs::ExecutorGateway Gateway) {
    Gateway.Report = [this, Report = Gateway.Report](
                         const jobs::ExecutorAddress &To,
                         const jobs::ReportRequest &Request, TimePoint Deadline,
                         jobs::GatewayCallback<jobs::ExecutorReport> Done) {
      for (auto &[Number, End] : this->Ends[To.Id])
        if (Number <= Request.DiscardThrough)
          End.AcknowledgedAt =
              std::min(End.AcknowledgedAt, this->Loop.Time.now());
      Report(To, Request, Deadline,
             [this, Id = To.Id, Done = std::move(Done)](
                 jobs::GatewayResult<jobs::ExecutorReport> Answer) {
               if (Answer)
                 for (const jobs::EndReport &End : Answer.value().Ended)
                   this->Ends[Id].try_emplace(
                       End.Number,
                       EndHistory{End.Task.Step.Job, this->Loop.Time.now()});
               Done(std::move(Answer));
             });
    };
    return Gateway;
  }

  store::AsyncStore recordCommits(store::AsyncStore Store) {
    Store.Commit = [this, Commit = Store.Commit](
                       const store::StoreTransaction &Change,
                       store::StoreCallback<store::CommitAnswer> Done) {
      const TimePoint SentAt = this->Loop.Time.now();
      Commit(Change, [this, SentAt, Puts = Change.Puts, Done = std::move(Done)](
                         store::StoreResult<store::CommitAnswer> Answer) {
        if (Answer && Answer.value().IsCommitted)
          for (const store::StorePut &Put : Puts)
            this->recordStored(Put, SentAt);
        Done(std::move(Answer));
      });
    };
    return Store;
  }

  void recordStored(const store::StorePut &Put, TimePoint SentAt) {
    const std::string Progress = keys::progress(Service);
    const std::string Jobs = keys::jobs(Service);
    const TimePoint Now = this->Loop.Time.now();
    if (Put.Key.starts_with(Progress)) {
      this->Commits[jobs::JobId(Put.Key.substr(Progress.size()))].push_back(
          {SentAt, Now});
      return;
    }
    if (!Put.Key.starts_with(Jobs))
      return;
    const auto Record = dispatch::Internal::decodeStoredJob(Put.Value);
    if (Record && Record.value().End)
      this->Commits[jobs::JobId(Put.Key.substr(Jobs.size()))].push_back(
          {SentAt, Now});
  }

  std::string Planner;
  std::vector<std::shared_ptr<ClientAnswer>> Answers;
  std::map<jobs::ExecutorId, std::map<uint64_t, EndHistory>> Ends;
  std::map<jobs::JobId, std::vector<JobCommit>> Commits;
};

} // namespace

// Guards against ends that executors repeat for seconds because the progress of
// a busy service is stored more slowly than its tasks end.
TEST_CASE("all ends are acknowledged in time while a service is busy") {
  BacklogFleet Fleet(StoreRoundTrip);
  constexpr int JobsPerSecond = 200;
  Fleet.submitFor(8, JobsPerSecond, "uneven");
  Fleet.runFor(AcknowledgementTime + seconds(2));
  REQUIRE(Fleet.isUndisturbed());
  CHECK(Fleet.listedEnds() == 8 * 8 * JobsPerSecond);
  CHECK(Fleet.lateEnds() == 0);
}

// Guards against a burst of ends that is not acknowledged for seconds because
// the store is slow.
TEST_CASE("all ends of a burst are acknowledged in time by a slow store") {
  BacklogFleet Fleet(SlowStoreRoundTrip);
  constexpr int Jobs = 400;
  Fleet.submitFor(1, Jobs, "uneven");
  Fleet.runFor(AcknowledgementTime + seconds(4));
  REQUIRE(Fleet.isUndisturbed());
  CHECK(Fleet.listedEnds() == 8 * Jobs);
  CHECK(Fleet.lateEnds() == 0);
}

// Guards against executors that repeat their ends until jobs are stored that
// they have nothing to do with.
TEST_CASE("an end is acknowledged once its own job is stored") {
  BacklogFleet Fleet(StoreRoundTrip);
  constexpr int JobsPerSecond = 120;
  Fleet.submitFor(4, JobsPerSecond, "uneven");
  Fleet.runFor(AcknowledgementTime + seconds(2));
  REQUIRE(Fleet.isUndisturbed());
  REQUIRE(Fleet.listedEnds() == 4 * 8 * JobsPerSecond);
  CHECK(Fleet.endsThatWaitedForOthers() == 0);
}

// Guards against a job whose progress is not stored, so that it is lost by a
// take-over, while jobs with lower identifiers keep ending.
TEST_CASE("progress of a job with a high identifier is stored while other jobs "
          "keep ending") {
  BacklogFleet Fleet(StoreRoundTrip);
  constexpr int JobsPerSecond = 250;
  Fleet.submitFor(2, JobsPerSecond, "single");
  const jobs::JobId Waiting =
      Fleet.submitAs(BacklogFleet::HighestId, "unfinished");
  Fleet.submitFor(8, JobsPerSecond, "single");
  Fleet.runFor(AcknowledgementTime);
  REQUIRE(Fleet.isUndisturbed());
  REQUIRE(Fleet.firstListedAt(Waiting));
  REQUIRE(Fleet.firstStoredAt(Waiting));
  CHECK(toMilliseconds(*Fleet.firstStoredAt(Waiting) -
                       *Fleet.firstListedAt(Waiting)) <=
        toMilliseconds(AcknowledgementTime));
}
