// Connections over socket pairs: what the process as a whole must not hold.
#include "wire/connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace cedarring::test {
namespace {

struct Reader : wire::Connection {
  Reader(ev::loop_ref loop, int fd) : Connection(loop, wire::Fd(fd), false, 1U << 20U, 1U << 20U) {}
  void on_input() override { got = in_.size(); }
  void on_end(int e) override { error = e; }
  std::size_t got = 0;
  int error = -1;
};

TEST(Connection, OverTheBoundTheOneThatHoldsTheMostIsCut) {
  ev::dynamic_loop loop;
  int a[2], b[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, a), 0);
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, b), 0);
  const auto bound = wire::RingBuffer::bound();
  {
    Reader hog(loop, a[0]), usual(loop, b[0]);
    const std::string much(60000, 'x');
    ASSERT_EQ(::write(a[1], much.data(), much.size()), 60000);
    while (hog.got < much.size()) loop.run(EVRUN_ONCE);
    wire::RingBuffer::set_bound(40000);
    ASSERT_EQ(::write(b[1], "request", 7), 7);
    while (usual.got == 0 && usual.error < 0) loop.run(EVRUN_ONCE);
    EXPECT_EQ(usual.got, 7U);
    EXPECT_FALSE(usual.closed());
    EXPECT_EQ(hog.error, ENOMEM);
  }
  EXPECT_EQ(wire::RingBuffer::total(), 0U);
  wire::RingBuffer::set_bound(bound);
  ::close(a[1]), ::close(b[1]);
}

}  // namespace
}  // namespace cedarring::test
