#ifndef WHINTACK_DISPATCH_JOBRESPONSES_H
#define WHINTACK_DISPATCH_JOBRESPONSES_H

#include "commithistory.h"
#include "submissiontracker.h"

#include "whintack/http/httpserver.h"
#include "whintack/jobs/jobspec.h"

#include <optional>
#include <string>
#include <utility>

namespace whintack::dispatch::Internal {

/// Returns a response that tells a client why its request failed. A 503 tells
/// it to try again after a second.
http::HttpResponse errorResponse(int Status, const std::string &Reason);

/// The answer to a request. Only the first one is sent, since a deadline may
/// come before the outcome.
class PendingAnswer {
public:
  explicit PendingAnswer(http::Responder Respond)
      : Respond(std::move(Respond)) {}

  bool isSent() const { return !this->Respond; }
  void send(http::HttpResponse Response) {
    if (const auto Send = std::exchange(this->Respond, nullptr))
      Send(std::move(Response));
  }

private:
  http::Responder Respond;
};

/// A request that is refused.
struct RefusedRequest {
  jobs::JobId Job;
  std::string Method;
  int Status = 0;
  std::string Reason;
  /// The tenant that the request may not act for; empty for other reasons.
  TenantName Tenant = TenantName();
  /// What the VMs said about the job; nothing if they were not asked.
  std::optional<SubmissionReport> Report = std::nullopt;
};

void logRefusal(const RefusedRequest &Refused);
/// Logs that a job was not accepted, and the commits that were made for it.
void logRefusal(const RefusedRequest &Refused, const CommitHistory &Commits,
                TimePoint Now);

/// Returns the job that a path names; empty if it does not end in a job's id.
jobs::JobId jobOfPath(const std::string &Path);
bool isJobId(std::string_view Text);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBRESPONSES_H
