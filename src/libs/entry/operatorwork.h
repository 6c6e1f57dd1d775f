#ifndef WHINTACK_ENTRY_OPERATORWORK_H
#define WHINTACK_ENTRY_OPERATORWORK_H

#include "whintack/base/eventjournal.h"
#include "whintack/configuration/configurationkeeper.h"
#include "whintack/http/httpmessage.h"
#include "whintack/store/recordclient.h"

#include <functional>
#include <memory>

namespace whintack::entry::Internal {

/// What operators do with jobs and maintenance waves: writes the records that
/// the stewards act upon. Bodies that are not JSON make the functions throw
/// what the JSON library throws.
class OperatorWork {
public:
  using ConfigurationSource =
      std::function<std::shared_ptr<const configuration::Configuration>()>;

  OperatorWork(ConfigurationSource InForce, store::RecordClient &Records,
               Clock Time, EventJournal &Journal);

  /// Submits a job or cancels a run, as \p Text says.
  http::HttpResponse changeJob(const std::string &Text,
                               const OperatorName &Operator,
                               const OperationId &Operation);
  /// Starts, pauses, resumes or cancels a wave, as \p Text says.
  http::HttpResponse changeWave(const std::string &Text,
                                const OperatorName &Operator,
                                const OperationId &Operation);
  http::HttpResponse listRuns();

private:
  http::HttpResponse submitJob(const web::json::value &Body,
                               const OperatorName &Operator,
                               const OperationId &Operation);
  http::HttpResponse cancelRun(const web::json::value &Body,
                               const OperatorName &Operator,
                               const OperationId &Operation);

  ConfigurationSource InForce;
  store::RecordClient &Records;
  Clock Time;
  EventJournal &Journal;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORWORK_H
