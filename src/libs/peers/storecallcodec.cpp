#include "storecallcodec.h"

#include <algorithm>

namespace whintack::peers::Internal {

static std::unique_ptr<wire::StoreItemT> toWire(const store::StoreItem &Item) {
  auto Table = std::make_unique<wire::StoreItemT>();
  Table->key = Item.Key;
  Table->value = Item.Value;
  Table->revision = Item.Revision;
  Table->lease = Item.Lease;
  return Table;
}

static store::StoreItem fromWire(const wire::StoreItemT &Table) {
  return {Table.key, Table.value, Table.revision, Table.lease};
}

wire::StoreRequestT toWire(const StoreRequest &Outgoing) {
  const store::StoreCall &Call = Outgoing.Call;
  wire::StoreRequestT Table;
  Table.id = Outgoing.Id;
  Table.kind = static_cast<uint8_t>(Call.Kind);
  Table.prefix = Call.Prefix;
  Table.after_key = Call.AfterKey;
  Table.is_stale = Call.Read == store::ReadKind::Stale;
  Table.after_revision = Call.AfterRevision;
  Table.length_us = static_cast<uint64_t>(Call.Length.count());
  Table.lease = Call.Lease;
  for (const store::ExpectedRevision &Expected : Call.Change.Expect) {
    auto Row = std::make_unique<wire::ExpectedRevisionT>();
    Row->key = Expected.Key;
    Row->revision = Expected.Revision;
    Table.expect.push_back(std::move(Row));
  }
  for (const store::StorePut &Put : Call.Change.Puts) {
    auto Row = std::make_unique<wire::StorePutT>();
    Row->key = Put.Key;
    Row->value = Put.Value;
    Row->lease = Put.Lease;
    Table.puts.push_back(std::move(Row));
  }
  Table.removals = Call.Change.Removals;
  return Table;
}

std::optional<StoreRequest> fromWire(const wire::StoreRequestT &Table) {
  if (Table.kind >= store::StoreCallNames.size())
    return std::nullopt;
  StoreRequest Read;
  Read.Id = Table.id;
  store::StoreCall &Call = Read.Call;
  Call.Kind = static_cast<store::StoreCallKind>(Table.kind);
  Call.Prefix = Table.prefix;
  Call.AfterKey = Table.after_key;
  Call.Read =
      Table.is_stale ? store::ReadKind::Stale : store::ReadKind::Current;
  Call.AfterRevision = Table.after_revision;
  Call.Length = Duration(static_cast<int64_t>(Table.length_us));
  Call.Lease = Table.lease;
  for (const auto &Row : Table.expect)
    Call.Change.Expect.push_back({Row->key, Row->revision});
  for (const auto &Row : Table.puts)
    Call.Change.Puts.push_back({Row->key, Row->value, Row->lease});
  Call.Change.Removals = Table.removals;
  return Read;
}

wire::StoreResponseT toWire(const StoreResponse &Outgoing) {
  wire::StoreResponseT Table;
  Table.id = Outgoing.Id;
  Table.is_failed = !Outgoing.Result;
  if (!Outgoing.Result) {
    Table.error = static_cast<uint8_t>(Outgoing.Result.error().Code);
    Table.message = Outgoing.Result.error().Message;
    return Table;
  }
  // Only the field for the kind of call is set, so the kinds can share the
  // fields of the table.
  const store::StoreReply &Reply = Outgoing.Result.value();
  for (const store::StoreItem &Item : Reply.Page.Items)
    Table.items.push_back(toWire(Item));
  for (const store::StoreItem &Item : Reply.Committed.Current)
    Table.items.push_back(toWire(Item));
  Table.has_more = Reply.Page.HasMore;
  Table.as_of = std::max(Reply.Page.AsOf, Reply.Watched.AsOf);
  for (const store::StoreChange &Change : Reply.Watched.Changes) {
    auto Row = std::make_unique<wire::StoreChangeT>();
    Row->key = Change.Key;
    Row->revision = Change.Revision;
    if (Change.Item)
      Row->item = toWire(*Change.Item);
    Table.changes.push_back(std::move(Row));
  }
  Table.is_committed = Reply.Committed.IsCommitted;
  Table.revision = Reply.Committed.Revision;
  Table.lease = Reply.Lease;
  return Table;
}

std::optional<StoreResponse> fromWire(const wire::StoreResponseT &Table) {
  if (Table.is_failed) {
    if (Table.error >= store::StoreErrorNames.size())
      return std::nullopt;
    return StoreResponse{
        Table.id,
        failure(store::StoreError{
            static_cast<store::StoreErrorCode>(Table.error), Table.message})};
  }
  store::StoreReply Reply;
  for (const auto &Item : Table.items)
    Reply.Page.Items.push_back(fromWire(*Item));
  Reply.Committed.Current = Reply.Page.Items;
  Reply.Page.HasMore = Table.has_more;
  Reply.Page.AsOf = Table.as_of;
  Reply.Watched.AsOf = Table.as_of;
  for (const auto &Row : Table.changes) {
    store::StoreChange Change{Row->key, Row->revision, std::nullopt};
    if (Row->item)
      Change.Item = fromWire(*Row->item);
    Reply.Watched.Changes.push_back(std::move(Change));
  }
  Reply.Committed.IsCommitted = Table.is_committed;
  Reply.Committed.Revision = Table.revision;
  Reply.Lease = Table.lease;
  return StoreResponse{Table.id, std::move(Reply)};
}

} // namespace whintack::peers::Internal
