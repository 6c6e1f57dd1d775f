#ifndef WHINTACK_HTTP_BODYREADER_H
#define WHINTACK_HTTP_BODYREADER_H

#include <cpprest/http_msg.h>
#include <functional>
#include <string>

namespace whintack::http::Internal {

/// Outcome of reading a message body.
enum class BodyReadStatus { Complete, TooLarge };

/// The bytes of a body, with the outcome of reading it.
struct BodyReadResult {
  BodyReadStatus Status = BodyReadStatus::Complete;
  std::string Bytes;
};

/// Reads the body of \p Message; the outcome is TooLarge once the body exceeds
/// \p MaxBytes. If the body ends early, the task fails with the library's
/// exception. Calls \p OnPart, unless it is null, after each part.
pplx::task<BodyReadResult> readBody(web::http::details::http_msg_base &Message,
                                    size_t MaxBytes,
                                    std::function<void()> OnPart = nullptr);

} // namespace whintack::http::Internal

#endif // WHINTACK_HTTP_BODYREADER_H
