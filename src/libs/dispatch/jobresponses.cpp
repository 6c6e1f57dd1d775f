#include "jobresponses.h"

#include "whintack/base/log.h"

namespace whintack::dispatch::Internal {

namespace status = http::status;

static constexpr size_t IdDigits = 16;

http::HttpResponse errorResponse(int Status, const std::string &Reason) {
  std::string Escaped;
  for (const char Byte : Reason)
    if (Byte >= ' ' && Byte != '"' && Byte != '\\')
      Escaped += Byte;
  http::HttpResponse Response =
      http::jsonResponse(Status, R"({"error":")" + Escaped + "\"}");
  if (Status == status::ServiceUnavailable)
    Response.Headers.set("Retry-After", "1");
  return Response;
}

/// The fields that tell who was asked about a refused job.
struct ReportFields {
  explicit ReportFields(const std::optional<SubmissionReport> &Report) {
    if (!Report)
      return;
    this->Outcome = nameOf(SubmissionOutcomeNames, Report->Outcome);
    this->Asked = std::to_string(Report->Asked);
    this->Denied = std::to_string(Report->Denied);
    this->NotDeniedBy = Report->NotDeniedBy.text();
  }

  std::string Outcome;
  std::string Asked;
  std::string Denied;
  std::string NotDeniedBy;
};

void logRefusal(const RefusedRequest &Refused) {
  const ReportFields Report(Refused.Report);
  logEvent(LogLevel::Info, "request-refused",
           {{"job", Refused.Job},
            {"method", Refused.Method},
            {"status", Refused.Status},
            {"reason", Refused.Reason},
            {"tenant", Refused.Tenant},
            {"submissions", Report.Outcome},
            {"asked", Report.Asked},
            {"denied", Report.Denied},
            {"not-denied-by", Report.NotDeniedBy}});
}

void logRefusal(const RefusedRequest &Refused, const CommitHistory &Commits,
                TimePoint Now) {
  const ReportFields Report(Refused.Report);
  const bool HasCommits = Commits.count() > 0;
  const auto Age = [&](TimePoint Begin) {
    return HasCommits ? std::to_string(toMilliseconds(Now - Begin)) : "";
  };
  logEvent(
      LogLevel::Info, "request-refused",
      {{"job", Refused.Job},
       {"method", Refused.Method},
       {"status", Refused.Status},
       {"reason", Refused.Reason},
       {"tenant", Refused.Tenant},
       {"commits", Commits.count()},
       {"open", Commits.open()},
       {"outcomes", Commits.outcomes()},
       {"first-ms", Age(Commits.firstBegin())},
       {"last-ms", Age(Commits.lastBegin())},
       {"last-path",
        HasCommits ? nameOf(store::StorePathNames, Commits.lastPath()) : ""},
       {"submissions", Report.Outcome},
       {"asked", Report.Asked},
       {"denied", Report.Denied},
       {"not-denied-by", Report.NotDeniedBy}});
}

bool isJobId(std::string_view Text) {
  return Text.size() == IdDigits &&
         Text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

jobs::JobId jobOfPath(const std::string &Path) {
  if (Path.size() < IdDigits)
    return jobs::JobId();
  const std::string Last = Path.substr(Path.size() - IdDigits);
  return isJobId(Last) ? jobs::JobId(Last) : jobs::JobId();
}

} // namespace whintack::dispatch::Internal
