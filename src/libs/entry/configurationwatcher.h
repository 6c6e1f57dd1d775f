#ifndef WHINTACK_ENTRY_CONFIGURATIONWATCHER_H
#define WHINTACK_ENTRY_CONFIGURATIONWATCHER_H

#include "whintack/base/eventjournal.h"
#include "whintack/base/supervisor.h"
#include "whintack/configuration/changeclient.h"
#include "whintack/peers/message.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>

namespace whintack::entry::Internal {

/// Functions that the watcher needs from its owner.
struct ConfigurationHooks {
  std::function<bool(const EntryName &Peer, const peers::Message &Sent)>
      SendToPeer;
  std::function<void(const peers::Message &Sent)> Broadcast;
  /// Whether this process is the one of its data centre that polls the platform
  /// at the full rate.
  std::function<bool()> IsFrequentPoller;
  /// Called after a new configuration has come into force.
  std::function<void(const configuration::Configuration &)>
      OnConfigurationChange;
};

/// Whether the platform answers, and when it last did.
struct PlatformContact {
  bool IsReachable = false;
  WallTime LastHeard;
};

/// Polls the platform's store for a new configuration head, accepts heads from
/// peers, puts newer ones in force and sends them to the peers. Thread-safe.
class ConfigurationWatcher {
public:
  ConfigurationWatcher(configuration::ConfigurationManager &Configurations,
                       configuration::ChangeClient &Changes,
                       ConfigurationHooks Hooks, Duration PollInterval,
                       Clock Time, EventJournal &Journal);

  /// Polls the platform and handles the heads that peers sent, until stopped.
  void run(const StopSignal &Stop);
  /// Handles a peer's message. Returns false if it does not concern the
  /// configuration.
  bool handleMessage(const EntryName &Peer, const peers::Message &Received);
  /// Makes run() poll the platform at once, after a change made by this
  /// process.
  void pollNow();

  /// Result and time of the last contact with the platform.
  PlatformContact contact() const;

private:
  /// A head that may come into force.
  struct Proposal {
    configuration::Head Head;
    /// The peer that sent the head; empty if it was read from the platform.
    EntryName Peer;
  };
  /// A request to a peer for contents.
  struct ContentCall {
    bool IsAnswered = false;
    std::vector<std::string> Contents;
  };

  void poll();
  void adopt(const Proposal &Proposed);
  void recordContact(bool IsReachable);
  configuration::ContentSource peerSource(const EntryName &Peer);
  std::vector<std::string>
  fetchFromPeer(const EntryName &Peer, const std::vector<std::string> &Digests);
  void sendContent(const EntryName &Peer, const peers::ContentRequest &Request);

  configuration::ConfigurationManager &Configurations;
  configuration::ChangeClient &Changes;
  ConfigurationHooks Hooks;
  Duration PollInterval;
  Clock Time;
  EventJournal &Journal;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Proposal> Proposals;
  std::map<peers::CallId, ContentCall> Calls;
  peers::CallId LastCall = 0;
  bool IsPollRequested = false;
  PlatformContact Contact;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_CONFIGURATIONWATCHER_H
