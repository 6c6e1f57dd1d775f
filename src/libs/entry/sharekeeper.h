#ifndef WHINTACK_ENTRY_SHAREKEEPER_H
#define WHINTACK_ENTRY_SHAREKEEPER_H

#include "whintack/base/eventjournal.h"
#include "whintack/base/supervisor.h"
#include "whintack/entry/forwarder.h"
#include "whintack/routing/shareplan.h"
#include "whintack/store/recordclient.h"

#include <map>

namespace whintack::entry::Internal {

/// Keeps this process a member of the share plan of its data centre, in the
/// platform's store. While the platform does not answer, the last plan stands.
class ShareKeeper {
public:
  /// \p ListedEntries returns the entry VMs that the platform lists, or
  /// nothing if it has not said.
  using ListedEntries = std::function<std::optional<std::vector<EntryName>>()>;

  ShareKeeper(routing::RouterIdentity Identity, store::RecordClient &Records,
              Forwarder &Forwarding, ListedEntries Listed, Clock Time,
              Random Source, EventJournal &Journal);

  void run(const StopSignal &Stop);
  /// Leaves the plan, for a graceful stop. Returns whether it has left.
  bool leave();

  routing::SharePlan plan() const;

private:
  using Step = std::function<routing::SharePlan(const routing::SharePlan &)>;

  Duration pass();
  bool isLeaving() const;
  /// Tells whether all own use is within the shares and nothing that lost
  /// members sent can still be running.
  bool mayAcknowledge(const routing::SharePlan &Seen);
  bool take(const Step &Next);
  void putInForce(const routing::SharePlan &Plan);
  std::optional<routing::ShareMember>
  lostMember(const routing::SharePlan &Plan) const;
  std::string key() const;

  routing::RouterIdentity Identity;
  store::RecordClient &Records;
  Forwarder &Forwarding;
  ListedEntries Listed;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  mutable std::mutex Mutex;
  routing::SharePlan InForce;
  /// When each lost member was first seen to be lost.
  std::map<routing::ShareMember, TimePoint> LostSince;
  bool IsLeaving = false;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_SHAREKEEPER_H
