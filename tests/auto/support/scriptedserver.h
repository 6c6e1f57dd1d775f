#ifndef WHINTACK_TESTS_SCRIPTEDSERVER_H
#define WHINTACK_TESTS_SCRIPTEDSERVER_H

#include "whintack/base/address.h"

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <functional>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace whintack::tests {

/// What a scripted server does with the Nth request of a connection.
struct ScriptedAnswer {
  /// Bytes to send as they are; none for silence.
  std::string Bytes;
  bool ClosesAfter = false;
  /// Closes with a reset instead of an orderly end.
  bool Resets = false;
};

/// A server that answers each request with scripted bytes, well-formed or
/// not. It counts the requests that it has read whole.
class ScriptedServer {
public:
  /// Receives the request and its number on the connection, from one.
  using Script =
      std::function<ScriptedAnswer(const std::string &Request, unsigned)>;

  ScriptedServer(const Address &Local, Script Answer)
      : Answer(std::move(Answer)) {
    this->Listener = socket(AF_INET, SOCK_STREAM, 0);
    const int On = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Place{};
    Place.sin_family = AF_INET;
    Place.sin_port = htons(Local.Port);
    inet_pton(AF_INET, Local.Ip.c_str(), &Place.sin_addr);
    this->IsOpen = bind(this->Listener, reinterpret_cast<sockaddr *>(&Place),
                        sizeof(Place)) == 0 &&
                   listen(this->Listener, 64) == 0;
    this->Threads.emplace_back([this] { this->accept(); });
  }

  ~ScriptedServer() {
    this->IsStopping = true;
    shutdown(this->Listener, SHUT_RDWR);
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      for (const int Socket : this->Sockets)
        shutdown(Socket, SHUT_RDWR);
    }
    this->Threads.front().join();
    for (size_t Index = 1; Index < this->Threads.size(); ++Index)
      this->Threads[Index].join();
    close(this->Listener);
  }

  /// Takes no further connection; those that are open stay.
  void refuseConnections() { shutdown(this->Listener, SHUT_RDWR); }

  bool isOpen() const { return this->IsOpen; }
  unsigned executions() const { return this->Executions; }
  unsigned connections() const { return this->Connections; }
  /// Waits at the end of each connection until it is reset.
  void awaitResets() { this->IsAwaitingReset = true; }
  /// Connections that the other side ended with a reset.
  unsigned resets() const { return this->Resets; }

private:
  void accept() {
    while (!this->IsStopping) {
      const int Socket = ::accept(this->Listener, nullptr, nullptr);
      if (Socket < 0)
        return;
      ++this->Connections;
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Sockets.push_back(Socket);
      this->Threads.emplace_back([this, Socket] { this->serve(Socket); });
    }
  }

  /// A reset may follow the end of what was sent, which is read first.
  void countReset(int Socket, bool IsReset) {
    if (this->IsAwaitingReset)
      while (!IsReset && !this->IsStopping) {
        int Error = 0;
        socklen_t Size = sizeof(Error);
        getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
        IsReset = Error != 0;
        std::this_thread::yield();
      }
    if (IsReset)
      ++this->Resets;
  }

  /// Reads one whole request; empty if the connection ended.
  std::string readRequest(int Socket, std::string &Rest) {
    while (true) {
      const size_t HeadEnd = Rest.find("\r\n\r\n");
      if (HeadEnd != std::string::npos) {
        size_t BodyBytes = 0;
        const size_t Length = Rest.find("Content-Length: ");
        if (Length != std::string::npos && Length < HeadEnd)
          BodyBytes = std::stoul(Rest.substr(Length + 16));
        const size_t Whole = HeadEnd + 4 + BodyBytes;
        if (Rest.size() >= Whole) {
          std::string Request = Rest.substr(0, Whole);
          Rest.erase(0, Whole);
          return Request;
        }
      }
      char Bytes[4096];
      const ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
      if (Count <= 0) {
        this->countReset(Socket, Count < 0 && errno == ECONNRESET);
        return "";
      }
      Rest.append(Bytes, static_cast<size_t>(Count));
    }
  }

  void serve(int Socket) {
    std::string Rest;
    unsigned Number = 0;
    while (true) {
      const std::string Request = readRequest(Socket, Rest);
      if (Request.empty())
        break;
      ++this->Executions;
      const ScriptedAnswer Given = this->Answer(Request, ++Number);
      send(Socket, Given.Bytes.data(), Given.Bytes.size(), MSG_NOSIGNAL);
      if (Given.Resets) {
        const linger Abort{1, 0};
        setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
      }
      if (Given.ClosesAfter || Given.Resets)
        break;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::erase(this->Sockets, Socket);
    close(Socket);
  }

  Script Answer;
  int Listener = -1;
  bool IsOpen = false;
  std::atomic<bool> IsStopping{false};
  std::atomic<unsigned> Executions{0};
  std::atomic<unsigned> Connections{0};
  std::atomic<unsigned> Resets{0};
  std::atomic<bool> IsAwaitingReset{false};
  std::mutex Mutex;
  std::vector<int> Sockets;
  std::vector<std::thread> Threads;
};

/// A loopback address of this process alone, so that runs side by side never
/// collide.
inline Address ownAddress(unsigned Host, uint16_t Port) {
  const auto Process = static_cast<unsigned>(getpid());
  return {"127." + std::to_string(100 + Process / 250 % 100) + "." +
              std::to_string(1 + Process % 250) + "." + std::to_string(Host),
          Port};
}

} // namespace whintack::tests

#endif // WHINTACK_TESTS_SCRIPTEDSERVER_H
