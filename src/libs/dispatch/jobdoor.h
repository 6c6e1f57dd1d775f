#ifndef WHINTACK_DISPATCH_JOBDOOR_H
#define WHINTACK_DISPATCH_JOBDOOR_H

#include "jobrecords.h"
#include "servicecalls.h"

#include "whintack/http/httpserver.h"
#include "whintack/jobs/gateways.h"

namespace whintack::dispatch::Internal {

/// Answers clients: takes jobs in, shows their state, cancels them.
///
/// A job is accepted once it is stored, and never before. "Not accepted" is
/// only said of a job whose record was certainly not written. What cannot be
/// known is answered as a time-out, never as "not accepted" or "not there".
class JobDoor : public std::enable_shared_from_this<JobDoor> {
public:
  JobDoor(Context Shared, jobs::PlatformWords Words,
          std::shared_ptr<ServiceCalls> Calls,
          std::function<std::shared_ptr<const jobs::QueueTable>()> Queues);

  /// Takes a request; runs on the loop's thread.
  void take(const http::HttpRequest &Request, http::Responder Back);

private:
  /// One request for one job.
  struct Visit {
    jobs::JobId Id;
    std::string QueueName;
    ServiceName Service;
    http::Responder Back;
    TimePoint GiveUp;
    /// The record to be stored, for a job that is handed in.
    std::string Record;
    /// A write was not answered: it may have taken effect, or may yet.
    bool IsUncertain = false;
  };
  using SharedVisit = std::shared_ptr<Visit>;

  void submit(const SharedVisit &For, const std::string &Body);
  void store(const SharedVisit &For);
  void takeStored(const SharedVisit &For,
                  const store::StoreResult<store::CommitAnswer> &Answer);
  void tellPlanner(const SharedVisit &For);
  void leaveNotice(const SharedVisit &For, const std::string &Key,
                   const std::string &Content, int64_t TriesLeft,
                   const std::function<void(bool)> &Done);
  void show(const SharedVisit &For);
  void cancel(const SharedVisit &For);
  void cancelInStore(const SharedVisit &For, bool MayAskPlanner);
  void showWaiting(const std::string &QueueName, const ServiceName &Service,
                   const http::Responder &Back);
  /// Reads a job's record; the text is empty if there is none.
  void read(const SharedVisit &For,
            const std::function<void(store::StoreResult<std::string>)> &Done);

  Context Shared;
  jobs::PlatformWords Words;
  std::shared_ptr<ServiceCalls> Calls;
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues;
  struct KnownCount {
    std::string Waiting;
    TimePoint UsableUntil;
  };
  std::map<std::string, KnownCount> Counts;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBDOOR_H
