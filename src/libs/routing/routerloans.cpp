#include "whintack/routing/router.h"

#include "router_p.h"

#include <algorithm>

namespace whintack::routing {

using Internal::OutstandingLoanRequest;
using Internal::ServiceState;
using Internal::TimerKind;

/// How long requests may be started on a borrowed slot, counted from the loan
/// request.
static constexpr Duration LoanValidity = std::chrono::milliseconds(500);
/// Added to the time after which a slot is reclaimed from a borrower that has
/// not returned it.
static constexpr Duration ReclaimMargin = std::chrono::milliseconds(100);
static constexpr Duration LoanAnswerTimeout = std::chrono::milliseconds(200);
/// Wait before the next loan request after all lenders refused.
static constexpr Duration LoanRetryDelay = std::chrono::milliseconds(20);
static constexpr int64_t MaxSlotsPerLoan = 32;

void Router::Private::applyShares(TimePoint Now) {
  this->Table.forEach([this, Now](ExecutorIndex Index, Executor &Known) {
    const ServiceState *Service = this->service(Known.Info.Service);
    int64_t Share = 0;
    if (Known.IsLocal && Service)
      Share = usableShare(this->Plan, this->Identity.Self, Known.Info.Name,
                          Service->Limits.Slots);
    Known.Slots.setOwned(Share);
    this->Table.refresh(Index, Now);
  });
}

void Router::Private::returnLoan(ExecutorIndex Index, const BorrowedSlot &Slot,
                                 RouterActions &Actions) const {
  const ExecutorInfo &Info = this->Table.at(Index).Info;
  const GrantedLoan Returned{Slot.Loan, Info.Name, Info.Incarnation};
  for (PeerAction<LoanReturn> &Known : Actions.LoanReturns) {
    if (Known.Peer != Slot.Lender)
      continue;
    Known.Message.Loans.push_back(Returned);
    return;
  }
  Actions.LoanReturns.push_back({Slot.Lender, {{Returned}}});
}

void Router::Private::expireSlots(ExecutorIndex Index, TimePoint Now,
                                  RouterActions &Actions) {
  Executor &Target = this->Table.at(Index);
  for (const BorrowedSlot &Slot : Target.Slots.releaseHeld(Now))
    this->returnLoan(Index, Slot, Actions);
  for (const BorrowedSlot &Slot : Target.Slots.removeUnused(Now, false))
    this->returnLoan(Index, Slot, Actions);
  Target.Slots.reclaim(Now);
  this->Table.refresh(Index, Now);
  if (ServiceState *Service = this->service(Target.Info.Service))
    this->dispatch(*Service, Now, Actions);
}

std::vector<PeerInfo>
Router::Private::potentialLenders(const ServiceName &Service) const {
  std::vector<PeerInfo> LocalFirst;
  std::vector<PeerInfo> RemotePeers;
  std::vector<DataCentreName> DataCentres;
  for (const ExecutorIndex Index : this->Table.executorsOf(Service).All)
    if (this->Table.at(Index).State == ExecutorState::Live)
      DataCentres.push_back(this->Table.at(Index).Info.DataCentre);
  for (const PeerInfo &Peer : this->Peers) {
    if (std::find(DataCentres.begin(), DataCentres.end(), Peer.DataCentre) ==
        DataCentres.end())
      continue;
    const bool IsLocal = Peer.DataCentre == this->Identity.DataCentre;
    (IsLocal ? LocalFirst : RemotePeers).push_back(Peer);
  }
  std::move(RemotePeers.begin(), RemotePeers.end(),
            std::back_inserter(LocalFirst));
  return LocalFirst;
}

void Router::Private::handleLoanRefusal(ServiceState &Service, TimePoint Now,
                                        RouterActions &Actions) {
  Service.Loan.reset();
  ++Service.Refusals;
  ++Service.NextPeer;
  if (Service.Refusals < this->potentialLenders(Service.Limits.Name).size()) {
    this->requestLoan(Service, Now, Actions);
    return;
  }
  Service.Refusals = 0;
  Service.NextPeer = 0;
  Service.NextLoanAt = Now + LoanRetryDelay;
  this->schedule(
      {Service.NextLoanAt, TimerKind::LoanRetry, 0, 0, Service.Limits.Name});
}

void Router::Private::requestLoan(ServiceState &Service, TimePoint Now,
                                  RouterActions &Actions) {
  if (Service.Loan && Now < Service.Loan->AnswerDeadline)
    return;
  if (Service.Loan) {
    this->handleLoanRefusal(Service, Now, Actions);
    return;
  }
  if (Now < Service.NextLoanAt || Service.Queue.isEmpty())
    return;
  const std::vector<PeerInfo> Candidates =
      this->potentialLenders(Service.Limits.Name);
  if (Candidates.empty())
    return;
  OutstandingLoanRequest Outstanding;
  Outstanding.Id = ++this->LastLoanRequest;
  Outstanding.Peer = Candidates[Service.NextPeer % Candidates.size()].Name;
  Outstanding.RequestedAt = Now;
  Outstanding.AnswerDeadline = Now + LoanAnswerTimeout;
  Service.Loan = Outstanding;
  this->schedule({Outstanding.AnswerDeadline, TimerKind::LoanRetry, 0, 0,
                  Service.Limits.Name});
  LoanRequest Request;
  Request.Id = Outstanding.Id;
  Request.Service = Service.Limits.Name;
  Request.Wanted =
      std::min(static_cast<int64_t>(Service.Queue.size()), MaxSlotsPerLoan);
  Actions.LoanRequests.push_back({Outstanding.Peer, Request});
}

std::vector<GrantedLoan> Router::Private::lendSlots(const ServiceState &Service,
                                                    const EntryName &Borrower,
                                                    int64_t Wanted,
                                                    TimePoint Now) {
  std::vector<GrantedLoan> Lent;
  const auto Local = static_cast<size_t>(Tier::Local);
  // A copy, because lending changes the list of available executors.
  const std::vector<ExecutorIndex> Candidates =
      this->Table.executorsOf(Service.Limits.Name).Available[Local];
  int64_t Lendable = 0;
  for (const ExecutorIndex Index : Candidates)
    Lendable += this->Table.at(Index).Slots.lendable();
  // Half of the free slots are kept, so that requests that arrive next need not
  // borrow slots themselves.
  int64_t RemainingSlots = std::min(Wanted, (Lendable + 1) / 2);
  const TimePoint ReclaimAt =
      Now + LoanValidity + Service.Limits.MaxDuration + ReclaimMargin;
  for (const ExecutorIndex Index : Candidates) {
    Executor &Target = this->Table.at(Index);
    while (RemainingSlots > 0 && Target.Slots.lendable() > 0) {
      const LoanId Loan = ++this->LastLoan;
      Target.Slots.lend({Loan, Borrower, ReclaimAt});
      Lent.push_back({Loan, Target.Info.Name, Target.Info.Incarnation});
      this->schedule({ReclaimAt, TimerKind::SlotExpiry, 0, Index, {}});
      --RemainingSlots;
    }
    this->Table.refresh(Index, Now);
  }
  return Lent;
}

RouterActions Router::handleLoanRequest(const EntryName &Peer,
                                        const LoanRequest &Message,
                                        TimePoint Now) {
  RouterActions Actions;
  LoanGrant Grant;
  Grant.Id = Message.Id;
  Grant.Validity = LoanValidity;
  const ServiceState *Service = this->D->service(Message.Service);
  const bool CanLend =
      Service && Service->Queue.isEmpty() && !this->D->IsStopping;
  if (CanLend)
    Grant.Loans = this->D->lendSlots(*Service, Peer, Message.Wanted, Now);
  this->D->Counts.SlotsLent += Grant.Loans.size();
  Actions.LoanGrants.push_back({Peer, std::move(Grant)});
  return Actions;
}

/// The service that waits for the answer to the loan request \p Id, or null.
static ServiceState *
findWaitingService(std::map<ServiceName, ServiceState> &Services, uint64_t Id) {
  for (auto &[Name, Service] : Services)
    if (Service.Loan && Service.Loan->Id == Id)
      return &Service;
  return nullptr;
}

RouterActions Router::handleLoanGrant(const EntryName &Peer,
                                      const LoanGrant &Message, TimePoint Now) {
  RouterActions Actions;
  ServiceState *Service = findWaitingService(this->D->Services, Message.Id);
  const bool IsExpected = Service && Service->Loan->Peer == Peer;
  LoanReturn Rejected;
  const TimePoint StartBy =
      IsExpected ? Service->Loan->RequestedAt + Message.Validity : Now;
  for (const GrantedLoan &Loan : Message.Loans) {
    const std::optional<ExecutorIndex> Index =
        this->D->Table.find(Loan.Executor);
    const bool IsUsable =
        Index && Now < StartBy &&
        this->D->Table.at(*Index).Info.Incarnation == Loan.Incarnation;
    if (!IsUsable) {
      Rejected.Loans.push_back(Loan);
      continue;
    }
    Executor &Target = this->D->Table.at(*Index);
    Target.Slots.addBorrowed({Loan.Loan, Peer, StartBy, false});
    ++this->D->Counts.SlotsBorrowed;
    this->D->schedule({StartBy, TimerKind::SlotExpiry, 0, *Index, {}});
    this->D->Table.refresh(*Index, Now);
  }
  if (!Rejected.Loans.empty())
    Actions.LoanReturns.push_back({Peer, std::move(Rejected)});
  if (!IsExpected)
    return Actions;
  if (Message.Loans.empty()) {
    this->D->handleLoanRefusal(*Service, Now, Actions);
    return Actions;
  }
  Service->Loan.reset();
  Service->Refusals = 0;
  this->D->dispatch(*Service, Now, Actions);
  return Actions;
}

RouterActions Router::handleLoanReturn(const EntryName &Peer,
                                       const LoanReturn &Message,
                                       TimePoint Now) {
  RouterActions Actions;
  for (const GrantedLoan &Loan : Message.Loans) {
    const std::optional<ExecutorIndex> Index =
        this->D->Table.find(Loan.Executor);
    if (!Index || !this->D->Table.at(*Index).Slots.takeBack(Loan.Loan, Peer))
      continue;
    this->D->Table.refresh(*Index, Now);
    const ServiceName Name = this->D->Table.at(*Index).Info.Service;
    if (ServiceState *Service = this->D->service(Name))
      this->D->dispatch(*Service, Now, Actions);
  }
  return Actions;
}

RouterActions Router::setSharePlan(const SharePlan &Plan, TimePoint Now) {
  RouterActions Actions;
  this->D->Plan = Plan;
  this->D->applyShares(Now);
  for (auto &[Name, Service] : this->D->Services)
    this->D->dispatch(Service, Now, Actions);
  return Actions;
}

bool Router::isWithinShares() const {
  bool IsWithin = true;
  this->D->Table.forEach([&IsWithin](ExecutorIndex, Executor &Known) {
    if (Known.Slots.ownedInUse() > Known.Slots.owned())
      IsWithin = false;
  });
  return IsWithin;
}

int64_t Router::running(const VmName &Name) const {
  const std::optional<ExecutorIndex> Index = this->D->Table.find(Name);
  return Index ? this->D->Table.at(*Index).Slots.running() : 0;
}

int64_t Router::connectionAllowance(const VmName &Name) const {
  const std::optional<ExecutorIndex> Index = this->D->Table.find(Name);
  if (!Index)
    return 0;
  const Executor &Known = this->D->Table.at(*Index);
  const ServiceState *Service = this->D->service(Known.Info.Service);
  if (!Service)
    return 0;
  // Connections are divided evenly among the slots. A lent slot takes its part
  // of the connections to the borrower.
  return Known.Slots.permits() *
         (Service->Limits.Connections / Service->Limits.Slots);
}

Duration Router::maxRunTimeAfterLoss() const {
  return this->maxRequestDuration() + LoanValidity + ReclaimMargin;
}

Duration Router::maxRequestDuration() const {
  Duration MaxDuration = Duration::zero();
  for (const auto &[Name, Service] : this->D->Services)
    MaxDuration = std::max(MaxDuration, Service.Limits.MaxDuration);
  return MaxDuration;
}

} // namespace whintack::routing
