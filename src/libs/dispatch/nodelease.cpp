#include "nodelease.h"

#include <algorithm>
#include <utility>

namespace whintack::dispatch::Internal {

/// A lease is long enough for four renewals, so that one lost answer does no
/// harm.
static constexpr Duration RenewInterval = std::chrono::milliseconds(450);
static constexpr Duration RetryDelay = std::chrono::milliseconds(200);
/// Margin between the expiry that this process assumes and that of the store.
/// It covers a clock that is 2 % slow and the time from a check to the last
/// byte sent.
static constexpr Duration ExpiryMargin = std::chrono::milliseconds(200);

/// Share of the grace that is given up for a clock that is 2 % slow.
static constexpr int GraceMarginDivisor = 50;

NodeLease::NodeLease(Context Shared, Duration Grace)
    : Shared(std::move(Shared)), Grace(Grace) {}

TimePoint NodeLease::endOfGrace(TimePoint ValidUntil, Duration Grace) {
  return ValidUntil + Grace - Grace / GraceMarginDivisor;
}

void NodeLease::onGranted(std::function<void()> Hook) {
  this->GrantedHooks.push_back(std::move(Hook));
}

void NodeLease::onExpired(std::function<void()> Hook) {
  this->ExpiredHooks.push_back(std::move(Hook));
}

void NodeLease::start() { this->grant(); }

void NodeLease::scheduleNext(Duration Delay) {
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + Delay, [](NodeLease &Self) {
                if (Self.IsEnding)
                  return;
                if (Self.Id == 0)
                  Self.grant();
                else
                  Self.renew();
              });
}

void NodeLease::noteKept(TimePoint Sent) {
  this->ValidUntil = std::max(this->ValidUntil, Sent + Length - ExpiryMargin);
  this->GraceUntil = endOfGrace(this->ValidUntil, this->Grace);
}

void NodeLease::noteEnded() {
  this->ValidUntil = TimePoint::min();
  this->GraceUntil = TimePoint::min();
}

void NodeLease::grant() {
  const TimePoint Sent = this->Shared.now();
  this->Shared.Store.GrantLease(
      Length,
      onLoop<NodeLease, store::StoreResult<store::LeaseId>>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent](NodeLease &Self, store::StoreResult<store::LeaseId> Answer) {
            // A lease that nothing is bound to just expires.
            if (Self.IsEnding)
              return;
            if (!Answer) {
              Self.scheduleNext(Self.Shared.jittered(RetryDelay));
              return;
            }
            Self.Id = Answer.value();
            Self.noteKept(Sent);
            logEvent(LogLevel::Info, "lease-granted", {{"lease", Self.Id}});
            for (const auto &Hook : Self.GrantedHooks)
              Hook();
            Self.scheduleNext(RenewInterval);
          }));
}

void NodeLease::renew() {
  const TimePoint Sent = this->Shared.now();
  const store::LeaseId Renewed = this->Id;
  const uint64_t Number = ++this->LastSent;
  // A call may be unanswered for longer than the rest of the grace, so the next
  // one does not wait for it.
  if (this->Grace > Duration::zero())
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                Sent + RenewInterval, [Number, Renewed](NodeLease &Self) {
                  if (Self.Id == Renewed && Self.LastSent == Number &&
                      Self.LastAnswered != Number)
                    Self.renew();
                });
  this->Shared.Store.KeepLease(
      Renewed,
      onLoop<NodeLease, store::StoreResult<void>>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent, Renewed, Number](NodeLease &Self,
                                  store::StoreResult<void> Answer) {
            if (Self.Id != Renewed)
              return;
            Self.LastAnswered = std::max(Self.LastAnswered, Number);
            const bool IsNewest = Number == Self.LastSent;
            if (Answer) {
              Self.noteKept(Sent);
              if (IsNewest)
                Self.scheduleNext(RenewInterval);
              return;
            }
            if (Answer.error().Code != store::StoreErrorCode::LeaseExpired) {
              if (IsNewest)
                Self.scheduleNext(Self.Shared.jittered(RetryDelay));
              return;
            }
            logEvent(LogLevel::Warning, "lease-lapsed", {{"lease", Renewed}});
            Self.Id = 0;
            Self.noteEnded();
            for (const auto &Hook : Self.ExpiredHooks)
              Hook();
            Self.grant();
          }));
}

void NodeLease::end(const std::function<void()> &Done) {
  this->IsEnding = true;
  const store::LeaseId Ended = std::exchange(this->Id, 0);
  // Others may take over what was held as soon as the call is on its way.
  this->noteEnded();
  if (Ended == 0) {
    Done();
    return;
  }
  this->Shared.Store.EndLease(Ended, [Done](const store::StoreResult<void> &) {
    // A lease that could not be ended expires.
    Done();
  });
}

} // namespace whintack::dispatch::Internal
