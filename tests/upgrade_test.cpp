// Upgrades that overlap: a third process starts before the second one has replaced the first, processes end
// or hang in the middle, and signals arrive while a process waits for its handover.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

#include "support/stand_in.h"
#include "wire/handover.h"

namespace cedarring::test {
namespace {

/// Two hosts, discovery, and a gateway with one idle client.
struct UpgradedGateway {
  PgStandIn primary;
  PgStandIn replica;
  std::unique_ptr<Discovery> discovery;
  std::unique_ptr<GatewayProcess> first;
  std::unique_ptr<PgClient> idle;
  /// `registry_mode`: how the settings say that lists come, "subscribe" or "automatic".
  explicit UpgradedGateway(const std::string& registry_mode = "subscribe") {
    primary.primary = true;
    const auto list =
        list_of(1, {member("p", primary.address(), true), member("r", replica.address(), false)});
    discovery = std::make_unique<Discovery>(list);
    auto config = with_key(config_json(discovery->address(), list), R"("control":"127.0.0.1:0")");
    const std::string mode = "subscribe";
    config.replace(config.find(mode), mode.size(), registry_mode);
    first = std::make_unique<GatewayProcess>(config);
    idle = std::make_unique<PgClient>(first->pg());
    EXPECT_EQ(query_of_idle_client(), "TDCZ");
  }
  std::string query_of_idle_client() {
    return idle->query(statement("idle-" + std::to_string(++queries), "history")).types;
  }
  /// Starts another process of the gateway and waits until it has announced its listeners or has ended.
  std::unique_ptr<GatewayProcess> start_next() const {
    return std::make_unique<GatewayProcess>(*first, first->pg());
  }
  int queries = 0;
};

void expect_ready(const GatewayProcess& process) {
  EXPECT_EQ(call(process.control(), "GET", "/-/ready").status, 200);
}

// Guards against a process that takes over, and closes the clients that it got, although it has been told to
// end before it served.
TEST(Upgrade, ProcessThatIsToldToEndBeforeItServesLeavesTheClients) {
  UpgradedGateway gateway("automatic");  // a process serves only with a list from discovery
  gateway.discovery->answering = false;
  const auto second = gateway.start_next();
  second->signal(SIGTERM);
  // By the end of these calls the process has handled the signal.
  for (int i = 0; i < 3; ++i) call(second->control(), "GET", "/-/ready");
  gateway.discovery->answering = true;
  EXPECT_EQ(second->wait_exit(), 0);
  expect_ready(*gateway.first);
  EXPECT_EQ(gateway.query_of_idle_client(), "TDCZ");
}

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
