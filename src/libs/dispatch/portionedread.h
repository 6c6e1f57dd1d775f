#ifndef WHINTACK_DISPATCH_PORTIONEDREAD_H
#define WHINTACK_DISPATCH_PORTIONEDREAD_H

#include "context.h"

#include <string>
#include <vector>

namespace whintack::dispatch::Internal {

/// Reads all items whose keys are a prefix and a job id. The store chooses the
/// size of its pages, up to 1 MB, which a slow link does not carry in the time
/// of one call. Each call is therefore limited to the ids that begin with
/// certain digits, as many as the density of the items found so far requires.
class PortionedRead : public std::enable_shared_from_this<PortionedRead> {
public:
  struct Contents {
    std::vector<store::StoreItem> Items;
    /// Revision of the store when the read began.
    uint64_t AsOf = 0;
  };

  PortionedRead(Context Shared, std::string Prefix,
                std::function<void(Contents)> OnDone);

  /// Reads everything; retries until that succeeds or stop() is called.
  void start() { this->readNext(); }
  void stop() { this->IsStopped = true; }

private:
  std::string nextPortion() const;
  void readNext();
  void handlePage(const std::string &Portion,
                  store::StoreResult<store::StorePage> Answer);
  void handleFailure(const std::string &Portion,
                     const store::StoreError &Cause);
  double fractionRead() const;

  Context Shared;
  std::string Prefix;
  std::function<void(Contents)> OnDone;
  Contents Found;
  size_t BytesFound = 0;
  /// All ids up to this one have been read.
  std::string LastRead;
  /// Digits with which the lowest id that has not been read may begin.
  std::string FirstUnread;
  /// Size of a portion that is aimed at.
  size_t PortionBytes;
  /// Fewest digits of a portion; grows when calls are not answered in time.
  size_t MinLength = 0;
  Duration RetryDelay;
  TimePoint Sent = TimePoint::min();
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_PORTIONEDREAD_H
