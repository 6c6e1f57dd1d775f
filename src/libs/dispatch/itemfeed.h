#ifndef WHINTACK_DISPATCH_ITEMFEED_H
#define WHINTACK_DISPATCH_ITEMFEED_H

#include "itemcontents.h"

namespace whintack::dispatch::Internal {

/// How the feed reaches the other entry VMs.
struct ItemFeedHooks {
  /// Sends a message; returns false if there is no link to the peer.
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  /// Returns the peers to ask, the preferred ones first.
  std::function<std::vector<EntryName>()> Sources;
  /// Whether this VM reads the store itself and gives the items to others.
  std::function<bool()> IsReader;
};

/// Spreads the operator's items between entry VMs. In each data centre a few
/// VMs read them from the store; the others get from these what has changed,
/// with the time through which it is known. A VM whose items become too old
/// that way reads the store itself, and a VM that reads the store in vain asks
/// its peers. A large value is fetched in small contents: what has arrived is
/// kept, and calls that share the link are held up by one content answer at
/// most.
class ItemFeed : public std::enable_shared_from_this<ItemFeed> {
public:
  /// \p Incarnation is the random number of this process.
  ItemFeed(Context Shared, uint64_t Incarnation,
           std::shared_ptr<PrefixWatch> Items, ItemFeedHooks Hooks);

  void start();
  /// Must be called when the items have changed, and when they were confirmed.
  void noteReport(bool IsChanged);

  /// Handle messages from a peer.
  void handle(const EntryName &From, const peers::ItemsRequest &Request);
  void handle(const EntryName &From, const peers::ItemsAnswer &Answer);
  void handle(const EntryName &From, const peers::ContentRequest &Request);
  void handle(const EntryName &From, const peers::ContentAnswer &Answer);

  /// Whether newer items are coming from a peer.
  bool isTransferring() const { return this->Current.has_value(); }
  /// Whether a peer knows of newer items than this VM has.
  bool isOutdated() const { return this->NewestAsOf > this->Items->asOf(); }

private:
  /// A request of a peer that waits for news.
  struct Waiting {
    EntryName Peer;
    peers::ItemsRequest Request;
    TimePoint Arrived;
    TimePoint Deadline;
  };
  /// The call to a peer that has not been answered.
  struct OpenCall {
    peers::CallId Id = 0;
    EntryName Peer;
    TimePoint Sent;
    TimePoint Deadline;
  };
  /// Newer items that a peer has told of.
  struct Transfer {
    EntryName Peer;
    peers::ItemsAnswer Announced;
    TimePoint KnownThrough;
    /// Digests requested with the open call.
    std::vector<std::string> Requested;
    size_t BytesFetched = 0;
    TimePoint Began;
  };

  void answer(const Waiting &Request);
  void answerWaiting(TimePoint Now);
  void checkPeriodically();
  void check();
  bool isLate() const;
  bool needsPeers() const;
  void askPeer();
  /// Sends \p Call to a peer; returns false if there is no link.
  bool open(const EntryName &Peer, const peers::Message &Call, Duration Wait);
  bool closeCall(const EntryName &From, peers::CallId Id);
  void handleTimeout();
  void avoid(const EntryName &Peer, Duration Length);
  void updateContents();
  void fetch();
  void abandonTransfer();
  void finishTransfer(ItemMap Assembled);

  Context Shared;
  std::shared_ptr<PrefixWatch> Items;
  ItemFeedHooks Hooks;
  ItemContents Contents;
  peers::CallId LastId;
  /// Revision of the store at which this VM learned of the last change.
  uint64_t ChangedAsOf = 0;
  /// Latest revision of newer items that a peer has told of.
  uint64_t NewestAsOf = 0;
  std::vector<Waiting> WaitingRequests;
  std::optional<OpenCall> Open;
  std::optional<Transfer> Current;
  /// Peers that are not asked before a time.
  std::map<EntryName, TimePoint> Avoided;
  TimePoint NextRequest = TimePoint::min();
  TimePoint PeersFrom = TimePoint::max();
  bool IsContentsCurrent = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_ITEMFEED_H
