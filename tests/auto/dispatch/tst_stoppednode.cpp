#include "scriptedserver.h"

#include "whintack/dispatch/fleetnode.h"
#include "whintack/http/httpclient.h"
#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A connection of a client that collects the status of each response.
class Client {
public:
  explicit Client(const Address &Server)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Endpoint{};
    Endpoint.sin_family = AF_INET;
    Endpoint.sin_port = htons(Server.Port);
    inet_pton(AF_INET, Server.Ip.c_str(), &Endpoint.sin_addr);
    this->IsConnected =
        connect(this->Socket, reinterpret_cast<sockaddr *>(&Endpoint),
                sizeof(Endpoint)) == 0;
    this->Reader = std::thread([this] { this->read(); });
  }

  ~Client() {
    shutdown(this->Socket, SHUT_RDWR);
    this->Reader.join();
    close(this->Socket);
  }

  /// Submits a job; returns false if the connection is broken.
  bool submit(const std::string &Id) {
    const std::string Bytes = "POST /quotes/" + Id + " HTTP/1.1\r\nHost: " +
                              std::string(simulation::ExampleHost) +
                              "\r\nDeadline-Ms: 5000\r\nContent-Length: "
                              "5\r\n\r\nshort";
    return this->IsConnected && !this->HasEnded &&
           send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0;
  }

  std::vector<std::string> statuses() const {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::vector<std::string> Found;
    const std::string Start = "HTTP/1.1 ";
    for (size_t At = this->Received.find(Start); At != std::string::npos;
         At = this->Received.find(Start, At + 1))
      Found.push_back(this->Received.substr(At + Start.size(), 3));
    return Found;
  }

  bool hasEnded() const { return this->HasEnded; }

private:
  void read() {
    char Chunk[4096];
    while (true) {
      const ssize_t Count = recv(this->Socket, Chunk, sizeof(Chunk), 0);
      if (Count <= 0)
        break;
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Received.append(Chunk, static_cast<size_t>(Count));
    }
    this->HasEnded = true;
  }

  int Socket;
  bool IsConnected = false;
  std::atomic<bool> HasEnded{false};
  mutable std::mutex Mutex;
  std::string Received;
  std::thread Reader;
};

/// An entry VM with real listeners on a simulated platform whose store does not
/// answer commits, nor the end of a lease, once the test says so.
class Fixture {
public:
  explicit Fixture(unsigned Host) {
    static const bool IsPrepared = [] {
      http::initializeHttpThreads(4);
      return true;
    }();
    REQUIRE(IsPrepared);
    this->onLoop([this] { simulation::addExampleFleet(this->Platform); });
    settings::EntrySettings Settings;
    Settings.Name = EntryName("e1");
    Settings.DataCentre = DataCentreName("d1");
    Settings.CallerListener = tests::ownAddress(Host, 9100);
    Settings.PeerListener = tests::ownAddress(Host, 9101);
    Settings.Fleet.ReadyListener = tests::ownAddress(Host, 9102);
    Settings.Fleet.MaxLease = seconds(6);
    Settings.StopTimeout = seconds(1);
    this->Front = Settings.CallerListener;
    dispatch::NodeConnections Connections;
    Connections.Store = this->Platform.store().interface(Settings.Name);
    this->muteOnDemand(Connections.Store);
    Connections.Executors = this->Platform.executors(Settings.Name);
    Connections.Machines = this->Platform.machines(Settings.Name);
    Connections.Codec = this->Platform.codec();
    this->Node = std::make_unique<dispatch::FleetNode>(
        Settings, std::move(Connections), this->Time, this->Source, this->Loop,
        this->Timers);
    REQUIRE(this->Node->start());
    std::this_thread::sleep_for(seconds(3));
  }

  std::atomic<bool> IsMuted{false};
  Clock Time = systemClock();
  Random Source = seededRandom(1);
  TimerQueue Timers{this->Time};
  TimerQueue Loop{this->Time};
  simulation::SimulatedPlatform Platform{this->Time, this->Loop, this->Source};
  std::unique_ptr<dispatch::FleetNode> Node;
  Address Front;

private:
  void onLoop(const std::function<void()> &Call) {
    std::promise<void> Finished;
    this->Loop.post([&] {
      Call();
      Finished.set_value();
    });
    Finished.get_future().get();
  }

  void muteOnDemand(store::AsyncStore &Store) {
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      if (this->IsMuted)
        Direct(Change, [](const store::StoreResult<store::CommitAnswer> &) {});
      else
        Direct(Change, Done);
    };
    Store.EndLease = [this, Direct = Store.EndLease](
                         store::LeaseId Lease,
                         const store::StoreCallback<void> &Done) {
      if (!this->IsMuted)
        Direct(Lease, Done);
    };
  }
};

} // namespace

// Guards against "no such queue" as the response of a VM that is stopping, and
// against any other refusal of a job whose commit is open (issue 55).
TEST_CASE("a VM that stops breaks connections and refuses nothing") {
  Fixture Test(21);
  Client Kept(Test.Front);
  REQUIRE(Kept.submit("00000000000000a1"));
  std::this_thread::sleep_for(milliseconds(500));
  REQUIRE(Kept.statuses() == std::vector<std::string>{"200"});
  Test.IsMuted = true;
  Client Pending(Test.Front);
  REQUIRE(Pending.submit("00000000000000a2"));
  auto Stopped =
      std::async(std::launch::async, [&Test] { return Test.Node->stop(); });
  // The next requests arrive while the listener closes.
  std::this_thread::sleep_for(milliseconds(2550));
  std::vector<std::unique_ptr<Client>> Late;
  while (Stopped.wait_for(milliseconds(20)) != std::future_status::ready) {
    Kept.submit("00000000000000a1");
    Late.push_back(std::make_unique<Client>(Test.Front));
    Late.back()->submit("00000000000000a1");
  }
  CHECK(Stopped.get() > 0);
  Test.Node.reset();
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(Pending.statuses().empty());
  CHECK(Pending.hasEnded());
  CHECK(Kept.statuses() == std::vector<std::string>{"200"});
  std::vector<std::string> LateStatuses;
  for (const auto &Each : Late)
    for (const std::string &Status : Each->statuses())
      LateStatuses.push_back(Status);
  CHECK(LateStatuses.empty());
}
