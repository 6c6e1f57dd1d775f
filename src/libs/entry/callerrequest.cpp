#include "callerrequest.h"

#include "whintack/base/digest.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace whintack::entry::Internal {

static constexpr std::array<std::string_view, 6> IdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
static constexpr std::array<std::string_view, 8> KnownMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH"};
static constexpr size_t MaxKeyBytes = 255;
static constexpr int64_t MaxDeadlineMs = int64_t(24) * 3600 * 1000;

bool isIdempotentMethod(const std::string &Method) {
  return std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

static bool isKnownMethod(const std::string &Method) {
  return std::find(KnownMethods.begin(), KnownMethods.end(), Method) !=
         KnownMethods.end();
}

/// Splits "/service/rest?query" into the service and "/rest?query".
static bool splitTarget(const std::string &Target, std::string &Service,
                        std::string &Rest) {
  if (Target.size() < 2 || Target.front() != '/')
    return false;
  const size_t End = std::min(Target.find_first_of("/?", 1), Target.size());
  Service = Target.substr(1, End - 1);
  Rest = Target.substr(End);
  if (Rest.empty() || Rest.front() != '/')
    Rest = "/" + Rest;
  return !Service.empty();
}

static CallerError badRequest(std::string Message) {
  return {http::status::BadRequest, std::move(Message)};
}

/// Reads the time that the caller allows for the request; zero if the header
/// field is missing.
static Result<Duration, CallerError>
readDeadline(const http::HttpHeaders &Headers) {
  const std::optional<std::string> Text = Headers.find(header::Deadline);
  if (!Text)
    return Duration::zero();
  int64_t Milliseconds = 0;
  const char *End = Text->data() + Text->size();
  const auto Read = std::from_chars(Text->data(), End, Milliseconds);
  const bool IsValid = Read.ec == std::errc() && Read.ptr == End &&
                       Milliseconds > 0 && Milliseconds <= MaxDeadlineMs;
  if (!IsValid)
    return failure(badRequest("Deadline-Ms is not a number of milliseconds "
                              "from 1 to 86400000"));
  return Duration(std::chrono::milliseconds(Milliseconds));
}

Result<CallerRequest, CallerError>
readCallerRequest(const http::HttpRequest &Received, const RequestId &Id) {
  CallerRequest Read;
  std::string Service;
  std::string Rest;
  if (!isKnownMethod(Received.Method))
    return failure(
        CallerError{http::status::MethodNotAllowed, "unknown method"});
  if (!splitTarget(Received.Target, Service, Rest))
    return failure(CallerError{http::status::NotFound,
                               "expected a path like /SERVICE/..."});
  auto Wanted = readDeadline(Received.Headers);
  if (!Wanted)
    return failure(std::move(Wanted).error());
  Read.Key = Received.Headers.find("Idempotency-Key").value_or("");
  if (Read.Key.size() > MaxKeyBytes)
    return failure(badRequest("Idempotency-Key is longer than 255 bytes"));
  ForwardRequest &Forward = Read.Forward;
  Forward.Id = Id;
  Forward.Info.Service = ServiceName(Service);
  Forward.Info.Caller =
      CallerName(Received.Headers.find("Caller").value_or(Received.RemoteIp));
  Forward.Info.IsIdempotent = isIdempotentMethod(Received.Method);
  Forward.Info.RequestedDuration = Wanted.value();
  Forward.Content = Received;
  Forward.Content.Target = Rest;
  Forward.Content.Headers.removeHopByHop();
  const std::string Host = Received.Headers.find("Host").value_or("");
  Forward.Content.Headers.remove("Host");
  Forward.Content.Headers.set("Forwarded", "for=" + Received.RemoteIp +
                                               ";host=\"" + Host + "\"");
  if (!Read.Key.empty())
    Read.KeyDigest = contentDigest(Received.Method + "\n" + Received.Target +
                                   "\n" + Received.Body);
  return Read;
}

} // namespace whintack::entry::Internal
