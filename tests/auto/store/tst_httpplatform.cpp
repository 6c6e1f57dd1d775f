#include "scriptedserver.h"

#include "whintack/store/httpplatform.h"
#include "whintack/store/keyvaluecodec.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::store;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

// Guards against reads that fail because the server has closed a connection
// while it was idle.
TEST_CASE("a read on a connection that was closed is repeated") {
  const Address Local = tests::ownAddress(31, 18110);
  const std::string Body = codec::encodeRangeAnswer({});
  const bool Resets = GENERATE(false, true);
  ScriptedServer Server(Local, [&Body, Resets](const std::string &,
                                               unsigned Nth) {
    if (Nth == 2)
      return ScriptedAnswer{"", true, Resets};
    return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(Body.size()) + "\r\n\r\n" + Body,
                          false, false};
  });
  REQUIRE(Server.isOpen());
  TimerQueue Timers(systemClock());
  HttpPlatform Platform(Local, std::chrono::seconds(5), systemClock(), Timers);
  const KeyValueStore Store = Platform.store();
  for (int Number = 0; Number < 4; ++Number)
    CHECK(Store.Get("a"));
}
