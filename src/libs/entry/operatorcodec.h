#ifndef WHINTACK_ENTRY_OPERATORCODEC_H
#define WHINTACK_ENTRY_OPERATORCODEC_H

#include "configurationwatcher.h"
#include "timelinecollector.h"
#include "whintack/controller/fleetreader.h"

#include "whintack/peers/peernetwork.h"
#include "whintack/routing/router.h"

#include <cpprest/json.h>
#include <map>
#include <string>

/// JSON encoding of the data of the operator interface.
namespace whintack::entry::Internal {

using controller::FleetReader;
using controller::FleetSnapshot;
using controller::VmFacts;

/// Data of the status call.
struct EntryStatus {
  EntryName Name;
  DataCentreName DataCentre;
  bool IsReady = false;
  std::shared_ptr<const configuration::Configuration> InForce;
  PlatformContact Platform;
  std::vector<peers::PeerStatus> Peers;
  routing::RouterCounts Counts;
  std::vector<routing::ExecutorReport> Executors;
  std::optional<FleetSnapshot> Fleet;
  std::vector<store::VmInfo> Listed;
  WallTime Now;
};

/// JSON objects that the operator interface responds with.
web::json::value toJson(const EntryStatus &Status);
web::json::value toJson(const MergedTimeline &Timeline);
web::json::value toJson(const configuration::ChangeReport &Report);
web::json::value toJson(const std::vector<declaration::ItemChange> &Changes);
web::json::value toJson(const fleet::MoveEstimate &Estimate);

/// One row for each VM of \p Fleet, with its record and its state in the
/// platform's list \p Listed.
web::json::value vmsToJson(const FleetSnapshot &Fleet,
                           const std::vector<store::VmInfo> &Listed);

/// Decoded query parameters of a request target such as "/x?vm=a&limit=10".
std::map<std::string, std::string> parseQuery(const std::string &Target);

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORCODEC_H
