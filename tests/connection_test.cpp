// Tests of connections over socket pairs: the memory limit shared by all connections of the process.
#include "wire/connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace cedarring::test {
namespace {

constexpr std::size_t max_buffer = std::size_t{1} << 20U;  // bytes in each direction

/// A connection that keeps its input, and records how much there is and how the connection has ended.
struct TestConnection : wire::Connection {
  TestConnection(ev::loop_ref loop, int fd) : Connection(loop, wire::Fd(fd), false, max_buffer, max_buffer) {}
  void on_input() override { received = in_.size(); }
  void on_end(int reason) override { error = reason; }
  std::size_t received = 0;  // bytes
  int error = -1;            // as passed to on_end(); -1 while the connection is open
};

// A connection that buffers too much input must not cause the request of another connection to fail.
TEST(Connection, OverTheMemoryLimitTheLargestConnectionIsClosed) {
  ev::dynamic_loop loop;
  int large_ends[2];
  int small_ends[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, large_ends), 0);
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, small_ends), 0);
  const auto original_limit = broker::MessageMemory::limit();
  {
    TestConnection large(loop, large_ends[0]);
    TestConnection small(loop, small_ends[0]);
    const std::string payload(60000, 'x');
    ASSERT_EQ(::write(large_ends[1], payload.data(), payload.size()), 60000);
    while (large.received < payload.size()) loop.run(EVRUN_ONCE);
    broker::MessageMemory::set_limit(40000);  // bytes: less than the large connection holds
    ASSERT_EQ(::write(small_ends[1], "request", 7), 7);
    while (small.received == 0 && small.error < 0) loop.run(EVRUN_ONCE);
    EXPECT_EQ(small.received, 7U);
    EXPECT_FALSE(small.closed());
    EXPECT_EQ(large.error, ENOMEM);
  }
  EXPECT_EQ(broker::MessageMemory::used(), 0U);
  broker::MessageMemory::set_limit(original_limit);
  ::close(large_ends[1]);
  ::close(small_ends[1]);
}

}  // namespace
}  // namespace cedarring::test
