#ifndef WHINTACK_DISPATCH_COMMITHISTORY_H
#define WHINTACK_DISPATCH_COMMITHISTORY_H

#include "whintack/base/time.h"
#include "whintack/store/asyncstore.h"

#include <map>
#include <string>

namespace whintack::dispatch::Internal {

/// The commits by which this VM has tried to store one job, for the log.
class CommitHistory {
public:
  void noteBegin(TimePoint At);
  void noteEnd(const store::StoreResult<store::CommitAnswer> &Answer);

  size_t count() const { return this->Count; }
  /// The number of commits that have not ended.
  size_t open() const { return this->Count - this->Ended; }
  TimePoint firstBegin() const { return this->First; }
  TimePoint lastBegin() const { return this->Last; }
  /// The number of commits for each way in which they ended, such as
  /// "ambiguous:1,unreachable:3".
  std::string outcomes() const;
  /// The path of the last commit; Unknown if it was answered by the store.
  store::StorePath lastPath() const { return this->Path; }

private:
  size_t Count = 0;
  size_t Ended = 0;
  TimePoint First = TimePoint::min();
  TimePoint Last = TimePoint::min();
  store::StorePath Path = store::StorePath::Unknown;
  std::map<std::string_view, size_t> Outcomes;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_COMMITHISTORY_H
