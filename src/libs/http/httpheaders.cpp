#include "whintack/http/httpmessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace whintack::http {

static constexpr std::array<std::string_view, 9> HopByHopNames = {
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "proxy-connection",  "proxy-authorization",
    "trailer",    "transfer-encoding", "upgrade",
};

static bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

static std::string_view trimmed(std::string_view Text) {
  const size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

void HttpHeaders::set(std::string_view Name, std::string_view Value) {
  for (HttpHeader &Field : this->Fields) {
    if (!equalsIgnoringCase(Field.Name, Name))
      continue;
    Field.Value = std::string(Value);
    return;
  }
  this->Fields.push_back({std::string(Name), std::string(Value)});
}

void HttpHeaders::remove(std::string_view Name) {
  std::erase_if(this->Fields, [Name](const HttpHeader &Field) {
    return equalsIgnoringCase(Field.Name, Name);
  });
}

std::optional<std::string> HttpHeaders::find(std::string_view Name) const {
  for (const HttpHeader &Field : this->Fields)
    if (equalsIgnoringCase(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

bool HttpHeaders::has(std::string_view Name) const {
  return this->find(Name).has_value();
}

void HttpHeaders::removeHopByHop() {
  std::string ConnectionOptions = this->find("connection").value_or("");
  std::string_view Rest = ConnectionOptions;
  while (!Rest.empty()) {
    const size_t Comma = std::min(Rest.find(','), Rest.size());
    const std::string_view Name = trimmed(Rest.substr(0, Comma));
    if (!Name.empty())
      this->remove(Name);
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
  }
  for (const std::string_view Name : HopByHopNames)
    this->remove(Name);
}

HttpResponse jsonResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.set("Content-Type", "application/json");
  Response.Body = std::move(Body);
  return Response;
}

} // namespace whintack::http
