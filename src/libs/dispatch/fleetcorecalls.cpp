#include "fleetcore.h"

namespace whintack::dispatch::Internal {

/// Answers calls for the services that are planned here, and those that name no
/// service and concern this VM itself.
bool FleetCore::answerLocally(const peers::ServiceCall &Call,
                              const AnswerCallback &Respond) {
  if (Call.Service.isEmpty()) {
    this->Submissions->answer(Call, Respond);
    return true;
  }
  const auto Found = this->Shards.find(ShardId::of(Call.Service));
  if (Found == this->Shards.end())
    return false;
  Found->second->answer(Call, Respond);
  return true;
}

} // namespace whintack::dispatch::Internal
