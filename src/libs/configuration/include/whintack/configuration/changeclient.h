#ifndef WHINTACK_CONFIGURATION_CHANGECLIENT_H
#define WHINTACK_CONFIGURATION_CHANGECLIENT_H

#include "whintack/configuration/configurationkeeper.h"
#include "whintack/store/recordclient.h"

namespace whintack::configuration {

/// Who changes the configuration, from which revision, under which operation.
struct ChangeRequest {
  OperatorName Operator;
  /// The revision that the operator has seen; the change is refused if
  /// another is in force by now.
  uint64_t SeenRevision = 0;
  /// Repeating a change with the same id does nothing new.
  OperationId Operation;
};

/// How a change of the configuration ended.
enum class ChangeOutcome {
  Accepted,
  /// The very same change had been accepted before.
  AcceptedBefore,
  /// Someone else was faster.
  Refused,
  /// Nothing differs, so nothing was written.
  Unchanged,
  /// The platform cannot be reached; nothing was changed.
  Unreachable,
  /// The platform's answer was lost and the record cannot be read back.
  Unknown,
  /// What was asked for is not possible.
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

/// The end of a change with the head as it stands after it.
struct ChangeReport {
  ChangeOutcome Outcome = ChangeOutcome::Unknown;
  Head After;
  std::string Message;
};

/// Changes the configuration in the platform's store.
class ChangeClient {
public:
  ChangeClient(store::RecordClient &Records, Clock Time);

  /// Puts the declaration \p Items in force. \p Preset is used when there is
  /// none in force yet.
  ChangeReport apply(const declaration::ItemTexts &Items,
                     const PresetName &Preset, const ChangeRequest &Request);

  /// Puts the preset \p Chosen in force.
  ChangeReport confirmPreset(const PresetName &Chosen,
                             const ChangeRequest &Request);

  /// Reads the head; revision 0 if there is none.
  store::StoreResult<Head> readHead();

  /// Reads contents from the platform's store.
  ContentSource contentSource();

private:
  ChangeReport move(const ChangeRequest &Request,
                    const std::function<Head(const Head &)> &Change);
  store::StoreResult<Bucket> readBucket(const std::string &Digest);
  store::StoreResult<void> writeBuckets(const declaration::ItemTexts &Items,
                                        Head &Target, const Head &Known);

  store::RecordClient &Records;
  Clock Time;
};

} // namespace whintack::configuration

#endif // WHINTACK_CONFIGURATION_CHANGECLIENT_H
