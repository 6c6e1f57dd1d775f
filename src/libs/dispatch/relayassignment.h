#ifndef WHINTACK_DISPATCH_RELAYASSIGNMENT_H
#define WHINTACK_DISPATCH_RELAYASSIGNMENT_H

#include "shardassignment.h"

#include <set>

namespace whintack::dispatch::Internal {

/// Chooses the VMs that make calls to executors for \p Self: those of \p Usable
/// that hold no shard, the largest processor shares first, until they have
/// several times the processor of \p Self.
std::vector<ShardCandidate> chooseRelays(const ShardLayout &Layout,
                                         const EntryName &Self,
                                         const std::set<EntryName> &Usable);

/// Assigns \p Key to one of the relays, in proportion to their processor
/// shares. If a relay leaves, only its keys are assigned anew. Returns an empty
/// name if there are no relays.
EntryName assignRelay(const std::string &Key,
                      const std::vector<ShardCandidate> &Relays);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_RELAYASSIGNMENT_H
