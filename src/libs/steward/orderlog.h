#ifndef WHINTACK_STEWARD_ORDERLOG_H
#define WHINTACK_STEWARD_ORDERLOG_H

#include "whintack/base/identifier.h"
#include "whintack/store/keyvaluestore.h"

#include <string_view>

namespace whintack::steward {

/// Logs an order to the platform that failed. The stewards give each order
/// again until they see its effect, so nothing else is to be done.
void logIfFailed(std::string_view Order, const VmName &Vm,
                 const store::StoreResult<void> &Given);

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_ORDERLOG_H
