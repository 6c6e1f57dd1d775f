#ifndef WHINTACK_HTTP_HTTPMESSAGE_H
#define WHINTACK_HTTP_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whintack::http {

/// One header field.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// List of header fields. Names are compared case-insensitively.
class HttpHeaders {
public:
  /// Sets \p Name to \p Value, replacing a previous value.
  void set(std::string_view Name, std::string_view Value);
  void remove(std::string_view Name);
  std::optional<std::string> find(std::string_view Name) const;
  bool has(std::string_view Name) const;
  const std::vector<HttpHeader> &all() const { return this->Fields; }

  /// Removes the fields that apply to one connection only (RFC 9110, 7.6.1),
  /// including those named by the Connection field.
  void removeHopByHop();

private:
  std::vector<HttpHeader> Fields;
};

/// A request. Target is the path and query as sent, still percent-encoded.
struct HttpRequest {
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  std::string RemoteIp;
};

/// A response.
struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
};

/// Returns a response with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);

/// Status codes that this project sends or handles.
namespace status {
constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int RequestTimeout = 408;
constexpr int Conflict = 409;
constexpr int LengthRequired = 411;
constexpr int PreconditionFailed = 412;
constexpr int ContentTooLarge = 413;
constexpr int TooManyRequests = 429;
constexpr int InternalError = 500;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
} // namespace status

} // namespace whintack::http

#endif // WHINTACK_HTTP_HTTPMESSAGE_H
