#include "membership.h"

#include "storekeys.h"

#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

/// Interval between two reads of the list. Stale reads cost a tenth of current
/// ones, and the peer links detect a lost member sooner.
static constexpr Duration ReadInterval = std::chrono::seconds(1);
static constexpr Duration RegistrationRetryDelay =
    std::chrono::milliseconds(400);

static std::string encodeMember(const peers::PeerEndpoint &Member,
                                double ProcessorShare) {
  value Body = value::object();
  Body["strength"] = value::number(ProcessorShare);
  Body["data-centre"] = value::string(Member.DataCentre.text());
  Body["link"] = value::string(Member.Link.text());
  return Body.serialize();
}

static std::optional<Member> decodeMember(const store::StoreItem &Item) {
  try {
    const value Body = value::parse(Item.Value);
    const auto Link = parseAddress(Body.at("link").as_string());
    if (!Link)
      throw std::runtime_error("'link' is not a valid address");
    return Member{
        peers::PeerEndpoint{EntryName(Item.Key.substr(keys::Members.size())),
                            DataCentreName(Body.at("data-centre").as_string()),
                            *Link},
        Body.at("strength").as_double()};
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "member-unreadable",
             {{"key", Item.Key}, {"cause", Error.what()}});
    return std::nullopt;
  }
}

Membership::Membership(Context Shared, Member Self,
                       std::shared_ptr<NodeLease> Lease,
                       std::function<void()> OnChange)
    : Shared(std::move(Shared)), Self(std::move(Self)), Lease(std::move(Lease)),
      OnChange(std::move(OnChange)) {}

void Membership::start() {
  this->Lease->onGranted([Weak = this->weak_from_this()] {
    if (const auto Alive = Weak.lock())
      Alive->registerSelf();
  });
  this->readMembers();
}

void Membership::registerSelf() {
  if (this->IsStopped || !this->Lease->isValid())
    return;
  store::StoreTransaction Change;
  Change.Puts = {{keys::Members + this->Self.Endpoint.Name.text(),
                  encodeMember(this->Self.Endpoint, this->Self.ProcessorShare),
                  this->Lease->id()}};
  this->Shared.Store.Commit(
      Change,
      onLoop<Membership, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [](Membership &Self,
             const store::StoreResult<store::CommitAnswer> &Answer) {
            if (Answer) {
              Self.readMembers();
              return;
            }
            scheduleFor(Self.Shared.Loop, Self.shared_from_this(),
                        Self.Shared.now() +
                            Self.Shared.jittered(RegistrationRetryDelay),
                        [](Membership &Owner) { Owner.registerSelf(); });
          }));
}

void Membership::readMembers() {
  if (this->IsStopped)
    return;
  this->Shared.Store.Range(
      keys::Members, "", store::ReadKind::Stale,
      onLoop<Membership, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](Membership &Self, store::StoreResult<store::StorePage> Answer) {
            Self.handleMembers(std::move(Answer));
          }));
}

void Membership::handleMembers(store::StoreResult<store::StorePage> Answer) {
  if (Answer) {
    std::map<EntryName, Member> Read;
    for (const store::StoreItem &Item : Answer.value().Items)
      if (std::optional<Member> Each = decodeMember(Item))
        if (Each->Endpoint.Name != this->Self.Endpoint.Name)
          Read.emplace(Each->Endpoint.Name, std::move(*Each));
    const bool IsChanged =
        !this->IsKnown || Read.size() != this->KnownMembers.size() ||
        !std::equal(Read.begin(), Read.end(), this->KnownMembers.begin(),
                    [](const auto &First, const auto &Second) {
                      return First.first == Second.first &&
                             First.second.Endpoint.Link ==
                                 Second.second.Endpoint.Link;
                    });
    this->IsKnown = true;
    if (IsChanged) {
      this->KnownMembers = std::move(Read);
      logEvent(LogLevel::Info, "members-changed",
               {{"others", this->KnownMembers.size()}});
      this->OnChange();
    }
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(ReadInterval),
              [](Membership &Self) { Self.readMembers(); });
}

std::vector<peers::PeerEndpoint> Membership::others() const {
  std::vector<peers::PeerEndpoint> Others;
  for (const auto &[Name, Each] : this->KnownMembers)
    Others.push_back(Each.Endpoint);
  return Others;
}

std::vector<Member> Membership::all() const {
  std::vector<Member> All = {this->Self};
  for (const auto &[Name, Each] : this->KnownMembers)
    All.push_back(Each);
  return All;
}

} // namespace whintack::dispatch::Internal
