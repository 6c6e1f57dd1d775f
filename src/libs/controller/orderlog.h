#ifndef WHINTACK_CONTROLLER_ORDERLOG_H
#define WHINTACK_CONTROLLER_ORDERLOG_H

#include "whintack/base/identifier.h"
#include "whintack/store/keyvaluestore.h"

#include <string_view>

namespace whintack::controller {

/// Logs a warning if an order to the platform failed. The controllers repeat
/// each order until they see its effect, so no other error handling is needed.
void logIfFailed(std::string_view Order, const VmName &Vm,
                 const store::StoreResult<void> &Outcome);

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_ORDERLOG_H
