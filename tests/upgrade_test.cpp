// Upgrades that overlap: a third process starts before the second one has replaced the first, processes end
// or hang in the middle, and signals arrive while a process waits for its handover.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/stand_in.h"
#include "wire/handover.h"

namespace cedarring::test {
namespace {

// Guards against clients that are lost with the packets that the kernel holds: it reports the end of a link
// whose other process has left packets unread before the packets that this process has not read.
TEST(HandoverLink, PacketsQueuedByAnEndedProcessAreReadThoughItLeftOthersUnread) {
  int ends[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), 0);
  ev::dynamic_loop loop;
  wire::Fd other(ends[1]);
  std::vector<std::string> kinds;
  std::size_t descriptors = 0;
  bool ended = false;
  wire::HandoverLink link(loop, wire::Fd(ends[0]),
                          {[&](const wire::Packet& packet) {
                             kinds.push_back(packet.kind);
                             descriptors += packet.fds.size();
                           },
                           [&] { ended = true; }});
  link.send("commit", "postgresql {}");
  {
    wire::HandoverLink sender(loop, std::move(other), {[](const wire::Packet&) {}, [] {}});
    for (int i = 0; i < 3; ++i) ASSERT_TRUE(sender.send_now("client", "postgresql ", STDERR_FILENO));
  }  // closes its end without having read the packet
  while (!ended) loop.run(ev::ONCE);
  EXPECT_EQ(kinds, std::vector<std::string>(3, "client"));
  EXPECT_EQ(descriptors, 3U);
}

}  // namespace
}  // namespace cedarring::test
