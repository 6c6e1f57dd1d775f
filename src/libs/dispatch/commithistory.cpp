#include "commithistory.h"

namespace whintack::dispatch::Internal {

static std::string_view
outcomeOf(const store::StoreResult<store::CommitAnswer> &Answer) {
  if (!Answer)
    return nameOf(store::StoreErrorNames, Answer.error().Code);
  return Answer.value().IsCommitted ? "committed" : "conflict";
}

void CommitHistory::noteBegin(TimePoint At) {
  if (this->Count == 0)
    this->First = At;
  this->Last = At;
  ++this->Count;
}

void CommitHistory::noteEnd(
    const store::StoreResult<store::CommitAnswer> &Answer) {
  ++this->Ended;
  ++this->Outcomes[outcomeOf(Answer)];
  this->Path = Answer ? store::StorePath::Unknown : Answer.error().Path;
}

std::string CommitHistory::outcomes() const {
  std::string Text;
  for (const auto &[Outcome, Number] : this->Outcomes) {
    if (!Text.empty())
      Text += ",";
    Text += std::string(Outcome) + ":" + std::to_string(Number);
  }
  return Text;
}

} // namespace whintack::dispatch::Internal
