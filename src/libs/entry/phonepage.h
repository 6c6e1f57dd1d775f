#ifndef WHINTACK_ENTRY_PHONEPAGE_H
#define WHINTACK_ENTRY_PHONEPAGE_H

#include "whintack/http/httpmessage.h"

namespace whintack::entry::Internal {

/// Status page for an operator's phone: one HTML page that loads no external
/// resources.
http::HttpResponse phonePage();

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_PHONEPAGE_H
