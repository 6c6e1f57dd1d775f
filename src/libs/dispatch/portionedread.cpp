#include "portionedread.h"

#include <algorithm>
#include <cmath>

namespace whintack::dispatch::Internal {

/// All digits of job ids, in the order of the store's keys.
static constexpr std::string_view Digits = "0123456789ABCDEFabcdef";
static constexpr size_t IdLength = 16;
/// Takes a quarter of a second at 10 Mbit/s, so that the renewals of leases are
/// not held up.
static constexpr size_t MaxPortionBytes = 256000;
static constexpr size_t MinPortionBytes = 4000;
/// Bytes that all items are assumed to have before any is read; limits the
/// first portion to two digits.
static constexpr double AssumedBytes = 256.0 * MaxPortionBytes;
/// One large item that the estimate of the density adds, because the first
/// portions may be empty by chance.
static constexpr double ItemBytes = 4000;
static constexpr Duration MinRetryDelay = std::chrono::milliseconds(200);
static constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);

static bool isUpperCase(char Digit) { return Digit >= 'A' && Digit <= 'F'; }

/// Returns the digits that follow \p Portion; empty if it is the last one.
static std::string nextDigits(std::string Portion) {
  while (!Portion.empty() && Portion.back() == Digits.back())
    Portion.pop_back();
  if (!Portion.empty())
    Portion.back() = Digits[Digits.find(Portion.back()) + 1];
  return Portion;
}

PortionedRead::PortionedRead(Context Shared, std::string Prefix,
                             std::function<void(Contents)> OnDone)
    : Shared(std::move(Shared)), Prefix(std::move(Prefix)),
      OnDone(std::move(OnDone)), PortionBytes(MaxPortionBytes),
      RetryDelay(MinRetryDelay) {}

/// Returns the part of all ids that has been read, if these are evenly spread
/// and have no upper-case digits.
double PortionedRead::fractionRead() const {
  double Fraction = 0;
  double Scale = 1;
  for (const char Digit : this->FirstUnread) {
    Scale /= 16;
    const size_t Value = Digits.find(Digit);
    constexpr size_t FirstLetter = 10;
    if (isUpperCase(Digit))
      return Fraction + Scale * FirstLetter;
    Fraction +=
        Scale * static_cast<double>(Value < FirstLetter ? Value : Value - 6);
  }
  return Fraction;
}

/// Returns the digits with which the ids of the next call begin.
std::string PortionedRead::nextPortion() const {
  const double Fraction = this->fractionRead();
  const double Total =
      Fraction > 0
          ? (static_cast<double>(this->BytesFound) + ItemBytes) / Fraction
          : AssumedBytes;
  const double Portions =
      std::max(1.0, Total / static_cast<double>(this->PortionBytes));
  constexpr double BitsPerDigit = 4;
  const auto Length = std::max(
      this->MinLength,
      static_cast<size_t>(std::ceil(std::log2(Portions) / BitsPerDigit)));
  std::string Portion = this->FirstUnread;
  Portion.resize(std::min(Length, IdLength), Digits.front());
  // Upper-case digits are rare: one call reads all ids with the same one,
  // unless that has failed.
  const auto Rare = std::find_if(Portion.begin(), Portion.end(), isUpperCase);
  if (Rare != Portion.end() && this->MinLength == 0 &&
      this->PortionBytes == MaxPortionBytes)
    Portion.erase(Rare + 1, Portion.end());
  return Portion;
}

void PortionedRead::readNext() {
  if (this->IsStopped)
    return;
  const std::string Portion = this->nextPortion();
  this->Sent = this->Shared.now();
  this->Shared.Store.Range(
      this->Prefix + Portion,
      this->LastRead.empty() ? "" : this->Prefix + this->LastRead,
      store::ReadKind::Bulk,
      onLoop<PortionedRead, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Portion](PortionedRead &Self,
                    store::StoreResult<store::StorePage> Answer) {
            Self.handlePage(Portion, std::move(Answer));
          }));
}

void PortionedRead::handlePage(const std::string &Portion,
                               store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    this->handleFailure(Portion, Answer.error());
    return;
  }
  this->RetryDelay = MinRetryDelay;
  // Grows slowly, because each call that takes too long costs its time-out.
  this->PortionBytes = std::min(this->PortionBytes * 5 / 4, MaxPortionBytes);
  if (this->MinLength > 0)
    --this->MinLength;
  store::StorePage &Page = Answer.value();
  if (this->Found.AsOf == 0)
    this->Found.AsOf = Page.AsOf;
  const bool HasMore = Page.HasMore && !Page.Items.empty();
  if (HasMore) {
    this->LastRead = Page.Items.back().Key.substr(this->Prefix.size());
    this->FirstUnread = this->LastRead;
  } else {
    this->LastRead = Portion;
    this->LastRead.resize(IdLength, Digits.back());
    this->FirstUnread = nextDigits(Portion);
  }
  for (store::StoreItem &Item : Page.Items) {
    this->BytesFound += Item.Key.size() + Item.Value.size();
    this->Found.Items.push_back(std::move(Item));
  }
  if (HasMore || !this->FirstUnread.empty()) {
    this->readNext();
    return;
  }
  this->IsStopped = true;
  const auto Done = std::exchange(this->OnDone, nullptr);
  Done(std::move(this->Found));
}

void PortionedRead::handleFailure(const std::string &Portion,
                                  const store::StoreError &Cause) {
  logEvent(LogLevel::Warning, "shard-read-failed",
           {{"prefix", this->Prefix + Portion},
            {"items-read", this->Found.Items.size()},
            {"took-ms", toMilliseconds(this->Shared.now() - this->Sent)},
            {"code", nameOf(store::StoreErrorNames, Cause.Code)},
            {"cause", Cause.Message}});
  if (Cause.Code == store::StoreErrorCode::Ambiguous) {
    this->PortionBytes = std::max(this->PortionBytes / 4, MinPortionBytes);
    this->MinLength = std::min(Portion.size() + 1, IdLength);
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(this->RetryDelay),
              [](PortionedRead &Self) { Self.readNext(); });
  this->RetryDelay = std::min(this->RetryDelay * 2, MaxRetryDelay);
}

} // namespace whintack::dispatch::Internal
