#ifndef WHINTACK_BASE_DIGEST_H
#define WHINTACK_BASE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace whintack {

/// Returns the SHA-256 digest of \p Content in lower-case hexadecimal.
std::string contentDigest(std::string_view Content);

/// Returns a 64-bit FNV-1a hash of \p Content, the same on every machine.
uint64_t stableHash(std::string_view Content);

/// Returns the weight of \p Node for \p Key in rendezvous hashing. The node
/// with the highest weight owns the key.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

} // namespace whintack

#endif // WHINTACK_BASE_DIGEST_H
