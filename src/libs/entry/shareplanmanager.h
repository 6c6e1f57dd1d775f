#ifndef WHINTACK_ENTRY_SHAREPLANMANAGER_H
#define WHINTACK_ENTRY_SHAREPLANMANAGER_H

#include "whintack/base/eventjournal.h"
#include "whintack/base/supervisor.h"
#include "whintack/entry/forwarder.h"
#include "whintack/routing/shareplan.h"
#include "whintack/store/recordclient.h"

#include <map>

namespace whintack::entry::Internal {

/// Keeps this process a member of the share plan of its data centre, which is a
/// record in the platform's store, and passes the plan to the forwarder. While
/// the platform does not answer, the last plan stays in force.
class SharePlanManager {
public:
  /// Returns the entry VMs that the platform lists, or nothing if no list has
  /// been received yet.
  using ListedEntries = std::function<std::optional<std::vector<EntryName>>()>;

  SharePlanManager(routing::RouterIdentity Identity,
                   store::RecordClient &Records, Forwarder &Forwarding,
                   ListedEntries ListEntries, Clock Time, Random Source,
                   EventJournal &Journal);

  /// Synchronizes the plan with the store until stopped.
  void run(const StopSignal &Stop);
  /// Leaves the plan, for a graceful stop. Returns whether this process is no
  /// longer a member; if not, call it again.
  bool leave();

  /// The plan in force here.
  routing::SharePlan plan() const;

private:
  using PlanChange =
      std::function<routing::SharePlan(const routing::SharePlan &)>;

  /// Reads the plan and makes at most one change to it: removes a lost member,
  /// joins, or acknowledges. Returns the time until the next call.
  Duration synchronizePlan();
  bool isLeaving() const;
  /// Returns whether this process uses no more than its shares and no request
  /// that a lost member sent can still be running.
  bool canAcknowledge(const routing::SharePlan &Seen);
  /// Applies \p Next to the plan in the store and puts the result in force.
  /// Returns false if the store did not confirm the change.
  bool updatePlan(const PlanChange &Next);
  void applyPlan(const routing::SharePlan &Plan);
  std::optional<routing::ShareMember>
  findLostMember(const routing::SharePlan &Plan) const;
  std::string recordKey() const;

  routing::RouterIdentity Identity;
  store::RecordClient &Records;
  Forwarder &Forwarding;
  ListedEntries ListEntries;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  mutable std::mutex Mutex;
  routing::SharePlan CurrentPlan;
  /// When each lost member was first seen as lost here.
  std::map<routing::ShareMember, TimePoint> LostSince;
  bool IsLeaving = false;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_SHAREPLANMANAGER_H
