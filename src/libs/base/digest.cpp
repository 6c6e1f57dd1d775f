#include "whintack/base/digest.h"

#include <array>
#include <openssl/evp.h>
#include <string>

namespace whintack {

std::string contentDigest(std::string_view Content) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Bytes{};
  unsigned Length = 0;
  EVP_Digest(Content.data(), Content.size(), Bytes.data(), &Length,
             EVP_sha256(), nullptr);
  static constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned LowDigit = 0xF;
  std::string Text;
  Text.reserve(size_t(Length) * 2);
  for (unsigned Index = 0; Index < Length; ++Index) {
    Text += Digits[Bytes[Index] >> BitsPerDigit];
    Text += Digits[Bytes[Index] & LowDigit];
  }
  return Text;
}

uint64_t stableHash(std::string_view Content) {
  constexpr uint64_t FnvOffset = 14695981039346656037ULL;
  constexpr uint64_t FnvPrime = 1099511628211ULL;
  uint64_t Hash = FnvOffset;
  for (const char Byte : Content) {
    Hash ^= static_cast<unsigned char>(Byte);
    Hash *= FnvPrime;
  }
  return Hash;
}

/// Finalizer of splitmix64; spreads similar inputs over the whole range.
static uint64_t mixBits(uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  Value ^= Value >> 31;
  return Value;
}

uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  return mixBits(stableHash(Key) ^ mixBits(stableHash(Node)));
}

} // namespace whintack
