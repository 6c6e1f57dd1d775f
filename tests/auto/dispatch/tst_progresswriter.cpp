#include "progresswriter.h"
#include "steppedloop.h"
#include "storekeys.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t ClaimToken = 7;

/// A writer, a queue of jobs to be written, and a store that applies commits or
/// leaves them without an answer, as the test says.
class Fixture {
public:
  Fixture() { this->open(); }

  /// Opens another writer under the same claim key.
  void open(uint64_t Token = ClaimToken) {
    this->Revisions[keys::Claims + "quotes"] = Token;
    store::AsyncStore Store;
    Store.Commit = [this](const store::StoreTransaction &Change,
                          store::StoreCallback<store::CommitAnswer> Done) {
      if (this->isRejected(Change)) {
        ++this->Rejections;
        this->Loop.Queue.post([Done = std::move(Done)] {
          Done(failure(store::StoreError{store::StoreErrorCode::BadAnswer,
                                         "400 malformed"}));
        });
        return;
      }
      this->Open.push_back({Change, std::move(Done)});
      if (this->IsServed)
        this->serveAll();
    };
    Context Shared{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue,
                   Store};
    ProgressWriterHooks Hooks;
    Hooks.Writable = [this] { return this->Waiting.size(); };
    Hooks.Take = [this](size_t MaxEntries) {
      std::vector<jobs::JobWrite> Taken;
      while (!this->Waiting.empty() && Taken.size() < MaxEntries) {
        Taken.push_back(this->Waiting.front());
        this->Waiting.pop_front();
      }
      return Taken;
    };
    Hooks.Return = [this](const std::vector<jobs::JobWrite> &Writes) {
      this->Waiting.insert(this->Waiting.begin(), Writes.begin(), Writes.end());
    };
    Hooks.OnWritten = [this](const std::vector<jobs::JobWrite> &Writes) {
      this->Written += Writes.size();
    };
    Hooks.QueueName = [](const jobs::JobId &) { return std::string("queue"); };
    Hooks.Tenant = [](const jobs::JobId &) { return TenantName("alder"); };
    Hooks.OnSuperseded = [this] { this->IsSuperseded = true; };
    this->Writer = std::make_shared<ProgressWriter>(
        Shared, ServiceName("quotes"), Token, std::move(Hooks));
  }

  /// Adds jobs with progress of \p Bytes each.
  void change(size_t Count, size_t Bytes = 10) {
    for (; Count > 0; --Count) {
      jobs::JobWrite Write;
      Write.Job = jobs::JobId(std::to_string(++this->LastJob));
      Write.Progress.State = jobs::JobState::Running;
      jobs::TaskProgress Task;
      Task.Checkpoint = std::string(Bytes, 'x');
      Write.Progress.Tasks[{{Write.Job, 0, 0}, 0}] = Task;
      this->Waiting.push_back(std::move(Write));
    }
    this->Writer->requestFlush();
  }

  /// Whether the store rejects the commit because of RejectedJob.
  bool isRejected(const store::StoreTransaction &Change) const {
    const std::string Key = keys::progress(ServiceName("quotes"));
    return std::any_of(Change.Puts.begin(), Change.Puts.end(),
                       [&](const store::StorePut &Put) {
                         return Put.Key == Key + this->RejectedJob;
                       });
  }

  /// Applies the commit if its conditions hold, as the store does.
  store::CommitAnswer apply(const store::StoreTransaction &Change) {
    store::CommitAnswer Answer;
    Answer.IsCommitted = true;
    for (const store::ExpectedRevision &Expected : Change.Expect) {
      const auto Found = this->Revisions.find(Expected.Key);
      const uint64_t Revision =
          Found == this->Revisions.end() ? 0 : Found->second;
      if (Revision != Expected.Revision)
        Answer.IsCommitted = false;
      if (Revision != 0)
        Answer.Current.push_back(
            {Expected.Key, this->Values[Expected.Key], Revision, 0});
    }
    if (!Answer.IsCommitted)
      return Answer;
    Answer.Revision = ++this->Revision;
    for (const store::StorePut &Put : Change.Puts) {
      this->Revisions[Put.Key] = this->Revision;
      this->Values[Put.Key] = Put.Value;
      ++this->Applied[Put.Key];
    }
    return Answer;
  }

  void serveAll() {
    while (!this->Open.empty()) {
      const Call Each = std::move(this->Open.front());
      this->Open.pop_front();
      Each.Done(this->apply(Each.Change));
    }
  }

  /// Ends the oldest open call without an answer; returns its transaction.
  store::StoreTransaction timeOut() {
    const Call Each = std::move(this->Open.front());
    this->Open.pop_front();
    Each.Done(failure(
        store::StoreError{store::StoreErrorCode::Ambiguous, "no answer"}));
    this->Loop.settle();
    return Each.Change;
  }

  struct Call {
    store::StoreTransaction Change;
    store::StoreCallback<store::CommitAnswer> Done;
  };

  tests::SteppedLoop Loop;
  std::deque<jobs::JobWrite> Waiting;
  std::deque<Call> Open;
  std::map<std::string, uint64_t> Revisions;
  std::map<std::string, std::string> Values;
  /// How often each key was written.
  std::map<std::string, unsigned> Applied;
  uint64_t Revision = 100;
  uint64_t LastJob = 0;
  size_t Written = 0;
  std::string RejectedJob;
  size_t Rejections = 0;
  bool IsServed = false;
  bool IsSuperseded = false;
  std::shared_ptr<ProgressWriter> Writer;
};

} // namespace

// Guards against a late copy of a commit that undoes later progress (issue 28).
TEST_CASE("a commit that the store carries out late has no effect") {
  Fixture Test;
  Test.change(1);
  Test.Loop.runFor(milliseconds(20));
  const store::StoreTransaction Late = Test.timeOut();
  Test.IsServed = true;
  Test.Loop.runFor(seconds(1));
  REQUIRE(Test.Written == 1);
  const std::string Key = keys::progress(ServiceName("quotes")) + "1";
  CHECK(Test.Applied[Key] == 1);
  CHECK_FALSE(Test.apply(Late).IsCommitted);
  CHECK(Test.Applied[Key] == 1);
}

// Guards against progress that is written twice or never, because the answer to
// its commit was lost (issue 28).
TEST_CASE("a commit whose answer was lost is recognized when it is repeated") {
  Fixture Test;
  Test.change(1);
  Test.Loop.runFor(milliseconds(20));
  CHECK(Test.apply(Test.Open.front().Change).IsCommitted);
  Test.timeOut();
  CHECK(Test.Written == 0);
  Test.IsServed = true;
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Written == 1);
  CHECK(Test.Applied[keys::progress(ServiceName("quotes")) + "1"] == 1);
}

// Guards against all progress of a service waiting for one commit (issue 28).
TEST_CASE("other jobs are written while a commit is not answered") {
  Fixture Test;
  Test.change(1);
  Test.Loop.runFor(milliseconds(20));
  REQUIRE(Test.Open.size() == 1);
  const Fixture::Call Silent = std::move(Test.Open.front());
  Test.Open.clear();
  Test.IsServed = true;
  for (int Round = 0; Round < 20; ++Round) {
    Test.change(3);
    Test.Loop.runFor(milliseconds(100));
  }
  CHECK(Test.Written == 60);
  CHECK(Test.Writer->openCommits() == 1);
}

// Guards against a queue that grows because one commit at a time is too few
// (issue 28).
TEST_CASE("a long queue is written by several commits at a time") {
  Fixture Test;
  Test.change(500);
  Test.Loop.runFor(milliseconds(20));
  CHECK(Test.Open.size() == 8);
  std::set<std::string> Keys;
  size_t Puts = 0;
  for (const Fixture::Call &Each : Test.Open) {
    CHECK(Each.Change.Expect.size() + Each.Change.Puts.size() +
              Each.Change.Removals.size() <=
          store::MaxTransactionEntries);
    for (const store::StorePut &Put : Each.Change.Puts) {
      Keys.insert(Put.Key);
      ++Puts;
    }
  }
  CHECK(Keys.size() == Puts);
  CHECK(Puts > 200);
}

TEST_CASE("few changes share one commit") {
  Fixture Test;
  Test.IsServed = true;
  for (int Round = 0; Round < 10; ++Round) {
    Test.change(1);
    Test.change(1);
    Test.Loop.runFor(milliseconds(15));
  }
  CHECK(Test.Written == 20);
  CHECK(Test.Revision <= 100 + 11);
}

TEST_CASE("a commit is bounded in bytes") {
  Fixture Test;
  Test.change(20, 20000);
  Test.Loop.runFor(milliseconds(20));
  REQUIRE_FALSE(Test.Open.empty());
  CHECK(Test.Open.front().Change.Puts.size() <= 5);
  Test.IsServed = true;
  Test.serveAll();
  Test.Loop.runFor(seconds(2));
  CHECK(Test.Written == 20);
}

TEST_CASE("a later planner goes on with the streams of an earlier one") {
  Fixture Test;
  Test.IsServed = true;
  Test.change(1);
  Test.Loop.runFor(milliseconds(50));
  const auto Earlier = Test.Writer;
  Test.open(8);
  Test.change(1);
  Test.Loop.runFor(milliseconds(50));
  CHECK(Test.Written == 2);
  CHECK_FALSE(Test.IsSuperseded);

  SECTION("and the earlier one is told that it has lost the claim") {
    Test.change(1);
    Earlier->flush();
    Test.Loop.runFor(milliseconds(50));
    CHECK(Test.IsSuperseded);
  }
}

TEST_CASE("writes go on after an outage, and none is lost") {
  Fixture Test;
  Test.change(40);
  Test.Loop.runFor(milliseconds(20));
  for (int Round = 0; Round < 5; ++Round) {
    while (!Test.Open.empty())
      Test.timeOut();
    Test.Loop.runFor(seconds(1));
  }
  Test.IsServed = true;
  Test.serveAll();
  Test.Loop.runFor(seconds(1));
  CHECK(Test.Written == 40);
  CHECK(Test.Waiting.empty());
}

// Guards against jobs that are never stored because the store rejects the
// progress of another job that shares a commit with them.
TEST_CASE("a job whose progress the store rejects does not hold others up") {
  Fixture Test;
  Test.IsServed = true;
  Test.RejectedJob = "3";
  Test.change(8);
  Test.Loop.runFor(seconds(2));
  CHECK(Test.Written == 7);
  const size_t Rejections = Test.Rejections;
  Test.Loop.runFor(seconds(20));
  CHECK(Test.Rejections <= Rejections + 10);
  Test.RejectedJob.clear();
  Test.Loop.runFor(seconds(6));
  CHECK(Test.Written == 8);
}

// Guards against a copy that takes effect late and undoes what was written
// after it had been given up.
TEST_CASE("a commit that may have been carried out is not given up") {
  Fixture Test;
  Test.change(2);
  Test.Loop.runFor(milliseconds(20));
  Test.timeOut();
  Test.RejectedJob = "1";
  Test.Loop.runFor(seconds(20));
  CHECK(Test.Waiting.empty());
  CHECK(Test.Writer->openCommits() == 1);
}
