#include "whintack/base/logwriter.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

using namespace whintack;

TEST_CASE("a log whose reader has stopped never blocks its writers") {
  int Ends[2];
  REQUIRE(pipe(Ends) == 0);
  constexpr size_t MaxBytes = 100000;
  constexpr int Lines = 20000;
  const std::string Line(100, 'x');
  std::string Read;
  {
    LogWriter Writer(Ends[1], MaxBytes);
    // This is far more than the pipe and the queue can hold; a writer that
    // waits for the reader would hang here.
    for (int Number = 0; Number < Lines; ++Number)
      Writer.write(Line);
    CHECK(Writer.dropped() > 0);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    // Once there is room again, a line reports the dropped lines.
    while (Read.find("event=log-lines-dropped lines=") == std::string::npos) {
      char Bytes[65536];
      const ssize_t Count = read(Ends[0], Bytes, sizeof(Bytes));
      if (Count > 0)
        Read.append(Bytes, static_cast<size_t>(Count));
      Writer.write("short");
    }
    // The destructor must return although nobody reads the remaining lines.
    std::signal(SIGPIPE, SIG_IGN);
    close(Ends[0]);
  }
  close(Ends[1]);
}

TEST_CASE("lines are written in order and flushed") {
  int Ends[2];
  REQUIRE(pipe(Ends) == 0);
  LogWriter Writer(Ends[1], 1000);
  Writer.write("one");
  Writer.write("two");
  Writer.flush(std::chrono::seconds(10));
  char Bytes[100];
  const ssize_t Count = read(Ends[0], Bytes, sizeof(Bytes));
  REQUIRE(Count > 0);
  CHECK(std::string(Bytes, static_cast<size_t>(Count)) == "one\ntwo\n");
  close(Ends[0]);
  close(Ends[1]);
}
