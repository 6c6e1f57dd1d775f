#ifndef WHINTACK_ENTRY_OPERATORCOMMANDHANDLER_H
#define WHINTACK_ENTRY_OPERATORCOMMANDHANDLER_H

#include "whintack/base/eventjournal.h"
#include "whintack/configuration/configurationmanager.h"
#include "whintack/http/httpmessage.h"
#include "whintack/store/recordclient.h"

#include <functional>
#include <memory>

namespace whintack::entry::Internal {

/// Handles the operators' commands for jobs and maintenance waves. Writes the
/// records that the fleet controllers act on. If a body is not valid JSON, the
/// functions throw the exceptions of the JSON library.
class OperatorCommandHandler {
public:
  using ConfigurationSource =
      std::function<std::shared_ptr<const configuration::Configuration>()>;

  OperatorCommandHandler(ConfigurationSource InForce,
                         store::RecordClient &Records, Clock Time,
                         EventJournal &Journal);

  /// Submits a job or cancels a run, according to the JSON body \p Text.
  http::HttpResponse changeJob(const std::string &Text,
                               const OperatorName &Operator,
                               const OperationId &Operation);
  /// Starts, pauses, resumes or cancels a wave, according to the JSON body
  /// \p Text.
  http::HttpResponse changeWave(const std::string &Text,
                                const OperatorName &Operator,
                                const OperationId &Operation);
  /// Lists the runs of all pools.
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

#endif // WHINTACK_ENTRY_OPERATORCOMMANDHANDLER_H
