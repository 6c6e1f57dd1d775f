#include "jobresponses.h"

#include "whintack/base/log.h"

namespace whintack::dispatch::Internal {

namespace status = http::status;

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

void logRefusal(const jobs::JobId &Job, int Status, const std::string &Reason) {
  logEvent(LogLevel::Info, "request-refused",
           {{"job", Job}, {"status", Status}, {"reason", Reason}});
}

} // namespace whintack::dispatch::Internal
