#ifndef WHINTACK_DECLARATION_ITEMREADER_H
#define WHINTACK_DECLARATION_ITEMREADER_H

#include "whintack/declaration/declaration.h"

namespace whintack::declaration::Internal {

/// Each function reads one item from its YAML mapping. Errors are added to the
/// error list of \p Reader.
Fleet readFleet(document::FieldReader &Reader);
Team readTeam(document::FieldReader &Reader);
Pool readPool(document::FieldReader &Reader);
Service readService(document::FieldReader &Reader);
Job readJob(document::FieldReader &Reader);
Preset readPreset(document::FieldReader &Reader);

/// Checks that all items referred to by other items are declared, and that the
/// items do not contradict each other. Reports errors through \p Root.
void checkReferences(const Declaration &Declared, document::FieldReader &Root);

} // namespace whintack::declaration::Internal

#endif // WHINTACK_DECLARATION_ITEMREADER_H
