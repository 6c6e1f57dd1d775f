#include "operatorclient.h"

namespace whintack::commands::Internal {

static constexpr Duration CallTimeout = std::chrono::seconds(10);

std::string textAt(const web::json::value &Object, const std::string &Key,
                   const std::string &Fallback) {
  if (!Object.is_object() || !Object.has_field(Key) ||
      !Object.at(Key).is_string())
    return Fallback;
  return Object.at(Key).as_string();
}

int64_t numberAt(const web::json::value &Object, const std::string &Key) {
  if (!Object.is_object() || !Object.has_field(Key) ||
      !Object.at(Key).is_number())
    return 0;
  return Object.at(Key).as_number().to_int64();
}

std::string CallResponse::errorText() const {
  std::string Text = textAt(this->Body, "error");
  if (Text.empty())
    Text =
        textAt(this->Body, "message", "status " + std::to_string(this->Status));
  const std::string NextStep = textAt(this->Body, "next");
  return NextStep.empty() ? Text : Text + "\n" + NextStep;
}

OperatorClient::OperatorClient(std::vector<Address> Entries, std::string Token,
                               Clock Time, TimerQueue &Timers,
                               http::ClientTls Tls)
    : Entries(std::move(Entries)), Token(std::move(Token)),
      Time(std::move(Time)), Timers(Timers), Tls(std::move(Tls)) {}

Result<CallResponse, CallError>
OperatorClient::call(const http::HttpRequest &Request) {
  CallError LastError{"no entry VM is given; use --entry or WHINTACK_ENTRY",
                      false};
  bool MayHaveTakenEffect = false;
  for (const Address &Entry : this->Entries) {
    auto Response =
        http::callAndWait(Entry, Request, this->Time.Now() + CallTimeout,
                          this->Timers, this->Tls);
    if (!Response) {
      LastError.Message = Entry.text() + ": " + Response.error().Message;
      MayHaveTakenEffect =
          MayHaveTakenEffect || !Response.error().isNeverSent();
      continue;
    }
    CallResponse Parsed;
    Parsed.Status = Response.value().Status;
    try {
      Parsed.Body = web::json::value::parse(Response.value().Body);
    } catch (const std::exception &) {
      Parsed.Body = web::json::value(Response.value().Body);
    }
    return Parsed;
  }
  LastError.IsUnknown = MayHaveTakenEffect;
  return failure(std::move(LastError));
}

Result<CallResponse, CallError> OperatorClient::get(const std::string &Path) {
  http::HttpRequest Request;
  Request.Method = "GET";
  Request.Target = Path;
  Request.Headers.set("Authorization", "Bearer " + this->Token);
  return this->call(Request);
}

Result<CallResponse, CallError>
OperatorClient::post(const std::string &Path, const std::string &Body,
                     const std::string &Operation) {
  http::HttpRequest Request;
  Request.Method = "POST";
  Request.Target = Path;
  Request.Body = Body;
  Request.Headers.set("Authorization", "Bearer " + this->Token);
  Request.Headers.set("Operation-Id", Operation);
  return this->call(Request);
}

} // namespace whintack::commands::Internal
