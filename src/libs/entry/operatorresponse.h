#ifndef WHINTACK_ENTRY_OPERATORRESPONSE_H
#define WHINTACK_ENTRY_OPERATORRESPONSE_H

#include "whintack/http/httpmessage.h"
#include "whintack/store/keyvaluestore.h"

#include <cpprest/json.h>
#include <string>

/// Responses of the operator interface.
namespace whintack::entry::Internal {

/// A response with \p Object as its JSON body.
http::HttpResponse makeResponse(int Status, const web::json::value &Object);

/// An error response: \p Message says what is wrong, \p Next what the operator
/// can do.
http::HttpResponse makeErrorResponse(int Status, const std::string &Message,
                                     const std::string &Next);

/// An error response for a change that the platform's store did not accept, or
/// may not have accepted.
http::HttpResponse makeStoreErrorResponse(const store::StoreError &Error);

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORRESPONSE_H
