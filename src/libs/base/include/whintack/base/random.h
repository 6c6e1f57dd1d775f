#ifndef WHINTACK_BASE_RANDOM_H
#define WHINTACK_BASE_RANDOM_H

#include <cstdint>
#include <functional>
#include <string>

namespace whintack {

/// Source of random 64-bit numbers. Tests pass a seeded one.
using Random = std::function<uint64_t()>;

/// Returns a source seeded by the operating system. Safe for several threads.
Random systemRandom();

/// Returns a source that yields the same sequence for the same \p Seed. Safe
/// for several threads.
Random seededRandom(uint64_t Seed);

/// Returns a random identifier of 16 hexadecimal digits.
std::string randomIdentifier(const Random &Source);

} // namespace whintack

#endif // WHINTACK_BASE_RANDOM_H
