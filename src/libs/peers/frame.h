#ifndef WHINTACK_PEERS_FRAME_H
#define WHINTACK_PEERS_FRAME_H

#include <array>
#include <cstdint>
#include <string>

namespace whintack::peers::Internal {

/// A frame consists of the payload length as four bytes in big-endian order and
/// the payload.
constexpr size_t FrameHeaderBytes = 4;
/// Maximum size of a payload, in bytes.
constexpr uint32_t MaxFrameBytes = 16U << 20U;

using FrameHeader = std::array<unsigned char, FrameHeaderBytes>;

/// Returns \p Payload preceded by its header.
std::string frame(const std::string &Payload);

/// Returns the payload length in \p Header.
uint32_t frameLength(const FrameHeader &Header);

} // namespace whintack::peers::Internal

#endif // WHINTACK_PEERS_FRAME_H
