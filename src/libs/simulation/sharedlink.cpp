#include "whintack/simulation/sharedlink.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace whintack::simulation {

/// Bytes that may seem to be left of a transfer that has ended.
static constexpr double RoundingError = 0.5;

SharedLink::SharedLink(Clock Time, TimerQueue &Loop, double BytesPerSecond)
    : Time(std::move(Time)), Loop(Loop), BytesPerSecond(BytesPerSecond) {}

SharedLink::TransferId SharedLink::start(size_t Bytes,
                                         std::function<void()> Done) {
  this->advance();
  const TransferId Id = ++this->LastId;
  this->Transfers[Id] = {static_cast<double>(Bytes), std::move(Done)};
  this->scheduleNextEnd();
  return Id;
}

bool SharedLink::abort(TransferId Id) {
  this->advance();
  const bool IsFound = this->Transfers.erase(Id) > 0;
  this->scheduleNextEnd();
  return IsFound;
}

void SharedLink::advance() {
  const TimePoint Now = this->Time.Now();
  const Duration Elapsed = Now - std::exchange(this->LastChange, Now);
  if (this->Transfers.empty())
    return;
  const double Share = std::chrono::duration<double>(Elapsed).count() *
                       this->BytesPerSecond /
                       static_cast<double>(this->Transfers.size());
  for (auto &[Id, Current] : this->Transfers)
    Current.BytesLeft -= Share;
}

void SharedLink::scheduleNextEnd() {
  const uint64_t Number = ++this->TimerNumber;
  if (this->Transfers.empty())
    return;
  const auto Next =
      std::min_element(this->Transfers.begin(), this->Transfers.end(),
                       [](const auto &One, const auto &Other) {
                         return One.second.BytesLeft < Other.second.BytesLeft;
                       });
  const std::chrono::duration<double> Left(
      std::max(0.0, Next->second.BytesLeft) *
      static_cast<double>(this->Transfers.size()) / this->BytesPerSecond);
  // Rounded up, so that the transfer has ended when the timer runs.
  const Duration Wait =
      std::chrono::duration_cast<Duration>(Left) + Duration(1);
  this->Loop.schedule(this->Time.Now() + Wait, [this, Number] {
    if (Number == this->TimerNumber)
      this->endTransfers();
  });
}

void SharedLink::endTransfers() {
  this->advance();
  std::vector<std::function<void()>> Ended;
  std::erase_if(this->Transfers, [&Ended](auto &Entry) {
    if (Entry.second.BytesLeft > RoundingError)
      return false;
    Ended.push_back(std::move(Entry.second.Done));
    return true;
  });
  this->scheduleNextEnd();
  for (const std::function<void()> &Done : Ended)
    Done();
}

} // namespace whintack::simulation
