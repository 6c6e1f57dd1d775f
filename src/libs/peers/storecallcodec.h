#ifndef WHINTACK_PEERS_STORECALLCODEC_H
#define WHINTACK_PEERS_STORECALLCODEC_H

#include "peerwire_generated.h"

#include "whintack/peers/message.h"

#include <optional>

namespace whintack::peers::Internal {

wire::StoreRequestT toWire(const StoreRequest &Outgoing);
wire::StoreResponseT toWire(const StoreResponse &Outgoing);
/// These return nothing if a value is out of range.
std::optional<StoreRequest> fromWire(const wire::StoreRequestT &Table);
std::optional<StoreResponse> fromWire(const wire::StoreResponseT &Table);

} // namespace whintack::peers::Internal

#endif // WHINTACK_PEERS_STORECALLCODEC_H
