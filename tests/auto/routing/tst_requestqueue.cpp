#include "whintack/routing/requestqueue.h"
#include "whintack/routing/retrybudget.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::routing;

TEST_CASE("callers are served round-robin, however many requests one sends") {
  RequestQueue Queue;
  const CallerName Busy("busy");
  const CallerName Quiet("quiet");
  for (RequestHandle Number = 1; Number <= 10; ++Number)
    Queue.push(Busy, Number);
  Queue.push(Quiet, 100);
  REQUIRE(*Queue.pop() == 1);
  REQUIRE(*Queue.pop() == 100);
  REQUIRE(*Queue.pop() == 2);
}

TEST_CASE("a removed request is not popped") {
  RequestQueue Queue;
  const CallerName Caller("c");
  Queue.push(Caller, 1);
  Queue.push(Caller, 2);
  REQUIRE(Queue.remove(Caller, 1));
  REQUIRE_FALSE(Queue.remove(Caller, 1));
  REQUIRE(Queue.size() == 1);
  REQUIRE(*Queue.pop() == 2);
  REQUIRE_FALSE(Queue.pop());
  Queue.push(Caller, 3);
  REQUIRE(Queue.remove(Caller, 3));
  REQUIRE(Queue.callers() == 0);
}

TEST_CASE("retries are limited to a percentage of the requests") {
  RetryBudget Budget(10);
  int Retries = 0;
  while (Budget.takeRetry())
    ++Retries;
  REQUIRE(Retries == 10);
  for (int Number = 0; Number < 100; ++Number)
    Budget.recordRequest();
  Retries = 0;
  while (Budget.takeRetry())
    ++Retries;
  REQUIRE(Retries == 10);
  RetryBudget None(0);
  None.recordRequest();
  REQUIRE_FALSE(None.takeRetry());
}
