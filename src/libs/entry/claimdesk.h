#ifndef WHINTACK_ENTRY_CLAIMDESK_H
#define WHINTACK_ENTRY_CLAIMDESK_H

#include "whintack/base/timerqueue.h"
#include "whintack/peers/message.h"
#include "whintack/routing/claimtable.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace whintack::entry::Internal {

/// Verdict on a key with the recorded answer, if there is one to repeat.
struct ClaimReply {
  routing::ClaimVerdict Verdict = routing::ClaimVerdict::CannotTell;
  std::string Answer;
};

using ClaimDone = std::function<void(ClaimReply)>;

/// What the desk needs from its owner.
struct ClaimHooks {
  std::function<bool(const EntryName &Peer, const peers::Message &Sent)>
      SendToPeer;
  std::function<bool(const EntryName &Peer)> IsUsable;
};

/// Claims the keys of non-idempotent requests at their two owners in the data
/// centre, and is an owner for others. Safe for several threads.
class ClaimDesk : public std::enable_shared_from_this<ClaimDesk> {
public:
  /// \p Members are all entry VMs of the data centre, this one included.
  ClaimDesk(EntryName Self, std::vector<EntryName> Members, ClaimHooks Hooks,
            Clock Time, TimerQueue &Timers);

  /// Asks the owners of \p Key; \p Done is called once.
  void claim(const std::string &Key, const RequestId &Request,
             const std::string &Digest, ClaimDone Done);
  /// Tells the owners how the request ended.
  void settle(const std::string &Key, const routing::Claim &Ended);
  /// Tells the owners that the request was not run.
  void forget(const std::string &Key, const RequestId &Request);

  /// Takes in a peer's message. Returns false if it is about something else.
  bool takeMessage(const EntryName &Peer, const peers::Message &Received);
  /// Asks peers newly usable for their claims until isSynchronized(); to be
  /// called several times a second.
  void synchronize();
  bool isSynchronized() const;
  size_t size() const;

private:
  struct Pending {
    std::string Key;
    RequestId Request;
    std::string Digest;
    std::vector<routing::OwnerAnswer> Answers;
    size_t Missing = 0;
    ClaimDone Done;
  };

  void takeAnswer(const EntryName &Peer, const peers::ClaimAnswer &Answer);
  void expire(peers::CallId Id);
  void finish(const Pending &Ended);
  void sendTable(const EntryName &Peer);
  /// Vouches for nothing any more if this process has stood still: the others
  /// took claims in without it. Needs the lock.
  void noticePause(TimePoint Now);
  void expectAllTables();
  routing::ClaimVerdict judge(const Pending &Ended) const;

  EntryName Self;
  std::vector<EntryName> Members;
  ClaimHooks Hooks;
  Clock Time;
  TimerQueue &Timers;
  TimePoint SynchronizedBy;
  /// When synchronize() was called last.
  TimePoint LastLook;
  mutable std::mutex Mutex;
  routing::ClaimTable Table;
  std::map<peers::CallId, Pending> Calls;
  peers::CallId LastCall = 0;
  std::set<EntryName> Unheard;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_CLAIMDESK_H
