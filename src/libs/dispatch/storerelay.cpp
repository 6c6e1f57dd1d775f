#include "storerelay.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

using store::StoreCallKind;
using store::StoreError;
using store::StoreErrorCode;

/// How long the own way rests after it failed: a lease of 2 s is renewed often
/// enough meanwhile, and one call in a second finds out that it works again.
static constexpr Duration DirectRest = std::chrono::seconds(1);
/// How long peers are left alone once they were turned away, too.
static constexpr Duration PeersRest = std::chrono::seconds(1);
/// When a call that can be repeated goes to a peer as well: a tenth of a
/// second is usual while the store is slow, and a lease has 2 s.
static constexpr Duration HedgeAfter = std::chrono::milliseconds(500);
/// Longest wait for a peer's answer, above what the call itself waits.
static constexpr Duration PeerTimeout = std::chrono::milliseconds(1000);
static constexpr unsigned MostPeersTried = 2;

/// A watch that waits is also cut off when nothing is wrong.
static bool tellsOfReach(StoreCallKind Kind) {
  return Kind != StoreCallKind::Watch;
}

/// Whether the failure says that the store could not be reached, as opposed to
/// an answer of the store.
static bool isOutOfReach(const StoreError &Error) {
  return Error.Code == StoreErrorCode::Unreachable ||
         Error.Code == StoreErrorCode::Ambiguous;
}

StoreRelay::StoreRelay(Context Shared, StoreRelayHooks Hooks)
    : Shared(std::move(Shared)), Hooks(std::move(Hooks)) {}

store::AsyncStore StoreRelay::store() {
  return store::storeOver([Weak = this->weak_from_this()](
                              store::StoreCall Asked,
                              store::StoreCallback<store::StoreReply> Done) {
    if (const auto Self = Weak.lock())
      Self->call(std::move(Asked), std::move(Done));
  });
}

bool StoreRelay::mayAskPeers() const {
  return this->Shared.now() >= this->PeersBarredUntil;
}

void StoreRelay::call(store::StoreCall Asked,
                      store::StoreCallback<store::StoreReply> Done) {
  const peers::CallId Id = ++this->LastId;
  const StoreCallKind Kind = Asked.Kind;
  Pending &Opened = this->Open[Id];
  Opened.Asked = std::move(Asked);
  Opened.Done = std::move(Done);
  // Only a call that can be repeated finds out whether the own way works again.
  const bool IsBarred = this->Shared.now() < this->DirectBarredUntil ||
                        (this->IsTurnedAway && !store::isRepeatable(Kind));
  if (IsBarred && this->callPeer(Id))
    return;
  this->callDirectly(Id);
  if (!store::isRepeatable(Kind) || !tellsOfReach(Kind))
    return;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + HedgeAfter, [Id](StoreRelay &Self) {
                const auto Found = Self.Open.find(Id);
                if (Found != Self.Open.end() && Found->second.IsDirectOpen &&
                    Found->second.Peer.isEmpty())
                  Self.callPeer(Id);
              });
}

void StoreRelay::callDirectly(peers::CallId Id) {
  Pending &Of = this->Open.at(Id);
  Of.IsDirectOpen = true;
  Of.IsDirectTried = true;
  // The call may end before makeCall returns, and with it Of.
  const store::StoreCall Asked = Of.Asked;
  store::makeCall(
      this->Shared.Store, Asked,
      onLoop<StoreRelay, Reply>(this->Shared.Loop, this->shared_from_this(),
                                [Id](StoreRelay &Self, Reply Answer) {
                                  Self.takeDirect(Id, std::move(Answer));
                                }));
}

void StoreRelay::setTurnedAway(const StoreError &Cause) {
  this->DirectBarredUntil = this->Shared.now() + DirectRest;
  if (std::exchange(this->IsTurnedAway, true))
    return;
  logEvent(LogLevel::Warning, "store-lost",
           {{"code", nameOf(store::StoreErrorNames, Cause.Code)},
            {"cause", Cause.Message},
            {"peers", this->Hooks.UsablePeers().size()}});
}

void StoreRelay::takeDirect(peers::CallId Id, Reply Answer) {
  const bool IsReached = Answer || !isOutOfReach(Answer.error());
  const auto Found = this->Open.find(Id);
  const bool IsTelling =
      Found == this->Open.end() || tellsOfReach(Found->second.Asked.Kind);
  if (IsReached && IsTelling && std::exchange(this->IsTurnedAway, false)) {
    this->DirectBarredUntil = TimePoint::min();
    logEvent(LogLevel::Info, "store-regained", {});
  }
  if (!IsReached && IsTelling)
    this->setTurnedAway(Answer.error());
  if (Found == this->Open.end())
    return;
  Pending &Of = Found->second;
  Of.IsDirectOpen = false;
  if (IsReached) {
    this->finish(Id, std::move(Answer));
    return;
  }
  Of.Failure = Answer.error();
  // The peer that was asked meanwhile decides.
  if (!Of.Peer.isEmpty())
    return;
  const bool MayRepeat = Of.Failure.Code == StoreErrorCode::Unreachable ||
                         (store::isRepeatable(Of.Asked.Kind) && IsTelling);
  if (!MayRepeat || !this->callPeer(Id))
    this->finish(Id, failure(StoreError(Of.Failure)));
}

bool StoreRelay::callPeer(peers::CallId Id) {
  Pending &Of = this->Open.at(Id);
  if (!this->mayAskPeers())
    return false;
  std::vector<EntryName> Peers = this->Hooks.UsablePeers();
  std::erase(Peers, Of.Peer);
  const auto Known = std::find(Peers.begin(), Peers.end(), this->Preferred);
  if (Known != Peers.end())
    std::iter_swap(Peers.begin(), Known);
  else if (!Peers.empty())
    std::iter_swap(Peers.begin(),
                   Peers.begin() + static_cast<ptrdiff_t>(
                                       this->Shared.Source() % Peers.size()));
  for (const EntryName &Peer : Peers) {
    if (Of.PeersTried >= MostPeersTried)
      return false;
    ++Of.PeersTried;
    if (!this->Hooks.Send(Peer, peers::StoreRequest{Id, Of.Asked}))
      continue;
    Of.Peer = Peer;
    scheduleFor(
        this->Shared.Loop, this->shared_from_this(),
        this->Shared.now() + PeerTimeout + Of.Asked.Length,
        [Id, Peer](StoreRelay &Self) {
          const auto Found = Self.Open.find(Id);
          if (Found == Self.Open.end() || Found->second.Peer != Peer)
            return;
          Self.takeFromPeer(
              Id, failure(StoreError{StoreErrorCode::Ambiguous,
                                     Peer.text() + " did not answer in time"}));
        });
    return true;
  }
  return false;
}

void StoreRelay::takeFromPeer(peers::CallId Id, Reply Answer) {
  Pending &Of = this->Open.at(Id);
  if (Answer || !isOutOfReach(Answer.error())) {
    this->Preferred = Of.Peer;
    if (Of.IsDirectOpen)
      this->setTurnedAway({StoreErrorCode::Ambiguous, "no answer yet"});
    this->finish(Id, std::move(Answer));
    return;
  }
  if (this->Preferred == Of.Peer)
    this->Preferred = EntryName();
  Of.Failure = Answer.error();
  const bool MayRepeat = Of.Failure.Code == StoreErrorCode::Unreachable ||
                         store::isRepeatable(Of.Asked.Kind);
  if (MayRepeat && this->callPeer(Id))
    return;
  Of.Peer = EntryName();
  if (MayRepeat)
    this->PeersBarredUntil = this->Shared.now() + PeersRest;
  if (MayRepeat && !Of.IsDirectTried) {
    this->callDirectly(Id);
    return;
  }
  // What is still on its own way may end well.
  if (!Of.IsDirectOpen)
    this->finish(Id, failure(StoreError(Of.Failure)));
}

void StoreRelay::finish(peers::CallId Id, Reply Answer) {
  const auto Found = this->Open.find(Id);
  const auto Done = std::move(Found->second.Done);
  this->Open.erase(Found);
  Done(std::move(Answer));
}

void StoreRelay::take(const EntryName &From, const peers::StoreRequest &Asked) {
  // Made directly: a peer that is turned away as well says so at once.
  store::makeCall(
      this->Shared.Store, Asked.Call,
      [Weak = this->weak_from_this(), From, Id = Asked.Id](Reply Answer) {
        if (const auto Self = Weak.lock())
          Self->Hooks.Send(From, peers::StoreResponse{Id, std::move(Answer)});
      });
}

void StoreRelay::take(const EntryName &From,
                      const peers::StoreResponse &Answer) {
  const auto Found = this->Open.find(Answer.Id);
  if (Found == this->Open.end() || Found->second.Peer != From)
    return;
  this->takeFromPeer(Answer.Id, Answer.Result);
}

} // namespace whintack::dispatch::Internal
