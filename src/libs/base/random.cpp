#include "whintack/base/random.h"

#include <array>
#include <cstdio>
#include <memory>
#include <mutex>
#include <random>

namespace whintack {

Random seededRandom(uint64_t Seed) {
  struct State {
    std::mutex Mutex;
    std::mt19937_64 Engine;
  };
  auto Shared = std::make_shared<State>();
  Shared->Engine.seed(Seed);
  return [Shared] {
    const std::lock_guard<std::mutex> Lock(Shared->Mutex);
    return Shared->Engine();
  };
}

Random systemRandom() {
  std::random_device Device;
  constexpr unsigned HalfBits = 32;
  const uint64_t High = Device();
  return seededRandom((High << HalfBits) | Device());
}

std::string randomIdentifier(const Random &Source) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Source()));
  return Text.data();
}

} // namespace whintack
