#include "orderlog.h"

#include "whintack/base/log.h"

namespace whintack::steward {

void logIfFailed(std::string_view Order, const VmName &Vm,
                 const store::StoreResult<void> &Given) {
  if (Given)
    return;
  logEvent(LogLevel::Warning, "order-failed",
           {{"order", Order},
            {"vm", Vm},
            {"code", nameOf(store::StoreErrorNames, Given.error().Code)},
            {"text", Given.error().Message}});
}

} // namespace whintack::steward
