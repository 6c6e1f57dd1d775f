#include "whintack/routing/shareplan.h"

#include "whintack/base/digest.h"

#include <algorithm>

namespace whintack::routing {

static bool contains(const std::vector<ShareMember> &Members,
                     const ShareMember &Member) {
  return std::find(Members.begin(), Members.end(), Member) != Members.end();
}

static void addMember(std::vector<ShareMember> &Members,
                      const ShareMember &Member) {
  if (!contains(Members, Member))
    Members.push_back(Member);
}

static void removeMember(std::vector<ShareMember> &Members,
                         const ShareMember &Member) {
  std::erase(Members, Member);
}

bool SharePlan::isMember(const ShareMember &Member) const {
  return contains(this->Members, Member);
}

bool SharePlan::isSettled() const {
  const auto HasAcknowledged = [this](const ShareMember &Member) {
    return contains(this->Acknowledged, Member) || contains(this->Lost, Member);
  };
  return std::all_of(this->Members.begin(), this->Members.end(),
                     HasAcknowledged) &&
         std::all_of(this->Previous.begin(), this->Previous.end(),
                     HasAcknowledged);
}

int64_t shareOf(const std::vector<ShareMember> &Members,
                const ShareMember &Member, const VmName &Executor,
                int64_t Slots) {
  if (!contains(Members, Member))
    return 0;
  const uint64_t Weight = rendezvousWeight(Executor.text(), Member.Name.text());
  int64_t Rank = 0;
  for (const ShareMember &Other : Members) {
    const uint64_t OtherWeight =
        rendezvousWeight(Executor.text(), Other.Name.text());
    if (OtherWeight > Weight || (OtherWeight == Weight && Other < Member))
      ++Rank;
  }
  const auto Count = static_cast<int64_t>(Members.size());
  const int64_t Remainder = Slots % Count;
  return Slots / Count + (Rank < Remainder ? 1 : 0);
}

int64_t usableShare(const SharePlan &Plan, const ShareMember &Member,
                    const VmName &Executor, int64_t Slots) {
  const int64_t After = shareOf(Plan.Members, Member, Executor, Slots);
  if (Plan.isSettled())
    return After;
  return std::min(After, shareOf(Plan.Previous, Member, Executor, Slots));
}

/// Starts the step in which \p Members become the members.
static SharePlan nextStep(const SharePlan &Before,
                          std::vector<ShareMember> Members) {
  SharePlan After;
  After.Epoch = Before.Epoch + 1;
  After.Previous = Before.Members;
  std::sort(Members.begin(), Members.end());
  After.Members = std::move(Members);
  return After;
}

SharePlan withMember(const SharePlan &Before, const ShareMember &Joining) {
  if (Before.isMember(Joining) || !Before.isSettled())
    return Before;
  std::vector<ShareMember> Members;
  std::vector<ShareMember> PreviousIncarnations;
  for (const ShareMember &Member : Before.Members)
    if (Member.Name == Joining.Name)
      PreviousIncarnations.push_back(Member);
    else
      Members.push_back(Member);
  Members.push_back(Joining);
  SharePlan After = nextStep(Before, std::move(Members));
  After.Lost = std::move(PreviousIncarnations);
  // If no member was left to wait until the requests of the last members have
  // ended, the joining member must wait for them.
  if (Before.Members.empty())
    for (const ShareMember &LostMember : Before.Lost)
      addMember(After.Lost, LostMember);
  return After;
}

SharePlan withoutMember(const SharePlan &Before, const ShareMember &Leaving) {
  if (!Before.isMember(Leaving) || !Before.isSettled())
    return Before;
  std::vector<ShareMember> Members = Before.Members;
  removeMember(Members, Leaving);
  SharePlan After = nextStep(Before, std::move(Members));
  addMember(After.Acknowledged, Leaving);
  return After;
}

SharePlan withLostMember(const SharePlan &Before,
                         const ShareMember &LostMember) {
  const bool IsInvolved =
      Before.isMember(LostMember) || contains(Before.Previous, LostMember);
  if (!IsInvolved)
    return Before;
  if (!Before.isSettled()) {
    if (contains(Before.Lost, LostMember))
      return Before;
    SharePlan After = Before;
    After.Acknowledged.clear();
    addMember(After.Lost, LostMember);
    return After;
  }
  if (!Before.isMember(LostMember))
    return Before;
  std::vector<ShareMember> Members = Before.Members;
  removeMember(Members, LostMember);
  SharePlan After = nextStep(Before, std::move(Members));
  addMember(After.Lost, LostMember);
  return After;
}

SharePlan withAcknowledgement(const SharePlan &Before,
                              const ShareMember &Member) {
  const bool IsInvolved =
      Before.isMember(Member) || contains(Before.Previous, Member);
  if (!IsInvolved)
    return Before;
  SharePlan After = Before;
  addMember(After.Acknowledged, Member);
  return After;
}

} // namespace whintack::routing
