#ifndef WHINTACK_TESTS_FAILINGSOCKETS_H
#define WHINTACK_TESTS_FAILINGSOCKETS_H

namespace whintack::tests {

/// A call of the C library that can be made to fail.
enum class SocketCall {
  /// Looking up the address of a name; the error is ignored.
  Resolve,
  Connect,
  Send,
  /// Receiving fails instead of returning what has arrived.
  Receive,
};

/// While it exists and is armed, makes one kind of call fail for all sockets of
/// this process. At most one may exist at a time.
class FailingSockets {
public:
  /// \p Error is the error number that the calls report.
  FailingSockets(SocketCall Call, int Error) : Call(Call), Error(Error) {}
  ~FailingSockets();

  void arm() const;

private:
  SocketCall Call;
  int Error;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_FAILINGSOCKETS_H
