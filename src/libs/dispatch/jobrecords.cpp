#include "jobrecords.h"

#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

std::string encodeStoredJob(const StoredJob &Job) {
  value Record = value::object();
  Record["queue"] = value::string(Job.QueueName);
  Record["accepted-us"] = value::number(toMicroseconds(Job.Accepted));
  if (!Job.Tenant.isEmpty())
    Record["tenant"] = value::string(Job.Tenant.text());
  if (Job.End)
    Record["end"] =
        value::string(std::string(nameOf(jobs::JobStateNames, *Job.End)));
  else
    Record["body"] = value::string(Job.Body);
  return Record.serialize();
}

Result<StoredJob, RecordError> decodeStoredJob(const std::string &Text) {
  StoredJob Job;
  try {
    const value Record = value::parse(Text);
    Job.QueueName = Record.at("queue").as_string();
    Job.Accepted = wallTimeFromMicroseconds(
        Record.at("accepted-us").as_number().to_int64());
    if (Record.has_field("tenant"))
      Job.Tenant = TenantName(Record.at("tenant").as_string());
    if (Record.has_field("body"))
      Job.Body = Record.at("body").as_string();
    if (!Record.has_field("end"))
      return Job;
    const std::string Name = Record.at("end").as_string();
    Job.End = valueOf(jobs::JobStateNames, Name);
    if (!Job.End)
      return failure(RecordError{"unknown final state '" + Name + "'"});
  } catch (const std::exception &Error) {
    return failure(RecordError{Error.what()});
  }
  return Job;
}

} // namespace whintack::dispatch::Internal
