#ifndef WHINTACK_ENTRY_OPERATORCODEC_H
#define WHINTACK_ENTRY_OPERATORCODEC_H

#include "configurationwatcher.h"
#include "timelinedesk.h"
#include "whintack/steward/fleetreader.h"

#include "whintack/peers/peernetwork.h"
#include "whintack/routing/router.h"

#include <cpprest/json.h>
#include <map>
#include <string>

/// JSON forms of what operators are shown.
namespace whintack::entry::Internal {

using steward::FleetReader;
using steward::FleetSnapshot;
using steward::VmFacts;

/// All that the status page shows.
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

web::json::value toJson(const EntryStatus &Status);
web::json::value toJson(const MergedTimeline &Timeline);
web::json::value toJson(const configuration::ChangeReport &Report);
web::json::value toJson(const std::vector<declaration::ItemChange> &Changes);
web::json::value toJson(const fleet::MoveEstimate &Estimate);

/// One VM with its record and what the platform lists.
web::json::value vmsToJson(const FleetSnapshot &Fleet,
                           const std::vector<store::VmInfo> &Listed);

/// Parameters of a query such as "vm=a&limit=10", decoded.
std::map<std::string, std::string> parseQuery(const std::string &Target);

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORCODEC_H
