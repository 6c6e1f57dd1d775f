#include "frame.h"

namespace whintack::peers::Internal {

static constexpr unsigned BitsPerByte = 8;

std::string frame(const std::string &Payload) {
  const auto Length = static_cast<uint32_t>(Payload.size());
  std::string Framed;
  Framed.reserve(FrameHeaderBytes + Payload.size());
  for (size_t Index = 0; Index < FrameHeaderBytes; ++Index) {
    const size_t Shift = BitsPerByte * (FrameHeaderBytes - 1 - Index);
    Framed += static_cast<char>((Length >> Shift) & 0xFFU);
  }
  return Framed + Payload;
}

uint32_t frameLength(const FrameHeader &Header) {
  uint32_t Length = 0;
  for (const unsigned char Byte : Header)
    Length = (Length << BitsPerByte) | Byte;
  return Length;
}

} // namespace whintack::peers::Internal
