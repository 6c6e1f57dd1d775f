#include "nodelease.h"

namespace whintack::dispatch::Internal {

/// Four renewals fit into a lease, so that one lost answer costs nothing.
static constexpr Duration RenewInterval = std::chrono::milliseconds(450);
static constexpr Duration RetryPause = std::chrono::milliseconds(200);
/// Kept between the end that this process counts with and the store's: a clock
/// that is 2 % slow and the time from a check to the last byte sent.
static constexpr Duration Margin = std::chrono::milliseconds(200);

NodeLease::NodeLease(Context Shared) : Shared(std::move(Shared)) {}

void NodeLease::onGranted(std::function<void()> Hook) {
  this->GrantedHooks.push_back(std::move(Hook));
}

void NodeLease::onLapsed(std::function<void()> Hook) {
  this->LapsedHooks.push_back(std::move(Hook));
}

void NodeLease::start() { this->grant(); }

void NodeLease::again(Duration Pause) {
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + Pause, [](NodeLease &Self) {
                if (Self.IsEnding)
                  return;
                if (Self.Id == 0)
                  Self.grant();
                else
                  Self.renew();
              });
}

void NodeLease::grant() {
  const TimePoint Sent = this->Shared.now();
  this->Shared.Store.GrantLease(
      Length,
      onLoop<NodeLease, store::StoreResult<store::LeaseId>>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent](NodeLease &Self, store::StoreResult<store::LeaseId> Answer) {
            if (!Answer) {
              Self.again(Self.Shared.jittered(RetryPause));
              return;
            }
            Self.Id = Answer.value();
            Self.ValidUntil = Sent + Length - Margin;
            logEvent(LogLevel::Info, "lease-granted", {{"lease", Self.Id}});
            for (const auto &Hook : Self.GrantedHooks)
              Hook();
            Self.again(RenewInterval);
          }));
}

void NodeLease::renew() {
  const TimePoint Sent = this->Shared.now();
  const store::LeaseId Renewed = this->Id;
  this->Shared.Store.KeepLease(
      Renewed,
      onLoop<NodeLease, store::StoreResult<void>>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent, Renewed](NodeLease &Self, store::StoreResult<void> Answer) {
            if (Self.Id != Renewed)
              return;
            if (Answer) {
              Self.ValidUntil = Sent + Length - Margin;
              Self.again(RenewInterval);
              return;
            }
            if (Answer.error().Code != store::StoreErrorCode::LeaseLapsed) {
              Self.again(Self.Shared.jittered(RetryPause));
              return;
            }
            logEvent(LogLevel::Warning, "lease-lapsed", {{"lease", Renewed}});
            Self.Id = 0;
            Self.ValidUntil = TimePoint::min();
            for (const auto &Hook : Self.LapsedHooks)
              Hook();
            Self.grant();
          }));
}

void NodeLease::end(const std::function<void()> &Done) {
  this->IsEnding = true;
  if (this->Id == 0) {
    Done();
    return;
  }
  this->Shared.Store.EndLease(this->Id,
                              [Done](const store::StoreResult<void> &) {
                                // A lease that could not be ended lapses.
                                Done();
                              });
}

} // namespace whintack::dispatch::Internal
