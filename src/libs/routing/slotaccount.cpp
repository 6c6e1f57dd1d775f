#include "whintack/routing/slotaccount.h"

#include <algorithm>

namespace whintack::routing {

static int64_t signedSize(size_t Size) { return static_cast<int64_t>(Size); }

int64_t SlotAccount::ownedInUse() const {
  const auto HeldOwned =
      std::count_if(this->Held.begin(), this->Held.end(),
                    [](const HeldSlot &Slot) { return Slot.Permit.Loan == 0; });
  return this->RunningOwned + HeldOwned + signedSize(this->Lent.size());
}

int64_t SlotAccount::lendable() const {
  return std::max<int64_t>(0, this->Owned - this->ownedInUse());
}

int64_t SlotAccount::available(TimePoint Now) const {
  const auto UnusedBorrowed =
      std::count_if(this->Borrowed.begin(), this->Borrowed.end(),
                    [Now](const BorrowedSlot &Slot) {
                      return !Slot.IsUsed && Now < Slot.StartBy;
                    });
  return this->lendable() + UnusedBorrowed;
}

int64_t SlotAccount::running() const {
  return this->RunningOwned + this->RunningBorrowed +
         signedSize(this->Held.size());
}

int64_t SlotAccount::permits() const {
  return std::max<int64_t>(0, this->Owned - signedSize(this->Lent.size())) +
         signedSize(this->Borrowed.size());
}

std::optional<SlotPermit> SlotAccount::take(TimePoint Now) {
  for (BorrowedSlot &Slot : this->Borrowed) {
    if (Slot.IsUsed || Now >= Slot.StartBy)
      continue;
    Slot.IsUsed = true;
    ++this->RunningBorrowed;
    return SlotPermit{Slot.Loan, Slot.Lender};
  }
  if (this->lendable() == 0)
    return std::nullopt;
  ++this->RunningOwned;
  return SlotPermit{};
}

std::optional<BorrowedSlot> SlotAccount::release(const SlotPermit &Permit,
                                                 TimePoint Now) {
  if (Permit.Loan == 0) {
    --this->RunningOwned;
    return std::nullopt;
  }
  --this->RunningBorrowed;
  const auto Slot = std::find_if(this->Borrowed.begin(), this->Borrowed.end(),
                                 [&Permit](const BorrowedSlot &Candidate) {
                                   return Candidate.Loan == Permit.Loan &&
                                          Candidate.Lender == Permit.Lender;
                                 });
  if (Slot == this->Borrowed.end())
    return std::nullopt;
  Slot->IsUsed = false;
  if (Now < Slot->StartBy)
    return std::nullopt;
  const BorrowedSlot Ended = *Slot;
  this->Borrowed.erase(Slot);
  return Ended;
}

void SlotAccount::hold(const SlotPermit &Permit, TimePoint HeldUntil) {
  if (Permit.Loan == 0)
    --this->RunningOwned;
  else
    --this->RunningBorrowed;
  this->Held.push_back({Permit, HeldUntil});
}

std::vector<BorrowedSlot> SlotAccount::releaseHeld(TimePoint Now) {
  std::vector<BorrowedSlot> Ended;
  std::vector<HeldSlot> Kept;
  std::vector<HeldSlot> Due;
  for (const HeldSlot &Slot : this->Held)
    (Slot.HeldUntil <= Now ? Due : Kept).push_back(Slot);
  this->Held = std::move(Kept);
  for (const HeldSlot &Slot : Due) {
    if (Slot.Permit.Loan == 0)
      continue;
    ++this->RunningBorrowed;
    if (const auto Loan = this->release(Slot.Permit, Now))
      Ended.push_back(*Loan);
  }
  return Ended;
}

void SlotAccount::addBorrowed(BorrowedSlot Slot) {
  this->Borrowed.push_back(std::move(Slot));
}

std::vector<BorrowedSlot> SlotAccount::removeUnused(TimePoint Now, bool All) {
  std::vector<BorrowedSlot> Removed;
  std::erase_if(this->Borrowed, [&Removed, Now, All](BorrowedSlot &Slot) {
    if (Slot.IsUsed || (!All && Now < Slot.StartBy))
      return false;
    Removed.push_back(Slot);
    return true;
  });
  return Removed;
}

void SlotAccount::lend(LentSlot Slot) { this->Lent.push_back(std::move(Slot)); }

bool SlotAccount::takeBack(LoanId Loan, const EntryName &Borrower) {
  return std::erase_if(this->Lent, [Loan, &Borrower](const LentSlot &Slot) {
           return Slot.Loan == Loan && Slot.Borrower == Borrower;
         }) > 0;
}

void SlotAccount::reclaim(TimePoint Now) {
  std::erase_if(this->Lent,
                [Now](const LentSlot &Slot) { return Slot.ReclaimAt <= Now; });
}

} // namespace whintack::routing
