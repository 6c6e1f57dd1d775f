#include "jobrecords.h"

#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

static value encodeDuration(Duration Length) {
  return value::number(
      std::chrono::duration_cast<std::chrono::microseconds>(Length).count());
}

static Duration decodeDuration(const value &Field) {
  return std::chrono::microseconds(Field.as_number().to_int64());
}

static value encodePolicy(const jobs::Queue &Policy) {
  value Fields = value::object();
  Fields["host"] = value::string(Policy.Host);
  Fields["prefix"] = value::string(Policy.Prefix);
  Fields["priority"] = value::number(Policy.Priority);
  Fields["max-attempts"] = value::number(Policy.MaxAttempts);
  Fields["timeout-us"] = encodeDuration(Policy.Timeout);
  Fields["stretch"] = value::number(Policy.Stretch);
  Fields["objective-us"] = encodeDuration(Policy.Objective);
  if (Policy.IsPublic)
    Fields["public"] = value::boolean(true);
  if (Policy.Advice) {
    value Advice = value::object();
    Advice["base-us"] = encodeDuration(Policy.Advice->BaseTime);
    Advice["per-executor-us"] = encodeDuration(Policy.Advice->TimePerExecutor);
    Advice["validity-us"] = encodeDuration(Policy.Advice->Validity);
    Fields["advice"] = Advice;
  }
  return Fields;
}

static jobs::Queue decodePolicy(const value &Fields) {
  jobs::Queue Policy;
  Policy.Host = Fields.at("host").as_string();
  Policy.Prefix = Fields.at("prefix").as_string();
  Policy.Priority = Fields.at("priority").as_number().to_int64();
  Policy.MaxAttempts = Fields.at("max-attempts").as_number().to_int64();
  Policy.Timeout = decodeDuration(Fields.at("timeout-us"));
  Policy.Stretch = Fields.at("stretch").as_double();
  Policy.Objective = decodeDuration(Fields.at("objective-us"));
  Policy.IsPublic = Fields.has_field("public") && Fields.at("public").as_bool();
  if (Fields.has_field("advice")) {
    const value &Advice = Fields.at("advice");
    Policy.Advice =
        jobs::AdvicePolicy{decodeDuration(Advice.at("base-us")),
                           decodeDuration(Advice.at("per-executor-us")),
                           decodeDuration(Advice.at("validity-us"))};
  }
  return Policy;
}

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
  if (Job.Policy)
    Record["policy"] = encodePolicy(*Job.Policy);
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
    if (Record.has_field("policy")) {
      Job.Policy = decodePolicy(Record.at("policy"));
      Job.Policy->Name = Job.QueueName;
    }
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
