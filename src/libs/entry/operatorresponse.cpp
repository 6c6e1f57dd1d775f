#include "operatorresponse.h"

namespace whintack::entry::Internal {

using http::HttpResponse;
using web::json::value;

HttpResponse makeResponse(int Status, const value &Object) {
  return http::jsonResponse(Status, Object.serialize());
}

HttpResponse makeErrorResponse(int Status, const std::string &Message,
                               const std::string &Next) {
  value Object;
  Object["error"] = value(Message);
  Object["next"] = value(Next);
  return makeResponse(Status, Object);
}

HttpResponse makeStoreErrorResponse(const store::StoreError &Error) {
  const bool IsUnknown = Error.Code == store::StoreErrorCode::Ambiguous;
  return makeErrorResponse(IsUnknown ? http::status::GatewayTimeout
                                     : http::status::ServiceUnavailable,
                           Error.Message,
                           "send it again with the same Operation-Id");
}

} // namespace whintack::entry::Internal
