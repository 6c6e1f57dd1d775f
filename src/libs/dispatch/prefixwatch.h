#ifndef WHINTACK_DISPATCH_PREFIXWATCH_H
#define WHINTACK_DISPATCH_PREFIXWATCH_H

#include "context.h"
#include "portionedread.h"

#include <map>
#include <set>
#include <string>

namespace whintack::dispatch::Internal {

/// All items under a prefix, by key.
using ItemMap = std::map<std::string, store::StoreItem>;

/// Called with all items and the keys that changed. The first call follows the
/// first complete read.
using ItemHook =
    std::function<void(const ItemMap &Items, const std::set<std::string> &)>;

/// Kind of call that reported the items last.
enum class ReportKind { Read, Watch };

inline constexpr EnumNames<ReportKind, 2> ReportKindNames = {
    {{ReportKind::Read, "read"}, {ReportKind::Watch, "watch"}}};

/// Follows the items under a prefix: reads them all, then watches for changes,
/// and reads them again if the store has dropped its history. Each watch call
/// is short, so that a silent connection is noticed within seconds.
class PrefixWatch : public std::enable_shared_from_this<PrefixWatch> {
public:
  /// \p OnRevision, if given, is called with each revision that the store
  /// reports.
  PrefixWatch(Context Shared, std::string Prefix, ItemHook OnChange,
              std::function<void(uint64_t Revision)> OnRevision = nullptr);

  /// Reads all items in portions that a slow link carries. All keys must be one
  /// of \p Prefixes and a job id. Must be called before start().
  void readInPortions(std::vector<std::string> Prefixes) {
    this->PortionPrefixes = std::move(Prefixes);
  }
  /// Reads all items without a second copy on another path. Must be called
  /// before start().
  void readInBulk() { this->Read = store::ReadKind::Bulk; }
  /// Sets how long one watch call waits for a change, and so how old the
  /// knowledge of the items becomes while nothing changes.
  void setCallWait(Duration Wait) { this->CallWait = Wait; }
  void start();
  void stop();
  /// Sets whether the store is no longer asked for changes, because they are
  /// known from another source. The items are read once all the same.
  void setPaused(bool IsPaused);
  /// Asks for changes, beside the watch, and calls \p Done when an answer of
  /// any kind has come or the time for it has passed; knownThrough() tells
  /// whether it succeeded. Must not be used with readInPortions().
  void refresh(std::function<void()> Done);
  /// Calls \p Done when an answer of any kind has come or the time for it has
  /// passed, without asking for one.
  void awaitReport(std::function<void()> Done);
  /// Adopts all items as of the revision \p AsOf, which another entry VM has
  /// sent. All changes are known through \p KnownThrough.
  void adopt(ItemMap Newest, uint64_t AsOf, TimePoint KnownThrough,
             const EntryName &Via);
  /// Notes that there is no change that this VM does not know through \p
  /// KnownThrough, as another entry VM has told.
  void confirm(uint64_t AsOf, TimePoint KnownThrough, const EntryName &Via);
  /// Calls \p Hook after each answer that advances knownThrough(), and after
  /// the hook for changes.
  void onReport(std::function<void()> Hook) {
    this->OnReport = std::move(Hook);
  }
  const ItemMap &items() const { return this->Items; }
  /// Whether the items may fill a slow link, so that they are not read whole
  /// only to learn whether they are current, nor on two paths at once.
  bool isLarge() const;
  /// How long one watch call waits for a change.
  Duration callWait() const { return this->CallWait; }
  /// When the last watch, complete read or report was answered;
  /// TimePoint::min() before the first complete read.
  TimePoint lastAnswerAt() const { return this->LastAnswerAt; }
  /// Whether the last call to the store was answered, or a report came since.
  bool isCurrent() const { return this->IsCurrent; }
  /// Store revision up to which the items are known.
  uint64_t asOf() const { return this->AsOf; }
  /// Time up to which all changes are known; TimePoint::min() before the first
  /// complete read.
  TimePoint knownThrough() const { return this->KnownThrough; }
  /// Kind of the call that was answered last.
  ReportKind lastReport() const { return this->LastReport; }
  /// Entry VM through which the last answer came; empty if it came directly.
  const EntryName &lastReportVia() const { return this->LastReportVia; }

private:
  void readPortions(size_t Index);
  void readPage(const std::string &After);
  void handlePage(store::StoreResult<store::StorePage> Answer);
  void watch(Duration Wait);
  void handleChanges(TimePoint Sent,
                     store::StoreResult<store::WatchAnswer> Answer);
  /// Watches again after an answer, unless this is stopped or paused.
  void continueWatching();
  void replaceAll();
  void countBytes();
  /// Logs while no call has been answered for longer than a watch takes.
  void checkAge();
  void requestRefresh();
  void handleRefreshPage(TimePoint Sent,
                         store::StoreResult<store::StorePage> Answer);
  void handleRefreshChanges(TimePoint Sent,
                            store::StoreResult<store::WatchAnswer> Answer);
  /// Applies changes and returns the keys under which the items now differ.
  std::set<std::string> applyChanges(store::WatchAnswer Answer);
  /// Notes an answer that says what is known through \p Through, and passes on
  /// the changes that it has brought.
  void report(TimePoint Through, const std::set<std::string> &Changed);
  /// Calls those that wait for the refresh.
  void endRefresh(bool IsRead);
  void retry(const store::StoreError &Cause, bool ReadsAll);

  /// How long one watch call waits for a change. It bounds how long a silent
  /// connection stays unnoticed.
  static constexpr Duration DefaultCallWait = std::chrono::seconds(1);

  Context Shared;
  std::string Prefix;
  store::ReadKind Read = store::ReadKind::Current;
  Duration CallWait = DefaultCallWait;
  ItemHook OnChange;
  std::function<void(uint64_t Revision)> OnRevision;
  std::function<void()> OnReport;
  ItemMap Items;
  size_t ValueBytes = 0;
  ItemMap NewItems;
  uint64_t AsOf = 0;
  uint64_t NewItemsAsOf = 0;
  std::vector<std::string> PortionPrefixes;
  std::shared_ptr<PortionedRead> Portions;
  unsigned WatchFailures = 0;
  /// Calls of any kind that have failed since the last answer.
  unsigned CallFailures = 0;
  /// Callers that wait for the open refresh.
  std::vector<std::function<void()>> AwaitingRefresh;
  /// A call for the refresh is open.
  bool IsRefreshRequested = false;
  TimePoint NextRefresh = TimePoint::min();
  TimePoint RefreshDeadline = TimePoint::max();
  TimePoint KnownThrough = TimePoint::min();
  TimePoint NewItemsKnownThrough = TimePoint::min();
  /// When the last watch or complete read was answered.
  TimePoint LastAnswerAt = TimePoint::min();
  ReportKind LastReport = ReportKind::Read;
  EntryName LastReportVia;
  bool IsCurrent = false;
  bool IsAgeChecked = false;
  bool IsPaused = false;
  /// A call is open, or will be made again after a failure.
  bool IsReading = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_PREFIXWATCH_H
