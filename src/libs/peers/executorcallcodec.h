#ifndef WHINTACK_PEERS_EXECUTORCALLCODEC_H
#define WHINTACK_PEERS_EXECUTORCALLCODEC_H

#include "peerwire_generated.h"

#include "whintack/peers/executorcalls.h"

#include <optional>

namespace whintack::peers::Internal {

wire::ExecutorCallsT toWire(const ExecutorCalls &Outgoing);
wire::ExecutorAnswersT toWire(const ExecutorAnswers &Outgoing);
/// These return nothing if a value is out of range.
std::optional<ExecutorCalls> fromWire(const wire::ExecutorCallsT &Table);
std::optional<ExecutorAnswers> fromWire(const wire::ExecutorAnswersT &Table);

} // namespace whintack::peers::Internal

#endif // WHINTACK_PEERS_EXECUTORCALLCODEC_H
