#include "membership.h"

#include "storekeys.h"

#include <algorithm>
#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

/// Interval between two reads of the list. Stale reads cost a tenth of current
/// ones, and the peer links detect a lost member sooner.
static constexpr Duration ReadInterval = std::chrono::seconds(1);
static constexpr Duration RegistrationRetryDelay =
    std::chrono::milliseconds(400);
/// The list is settled when no VM has joined for this time. VMs that start
/// together register within less.
static constexpr Duration SettleTime = std::chrono::milliseconds(800);
/// Limit of the time to settle, for a fleet in which VMs keep joining.
static constexpr Duration MaxSettleTime = std::chrono::milliseconds(2400);
static constexpr Duration MinSettleReadDelay = std::chrono::milliseconds(100);
static constexpr Duration MaxSettleReadDelay = std::chrono::milliseconds(200);

static std::string encodeMember(const Member &Written) {
  value Body = value::object();
  Body["strength"] = value::number(Written.ProcessorShare);
  Body["bandwidth"] = value::number(Written.Bandwidth.value_or(0));
  Body["data-centre"] = value::string(Written.Endpoint.DataCentre.text());
  Body["link"] = value::string(Written.Endpoint.Link.text());
  if (Written.IsStopping)
    Body["stopping"] = value::boolean(true);
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
        Body.at("strength").as_double(),
        Body.has_field("bandwidth")
            ? std::optional<double>(Body.at("bandwidth").as_double())
            : std::nullopt,
        Body.has_field("stopping"), Item.Lease};
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

std::optional<store::StorePut> Membership::registration() const {
  if (this->Lease->id() == 0)
    return std::nullopt;
  return store::StorePut{keys::Members + this->Self.Endpoint.Name.text(),
                         encodeMember(this->Self), this->Lease->id()};
}

void Membership::registerSelf() {
  if (this->IsStopped || !this->Lease->isValid())
    return;
  store::StoreTransaction Change;
  Change.Puts = {*this->registration()};
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
      keys::Members, "",
      this->hasSettled() ? store::ReadKind::Stale : store::ReadKind::Current,
      onLoop<Membership, MemberPage>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent = this->Shared.now()](Membership &Self,
                                      const MemberPage &Answer) {
            Self.adopt(Answer, Sent);
            Self.scheduleRead(Answer.has_value());
          }));
}

void Membership::refresh(std::function<void(bool IsRead)> Done) {
  this->Shared.Store.Range(
      keys::Members, "", store::ReadKind::Current,
      onLoop<Membership, MemberPage>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent = this->Shared.now(),
           Done = std::move(Done)](Membership &Self, const MemberPage &Answer) {
            Self.adopt(Answer, Sent);
            Done(Answer.has_value());
          }));
}

void Membership::scheduleRead(bool IsAnswered) {
  const TimePoint Now = this->Shared.now();
  TimePoint Next = Now + this->Shared.jittered(ReadInterval);
  if (IsAnswered && !this->hasSettled()) {
    const bool IsListed = this->ListedLease == this->Lease->id();
    Next = std::clamp(IsListed ? this->SettledAfter : TimePoint::max(),
                      Now + MinSettleReadDelay, Now + MaxSettleReadDelay);
  }
  if (this->NextRead)
    this->Shared.Loop.cancel(*this->NextRead);
  this->NextRead =
      scheduleFor(this->Shared.Loop, this->shared_from_this(), Next,
                  [](Membership &Self) { Self.readMembers(); });
}

/// An earlier process on this VM may have left a registration behind.
bool Membership::isOwnRegistration(const store::StoreItem &Item) const {
  return Item.Key == keys::Members + this->Self.Endpoint.Name.text() &&
         Item.Lease != 0 && Item.Lease == this->Lease->id();
}

bool Membership::settle(const std::map<EntryName, Member> &Read,
                        TimePoint Sent) {
  const TimePoint Now = this->Shared.now();
  if (this->hasSettled())
    return false;
  if (this->ListedLease != this->Lease->id()) {
    this->ListedLease = this->Lease->id();
    this->SettledAfter = Now + SettleTime;
    this->SettledBy = Now + MaxSettleTime;
    return false;
  }
  const bool HasJoined =
      std::any_of(Read.begin(), Read.end(), [this](const auto &Entry) {
        return !this->KnownMembers.contains(Entry.first);
      });
  if (HasJoined)
    this->SettledAfter = std::min(Now + SettleTime, this->SettledBy);
  if (Sent < this->SettledAfter)
    return false;
  this->SettledLease = this->ListedLease;
  logEvent(LogLevel::Info, "members-settled", {{"others", Read.size()}});
  return true;
}

bool Membership::hasLostProcess(const std::map<EntryName, Member> &Read) const {
  return std::any_of(this->KnownMembers.begin(), this->KnownMembers.end(),
                     [&Read](const auto &Known) {
                       const auto Found = Read.find(Known.first);
                       const bool IsListed =
                           Found != Read.end() &&
                           Found->second.Lease == Known.second.Lease;
                       return !IsListed && !Known.second.IsStopping;
                     });
}

void Membership::adopt(const MemberPage &Answer, TimePoint Sent) {
  if (!Answer || Answer.value().AsOf < this->AsOf)
    return;
  this->AsOf = Answer.value().AsOf;
  std::map<EntryName, Member> Read;
  bool IsSelfListed = false;
  for (const store::StoreItem &Item : Answer.value().Items) {
    IsSelfListed = IsSelfListed || this->isOwnRegistration(Item);
    if (std::optional<Member> Each = decodeMember(Item))
      if (Each->Endpoint.Name != this->Self.Endpoint.Name)
        Read.emplace(Each->Endpoint.Name, std::move(*Each));
  }
  const bool IsChanged =
      !this->IsKnown || Read.size() != this->KnownMembers.size() ||
      !std::equal(Read.begin(), Read.end(), this->KnownMembers.begin(),
                  [](const auto &First, const auto &Second) {
                    return First.first == Second.first &&
                           First.second.Endpoint.Link ==
                               Second.second.Endpoint.Link;
                  });
  const bool IsSettledNow = IsSelfListed && this->settle(Read, Sent);
  const bool HasLostProcess = this->hasLostProcess(Read);
  this->IsKnown = true;
  this->KnownMembers = std::move(Read);
  if (IsChanged)
    logEvent(LogLevel::Info, "members-changed",
             {{"others", this->KnownMembers.size()}});
  if (IsChanged || IsSettledNow)
    this->OnChange();
  if (HasLostProcess && this->OnLost)
    this->OnLost();
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
