#include "whintack/store/storecall.h"

#include <algorithm>

namespace whintack::store {

/// Returns a callback that passes a success on to \p Done as converted by
/// \p Convert, and a failure unchanged.
template <typename Source, typename Target, typename Converter>
static StoreCallback<Source> convertCallback(StoreCallback<Target> Done,
                                             Converter Convert) {
  return [Done = std::move(Done), Convert](StoreResult<Source> Answer) {
    if (Answer)
      Done(Convert(Answer));
    else
      Done(failure(std::move(Answer).error()));
  };
}

/// Returns a callback that stores its answer in \p Field of a StoreReply.
template <typename T>
static StoreCallback<T> makeReplyCallback(T StoreReply::*Field,
                                          StoreCallback<StoreReply> Done) {
  return convertCallback<T, StoreReply>(
      std::move(Done), [Field](StoreResult<T> &Answer) {
        StoreReply Reply;
        Reply.*Field = std::move(Answer).value();
        return Reply;
      });
}

/// Returns a callback that answers a success with an empty StoreReply.
static StoreCallback<void>
makeEmptyReplyCallback(StoreCallback<StoreReply> Done) {
  return convertCallback<void, StoreReply>(
      std::move(Done), [](const StoreResult<void> &) { return StoreReply(); });
}

/// Returns a callback that passes \p Field of the StoreReply on.
template <typename T>
static StoreCallback<StoreReply> makeFieldCallback(T StoreReply::*Field,
                                                   StoreCallback<T> Done) {
  return convertCallback<StoreReply, T>(
      std::move(Done), [Field](StoreResult<StoreReply> &Reply) {
        return std::move(Reply.value().*Field);
      });
}

/// Returns a callback that discards the content of the StoreReply.
static StoreCallback<StoreReply> makeVoidCallback(StoreCallback<void> Done) {
  return convertCallback<StoreReply, void>(
      std::move(Done),
      [](const StoreResult<StoreReply> &) { return success(); });
}

const StoreItem *findItem(const std::vector<StoreItem> &Items,
                          const std::string &Key) {
  const auto Found =
      std::find_if(Items.begin(), Items.end(),
                   [&Key](const StoreItem &Each) { return Each.Key == Key; });
  return Found == Items.end() ? nullptr : &*Found;
}

uint64_t revisionOf(const std::vector<StoreItem> &Items,
                    const std::string &Key) {
  const StoreItem *Found = findItem(Items, Key);
  return Found ? Found->Revision : 0;
}

bool isRepeatable(const StoreCall &Call) {
  switch (Call.Kind) {
  case StoreCallKind::Range:
  case StoreCallKind::Watch:
  case StoreCallKind::KeepLease:
  case StoreCallKind::EndLease:
  // A repeated GrantLease may leave an unused lease behind, which lapses by
  // itself.
  case StoreCallKind::GrantLease:
    return true;
  case StoreCallKind::Commit:
    return Call.Change.IsRepeatable;
  }
  return false;
}

static size_t contentBytes(const std::vector<StoreItem> &Items) {
  size_t Bytes = 0;
  for (const StoreItem &Item : Items)
    Bytes += Item.Key.size() + Item.Value.size();
  return Bytes;
}

size_t contentBytes(const StoreReply &Reply) {
  size_t Bytes =
      contentBytes(Reply.Page.Items) + contentBytes(Reply.Committed.Current);
  for (const StoreChange &Change : Reply.Watched.Changes)
    Bytes += Change.Key.size() + (Change.Item ? Change.Item->Value.size() : 0);
  return Bytes;
}

void executeStoreCall(const AsyncStore &Store, const StoreCall &Request,
                      StoreCallback<StoreReply> Done) {
  switch (Request.Kind) {
  case StoreCallKind::Range:
    Store.Range(Request.Prefix, Request.AfterKey, Request.Read,
                makeReplyCallback(&StoreReply::Page, std::move(Done)));
    return;
  case StoreCallKind::Watch:
    Store.Watch(Request.Prefix, Request.AfterRevision, Request.Length,
                makeReplyCallback(&StoreReply::Watched, std::move(Done)));
    return;
  case StoreCallKind::Commit:
    Store.Commit(Request.Change,
                 makeReplyCallback(&StoreReply::Committed, std::move(Done)));
    return;
  case StoreCallKind::GrantLease:
    Store.GrantLease(Request.Length,
                     makeReplyCallback(&StoreReply::Lease, std::move(Done)));
    return;
  case StoreCallKind::KeepLease:
    Store.KeepLease(Request.Lease, makeEmptyReplyCallback(std::move(Done)));
    return;
  case StoreCallKind::EndLease:
    Store.EndLease(Request.Lease, makeEmptyReplyCallback(std::move(Done)));
    return;
  }
}

AsyncStore makeForwardingStore(const StoreCallHandler &Handler) {
  AsyncStore Store;
  Store.Range = [Handler](const std::string &Prefix, const std::string &After,
                          ReadKind Read, StoreCallback<StorePage> Done) {
    StoreCall Request;
    Request.Kind = StoreCallKind::Range;
    Request.Prefix = Prefix;
    Request.AfterKey = After;
    Request.Read = Read;
    Handler(std::move(Request),
            makeFieldCallback(&StoreReply::Page, std::move(Done)));
  };
  Store.Watch = [Handler](const std::string &Prefix, uint64_t After,
                          Duration Wait, StoreCallback<WatchAnswer> Done) {
    StoreCall Request;
    Request.Kind = StoreCallKind::Watch;
    Request.Prefix = Prefix;
    Request.AfterRevision = After;
    Request.Length = Wait;
    Handler(std::move(Request),
            makeFieldCallback(&StoreReply::Watched, std::move(Done)));
  };
  Store.Commit = [Handler](const StoreTransaction &Change,
                           StoreCallback<CommitAnswer> Done) {
    StoreCall Request;
    Request.Kind = StoreCallKind::Commit;
    Request.Change = Change;
    Handler(std::move(Request),
            makeFieldCallback(&StoreReply::Committed, std::move(Done)));
  };
  Store.GrantLease = [Handler](Duration Length, StoreCallback<LeaseId> Done) {
    StoreCall Request;
    Request.Kind = StoreCallKind::GrantLease;
    Request.Length = Length;
    Handler(std::move(Request),
            makeFieldCallback(&StoreReply::Lease, std::move(Done)));
  };
  Store.KeepLease = [Handler](LeaseId Lease, StoreCallback<void> Done) {
    StoreCall Request;
    Request.Kind = StoreCallKind::KeepLease;
    Request.Lease = Lease;
    Handler(std::move(Request), makeVoidCallback(std::move(Done)));
  };
  Store.EndLease = [Handler](LeaseId Lease, StoreCallback<void> Done) {
    StoreCall Request;
    Request.Kind = StoreCallKind::EndLease;
    Request.Lease = Lease;
    Handler(std::move(Request), makeVoidCallback(std::move(Done)));
  };
  return Store;
}

} // namespace whintack::store
