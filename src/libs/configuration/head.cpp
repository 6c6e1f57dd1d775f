#include "whintack/configuration/head.h"

#include "whintack/base/digest.h"

namespace whintack::configuration {

using web::json::value;

/// Hexadecimal digits, 128 bits: enough to avoid collisions, and short enough
/// to keep the head small.
static constexpr size_t DigestDigits = 32;

std::string shortDigest(const std::string &Content) {
  return contentDigest(Content).substr(0, DigestDigits);
}

size_t bucketIndex(const declaration::ItemKey &Key) {
  return stableHash(Key.text()) % BucketCount;
}

value headToJson(const Head &Value) {
  std::vector<value> Buckets;
  for (const std::string &Digest : Value.Buckets)
    Buckets.push_back(value(Digest));
  value Object;
  Object["revision"] = value(Value.Revision);
  Object["preset"] = value(Value.Preset.text());
  Object["presetSince"] = value(toMicroseconds(Value.PresetSince));
  Object["changedBy"] = value(Value.ChangedBy.text());
  Object["changedAt"] = value(toMicroseconds(Value.ChangedAt));
  Object["summary"] = value(Value.Summary);
  Object["buckets"] = value::array(Buckets);
  return Object;
}

std::optional<Head> headFromJson(const value &Object) {
  try {
    Head Read;
    Read.Revision = Object.at("revision").as_number().to_uint64();
    Read.Preset = PresetName(Object.at("preset").as_string());
    Read.PresetSince = wallTimeFromMicroseconds(
        Object.at("presetSince").as_number().to_int64());
    Read.ChangedBy = OperatorName(Object.at("changedBy").as_string());
    Read.ChangedAt =
        wallTimeFromMicroseconds(Object.at("changedAt").as_number().to_int64());
    Read.Summary = Object.at("summary").as_string();
    const auto &Buckets = Object.at("buckets").as_array();
    if (Buckets.size() != BucketCount)
      return std::nullopt;
    for (size_t Index = 0; Index < BucketCount; ++Index)
      Read.Buckets[Index] = Buckets.at(Index).as_string();
    return Read;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string encodeHead(const Head &Value) {
  return headToJson(Value).serialize();
}

std::optional<Head> decodeHead(const std::string &Text) {
  try {
    return headFromJson(value::parse(Text));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string encodeBucket(const Bucket &Value) {
  value Object = value::object();
  for (const auto &[Key, Digest] : Value)
    Object[Key.text()] = value(Digest);
  return Object.serialize();
}

std::optional<Bucket> decodeBucket(const std::string &Text) {
  try {
    Bucket Read;
    const value Whole = value::parse(Text);
    for (const auto &Field : Whole.as_object()) {
      const auto Key = declaration::parseItemKey(Field.first);
      if (!Key)
        return std::nullopt;
      Read.emplace(*Key, Field.second.as_string());
    }
    return Read;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace whintack::configuration
