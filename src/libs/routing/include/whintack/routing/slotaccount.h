#ifndef WHINTACK_ROUTING_SLOTACCOUNT_H
#define WHINTACK_ROUTING_SLOTACCOUNT_H

#include "whintack/base/identifier.h"
#include "whintack/base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace whintack::routing {

/// Identifies a loan; assigned by the lender.
using LoanId = uint64_t;

/// Permission to run one request on an executor, on an own or a borrowed slot.
struct SlotPermit {
  /// The loan, or 0 for an own slot.
  LoanId Loan = 0;
  /// Entry VM that lent the slot; empty for an own slot.
  EntryName Lender;
};

/// One slot borrowed from another entry VM.
struct BorrowedSlot {
  LoanId Loan = 0;
  EntryName Lender;
  /// Requests may start on the slot only before this time.
  TimePoint StartBy;
  bool IsUsed = false;
};

/// One slot lent to another entry VM.
struct LentSlot {
  LoanId Loan = 0;
  EntryName Borrower;
  /// From this time on no request started by the borrower can still be running.
  TimePoint ReclaimAt;
};

/// A slot that stays occupied after a time-out, because the executor may still
/// be running the request.
struct HeldSlot {
  SlotPermit Permit;
  TimePoint HeldUntil;
};

/// The slots of one executor from the view of one entry VM: own, lent, borrowed
/// and held ones.
class SlotAccount {
public:
  /// Sets the number of own slots, which may be less than the number in use.
  void setOwned(int64_t Count) { this->Owned = Count; }
  int64_t owned() const { return this->Owned; }

  /// Number of own slots that are running a request, held or lent.
  int64_t ownedInUse() const;
  /// Number of own and borrowed slots on which a request may start at \p Now.
  int64_t available(TimePoint Now) const;
  /// Number of own slots that are free and can be lent.
  int64_t lendable() const;
  /// Number of requests that run on the slots or may still run after a
  /// time-out.
  int64_t running() const;
  /// Number of own slots that are not lent, plus the borrowed ones.
  int64_t permits() const;

  /// Takes a slot. Borrowed slots are used first, so that they can be returned
  /// soon.
  std::optional<SlotPermit> take(TimePoint Now);
  /// Releases a slot. If it was borrowed and its start deadline has passed,
  /// removes it and returns it, so that the caller can return the loan.
  std::optional<BorrowedSlot> release(const SlotPermit &Permit, TimePoint Now);
  /// Keeps a running slot occupied until \p HeldUntil.
  void hold(const SlotPermit &Permit, TimePoint HeldUntil);
  /// Releases held slots that are due. Returns the borrowed slots that must be
  /// returned to their lenders.
  std::vector<BorrowedSlot> releaseHeld(TimePoint Now);

  /// Adds a borrowed slot.
  void addBorrowed(BorrowedSlot Slot);
  /// Removes and returns the unused borrowed slots: all of them if \p All is
  /// set, otherwise those past their start deadline.
  std::vector<BorrowedSlot> removeUnused(TimePoint Now, bool All);

  /// Lends an own slot.
  void lend(LentSlot Slot);
  /// Takes back a slot that the borrower returns. Returns false if no such slot
  /// is lent to \p Borrower.
  bool takeBack(LoanId Loan, const EntryName &Borrower);
  /// Takes back lent slots whose ReclaimAt has passed at \p Now.
  void reclaim(TimePoint Now);

  size_t lentCount() const { return this->Lent.size(); }

private:
  int64_t Owned = 0;
  int64_t RunningOwned = 0;
  int64_t RunningBorrowed = 0;
  std::vector<BorrowedSlot> Borrowed;
  std::vector<LentSlot> Lent;
  std::vector<HeldSlot> Held;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_SLOTACCOUNT_H
