#include "whintack/store/storecall.h"

namespace whintack::store {

/// Returns a callback that hands on what \p Make makes of a success, and
/// failures as they are.
template <typename From, typename To, typename Convert>
static StoreCallback<From> converted(StoreCallback<To> Done, Convert Make) {
  return [Done = std::move(Done), Make](StoreResult<From> Answer) {
    if (Answer)
      Done(Make(Answer));
    else
      Done(failure(std::move(Answer).error()));
  };
}

/// Returns a callback that puts its answer into \p Field of the reply.
template <typename T>
static StoreCallback<T> replyInto(T StoreReply::*Field,
                                  StoreCallback<StoreReply> Done) {
  return converted<T, StoreReply>(std::move(Done),
                                  [Field](StoreResult<T> &Answer) {
                                    StoreReply Reply;
                                    Reply.*Field = std::move(Answer).value();
                                    return Reply;
                                  });
}

static StoreCallback<void> emptyReply(StoreCallback<StoreReply> Done) {
  return converted<void, StoreReply>(
      std::move(Done), [](const StoreResult<void> &) { return StoreReply(); });
}

/// Returns a callback that hands on one field of the reply.
template <typename T>
static StoreCallback<StoreReply> takeFrom(T StoreReply::*Field,
                                          StoreCallback<T> Done) {
  return converted<StoreReply, T>(std::move(Done),
                                  [Field](StoreResult<StoreReply> &Reply) {
                                    return std::move(Reply.value().*Field);
                                  });
}

static StoreCallback<StoreReply> takeNothing(StoreCallback<void> Done) {
  return converted<StoreReply, void>(
      std::move(Done),
      [](const StoreResult<StoreReply> &) { return success(); });
}

bool isRepeatable(StoreCallKind Kind) {
  switch (Kind) {
  case StoreCallKind::Range:
  case StoreCallKind::Watch:
  case StoreCallKind::KeepLease:
  case StoreCallKind::EndLease:
  // A lease granted to nobody lapses by itself.
  case StoreCallKind::GrantLease:
    return true;
  case StoreCallKind::Commit:
    return false;
  }
  return false;
}

void makeCall(const AsyncStore &Store, const StoreCall &Asked,
              StoreCallback<StoreReply> Done) {
  switch (Asked.Kind) {
  case StoreCallKind::Range:
    Store.Range(Asked.Prefix, Asked.AfterKey, Asked.Read,
                replyInto(&StoreReply::Page, std::move(Done)));
    return;
  case StoreCallKind::Watch:
    Store.Watch(Asked.Prefix, Asked.AfterRevision, Asked.Length,
                replyInto(&StoreReply::Watched, std::move(Done)));
    return;
  case StoreCallKind::Commit:
    Store.Commit(Asked.Change,
                 replyInto(&StoreReply::Committed, std::move(Done)));
    return;
  case StoreCallKind::GrantLease:
    Store.GrantLease(Asked.Length,
                     replyInto(&StoreReply::Lease, std::move(Done)));
    return;
  case StoreCallKind::KeepLease:
    Store.KeepLease(Asked.Lease, emptyReply(std::move(Done)));
    return;
  case StoreCallKind::EndLease:
    Store.EndLease(Asked.Lease, emptyReply(std::move(Done)));
    return;
  }
}

AsyncStore storeOver(const StoreCallHandler &Call) {
  AsyncStore Store;
  Store.Range = [Call](const std::string &Prefix, const std::string &After,
                       ReadKind Read, StoreCallback<StorePage> Done) {
    StoreCall Asked;
    Asked.Kind = StoreCallKind::Range;
    Asked.Prefix = Prefix;
    Asked.AfterKey = After;
    Asked.Read = Read;
    Call(std::move(Asked), takeFrom(&StoreReply::Page, std::move(Done)));
  };
  Store.Watch = [Call](const std::string &Prefix, uint64_t After, Duration Wait,
                       StoreCallback<WatchAnswer> Done) {
    StoreCall Asked;
    Asked.Kind = StoreCallKind::Watch;
    Asked.Prefix = Prefix;
    Asked.AfterRevision = After;
    Asked.Length = Wait;
    Call(std::move(Asked), takeFrom(&StoreReply::Watched, std::move(Done)));
  };
  Store.Commit = [Call](const StoreTransaction &Change,
                        StoreCallback<CommitAnswer> Done) {
    StoreCall Asked;
    Asked.Kind = StoreCallKind::Commit;
    Asked.Change = Change;
    Call(std::move(Asked), takeFrom(&StoreReply::Committed, std::move(Done)));
  };
  Store.GrantLease = [Call](Duration Length, StoreCallback<LeaseId> Done) {
    StoreCall Asked;
    Asked.Kind = StoreCallKind::GrantLease;
    Asked.Length = Length;
    Call(std::move(Asked), takeFrom(&StoreReply::Lease, std::move(Done)));
  };
  Store.KeepLease = [Call](LeaseId Lease, StoreCallback<void> Done) {
    StoreCall Asked;
    Asked.Kind = StoreCallKind::KeepLease;
    Asked.Lease = Lease;
    Call(std::move(Asked), takeNothing(std::move(Done)));
  };
  Store.EndLease = [Call](LeaseId Lease, StoreCallback<void> Done) {
    StoreCall Asked;
    Asked.Kind = StoreCallKind::EndLease;
    Asked.Lease = Lease;
    Call(std::move(Asked), takeNothing(std::move(Done)));
  };
  return Store;
}

} // namespace whintack::store
