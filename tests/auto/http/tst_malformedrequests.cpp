#include "scriptedserver.h"
#include "whintack/http/httpclient.h"
#include "whintack/http/httpserver.h"

#include <catch2/catch.hpp>
#include <poll.h>

using namespace whintack;
using namespace whintack::http;

namespace {

constexpr int AnswerTimeoutMs = 3000;
constexpr size_t MaxBodyBytes = 1000;

const std::string ChunkedHead =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a client sees that sends bytes and then only reads.
struct Reply {
  std::string Text;
  bool IsClosed = false;

  std::string status() const { return this->Text.substr(0, 12); }
};

struct Fixture {
  explicit Fixture(unsigned Host)
      : Local(tests::ownAddress(Host, 9100)),
        Server(Local, limits(), Time, Timers,
               [this](HttpRequest Request, const Responder &Respond) {
                 ++this->Handled;
                 if (Request.Target == "/throws")
                   throw std::runtime_error("a fault of the handler");
                 Respond(jsonResponse(status::Ok, Request.Body));
               }) {
    REQUIRE(this->Server.open());
  }

  static ServerLimits limits() {
    ServerLimits Limits;
    Limits.MaxBodyBytes = MaxBodyBytes;
    return Limits;
  }

  Reply raw(const std::string &Bytes) const {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Endpoint{};
    Endpoint.sin_family = AF_INET;
    Endpoint.sin_port = htons(this->Local.Port);
    inet_pton(AF_INET, this->Local.Ip.c_str(), &Endpoint.sin_addr);
    connect(Socket, reinterpret_cast<sockaddr *>(&Endpoint), sizeof(Endpoint));
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    Reply Seen;
    pollfd Ready{Socket, POLLIN, 0};
    while (!Seen.IsClosed && poll(&Ready, 1, AnswerTimeoutMs) == 1) {
      char Part[4096];
      const ssize_t Count = recv(Socket, Part, sizeof(Part), 0);
      Seen.IsClosed = Count <= 0;
      if (Count > 0)
        Seen.Text.append(Part, static_cast<size_t>(Count));
    }
    close(Socket);
    return Seen;
  }

  /// Requires that \p Bytes are refused and that a sound client is served.
  void requireRefusal(const std::string &Bytes, const std::string &Status) {
    INFO(Bytes.substr(0, 200));
    const size_t Before = this->Handled;
    const Reply Seen = this->raw(Bytes);
    CHECK(Seen.status() == "HTTP/1.1 " + Status);
    CHECK(Seen.IsClosed);
    CHECK(this->Handled == Before);
    this->requireService();
  }

  void requireService() {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/";
    Request.Body = "sound";
    const HttpResult Answer =
        callAndWait(this->Local, Request,
                    this->Time.Now() + std::chrono::seconds(10), this->Timers);
    REQUIRE(Answer);
    REQUIRE(Answer.value().Status == status::Ok);
    REQUIRE(Answer.value().Body == "sound");
  }

  Clock Time = systemClock();
  TimerQueue Timers{Time};
  Address Local;
  std::atomic<size_t> Handled{0};
  HttpServer Server;
};

} // namespace

// Guards against a chunk size that ends the process (issue 52).
TEST_CASE("a chunk size that is no size ends its connection only") {
  Fixture Test(21);
  for (const std::string Size :
       {"-1", "-2", "+1", "-80000000", "", "x", "0x5", " 5", ";a=b", "5 5",
        "10000000000000000", "fffffffffffffffff", "-ffffffffffffffff"})
    Test.requireRefusal(ChunkedHead + Size + "\r\nhello\r\n0\r\n\r\n", "400");
}

// Guards against memory given to a size before it is checked (issue 52).
TEST_CASE("a chunk above the limit is refused before it arrives") {
  Fixture Test(22);
  for (const std::string Size :
       {"3e9", "7fffffff", "80000000", "ffffffff", "7fffffffffffffff",
        "fffffffffffffffe", "ffffffffffffffff"})
    Test.requireRefusal(ChunkedHead + Size + "\r\n", "413");
  Test.requireRefusal(
      ChunkedHead + "3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\n", "413");
}

// Guards against a refusal that waits for the body it refuses (issue 52).
TEST_CASE("lengths that are too large or in doubt are refused at once") {
  Fixture Test(23);
  const std::string Head = "POST / HTTP/1.1\r\nHost: h\r\n";
  Test.requireRefusal(Head + "Content-Length: 1001\r\n\r\n", "413");
  for (const std::string Fields :
       {"Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 6\r\n", "Content-Length: -5\r\n",
        "Content-Length: +5\r\n", "Content-Length: 18446744073709551617\r\n"})
    Test.requireRefusal(Head + Fields + "\r\nhello", "400");
}

// Guards against a sound chunked body that is refused or changed (issue 52).
TEST_CASE("sound chunked bodies are read whole") {
  Fixture Test(24);
  for (const std::string Chunks :
       {"5\r\nhello\r\n0\r\n\r\n", "2\r\nhe\r\n003\r\nllo\r\n0\r\n\r\n",
        "5;name=value\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nTrailer: t\r\n\r\n"}) {
    const Reply Seen =
        Test.raw("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n" +
                 Chunks);
    INFO(Chunks);
    CHECK(Seen.status() == "HTTP/1.1 200");
    CHECK(Seen.Text.substr(Seen.Text.find("\r\n\r\n") + 4) == "hello");
    CHECK(Seen.IsClosed);
  }
}

// Guards against a fault of a handler that ends a thread (issue 52).
TEST_CASE("an exception of a handler is answered") {
  Fixture Test(25);
  const Reply Seen =
      Test.raw("GET /throws HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(Seen.status() == "HTTP/1.1 500");
  Test.requireService();
}
