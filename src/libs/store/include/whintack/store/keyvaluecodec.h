#ifndef WHINTACK_STORE_KEYVALUECODEC_H
#define WHINTACK_STORE_KEYVALUECODEC_H

#include "whintack/store/keyvaluestore.h"

#include <string>

/// Encoders and decoders for the subset of the etcd v3 JSON interface that
/// HttpPlatform and the stand-in platform use. Keys and values are encoded as
/// Base64, numbers as texts.
namespace whintack::store::codec {

inline constexpr const char *RangePath = "/v3/kv/range";
inline constexpr const char *TransactionPath = "/v3/kv/txn";
inline constexpr const char *LeaseGrantPath = "/v3/lease/grant";
inline constexpr const char *LeaseKeepAlivePath = "/v3/lease/keepalive";
inline constexpr const char *LeaseRevokePath = "/v3/lease/revoke";

/// A range request for one key, or for all keys that begin with it.
struct Range {
  std::string Key;
  bool IsPrefix = false;
};

std::string encodeRange(const Range &Request);
Range decodeRange(const std::string &Text);

/// The answer to a range request.
std::string encodeRangeAnswer(const std::vector<KeyedValue> &Items);
std::vector<KeyedValue> decodeRangeAnswer(const std::string &Text);

/// A transaction that writes or removes one key if it has the expected version.
struct Transaction {
  ConditionalPut Put;
  bool IsRemoval = false;
};

std::string encodeTransaction(const Transaction &Request);
Transaction decodeTransaction(const std::string &Text);

/// The answer to a transaction.
struct TransactionAnswer {
  bool Succeeded = false;
  uint64_t Revision = 0;
};

std::string encodeTransactionAnswer(const TransactionAnswer &Answer);
TransactionAnswer decodeTransactionAnswer(const std::string &Text);

/// A lease with its time to live in whole seconds; 0 if it has lapsed.
struct LeaseMessage {
  LeaseId Id = 0;
  int64_t Seconds = 0;
};

std::string encodeLease(const LeaseMessage &Message);
LeaseMessage decodeLease(const std::string &Text);

} // namespace whintack::store::codec

#endif // WHINTACK_STORE_KEYVALUECODEC_H
