#include "whintack/store/keyvaluecodec.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/json.h>

// The decode functions pass on the exceptions of the JSON library; their
// callers convert these into errors of their own.
namespace whintack::store::codec {

using web::json::value;

static value toBase64(const std::string &Text) {
  const std::vector<unsigned char> Bytes(Text.begin(), Text.end());
  return value(utility::conversions::to_base64(Bytes));
}

static std::string fromBase64(const value &Encoded) {
  const auto Bytes = utility::conversions::from_base64(Encoded.as_string());
  return {Bytes.begin(), Bytes.end()};
}

static value encodeNumber(uint64_t Number) {
  return value(std::to_string(Number));
}

/// Reads a number; a missing field stands for zero.
static uint64_t decodeNumber(const value &Object, const std::string &Key) {
  if (!Object.has_field(Key))
    return 0;
  return std::stoull(Object.at(Key).as_string());
}

/// Returns the exclusive end of the key range: the first key after all those
/// that begin with \p Prefix.
static std::string rangeEnd(std::string Prefix) {
  if (!Prefix.empty())
    ++Prefix.back();
  return Prefix;
}

std::string encodeRange(const Range &Request) {
  value Object;
  Object["key"] = toBase64(Request.Key);
  if (Request.IsPrefix)
    Object["range_end"] = toBase64(rangeEnd(Request.Key));
  return Object.serialize();
}

Range decodeRange(const std::string &Text) {
  const value Object = value::parse(Text);
  return {fromBase64(Object.at("key")), Object.has_field("range_end")};
}

std::string encodeRangeAnswer(const std::vector<KeyedValue> &Items) {
  std::vector<value> Rows;
  for (const KeyedValue &Item : Items) {
    value Row;
    Row["key"] = toBase64(Item.Key);
    Row["value"] = toBase64(Item.Stored.Value);
    Row["mod_revision"] = encodeNumber(Item.Stored.Version);
    Rows.push_back(Row);
  }
  value Object;
  Object["count"] = encodeNumber(Rows.size());
  Object["kvs"] = value::array(Rows);
  return Object.serialize();
}

std::vector<KeyedValue> decodeRangeAnswer(const std::string &Text) {
  const value Object = value::parse(Text);
  std::vector<KeyedValue> Items;
  if (!Object.has_field("kvs"))
    return Items;
  for (const value &Row : Object.at("kvs").as_array()) {
    KeyedValue Item;
    Item.Key = fromBase64(Row.at("key"));
    if (Row.has_field("value"))
      Item.Stored.Value = fromBase64(Row.at("value"));
    Item.Stored.Version = decodeNumber(Row, "mod_revision");
    Items.push_back(std::move(Item));
  }
  return Items;
}

std::string encodeTransaction(const Transaction &Request) {
  value Compare;
  Compare["key"] = toBase64(Request.Put.Key);
  Compare["target"] = value("MOD");
  Compare["result"] = value("EQUAL");
  Compare["mod_revision"] = encodeNumber(Request.Put.ExpectedVersion);
  value Action;
  Action["key"] = toBase64(Request.Put.Key);
  if (!Request.IsRemoval) {
    Action["value"] = toBase64(Request.Put.Value);
    Action["lease"] = encodeNumber(Request.Put.Lease);
  }
  value Operation;
  Operation[Request.IsRemoval ? "requestDeleteRange" : "requestPut"] = Action;
  value Object;
  Object["compare"] = value::array({Compare});
  Object["success"] = value::array({Operation});
  return Object.serialize();
}

Transaction decodeTransaction(const std::string &Text) {
  const value Object = value::parse(Text);
  const value Compare = Object.at("compare").at(0);
  const value Operation = Object.at("success").at(0);
  Transaction Request;
  Request.Put.Key = fromBase64(Compare.at("key"));
  Request.Put.ExpectedVersion = decodeNumber(Compare, "mod_revision");
  Request.IsRemoval = Operation.has_field("requestDeleteRange");
  if (Request.IsRemoval)
    return Request;
  const value &Put = Operation.at("requestPut");
  Request.Put.Value = fromBase64(Put.at("value"));
  Request.Put.Lease = decodeNumber(Put, "lease");
  return Request;
}

std::string encodeTransactionAnswer(const TransactionAnswer &Answer) {
  value Object;
  Object["succeeded"] = value(Answer.Succeeded);
  Object["header"]["revision"] = encodeNumber(Answer.Revision);
  return Object.serialize();
}

TransactionAnswer decodeTransactionAnswer(const std::string &Text) {
  const value Object = value::parse(Text);
  TransactionAnswer Answer;
  Answer.Succeeded =
      Object.has_field("succeeded") && Object.at("succeeded").as_bool();
  Answer.Revision = decodeNumber(Object.at("header"), "revision");
  return Answer;
}

std::string encodeLease(const LeaseMessage &Message) {
  value Object;
  Object["ID"] = encodeNumber(Message.Id);
  Object["TTL"] = encodeNumber(static_cast<uint64_t>(Message.Seconds));
  return Object.serialize();
}

LeaseMessage decodeLease(const std::string &Text) {
  value Object = value::parse(Text);
  if (Object.has_field("result"))
    Object = value(Object.at("result"));
  LeaseMessage Message;
  Message.Id = decodeNumber(Object, "ID");
  Message.Seconds = static_cast<int64_t>(decodeNumber(Object, "TTL"));
  return Message;
}

} // namespace whintack::store::codec
