#ifndef WHINTACK_COMMANDS_OPERATORCLIENT_H
#define WHINTACK_COMMANDS_OPERATORCLIENT_H

#include "whintack/base/address.h"
#include "whintack/base/result.h"
#include "whintack/base/timerqueue.h"
#include "whintack/http/httpclient.h"

#include <cpprest/json.h>
#include <string>
#include <vector>

namespace whintack::commands::Internal {

/// Error of a call that got no response.
struct CallError {
  std::string Message;
  /// Whether the change may have taken effect even so.
  bool IsUnknown = false;
};

/// A response of the operator interface.
struct CallResponse {
  int Status = 0;
  web::json::value Body;

  bool isOk() const { return this->Status == http::status::Ok; }
  /// Returns what failed and what the operator can do next.
  std::string errorText() const;
};

/// Calls the operator interface of one of several entry VMs. They are tried in
/// the given order until one responds.
class OperatorClient {
public:
  OperatorClient(std::vector<Address> Entries, std::string Token, Clock Time,
                 TimerQueue &Timers, http::ClientTls Tls = {});

  /// Sends a GET request for \p Path.
  Result<CallResponse, CallError> get(const std::string &Path);
  /// Posts a change. All attempts carry the operation id \p Operation, so that
  /// the change takes effect only once.
  Result<CallResponse, CallError> post(const std::string &Path,
                                       const std::string &Body,
                                       const std::string &Operation);

private:
  Result<CallResponse, CallError> call(const http::HttpRequest &Request);

  std::vector<Address> Entries;
  std::string Token;
  Clock Time;
  TimerQueue &Timers;
  http::ClientTls Tls;
};

/// Returns the string at \p Key, or \p Fallback if there is none.
std::string textAt(const web::json::value &Object, const std::string &Key,
                   const std::string &Fallback = "");
/// Returns the number at \p Key, or 0 if there is none.
int64_t numberAt(const web::json::value &Object, const std::string &Key);

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_OPERATORCLIENT_H
