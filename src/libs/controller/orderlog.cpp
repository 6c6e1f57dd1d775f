#include "orderlog.h"

#include "whintack/base/log.h"

namespace whintack::controller {

void logIfFailed(std::string_view Order, const VmName &Vm,
                 const store::StoreResult<void> &Outcome) {
  if (Outcome)
    return;
  logEvent(LogLevel::Warning, "order-failed",
           {{"order", Order},
            {"vm", Vm},
            {"code", nameOf(store::StoreErrorNames, Outcome.error().Code)},
            {"text", Outcome.error().Message}});
}

} // namespace whintack::controller
