#ifndef WHINTACK_PEERS_MESSAGECODEC_H
#define WHINTACK_PEERS_MESSAGECODEC_H

#include "whintack/base/hybridclock.h"
#include "whintack/peers/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace whintack::peers {

/// A message with the sender's hybrid time stamp, which orders events across
/// processes.
struct StampedMessage {
  HybridStamp Stamp;
  Message Body;
};

/// Encodes a message as the payload of one frame.
std::string encodeMessage(const StampedMessage &Outgoing);

/// Decodes the payload of a frame. Returns nothing if it is not a valid
/// message.
std::optional<StampedMessage> decodeMessage(std::string_view Bytes);

} // namespace whintack::peers

#endif // WHINTACK_PEERS_MESSAGECODEC_H
