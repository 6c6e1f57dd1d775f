#include "operatoranswer.h"

namespace whintack::entry::Internal {

using http::HttpResponse;
using web::json::value;

HttpResponse respond(int Status, const value &Object) {
  return http::jsonResponse(Status, Object.serialize());
}

HttpResponse refuse(int Status, const std::string &Message,
                    const std::string &Next) {
  value Object;
  Object["error"] = value(Message);
  Object["next"] = value(Next);
  return respond(Status, Object);
}

HttpResponse storeRefusal(const store::StoreError &Error) {
  const bool IsUnknown = Error.Code == store::StoreErrorCode::Ambiguous;
  return refuse(IsUnknown ? http::status::GatewayTimeout
                          : http::status::ServiceUnavailable,
                Error.Message, "send it again with the same Operation-Id");
}

} // namespace whintack::entry::Internal
