#include "failingsockets.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <dlfcn.h>
#include <netdb.h>
#include <sys/socket.h>

using whintack::tests::SocketCall;

/// Error numbers of the calls; 0 for those that do not fail.
static std::array<std::atomic<int>, 4> Errors;

static std::atomic<int> &errorOf(SocketCall Call) {
  return Errors[static_cast<size_t>(Call)];
}

namespace whintack::tests {

FailingSockets::~FailingSockets() { errorOf(this->Call) = 0; }

void FailingSockets::arm() const { errorOf(this->Call) = this->Error; }

} // namespace whintack::tests

/// Returns the function of the C library that this file replaces.
template <typename Function> static Function original(const char *Name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, Name));
}

static int failWith(int Error) {
  errno = Error;
  return -1;
}

/// Replaces the result of a receiving call that has returned something.
static ssize_t receivedOrError(ssize_t Count) {
  const bool IsWaiting = Count < 0 && (errno == EAGAIN || errno == EINTR);
  const int Error = errorOf(SocketCall::Receive);
  return Error == 0 || IsWaiting ? Count : failWith(Error);
}

// The HTTP library calls these functions instead of those of the C library.
extern "C" {

int getaddrinfo(const char *Name, const char *Service, const addrinfo *Hints,
                addrinfo **Found) {
  if (errorOf(SocketCall::Resolve) != 0)
    return EAI_NONAME;
  static const auto Original = original<decltype(&getaddrinfo)>("getaddrinfo");
  return Original(Name, Service, Hints, Found);
}

int connect(int Socket, const sockaddr *Peer, socklen_t Size) {
  if (const int Error = errorOf(SocketCall::Connect))
    return failWith(Error);
  static const auto Original = original<decltype(&connect)>("connect");
  return Original(Socket, Peer, Size);
}

ssize_t send(int Socket, const void *Bytes, size_t Size, int Flags) {
  if (const int Error = errorOf(SocketCall::Send))
    return failWith(Error);
  static const auto Original = original<decltype(&send)>("send");
  return Original(Socket, Bytes, Size, Flags);
}

ssize_t sendmsg(int Socket, const msghdr *Message, int Flags) {
  if (const int Error = errorOf(SocketCall::Send))
    return failWith(Error);
  static const auto Original = original<decltype(&sendmsg)>("sendmsg");
  return Original(Socket, Message, Flags);
}

ssize_t recv(int Socket, void *Bytes, size_t Size, int Flags) {
  static const auto Original = original<decltype(&recv)>("recv");
  return receivedOrError(Original(Socket, Bytes, Size, Flags));
}

ssize_t recvmsg(int Socket, msghdr *Message, int Flags) {
  static const auto Original = original<decltype(&recvmsg)>("recvmsg");
  return receivedOrError(Original(Socket, Message, Flags));
}
}
