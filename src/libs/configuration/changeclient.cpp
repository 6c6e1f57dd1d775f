#include "whintack/configuration/changeclient.h"

namespace whintack::configuration {

using store::StoreErrorCode;
using store::UpdateOutcome;

ChangeClient::ChangeClient(store::RecordClient &Records, Clock Time)
    : Records(Records), Time(std::move(Time)) {}

store::StoreResult<Head> ChangeClient::readHead() {
  auto Read = this->Records.read(HeadKey);
  if (!Read)
    return failure(std::move(Read).error());
  if (!Read.value().exists())
    return Head();
  std::optional<Head> Decoded = headFromJson(Read.value().Body);
  if (!Decoded)
    return failure(store::StoreError{StoreErrorCode::BadAnswer,
                                     "the head cannot be understood"});
  return std::move(*Decoded);
}

ContentSource ChangeClient::contentSource() {
  return [this](const std::vector<std::string> &Digests) {
    std::vector<std::string> Texts;
    for (const std::string &Digest : Digests) {
      auto Read = this->Records.readImmutable(ContentPrefix + Digest);
      Texts.push_back(Read ? Read.value().Value : std::string());
    }
    return Texts;
  };
}

static ChangeReport errorReport(const store::StoreError &Error) {
  ChangeReport Report;
  Report.Outcome = Error.Code == StoreErrorCode::Ambiguous
                       ? ChangeOutcome::Unknown
                       : ChangeOutcome::Unreachable;
  Report.Message = Error.Message;
  return Report;
}

static std::string describeConflict(const Head &After, uint64_t Seen) {
  return "you saw revision " + std::to_string(Seen) + ", but " +
         After.ChangedBy.text() + " put revision " +
         std::to_string(After.Revision) + " in force at " +
         formatWallTime(After.ChangedAt) + ": " + After.Summary;
}

ChangeReport
ChangeClient::updateHead(const ChangeRequest &Request,
                         const std::function<Head(const Head &)> &Change) {
  const auto Apply =
      [&Request, &Change,
       this](const store::Record &Before) -> std::optional<web::json::value> {
    Head Known;
    if (Before.exists())
      Known = headFromJson(Before.Body).value_or(Head());
    if (Known.Revision != Request.SeenRevision)
      return std::nullopt;
    Head Next = Change(Known);
    Next.Revision = Known.Revision + 1;
    Next.ChangedBy = Request.Operator;
    Next.ChangedAt = this->Time.WallNow();
    return headToJson(Next);
  };
  auto Updated = this->Records.update(HeadKey, Request.Operation, Apply);
  if (!Updated)
    return errorReport(Updated.error());
  ChangeReport Report;
  Report.After = headFromJson(Updated.value().After.Body).value_or(Head());
  switch (Updated.value().Outcome) {
  case UpdateOutcome::Written:
    Report.Outcome = ChangeOutcome::Accepted;
    break;
  case UpdateOutcome::AlreadyWritten:
    Report.Outcome = ChangeOutcome::AcceptedBefore;
    break;
  case UpdateOutcome::Declined:
    Report.Outcome = ChangeOutcome::Refused;
    Report.Message = describeConflict(Report.After, Request.SeenRevision);
    break;
  }
  return Report;
}

store::StoreResult<Bucket> ChangeClient::readBucket(const std::string &Digest) {
  if (Digest.empty())
    return Bucket();
  auto Read = this->Records.readImmutable(ContentPrefix + Digest);
  if (!Read)
    return failure(std::move(Read).error());
  return decodeBucket(Read.value().Value).value_or(Bucket());
}

store::StoreResult<void>
ChangeClient::writeBuckets(const declaration::ItemTexts &Items, Head &Target,
                           const Head &Known) {
  std::array<Bucket, BucketCount> Buckets;
  for (const auto &[Key, Text] : Items)
    Buckets[bucketIndex(Key)].emplace(Key, shortDigest(Text));
  for (size_t Index = 0; Index < BucketCount; ++Index) {
    if (Buckets[Index].empty()) {
      Target.Buckets[Index].clear();
      continue;
    }
    const std::string Text = encodeBucket(Buckets[Index]);
    Target.Buckets[Index] = shortDigest(Text);
    if (Target.Buckets[Index] == Known.Buckets[Index])
      continue;
    auto Stored = this->readBucket(Known.Buckets[Index]);
    if (!Stored)
      return failure(std::move(Stored).error());
    for (const auto &[Key, Digest] : Buckets[Index]) {
      const auto Old = Stored.value().find(Key);
      if (Old != Stored.value().end() && Old->second == Digest)
        continue;
      auto Written =
          this->Records.putImmutable(ContentPrefix + Digest, Items.at(Key));
      if (!Written)
        return Written;
    }
    auto Written =
        this->Records.putImmutable(ContentPrefix + Target.Buckets[Index], Text);
    if (!Written)
      return Written;
  }
  return success();
}

ChangeReport ChangeClient::apply(const declaration::ItemTexts &Items,
                                 const PresetName &Preset,
                                 const ChangeRequest &Request) {
  auto Known = this->readHead();
  if (!Known)
    return errorReport(Known.error());
  const PresetName &InForce = Known.value().Preset;
  const PresetName &RequiredPreset = InForce.isEmpty() ? Preset : InForce;
  if (!Items.contains({declaration::ItemKind::Preset, RequiredPreset.text()}))
    return {ChangeOutcome::Invalid, Known.value(),
            "the declaration lacks the preset '" + RequiredPreset.text() +
                "', which is to be in force"};
  Head Target;
  auto Written = this->writeBuckets(Items, Target, Known.value());
  if (!Written)
    return errorReport(Written.error());
  const bool IsSame =
      Known.value().Revision != 0 && Target.Buckets == Known.value().Buckets;
  if (IsSame)
    return {ChangeOutcome::Unchanged, Known.value(),
            "the declaration is in force already"};
  return this->updateHead(Request,
                          [this, &Target, &Preset](const Head &Before) {
                            Head Next = Before;
                            Next.Buckets = Target.Buckets;
                            Next.Summary = "declaration applied";
                            if (Next.Preset.isEmpty()) {
                              Next.Preset = Preset;
                              Next.PresetSince = this->Time.WallNow();
                            }
                            return Next;
                          });
}

ChangeReport ChangeClient::confirmPreset(const PresetName &Chosen,
                                         const ChangeRequest &Request) {
  return this->updateHead(Request, [this, &Chosen](const Head &Before) {
    Head Next = Before;
    Next.Preset = Chosen;
    Next.PresetSince = this->Time.WallNow();
    Next.Summary = "preset " + Chosen.text() + " put in force";
    return Next;
  });
}

} // namespace whintack::configuration
