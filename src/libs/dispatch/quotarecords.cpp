#include "quotarecords.h"

#include "storekeys.h"

#include "whintack/base/digest.h"

#include <algorithm>
#include <cpprest/json.h>
#include <stdexcept>

namespace whintack::dispatch::Internal {

using web::json::value;

size_t quotaRecordOf(const TenantName &Tenant) {
  return stableHash(Tenant.text()) % QuotaRecordCount;
}

std::string quotaRecordKey(size_t Number) {
  constexpr size_t Base = 10;
  return keys::Quotas + std::to_string(Number / Base) +
         std::to_string(Number % Base);
}

namespace {

/// Error of decoding one field.
struct FieldError : std::runtime_error {
  FieldError(const std::string &Field, const std::string &Cause)
      : std::runtime_error("field '" + Field + "': " + Cause) {}
};

/// Calls \p Read with the field and names the field in errors.
template <typename Call>
auto readField(const value &Row, const std::string &Name, Call Read) {
  try {
    return Read(Row.at(Name));
  } catch (const FieldError &Error) {
    throw FieldError(Name + "." + std::string(Error.what()), "in object");
  } catch (const std::exception &Error) {
    throw FieldError(Name, Error.what());
  }
}

uint64_t toNumber(const value &Field) {
  if (!Field.is_integer() || !Field.as_number().is_uint64())
    throw std::invalid_argument("not a whole number");
  return Field.as_number().to_uint64();
}

/// Resources are written as an array of cores, memory and GPUs, because there
/// are very many of them.
value encodeResources(const ComputeResources &Given) {
  return value::array({value::number(Given.MilliCores),
                       value::number(Given.MemoryMb),
                       value::number(Given.Gpus)});
}

ComputeResources toResources(const value &Field) {
  constexpr size_t Count = 3;
  const web::json::array &Row = Field.as_array();
  if (Row.size() != Count)
    throw std::invalid_argument("not an array of three numbers");
  const auto Read = [&Row](size_t Index) {
    if (!Row.at(Index).is_integer() || !Row.at(Index).as_number().is_int64())
      throw std::invalid_argument("not an array of three numbers");
    return Row.at(Index).as_number().to_int64();
  };
  return {Read(0), Read(1), Read(2)};
}

/// Calls \p Read with the name and the value of each member of the object.
template <typename Call> void readMembers(const value &Object, Call Read) {
  for (const auto &[Name, Member] : Object.as_object()) {
    try {
      Read(Name, Member);
    } catch (const std::exception &Error) {
      throw FieldError(Name, Error.what());
    }
  }
}

/// Calls \p Read with the parsed text and turns exceptions into errors.
template <typename T, typename Call>
Result<T, RecordError> decode(const std::string &Text, Call Read) {
  T Decoded;
  try {
    Read(value::parse(Text), Decoded);
  } catch (const std::exception &Error) {
    return failure(RecordError{Error.what()});
  }
  return Decoded;
}

std::string digestOfNames(const std::vector<TenantName> &Names) {
  std::string All;
  for (const TenantName &Name : Names)
    All += Name.text() + "\n";
  return std::to_string(stableHash(All));
}

template <typename Value>
std::vector<TenantName> namesOf(const std::map<TenantName, Value> &Given) {
  std::vector<TenantName> Names;
  Names.reserve(Given.size());
  for (const auto &[Name, Each] : Given)
    Names.push_back(Name);
  return Names;
}

} // namespace

std::string encodeQuotaRecord(const QuotaRecord &Record) {
  value Tenants = value::object();
  for (const auto &[Name, Stored] : Record.Tenants) {
    value Shares = value::object();
    for (const auto &[Service, Share] : Stored.Shares)
      Shares[Service.text()] = encodeResources(Share);
    value Row = value::object();
    Row["maximum"] = encodeResources(Stored.Maximum);
    Row["shares"] = Shares;
    Tenants[Name.text()] = Row;
  }
  value Document = value::object();
  Document["plan"] = value::number(Record.Plan);
  Document["tenants"] = Tenants;
  return Document.serialize();
}

Result<QuotaRecord, RecordError> decodeQuotaRecord(const std::string &Text) {
  return decode<QuotaRecord>(
      Text, [](const value &Document, QuotaRecord &Decoded) {
        Decoded.Plan = readField(Document, "plan", toNumber);
        readField(Document, "tenants", [&Decoded](const value &Tenants) {
          readMembers(
              Tenants, [&Decoded](const std::string &Name, const value &Row) {
                StoredQuota &Stored = Decoded.Tenants[TenantName(Name)];
                Stored.Maximum = readField(Row, "maximum", toResources);
                readField(Row, "shares", [&Stored](const value &Shares) {
                  readMembers(Shares, [&Stored](const std::string &Service,
                                                const value &Share) {
                    Stored.Shares[ServiceName(Service)] = toResources(Share);
                  });
                });
              });
        });
      });
}

std::string encodeQuotaGrants(const tenants::QuotaGrants &Grants) {
  value Tenants = value::object();
  for (const auto &[Name, Grant] : Grants.Tenants) {
    value Row = value::object();
    Row["share"] = encodeResources(Grant.Share);
    Row["maximum"] = encodeResources(Grant.Maximum);
    Tenants[Name.text()] = Row;
  }
  value Document = value::object();
  Document["plan"] = value::number(Grants.Plan);
  Document["tenants"] = Tenants;
  return Document.serialize();
}

Result<tenants::QuotaGrants, RecordError>
decodeQuotaGrants(const std::string &Text) {
  return decode<tenants::QuotaGrants>(
      Text, [](const value &Document, tenants::QuotaGrants &Decoded) {
        Decoded.Plan = readField(Document, "plan", toNumber);
        readField(Document, "tenants", [&Decoded](const value &Tenants) {
          readMembers(Tenants,
                      [&Decoded](const std::string &Name, const value &Row) {
                        Decoded.Tenants[TenantName(Name)] = {
                            readField(Row, "share", toResources),
                            readField(Row, "maximum", toResources)};
                      });
        });
      });
}

std::string encodeQuotaAnswer(const QuotaAnswer &Answer) {
  value Tenants = value::object();
  for (const auto &[Name, Use] : Answer.Report.Tenants) {
    if (Use.InUse == ComputeResources() && Use.Waiting == ComputeResources())
      continue;
    value Row = value::object();
    Row["in-use"] = encodeResources(Use.InUse);
    Row["waiting"] = encodeResources(Use.Waiting);
    Row["largest"] = encodeResources(Use.LargestWaiting);
    Row["longest-wait-us"] = value::number(Use.LongestWait.count());
    Tenants[Name.text()] = Row;
  }
  value Document = value::object();
  Document["plan"] = value::number(Answer.Report.ConfirmedPlan);
  Document["token"] = value::number(Answer.ClaimToken);
  Document["names"] =
      value::string(digestOfNames(namesOf(Answer.Report.Tenants)));
  Document["tenants"] = Tenants;
  return Document.serialize();
}

Result<QuotaAnswer, RecordError>
decodeQuotaAnswer(const std::string &Text,
                  const std::map<TenantName, ComputeResources> &Known) {
  return decode<QuotaAnswer>(Text, [&Known](const value &Document,
                                            QuotaAnswer &Decoded) {
    Decoded.Report.ConfirmedPlan = readField(Document, "plan", toNumber);
    Decoded.ClaimToken = readField(Document, "token", toNumber);
    const std::string Names =
        readField(Document, "names",
                  [](const value &Field) { return Field.as_string(); });
    if (Names == digestOfNames(namesOf(Known)))
      for (const auto &[Name, Maximum] : Known)
        Decoded.Report.Tenants[Name] = {};
    readField(Document, "tenants", [&Decoded](const value &Tenants) {
      readMembers(Tenants, [&Decoded](const std::string &Name,
                                      const value &Row) {
        tenants::QuotaUse &Use = Decoded.Report.Tenants[TenantName(Name)];
        Use.InUse = readField(Row, "in-use", toResources);
        Use.Waiting = readField(Row, "waiting", toResources);
        Use.LargestWaiting = readField(Row, "largest", toResources);
        Use.LongestWait = Duration(
            static_cast<int64_t>(readField(Row, "longest-wait-us", toNumber)));
      });
    });
  });
}

tenants::QuotaGrants grantsOf(const ServiceName &Service,
                              const std::vector<QuotaRecord> &Records) {
  tenants::QuotaGrants Grants;
  for (const QuotaRecord &Record : Records) {
    Grants.Plan = std::max(Grants.Plan, Record.Plan);
    for (const auto &[Name, Stored] : Record.Tenants)
      if (const auto Found = Stored.Shares.find(Service);
          Found != Stored.Shares.end())
        Grants.Tenants[Name] = {Found->second, Stored.Maximum};
  }
  return Grants;
}

} // namespace whintack::dispatch::Internal
