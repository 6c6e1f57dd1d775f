#ifndef WHINTACK_ENTRY_OPERATORANSWER_H
#define WHINTACK_ENTRY_OPERATORANSWER_H

#include "whintack/http/httpmessage.h"
#include "whintack/store/keyvaluestore.h"

#include <cpprest/json.h>
#include <string>

/// Forms of answers of the operator interface.
namespace whintack::entry::Internal {

http::HttpResponse respond(int Status, const web::json::value &Object);

/// An answer that says what is wrong and what to do next.
http::HttpResponse refuse(int Status, const std::string &Message,
                          const std::string &Next);

/// An answer to a change that the platform's store did not take, or may not
/// have taken.
http::HttpResponse storeRefusal(const store::StoreError &Error);

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORANSWER_H
