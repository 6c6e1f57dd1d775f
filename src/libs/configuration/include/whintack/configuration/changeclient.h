#ifndef WHINTACK_CONFIGURATION_CHANGECLIENT_H
#define WHINTACK_CONFIGURATION_CHANGECLIENT_H

#include "whintack/configuration/configurationmanager.h"
#include "whintack/store/recordclient.h"

namespace whintack::configuration {

/// Who requests a change of the configuration, based on which revision, and
/// under which operation.
struct ChangeRequest {
  OperatorName Operator;
  /// The revision that the operator has seen. The change is refused if another
  /// one is in force by now.
  uint64_t SeenRevision = 0;
  /// Makes the change idempotent: repeating it with the same id has no further
  /// effect.
  OperationId Operation;
};

/// Outcome of a change of the configuration.
enum class ChangeOutcome {
  Accepted,
  /// The change with this operation id had been accepted before.
  AcceptedBefore,
  /// Another change came first; the revision seen is no longer in force.
  Refused,
  /// The declaration is the one in force, so nothing was written.
  Unchanged,
  /// The platform cannot be reached; nothing was changed.
  Unreachable,
  /// The platform's answer was lost and the record cannot be read back; the
  /// change may have been made.
  Unknown,
  /// The change is not possible, for example because the declaration lacks the
  /// preset in force.
  Invalid,
};

inline constexpr EnumNames<ChangeOutcome, 7> ChangeOutcomeNames = {{
    {ChangeOutcome::Accepted, "accepted"},
    {ChangeOutcome::AcceptedBefore, "accepted-before"},
    {ChangeOutcome::Refused, "refused"},
    {ChangeOutcome::Unchanged, "unchanged"},
    {ChangeOutcome::Unreachable, "unreachable"},
    {ChangeOutcome::Unknown, "unknown"},
    {ChangeOutcome::Invalid, "invalid"},
}};

/// Outcome of a change, with the head that is in force after it.
struct ChangeReport {
  ChangeOutcome Outcome = ChangeOutcome::Unknown;
  Head After;
  std::string Message;
};

/// Reads and changes the configuration in the platform's store. The calls block
/// while the store is accessed.
class ChangeClient {
public:
  ChangeClient(store::RecordClient &Records, Clock Time);

  /// Puts the declaration \p Items in force. \p Preset is used if no preset is
  /// in force yet.
  ChangeReport apply(const declaration::ItemTexts &Items,
                     const PresetName &Preset, const ChangeRequest &Request);

  /// Puts the preset \p Chosen in force.
  ChangeReport confirmPreset(const PresetName &Chosen,
                             const ChangeRequest &Request);

  /// Reads the head. Its revision is 0 if the store has none.
  store::StoreResult<Head> readHead();

  /// Returns a source that reads contents from the platform's store. It must
  /// not outlive this client.
  ContentSource contentSource();

private:
  /// Replaces the head by compare-and-swap with the result of \p Change, unless
  /// its revision differs from the one that the operator has seen.
  ChangeReport updateHead(const ChangeRequest &Request,
                          const std::function<Head(const Head &)> &Change);
  store::StoreResult<Bucket> readBucket(const std::string &Digest);
  /// Writes the items and buckets that differ from those of the head \p Known,
  /// and sets the digests of all buckets in \p Target.
  store::StoreResult<void> writeBuckets(const declaration::ItemTexts &Items,
                                        Head &Target, const Head &Known);

  store::RecordClient &Records;
  Clock Time;
};

} // namespace whintack::configuration

#endif // WHINTACK_CONFIGURATION_CHANGECLIENT_H
