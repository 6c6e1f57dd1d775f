#include "scriptedserver.h"

#include "whintack/platform/platform.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using namespace whintack::platform;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

using List = jobs::GatewayResult<std::vector<jobs::MachineInfo>>;

std::string httpAnswer(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string page(const std::string &Machine, const std::string &Next) {
  return R"({"machines":[{"machine":")" + Machine +
         R"(","pool":"p","state":"up","zone":"z","labels":[],)"
         R"("capacity":{"cpu":1000,"mem-mb":1000},"id":"i-)" +
         Machine + R"("}],"next-page-token":")" + Next + R"("})";
}

/// The list of machines of a server that answers the call for the second page
/// with \p SecondPage.
List listMachines(const ScriptedAnswer &SecondPage) {
  const Address Local = tests::ownAddress(9, 18100);
  const ScriptedServer Server(Local, [&](const std::string &Request, unsigned) {
    return Request.find("page-token=n2") == std::string::npos
               ? ScriptedAnswer{httpAnswer("200 OK", page("m1", "n2")), false,
                                false}
               : SecondPage;
  });
  REQUIRE(Server.isOpen());
  const Clock Time = systemClock();
  TimerQueue Timers{Time};
  http::CallClient Calls{Time, Timers, 1 << 20};
  const jobs::MachineGateway Gateway = makeMachineGateway(Local, Calls);
  auto Promise = std::make_shared<std::promise<List>>();
  Gateway.List(Time.Now() + std::chrono::milliseconds(500),
               [Promise](List Found) { Promise->set_value(std::move(Found)); });
  return Promise->get_future().get();
}

} // namespace

TEST_CASE("the list of machines has the machines of all pages") {
  const List Found =
      listMachines({httpAnswer("200 OK", page("m2", "")), false, false});
  REQUIRE(Found);
  REQUIRE(Found.value().size() == 2);
  CHECK(Found.value()[1].Executor == jobs::ExecutorId("i-m2"));
}

// Guards against executors that are taken as lost because their machines are on
// a page that was not read.
TEST_CASE("a list of machines of which a page is missing is an error") {
  const std::string Whole = httpAnswer("200 OK", page("m2", ""));
  const auto SecondPage = GENERATE_COPY(
      ScriptedAnswer{"", false, false}, ScriptedAnswer{"", true, true},
      ScriptedAnswer{Whole.substr(0, Whole.size() - 20), true, false},
      ScriptedAnswer{httpAnswer("200 OK", "{}"), false, false},
      ScriptedAnswer{httpAnswer("429 Too Many Requests", "{}"), false, false},
      ScriptedAnswer{httpAnswer("503 Service Unavailable", "{}"), false,
                     false});
  CHECK_FALSE(listMachines(SecondPage));
}
