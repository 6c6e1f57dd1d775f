#ifndef WHINTACK_TESTS_SCRIPTEDSERVER_H
#define WHINTACK_TESTS_SCRIPTEDSERVER_H

#include "whintack/base/address.h"

#include <algorithm>
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

/// How a scripted server responds to one request.
struct ScriptedAnswer {
  /// Bytes that are sent unchanged. If empty, nothing is sent.
  std::string Bytes;
  /// Closes the connection after the response.
  bool ClosesAfter = false;
  /// Closes the connection with a reset (RST) instead of an orderly shutdown.
  bool Resets = false;
};

/// A server that answers each request with scripted bytes, which need not be
/// valid HTTP. It counts the requests that it has read completely.
class ScriptedServer {
public:
  /// Receives the request and its number on the connection, which starts at 1.
  using Script =
      std::function<ScriptedAnswer(const std::string &Request, unsigned)>;

  ScriptedServer(const Address &Local, Script Answer)
      : Answer(std::move(Answer)) {
    this->Listener = socket(AF_INET, SOCK_STREAM, 0);
    const int Enabled = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &Enabled,
               sizeof(Enabled));
    sockaddr_in SocketAddress{};
    SocketAddress.sin_family = AF_INET;
    SocketAddress.sin_port = htons(Local.Port);
    inet_pton(AF_INET, Local.Ip.c_str(), &SocketAddress.sin_addr);
    this->IsOpen =
        bind(this->Listener, reinterpret_cast<sockaddr *>(&SocketAddress),
             sizeof(SocketAddress)) == 0 &&
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

  /// Accepts no further connections. Open connections are kept.
  void refuseConnections() { shutdown(this->Listener, SHUT_RDWR); }

  /// Ends all open connections, with a reset if \p Resets is set, and returns
  /// when they have ended.
  void endConnections(bool Resets) {
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      for (const int Socket : this->Sockets) {
        if (Resets)
          resetOnClose(Socket);
        shutdown(Socket, SHUT_RD);
      }
    }
    while (this->isConnected())
      std::this_thread::yield();
  }

  /// From now on, resets a connection when more than \p Bytes of a request have
  /// arrived on it.
  void resetLargerRequests(size_t Bytes) { this->MaxRequestBytes = Bytes; }

  /// From now on, sends answers in parts of \p Bytes, and calls \p BeforePart
  /// before each part of an answer but the first.
  void sendInParts(size_t Bytes, std::function<void()> BeforePart) {
    this->PartBytes = Bytes;
    this->BeforePart = std::move(BeforePart);
  }

  bool isOpen() const { return this->IsOpen; }
  unsigned executions() const { return this->Executions; }
  unsigned connections() const { return this->Connections; }
  /// From now on, waits at the end of each connection until the peer resets it.
  void awaitResets() { this->IsAwaitingReset = true; }
  /// Number of connections that the peer ended with a reset.
  unsigned resets() const { return this->Resets; }

private:
  static void resetOnClose(int Socket) {
    const linger Abort{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  }

  bool isConnected() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return !this->Sockets.empty();
  }

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

  /// Counts the connection if the peer has reset it. The reset may arrive only
  /// after the end of the stream was read, so awaitResets() makes this function
  /// wait for it.
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

  /// Reads one complete request. Returns an empty string if the connection has
  /// ended. \p Buffer keeps bytes received beyond that request.
  std::string readRequest(int Socket, std::string &Buffer) {
    while (true) {
      const size_t HeaderEnd = Buffer.find("\r\n\r\n");
      if (HeaderEnd != std::string::npos) {
        size_t BodyBytes = 0;
        const size_t Length = Buffer.find("Content-Length:");
        if (Length != std::string::npos && Length < HeaderEnd)
          BodyBytes = std::stoul(Buffer.substr(Length + 15));
        const size_t RequestSize = HeaderEnd + 4 + BodyBytes;
        if (Buffer.size() >= RequestSize) {
          std::string Request = Buffer.substr(0, RequestSize);
          Buffer.erase(0, RequestSize);
          return Request;
        }
      }
      char Bytes[4096];
      const ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
      if (Count <= 0) {
        this->countReset(Socket, Count < 0 && errno == ECONNRESET);
        return "";
      }
      Buffer.append(Bytes, static_cast<size_t>(Count));
      if (Buffer.size() > this->MaxRequestBytes) {
        resetOnClose(Socket);
        return "";
      }
    }
  }

  void sendParts(int Socket, const std::string &Bytes) {
    for (size_t Sent = 0; Sent < Bytes.size(); Sent += this->PartBytes) {
      if (Sent > 0 && this->BeforePart)
        this->BeforePart();
      send(Socket, Bytes.data() + Sent,
           std::min(this->PartBytes, Bytes.size() - Sent), MSG_NOSIGNAL);
    }
  }

  void serve(int Socket) {
    std::string Buffer;
    unsigned Number = 0;
    while (true) {
      const std::string Request = readRequest(Socket, Buffer);
      if (Request.empty())
        break;
      ++this->Executions;
      const ScriptedAnswer Response = this->Answer(Request, ++Number);
      sendParts(Socket, Response.Bytes);
      if (Response.Resets)
        resetOnClose(Socket);
      if (Response.ClosesAfter || Response.Resets)
        break;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::erase(this->Sockets, Socket);
    close(Socket);
  }

  Script Answer;
  size_t PartBytes = size_t{1} << 30;
  std::atomic<size_t> MaxRequestBytes{size_t{1} << 30};
  std::function<void()> BeforePart;
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

/// Returns a loopback address derived from the process id, so that test
/// processes that run concurrently do not collide.
inline Address ownAddress(unsigned Host, uint16_t Port) {
  const auto ProcessId = static_cast<unsigned>(getpid());
  return {"127." + std::to_string(100 + ProcessId / 250 % 100) + "." +
              std::to_string(1 + ProcessId % 250) + "." + std::to_string(Host),
          Port};
}

} // namespace whintack::tests

#endif // WHINTACK_TESTS_SCRIPTEDSERVER_H
