#ifndef WHINTACK_ENTRY_CALLERREQUEST_H
#define WHINTACK_ENTRY_CALLERREQUEST_H

#include "whintack/base/result.h"
#include "whintack/entry/forwarder.h"

namespace whintack::entry::Internal {

/// HTTP status and message for a caller's request that is not valid.
struct CallerError {
  int Status = 0;
  std::string Message;
};

/// A caller's request after parsing.
struct CallerRequest {
  ForwardRequest Forward;
  /// The caller's Idempotency-Key; empty for none.
  std::string Key;
  /// Digest of method, target and body; empty without a key. Tells a repeated
  /// request from another request under the same key.
  std::string KeyDigest;
};

/// Parses a request whose path is /SERVICE/REST. REST becomes the target of the
/// forwarded request, unchanged.
Result<CallerRequest, CallerError>
readCallerRequest(const http::HttpRequest &Received, const RequestId &Id);

/// Returns whether \p Method is idempotent (RFC 9110, 9.2.2).
bool isIdempotentMethod(const std::string &Method);

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_CALLERREQUEST_H
