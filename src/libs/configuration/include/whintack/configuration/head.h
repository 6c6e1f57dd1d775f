#ifndef WHINTACK_CONFIGURATION_HEAD_H
#define WHINTACK_CONFIGURATION_HEAD_H

#include "whintack/base/identifier.h"
#include "whintack/base/time.h"
#include "whintack/declaration/item.h"

#include <array>
#include <cpprest/json.h>
#include <map>
#include <optional>
#include <string>

namespace whintack::configuration {

/// The items are distributed over this many buckets, so that a change rewrites
/// one small bucket instead of the list of all items.
constexpr size_t BucketCount = 64;

/// Head of the configuration: the single record that determines what is in
/// force. It is changed by compare-and-swap only, and each change increments
/// the revision.
struct Head {
  uint64_t Revision = 0;
  PresetName Preset;
  WallTime PresetSince;
  OperatorName ChangedBy;
  WallTime ChangedAt;
  /// Description of the last change, shown to operators.
  std::string Summary;
  /// Digest of each bucket; empty for an empty bucket.
  std::array<std::string, BucketCount> Buckets;

  bool operator==(const Head &) const = default;
};

/// The items of one bucket, each with the digest of its text.
using Bucket = std::map<declaration::ItemKey, std::string>;

/// Keys of the platform's store.
inline constexpr const char *HeadKey = "whintack/head";
inline constexpr const char *ContentPrefix = "whintack/content/";

/// Encodes a head as the JSON object stored in the platform's store.
web::json::value headToJson(const Head &Value);
/// Returns nothing if \p Object is not a valid head.
std::optional<Head> headFromJson(const web::json::value &Object);

/// Encode and decode a head as JSON text; decodeHead() returns nothing if the
/// text is not a valid head.
std::string encodeHead(const Head &Value);
std::optional<Head> decodeHead(const std::string &Text);

/// Encode and decode a bucket as JSON text; decodeBucket() returns nothing if
/// the text is not a valid bucket.
std::string encodeBucket(const Bucket &Value);
std::optional<Bucket> decodeBucket(const std::string &Text);

/// Index of the bucket of \p Key.
size_t bucketIndex(const declaration::ItemKey &Key);

/// Digest under which \p Content is stored: the first 128 bits of its content
/// digest, as hexadecimal text.
std::string shortDigest(const std::string &Content);

} // namespace whintack::configuration

#endif // WHINTACK_CONFIGURATION_HEAD_H
