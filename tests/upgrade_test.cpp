// Upgrades that overlap: a third process starts before the second one has replaced the first, processes end
// or hang in the middle, and signals arrive while a process waits for its handover.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <csignal>

#include "support/stand_in.h"
#include "wire/handover.h"

namespace cedarring::test {
namespace {

constexpr int request_deadline_ms = 1500;  // of the request that keeps the first process from ending

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
  /// Starts another process, without waiting for anything.
  std::unique_ptr<GatewayProcess> start_next_in_background() const {
    return std::make_unique<GatewayProcess>(*first, GatewayProcess::StartInBackground{});
  }
  int queries = 0;
};

/// A gateway whose first process has been replaced and still holds a request that its host does not answer.
struct OverlappingUpgrades : UpgradedGateway {
  PgClient busy{first->pg()};
  std::unique_ptr<GatewayProcess> second;
  OverlappingUpgrades() {
    const auto before = primary.count();
    primary.behavior = Behavior::hang;
    busy.socket.send(pg_query(statement("busy", "pay", request_deadline_ms)));
    EXPECT_TRUE(primary.wait_for(before + 1));
    primary.behavior = Behavior::serve;  // further requests
    second = start_next();
    EXPECT_EQ(call(second->control(), "GET", "/-/ready").status, 200);
    // Until the second process has the idle client.
    while (metric_value(call(second->control(), "GET", "/-/metrics").body, "app_ok{kind=\"history\"}") < 1)
      EXPECT_EQ(query_of_idle_client(), "TDCZ");
  }
};

/// A process that connects to the handover socket of a gateway and then only reads.
class SilentSuccessor {
 public:
  explicit SilentSuccessor(const std::string& path)
      : fd_(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0)) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    EXPECT_EQ(::connect(fd_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  /// Reads until a packet of this kind arrives; false at the end of the link.
  bool wait_packet(const std::string& kind) {
    std::vector<char> bytes(1 << 17);
    for (;;) {
      const auto received = ::recv(fd_.get(), bytes.data(), bytes.size(), 0);
      if (received <= 0) return false;
      const auto packet = wire::decode_packet({bytes.data(), static_cast<std::size_t>(received)});
      if (packet && packet->kind == kind) return true;
    }
  }
  /// Whether the gateway has closed the link.
  bool ended() {
    char byte = 0;
    ssize_t received = 0;
    while ((received = ::recv(fd_.get(), &byte, 1, MSG_DONTWAIT)) > 0) {
    }
    return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  wire::Fd fd_;
};

void expect_ready(const GatewayProcess& process) {
  EXPECT_EQ(call(process.control(), "GET", "/-/ready").status, 200);
}

/// Ends a process once it has been replaced, and checks that the idle client is served by its successor.
void end_replaced_process(UpgradedGateway& gateway, GatewayProcess& process) {
  ASSERT_TRUE(process.wait_output("replaced by a new process", 1));
  process.signal(SIGTERM);
  EXPECT_EQ(process.wait_exit(), 0);
  EXPECT_EQ(gateway.query_of_idle_client(), "TDCZ");
}

/// Waits until the process waits for its handover.
bool wait_until_waiting(GatewayProcess& process) {
  return process.wait_output("waiting for the handover", 1);
}

// Guards against a third process that serves beside the second one, which then closes its idle clients.
TEST(OverlappingUpgrade, ThirdProcessTakesOverAllClientsWhileTheFirstHoldsARequest) {
  OverlappingUpgrades gateway;
  const auto third = gateway.start_next();
  expect_ready(*third);
  gateway.second->signal(SIGTERM);
  EXPECT_EQ(gateway.second->wait_exit(), 0);
  EXPECT_EQ(gateway.query_of_idle_client(), "TDCZ");
  EXPECT_EQ(gateway.first->wait_exit(), 0);
}

// Guards against a waiting process that starts without a handover because a signal interrupts its wait.
TEST(OverlappingUpgrade, SignalsDoNotInterruptTheWaitForAHandover) {
  OverlappingUpgrades gateway;
  const auto third = gateway.start_next_in_background();
  ASSERT_TRUE(wait_until_waiting(*third));
  for (const int number : {SIGHUP, SIGUSR1, SIGHUP}) third->signal(number);
  ASSERT_TRUE(third->wait_listeners());
  end_replaced_process(gateway, *gateway.second);
}

// Guards against a waiting process that takes over although it has been told to end.
TEST(OverlappingUpgrade, WaitingProcessEndsAtSigtermAndTheNextOneIsServed) {
  OverlappingUpgrades gateway;
  const auto third = gateway.start_next_in_background();
  ASSERT_TRUE(wait_until_waiting(*third));
  third->signal(SIGTERM);
  EXPECT_EQ(third->wait_exit(), 0);
  expect_ready(*gateway.second);
  const auto fourth = gateway.start_next();
  expect_ready(*fourth);
  end_replaced_process(gateway, *gateway.second);
}

// Guards against a third process that starts as a stranger when the process that it waits for is killed.
TEST(OverlappingUpgrade, WaitingProcessIsServedByTheFirstIfTheSecondIsKilled) {
  OverlappingUpgrades gateway;
  const auto third = gateway.start_next_in_background();
  ASSERT_TRUE(wait_until_waiting(*third));
  // The first process keeps its open request's client, which becomes idle during the next handover.
  gateway.second->signal(SIGKILL);
  ASSERT_TRUE(third->wait_listeners());
  ASSERT_TRUE(gateway.first->wait_output("replaced by a new process", 2));
  EXPECT_EQ(gateway.busy.read_answer().types, "EZ");  // its deadline has passed
  gateway.first->signal(SIGTERM);
  EXPECT_EQ(gateway.first->wait_exit(), 0);
  EXPECT_EQ(gateway.busy.query(statement("next", "pay")).types, "TDCZ");
}

// Guards against a second stranger while the first process does not end: the third one gives up.
TEST(OverlappingUpgrade, ThirdProcessEndsWithOneLineIfTheFirstHangs) {
  OverlappingUpgrades gateway;
  gateway.first->suspend();
  const auto third = gateway.start_next_in_background();
  EXPECT_EQ(third->wait_exit(), 1);
  EXPECT_NE(third->output().find("another upgrade of this gateway has not finished"), std::string::npos);
  expect_ready(*gateway.second);
  EXPECT_EQ(gateway.query_of_idle_client(), "TDCZ");
}

// Guards against a second starting process that serves beside the first one because a third one replaces it.
TEST(OverlappingUpgrade, ThirdProcessWaitsWhileTheSecondIsStarting) {
  UpgradedGateway gateway;
  auto second = std::make_unique<SilentSuccessor>(handover_socket(gateway.first->dir()));
  ASSERT_TRUE(second->wait_packet("whole"));
  const auto third = gateway.start_next_in_background();
  ASSERT_TRUE(wait_until_waiting(*third));
  EXPECT_FALSE(second->ended());
  second.reset();
  ASSERT_TRUE(third->wait_listeners());
  end_replaced_process(gateway, *gateway.first);
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

// Guards against a replaced process that never ends because its successor has been killed meanwhile.
TEST(Upgrade, ReplacedProcessToldToEndEndsWhenItsSuccessorIsKilled) {
  OverlappingUpgrades gateway;
  gateway.first->signal(SIGTERM);
  gateway.second->signal(SIGKILL);
  gateway.second->wait_exit();
  EXPECT_EQ(gateway.busy.read_answer().types, "EZ");  // its deadline has passed
  EXPECT_EQ(gateway.first->wait_exit(), 0);
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
