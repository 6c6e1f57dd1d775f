#ifndef WHINTACK_DISPATCH_JOBRESPONSES_H
#define WHINTACK_DISPATCH_JOBRESPONSES_H

#include "whintack/http/httpmessage.h"
#include "whintack/jobs/jobspec.h"

#include <string>

namespace whintack::dispatch::Internal {

/// Returns a response that tells a client why its request failed. A 503 tells
/// it to try again after a second.
http::HttpResponse errorResponse(int Status, const std::string &Reason);

void logRefusal(const jobs::JobId &Job, int Status, const std::string &Reason);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBRESPONSES_H
