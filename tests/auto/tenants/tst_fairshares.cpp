#include "whintack/tenants/fairshares.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tenants;

static const TenantName A("a");
static const TenantName B("b");
static const TenantName C("c");

TEST_CASE("tenants that all demand the pool divide it by weight") {
  const auto Shares = fairShares(
      {{A, {1, {9000, 0, 0}}}, {B, {2, {9000, 0, 0}}}, {C, {1, {9000, 0, 0}}}},
      {8000, 0, 0});
  CHECK(Shares.at(A) == Approx(0.25));
  CHECK(Shares.at(B) == Approx(0.5));
  CHECK(Shares.at(C) == Approx(0.25));
}

TEST_CASE("what a tenant does not demand goes to the others by weight") {
  const auto Shares = fairShares(
      {{A, {1, {1000, 0, 0}}}, {B, {1, {9000, 0, 0}}}, {C, {2, {9000, 0, 0}}}},
      {10'000, 0, 0});
  CHECK(Shares.at(A) == Approx(0.1));
  CHECK(Shares.at(B) == Approx(0.3));
  CHECK(Shares.at(C) == Approx(0.6));
}

TEST_CASE("demands that fit are met") {
  const auto Shares =
      fairShares({{A, {1, {1000, 0, 0}}}, {B, {5, {2000, 0, 0}}}, {C, {}}},
                 {10'000, 1000, 0});
  CHECK(Shares.at(A) == Approx(0.1));
  CHECK(Shares.at(B) == Approx(0.2));
  CHECK(Shares.at(C) == 0);
}

// The example of the publication on dominant-resource fairness: 9 cores and 18
// GB, tasks of 1 core and 4 GB, and of 3 cores and 1 GB. Three tasks of the
// first and two of the second tenant run.
TEST_CASE("tenants that use different resources get equal dominant parts") {
  const auto Shares = fairShares(
      {{A, {1, {100'000, 400'000, 0}}}, {B, {1, {300'000, 100'000, 0}}}},
      {9000, 18'000, 0});
  CHECK(Shares.at(A) == Approx(2.0 / 3));
  CHECK(Shares.at(B) == Approx(2.0 / 3));
}

// Guards against parts that a tenant cannot use because it needs a resource
// that is exhausted, while others can.
TEST_CASE("a tenant that does not use the exhausted resource goes on to grow") {
  const auto Shares = fairShares(
      {{A, {1, {9000, 0, 0}}}, {B, {1, {9000, 0, 0}}}, {C, {1, {0, 900, 0}}}},
      {8000, 1000, 0});
  CHECK(Shares.at(A) == Approx(0.5));
  CHECK(Shares.at(B) == Approx(0.5));
  CHECK(Shares.at(C) == Approx(0.9));
}

TEST_CASE("a pool without capacity and tenants without weight get nothing") {
  CHECK(fairShares({{A, {1, {1000, 0, 0}}}}, {}).at(A) == 0);
  const auto Shares = fairShares(
      {{A, {0, {1000, 0, 0}}}, {B, {1, {9000, 0, 0}}}}, {8000, 0, 0});
  CHECK(Shares.at(A) == 0);
  CHECK(Shares.at(B) == Approx(1));
  CHECK(dominantPart({1000, 500, 0}, {4000, 1000, 0}) == 0.5);
}
