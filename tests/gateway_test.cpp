// Routing, retries, deadlines, member lists, protocol errors and resource limits, each over real sockets
// against the started program.
//
// Request classes of the configuration: "view" reads within a staleness bound, "history" reads anything,
// "gate" reads the newest state, "bid" is a write with an idempotency key, "pay" a write that must not run
// twice. Answers are compared by the types of their messages: TDCZ is a row, CZ a statement without rows, IZ
// the answer to an empty query, EZ an error. Errors have an SQLSTATE: 53300 is a refusal, after which the
// client may try again, 58000 a failure of a request that may have run, 08P01 an invalid message or request,
// 3D000 an unknown group.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

#include "support/stand_in.h"

namespace cedarring::test {
namespace {

using Clock = std::chrono::steady_clock;

/// A primary, two replicas, discovery and the program.
struct Fleet {
  PgStandIn primary;
  PgStandIn left;
  PgStandIn right;
  std::vector<std::string> members;
  std::unique_ptr<Discovery> discovery;
  std::unique_ptr<GatewayProcess> program;
  /// `right_started_ms`: start of the right replica, in milliseconds since the epoch; 0: warmed up.
  explicit Fleet(std::int64_t right_started_ms = 0, const std::string& connect_timeout_ms = "1000") {
    primary.primary = true;
    members = {member("p", primary.address(), true), member("l", left.address(), false),
               member("r", right.address(), false, "SERVING", right_started_ms)};
    discovery = std::make_unique<Discovery>(list_of(1, members));
    auto config = config_json(discovery->address(), list_of(1, members));
    const std::string key = "\"connect_timeout\":";
    const std::size_t default_length = 4;  // of the value in config_json(), which has four digits
    config.replace(config.find(key) + key.size(), default_length, connect_timeout_ms);
    program = std::make_unique<GatewayProcess>(config);
  }
  std::size_t request_count() { return primary.count() + left.count() + right.count(); }
  void set_behavior(Behavior behavior) {
    primary.behavior = behavior;
    left.behavior = behavior;
    right.behavior = behavior;
  }
};

TEST(Gateway, ReadIsServedByAHostAndWriteOrFreshReadByThePrimary) {
  Fleet fleet;
  PgClient client(fleet.program->pg());
  const auto read = client.query(statement("a1", "history"));
  EXPECT_EQ(read.types, "TDCZ");
  EXPECT_EQ(read.value.rfind("from 127.0.0.1:", 0), 0U);
  EXPECT_EQ(client.query(statement("a2", "bid")).value, "from " + fleet.primary.address());
  EXPECT_EQ(client.query(statement("a3", "gate")).value, "from " + fleet.primary.address());
}

TEST(Gateway, HungRequestIsAnsweredAtItsDeadlineAndItsHostConnectionClosed) {
  Fleet fleet;
  fleet.set_behavior(Behavior::hang);
  PgClient client(fleet.program->pg());
  const auto start = Clock::now();
  const auto answer = client.query(statement("a1", "pay", 600));
  const auto took = Clock::now() - start;
  EXPECT_EQ(answer.types, "EZ");
  EXPECT_GE(took, 550ms);
  EXPECT_LT(took, 3s);
  EXPECT_TRUE(fleet.primary.wait_ended(1));  // the connection to the host is closed, not pooled
  fleet.set_behavior(Behavior::serve);
  EXPECT_EQ(client.query(statement("a2", "pay")).types, "TDCZ");
}

TEST(Gateway, NonIdempotentRequestThatMayHaveRunIsNotRetried) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::reset;
  PgClient client(fleet.program->pg());
  const auto answer = client.query(statement("a1", "pay"));
  EXPECT_EQ(answer.types, "EZ");
  EXPECT_NE(answer.code, "53300");  // nor is the request reported as refused: it may have run
  EXPECT_EQ(fleet.request_count(), 1U);
}

TEST(Gateway, KeyedWriteIsRetriedInItsGroupUnderTheSameId) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::reset_once;
  PgClient client(fleet.program->pg());
  EXPECT_EQ(client.query(statement("a1", "bid")).types, "TDCZ");
  EXPECT_EQ(fleet.primary.seen(), (std::vector<std::string>{"a1", "a1"}));
  EXPECT_EQ(fleet.left.count() + fleet.right.count(), 0U);
}

TEST(Gateway, RequestThatAllHostsRejectIsRefusedWithARetryDelayAfterAtMostSixAttempts) {
  Fleet fleet;
  fleet.set_behavior(Behavior::reject_as_full);
  PgClient client(fleet.program->pg());
  const auto start = Clock::now();
  const auto answer = client.query(statement("a1", "history", 5000));
  EXPECT_LT(Clock::now() - start, 2500ms);
  EXPECT_EQ(answer.code, "53300");
  EXPECT_GT(std::atoi(answer.detail.c_str()), 0);
  EXPECT_GE(fleet.request_count(), 1U);
  EXPECT_LE(fleet.request_count(), 6U);
}

TEST(Gateway, DrainingHostGetsNoNewRequests) {
  Fleet fleet;
  ASSERT_TRUE(fleet.discovery->wait_watches(1));
  PgClient client(fleet.program->pg());
  for (int i = 0; i < 60; ++i) client.query(statement("a" + std::to_string(i), "history"));
  const auto before = fleet.left.count();
  EXPECT_GT(before, 0U);
  fleet.discovery->send_list(list_of(2, {member("l", fleet.left.address(), false, "DRAINING")}, false));
  std::this_thread::sleep_for(1s);  // the time allowed by stop_sending_within
  const auto count_when_drained = fleet.left.count();
  for (int i = 0; i < 60; ++i)
    EXPECT_EQ(client.query(statement("b" + std::to_string(i), "history")).types, "TDCZ");
  EXPECT_EQ(fleet.left.count(), count_when_drained);
}

// A request that waits for the startup of a connection must move on when the host starts to drain.
TEST(Gateway, RequestWaitingForAConnectLeavesADrainingHost) {
  Fleet fleet(0, "9000");
  fleet.primary.behavior = Behavior::withhold_greeting;
  ASSERT_TRUE(fleet.discovery->wait_watches(1));
  PgClient client(fleet.program->pg());
  const auto start = Clock::now();
  client.socket.send(pg_query(statement("a1", "pay", 9000)));
  ASSERT_TRUE(fleet.primary.wait_for(1));
  fleet.left.primary = true;
  fleet.discovery->send_list(list_of(
      2, {member("p", fleet.primary.address(), false, "DRAINING"), member("l", fleet.left.address(), true)},
      false));
  EXPECT_EQ(client.read_answer().value, "from " + fleet.left.address());
  EXPECT_LT(Clock::now() - start, 5s);
}

TEST(Gateway, ConnectionClosedByItsHostIsNotReused) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::serve_and_close;
  PgClient client(fleet.program->pg());
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(client.query(statement("a" + std::to_string(i), "pay")).types, "TDCZ");
  EXPECT_EQ(fleet.primary.count(), 10U);
}

TEST(Gateway, HostInSlowStartGetsFewerRequests) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  Fleet fleet(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  PgClient client(fleet.program->pg());
  for (int i = 0; i < 200; ++i) client.query(statement("a" + std::to_string(i), "history"));
  EXPECT_EQ(fleet.request_count(), 200U);
  EXPECT_LT(fleet.right.count(), fleet.left.count() / 2);
}

TEST(Gateway, ReadRejectedAsStaleGoesToThePrimary) {
  Fleet fleet;
  fleet.left.behavior = Behavior::reject_as_stale;
  fleet.right.behavior = Behavior::reject_as_stale;
  PgClient client(fleet.program->pg());
  for (const auto* class_name : {"view", "gate"})
    EXPECT_EQ(client.query(statement(class_name, class_name)).value, "from " + fleet.primary.address());
}

TEST(Gateway, AttemptOfAClientThatClosesItsConnectionIsEnded) {
  Fleet fleet;
  fleet.set_behavior(Behavior::hang);
  {
    PgClient client(fleet.program->pg());
    client.socket.send(pg_query(statement("a1", "pay")));
    ASSERT_TRUE(fleet.primary.wait_for(1));
  }
  EXPECT_TRUE(fleet.primary.wait_ended(1));
  fleet.set_behavior(Behavior::serve);
  PgClient other(fleet.program->pg());
  EXPECT_EQ(other.query(statement("a2", "pay")).types, "TDCZ");
  EXPECT_EQ(fleet.primary.seen(), (std::vector<std::string>{"a1", "a2"}));
}

TEST(Gateway, SigtermServesLateClientsFinishesOpenRequestsAndExitsWithZero) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::hang;
  PgClient waiting(fleet.program->pg());
  PgClient idle(fleet.program->pg());
  waiting.socket.send(pg_query(statement("a1", "pay", 2500)));
  ASSERT_TRUE(fleet.primary.wait_for(1));
  fleet.program->signal(SIGTERM);
  PgClient late(fleet.program->pg());  // a load balancer in front does not know of the shutdown yet
  EXPECT_EQ(late.query(statement("a2", "history")).types, "TDCZ");
  EXPECT_TRUE(idle.socket.ended());
  EXPECT_EQ(waiting.read_answer().types, "EZ");
  EXPECT_EQ(fleet.program->wait_exit(), 0);
  EXPECT_NE(fleet.program->output().find("tenant acme asked 2 over 0 served 1"), std::string::npos);
}

TEST(Gateway, SighupMovesTheDiscoveryWatchAndKeepsRequestsAndConnections) {
  Fleet fleet;
  PgStandIn newcomer;
  Discovery next(
      list_of(2, {member("p", fleet.primary.address(), true), member("n", newcomer.address(), false)}));
  ASSERT_TRUE(fleet.discovery->wait_watches(1));
  PgClient waiting(fleet.program->pg());
  PgClient client(fleet.program->pg());
  fleet.primary.behavior = Behavior::hang;
  waiting.socket.send(pg_query(statement("a1", "pay", 3000)));
  ASSERT_TRUE(fleet.primary.wait_for(1));
  for (const auto& bad : {std::string("nonsense"), config_json("nowhere", list_of(1, {}))}) {
    fleet.program->configure(bad);
    fleet.program->signal(SIGHUP);
    ASSERT_TRUE(fleet.program->wait_output("configuration not reloaded: ", bad == "nonsense" ? 1 : 2));
  }
  EXPECT_EQ(client.query(statement("a2", "history")).types, "TDCZ");
  fleet.program->configure(config_json(next.address(), list_of(1, {})));
  for (int i = 0; i < 5; ++i) fleet.program->signal(SIGHUP);
  ASSERT_TRUE(next.wait_watches(1));
  for (int i = 0; newcomer.count() == 0 && i < 2000; ++i)
    EXPECT_EQ(client.query(statement("b" + std::to_string(i), "history")).types, "TDCZ");
  EXPECT_GT(newcomer.count(), 0U);
  // The request has kept its connection to the host, and so fails at its deadline.
  EXPECT_EQ(waiting.read_answer().code, "58000");
  fleet.program->signal(SIGHUP);
  fleet.program->signal(SIGTERM);
  fleet.program->signal(SIGHUP);
  EXPECT_EQ(fleet.program->wait_exit(), 0);
}

TEST(Gateway, SighupPrefersTheFileOverTheEnvironmentVariable) {
  Discovery first(list_of(1, {}));
  Discovery next(list_of(1, {}));
  ::setenv("ROUTER_DISCOVERY", first.address().c_str(), 1);
  GatewayProcess program(config_json("127.0.0.1:1", list_of(1, {})));
  ::unsetenv("ROUTER_DISCOVERY");
  ASSERT_TRUE(first.wait_watches(1));
  program.configure(config_json(next.address(), list_of(1, {})));
  program.signal(SIGHUP);
  EXPECT_TRUE(next.wait_watches(1));
}

TEST(Gateway, SilentDiscoveryWatchIsReopened) {
  Fleet fleet;
  ASSERT_TRUE(fleet.discovery->wait_watches(1));
  EXPECT_TRUE(fleet.discovery->wait_watches(2));  // the stand-in sends no heartbeats
}

TEST(Gateway, TruncatedMalformedOrOversizedMemberListKeepsTheOldOneAndReopensTheWatchOnce) {
  const std::string truncated = R"({"version":7,"full":true,"servers":[{"id":"l","addr":"127.0.)";
  for (const auto& [bytes, end] :
       {std::pair{truncated, true}, std::pair{std::string("{\"version\":7}\n"), false},
        std::pair{std::string("{]\n"), false},
        std::pair{std::string(std::size_t{1100} << 10U, 'x'), false}}) {
    Fleet fleet;
    ASSERT_TRUE(fleet.discovery->wait_watches(1));
    PgClient client(fleet.program->pg());
    EXPECT_EQ(client.query(statement("a1", "bid")).types, "TDCZ");
    fleet.discovery->send_partial_chunk(bytes, end);
    EXPECT_EQ(client.query(statement("a2", "bid")).types, "TDCZ");
    EXPECT_TRUE(fleet.discovery->wait_watches(2)) << bytes.substr(0, 20);
    EXPECT_EQ(client.query(statement("a3", "history")).types, "TDCZ");
    EXPECT_EQ(fleet.discovery->watches(), 2U) << bytes.substr(0, 20);
  }
}

TEST(Gateway, BusyDiscoveryIsRetriedWhileRequestsUseTheConfiguredList) {
  PgStandIn primary;
  primary.primary = true;
  const auto known = list_of(1, {member("p", primary.address(), true)});
  Discovery discovery(list_of(9, {member("p", primary.address(), true)}), 2);
  GatewayProcess program(config_json(discovery.address(), known));
  PgClient client(program.pg());
  EXPECT_EQ(client.query(statement("a1", "bid")).types, "TDCZ");
  EXPECT_TRUE(discovery.wait_watches(1)) << "the third call";
  EXPECT_EQ(client.query(statement("a2", "bid")).types, "TDCZ");
}

TEST(Gateway, DeltaThatChangesSixtyPercentOfSixtyHostsIsApplied) {
  Fleet fleet;
  ASSERT_TRUE(fleet.discovery->wait_watches(1));
  // 57 more hosts in 15 other groups, at an address without a listener; 36 of the 60 hosts change at once.
  std::vector<std::string> others;
  std::vector<std::string> changed;
  for (int i = 0; i < 57; ++i) {
    const auto in_group = [&](const char* state) {
      auto entry = member("x" + std::to_string(i), "127.0.0.1:1", i % 4 == 0, state);
      const std::string cell = "\"cell\":1";
      entry.replace(entry.find(cell), cell.size(), "\"cell\":" + std::to_string(2 + i / 4));
      return entry;
    };
    others.push_back(in_group("SERVING"));
    if (i < 34) changed.push_back(in_group("DRAINING"));
  }
  fleet.discovery->send_list(list_of(2, others, false));
  PgClient client(fleet.program->pg());
  EXPECT_EQ(client.query(statement("a0", "history")).types, "TDCZ");
  changed.push_back(member("l", fleet.left.address(), false, "DRAINING"));
  changed.push_back(member("r", fleet.right.address(), false, "DRAINING"));
  fleet.discovery->send_list(list_of(3, changed, false));
  // Reads go to the replicas until the list has been applied, then to the primary alone.
  int reads = 0;
  for (; reads < 200; ++reads)
    if (const auto answer = client.query(statement("b" + std::to_string(reads), "history"));
        answer.value == "from " + fleet.primary.address())
      break;
  ASSERT_LT(reads, 200);
  const auto before = fleet.left.count() + fleet.right.count();
  for (int i = 0; i < 40; ++i)
    EXPECT_EQ(client.query(statement("c" + std::to_string(i), "history")).types, "TDCZ");
  EXPECT_EQ(fleet.left.count() + fleet.right.count(), before);
}

TEST(Gateway, StartupAndQueriesInOneSegmentAreAnsweredInOrder) {
  Fleet fleet;
  PgClient client(fleet.program->pg(), false);
  const std::string ssl_request("\0\0\0\x08\x04\xd2\x16\x2f", 8);
  client.socket.send(ssl_request + pg_startup() + pg_query("") + pg_query(statement("a1", "history")) +
                     pg_query("SET x = 1"));
  EXPECT_EQ(client.socket.read(1), "N");
  EXPECT_EQ(client.read_answer().types, "RSSSZ");
  EXPECT_EQ(client.read_answer().types, "IZ");
  EXPECT_EQ(client.read_answer().types, "TDCZ");
  EXPECT_EQ(client.read_answer().types, "CZ");
}

// An answer that breaks the protocol must neither reach the client nor cause a retry: the request may have
// run.
TEST(Gateway, MalformedHostAnswerIsReportedAsAFailureThatMayHaveRun) {
  Fleet fleet;
  PgClient client(fleet.program->pg());
  const auto ready = PgStandIn::message('Z', "I");
  // The parts of an answer with one row: row description (T), data row (D), command complete (C).
  const auto row = PgStandIn::row("v");
  const auto description = row.substr(0, row.find('D'));
  const auto data = row.substr(description.size(), row.find('C') - description.size());
  const auto done = row.substr(description.size() + data.size());
  const auto error = PgStandIn::message('E', std::string("C53300\0Mfull\0\0", 14));
  int i = 0;
  for (const auto& bytes :
       {std::string(40, '\x07'), data + description + done + ready, description + data + data + done + ready,
        description + done + ready, data + done + ready, description + data + ready, ready,
        description + description + data + done + ready, description + data + error + ready,
        description + data + done + error + ready, error + row + ready,
        PgStandIn::message('E', std::string("Mno code\0\0", 10)) + ready,
        PgStandIn::message('T', "garbage") + data + done + ready,
        description + PgStandIn::message('D', "garbage") + done + ready,
        description + std::string("D\xb2\xd0\x5e\0", 5), description + std::string("D\xff\xff\xff\xff", 5)}) {
    fleet.primary.answer_once_with(bytes);
    const auto before = fleet.request_count();
    const auto answer = client.query(statement("s" + std::to_string(++i), "pay"));
    EXPECT_EQ(answer.types, "EZ") << i;
    EXPECT_EQ(answer.code, "58000") << i;  // no refusal: the request may have run
    EXPECT_EQ(fleet.request_count(), before + 1) << i;
    EXPECT_EQ(client.query(statement("g" + std::to_string(i), "pay")).value,
              "from " + fleet.primary.address())
        << i;
  }
}

// Bytes behind a complete answer must not be taken for the answer to the next request.
TEST(Gateway, SurplusBytesBehindAnAnswerReachNoClient) {
  Fleet fleet;
  const auto complete_answer = PgStandIn::row("first") + PgStandIn::message('Z', "I");
  int i = 0;
  for (const auto& surplus : {complete_answer, std::string(3, '\x07'), std::string("\0", 1)}) {
    fleet.primary.answer_once_with(complete_answer + surplus);
    PgClient client(fleet.program->pg());
    const auto id = std::to_string(++i);
    EXPECT_EQ(client.query(statement("a" + id, "pay")).value, "first");
    EXPECT_EQ(client.query(statement("b" + id, "pay")).value, "from " + fleet.primary.address());
  }
}

TEST(Gateway, ConnectionToTheOldAddressOfAHostIsNotReused) {
  Fleet fleet;
  PgStandIn elsewhere;
  PgStandIn newcomer;
  elsewhere.primary = true;
  ASSERT_TRUE(fleet.discovery->wait_watches(1));
  PgClient waiting(fleet.program->pg());
  PgClient client(fleet.program->pg());
  fleet.primary.behavior = Behavior::hold;
  waiting.socket.send(pg_query(statement("a1", "pay")));
  ASSERT_TRUE(fleet.primary.wait_for(1));
  fleet.discovery->send_list(
      list_of(2, {member("p", elsewhere.address(), true), member("n", newcomer.address(), false)}, false));
  for (int i = 0; newcomer.count() == 0 && i < 2000; ++i)
    client.query(statement("r" + std::to_string(i), "history"));
  fleet.primary.behavior = Behavior::serve;
  // The open request finishes at the old address.
  EXPECT_EQ(waiting.read_answer().value, "from " + fleet.primary.address());
  EXPECT_EQ(waiting.query(statement("a2", "pay")).value, "from " + elsewhere.address());
}

TEST(Gateway, RequestWithTheIdOfAnOpenRequestIsRejected) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::hang;
  PgClient waiting(fleet.program->pg());
  PgClient other(fleet.program->pg());
  waiting.socket.send(pg_query(statement("a1", "pay", 3000)));
  ASSERT_TRUE(fleet.primary.wait_for(1));
  fleet.primary.behavior = Behavior::serve;
  EXPECT_EQ(other.query(statement("a1", "history")).code, "08P01");
  EXPECT_EQ(fleet.request_count(), 1U);
  EXPECT_EQ(waiting.read_answer().code, "58000");
  EXPECT_EQ(other.query(statement("a1", "history")).types, "TDCZ");
}

TEST(Gateway, PipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::hold;
  PgClient client(fleet.program->pg());
  client.socket.send(pg_query(statement("a1", "pay")) + pg_query(statement("a2", "history")) + pg_query("") +
                     pg_query("garbage") + pg_query(statement("a3", "history")) + "X" +
                     std::string("\0\0\0\4", 4));
  ASSERT_TRUE(fleet.primary.wait_for(1));
  for (int i = 0; fleet.request_count() < 3 && i < 2000; ++i) std::this_thread::sleep_for(5ms);
  EXPECT_EQ(fleet.request_count(), 3U);  // though the first is not answered yet
  fleet.primary.behavior = Behavior::serve;
  EXPECT_EQ(client.read_answer().value, "from " + fleet.primary.address());
  for (const auto* types : {"TDCZ", "IZ", "EZ", "TDCZ"}) EXPECT_EQ(client.read_answer().types, types);
  EXPECT_TRUE(client.socket.ended_in_order());
}

TEST(Gateway, HungRequestDoesNotBlockTheRequestsPipelinedBehindIt) {
  Fleet fleet;
  fleet.primary.behavior = Behavior::hang;
  PgClient client(fleet.program->pg());
  std::string pipeline = pg_query(statement("a0", "pay", 9000));
  for (int i = 1; i <= 40; ++i) pipeline += pg_query(statement("a" + std::to_string(i), "history"));
  client.socket.send(pipeline);
  // Number of reads that have reached a host: all requests but the first, a write.
  const auto reads = [&] { return fleet.request_count() - 1; };
  ASSERT_TRUE(fleet.primary.wait_for(1));
  for (int i = 0; reads() < 40 && i < 1000; ++i) std::this_thread::sleep_for(5ms);
  EXPECT_GE(reads(), 40U);  // while the first request is open: its deadline is 9 s
}

TEST(Gateway, DeadlineCountsFromTheLastByteOfTheRequestNotFromItsStart) {
  Fleet fleet;
  fleet.set_behavior(Behavior::hang);
  PgClient client(fleet.program->pg());
  std::string pipeline;
  const auto add = [&](int number, const char* class_name, int deadline_ms) {
    pipeline += pg_query(statement("a" + std::to_string(number), class_name, deadline_ms));
  };
  for (int i = 0; i < 10; ++i) add(i, "pay", 700);
  // 16 requests may be open on a connection: the next request waits.
  for (int i = 10; i < 16; ++i) add(i, "history", 2000);
  add(16, "pay", 700);
  client.socket.send(pipeline);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(client.read_answer().code, "58000") << i;
  for (int i = 10; i < 16; ++i) EXPECT_EQ(client.read_answer().types, "EZ") << i;
  EXPECT_EQ(client.read_answer().code, "53300");  // started after its deadline: the request never ran
  const auto seen = fleet.primary.seen();
  EXPECT_EQ(std::count(seen.begin(), seen.end(), "a16"), 0);
}

TEST(Gateway, AllPipelinedAttemptsOfAClientThatClosesItsConnectionAreEnded) {
  Fleet fleet;
  fleet.set_behavior(Behavior::hang);
  {
    PgClient client(fleet.program->pg());
    client.socket.send(pg_query(statement("a1", "pay")) + pg_query(statement("a2", "pay")));
    ASSERT_TRUE(fleet.primary.wait_for(2));
  }
  EXPECT_TRUE(fleet.primary.wait_ended(2));
}

TEST(Gateway, InvalidRequestGetsAnErrorCodeAndABrokenMessageClosesTheConnection) {
  Fleet fleet;
  struct Case {
    std::string sql;
    std::string code;
  };
  PgClient client(fleet.program->pg());
  for (const auto& [sql, code] : {Case{"SELECT 1", "08P01"}, Case{statement("a", "nothing"), "08P01"},
                                  Case{"SELECT v /* id=a,c=view,t=nobody,d=900,cluster=1 */", "08P01"},
                                  Case{"SELECT v /* id=a,c=view,t=acme,d=900,cluster=77 */", "3D000"},
                                  Case{"SELECT v /* c=view,t=acme,d=900,cluster=1 */", "08P01"},
                                  Case{"SELECT v /* id=a,c=view,t=acme,cluster=1 */", "08P01"},
                                  Case{"SELECT v /* id=a,c=view,t=acme,d=soon,cluster=1 */", "08P01"}}) {
    const auto answer = client.query(sql);
    EXPECT_EQ(answer.types, "EZ") << sql;
    EXPECT_EQ(answer.code, code) << sql;
  }
  EXPECT_EQ(client.query(statement("a1", "history")).types, "TDCZ");  // the connection stays usable
  for (const auto& bytes :
       {std::string("Q\x7f\xff\xff\xff", 5), std::string("Q\0\0\0\1", 5), std::string("P\0\0\0\4", 5)}) {
    PgClient broken(fleet.program->pg());
    broken.socket.send(bytes);
    EXPECT_EQ(broken.read_answer().code, "08P01");
    EXPECT_TRUE(broken.socket.ended());
  }
  EXPECT_EQ(fleet.request_count(), 1U);
}

/// A gateway with 64 descriptors. It reserves 48 of them for itself (src/app/gateway.cpp); three quarters of
/// the other 16 are for twelve clients, one quarter for four connections to its host (src/app/service.cpp).
struct SmallGateway {
  PgStandIn host;
  std::unique_ptr<Discovery> discovery;
  std::unique_ptr<GatewayProcess> program;
  SmallGateway() {
    host.primary = true;
    const auto known = list_of(1, {member("p", host.address(), true)});
    discovery = std::make_unique<Discovery>(known);
    auto config = config_json(discovery->address(), known);
    const std::string limit = "\"sockets\":1024";
    config.replace(config.find(limit), limit.size(), "\"sockets\":64");
    program = std::make_unique<GatewayProcess>(config);
  }
};

TEST(Gateway, LongestIdleClientIsClosedBeforeTheClientLimitIsReached) {
  SmallGateway gateway;
  std::vector<std::unique_ptr<PgClient>> idle;
  for (int i = 0; i < 9; ++i) {
    idle.push_back(std::make_unique<PgClient>(gateway.program->pg()));
    EXPECT_EQ(idle.back()->query(statement("a" + std::to_string(i), "pay")).types, "TDCZ");
  }
  EXPECT_TRUE(idle.front()->socket.ended());  // the longest idle one
  // A sixth of the connections may stay idle.
  EXPECT_EQ(idle.back()->query(statement("c", "pay")).types, "TDCZ");
}

TEST(Gateway, ClientWithoutACompleteMessageIsClosedAndOthersStay) {
  Fleet fleet;
  PgClient complete(fleet.program->pg());
  PgClient silent(fleet.program->pg(), false);
  PgClient incomplete(fleet.program->pg());
  EXPECT_EQ(complete.query("").types, "IZ");
  incomplete.socket.send(pg_query(statement("a", "pay")).substr(0, 40));
  EXPECT_TRUE(silent.socket.ended());
  EXPECT_TRUE(incomplete.socket.ended());
  EXPECT_EQ(complete.query(statement("b", "pay")).types, "TDCZ");
}

TEST(Gateway, FinalErrorArrivesDespiteUnreadInput) {
  SmallGateway gateway;
  PgClient broken(gateway.program->pg());
  broken.socket.send("P" + std::string(4, '\0') + std::string(100000, 'x'));
  const auto head = broken.socket.read(5);
  ASSERT_TRUE(head && broken.socket.read(static_cast<unsigned char>((*head)[4]) - 4U));
  EXPECT_EQ((*head)[0], 'E');
  EXPECT_TRUE(broken.socket.ended_in_order());
}

TEST(Gateway, ClientAboveTheLimitIsRejectedAndTheOthersAreServed) {
  SmallGateway gateway;
  auto& program = *gateway.program;
  std::vector<std::unique_ptr<PgClient>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<PgClient>(program.pg()));
    EXPECT_EQ(clients.back()->query("").types, "IZ");
    // With half a command no client is idle; an idle one would be closed for the next.
    clients.back()->socket.send(pg_query(statement("a" + std::to_string(i), "pay")).substr(0, 40));
  }
  PgClient rejected(program.pg(), false);
  EXPECT_EQ(rejected.read_answer().code, "53300");
  EXPECT_TRUE(rejected.socket.ended());
  for (int i = 0; i < 12; ++i) {
    clients[i]->socket.send(pg_query(statement("a" + std::to_string(i), "pay")).substr(40));
    EXPECT_EQ(clients[i]->read_answer().types, "TDCZ");
  }
  clients.pop_back();
  std::unique_ptr<PgClient> next;  // admitted once the gateway has seen the other close
  for (int i = 0; i < 200 && !(next && next->query("").types == "IZ"); ++i)
    next = std::make_unique<PgClient>(program.pg());
  EXPECT_EQ(next->query(statement("a2", "pay")).types, "TDCZ");
}

TEST(Gateway, StartsUnderTheSmallestResourceLimits) {
  auto config = config_json("127.0.0.1:1", list_of(1, {}));
  const std::string limits = "\"memory_mb\":192,\"sockets\":1024";
  config.replace(config.find(limits), limits.size(), "\"memory_mb\":32,\"sockets\":256");
  GatewayProcess program(config);
  EXPECT_EQ(PgClient(program.pg()).query("").types, "IZ");
}

TEST(Gateway, InvalidConfigurationIsReportedInOneLineThatNamesTheKey) {
  const auto good = config_json("127.0.0.1:1", list_of(1, {}));
  const auto with = [&](const std::string& from, const std::string& to) {
    auto text = good;
    return text.replace(text.find(from), from.size(), to);
  };
  struct Case {
    std::string config;
    std::string key;
  };
  for (const auto& [config, key] :
       {Case{"nonsense", "config"}, Case{with("\"name\"", "\"nom\""), "name"},
        Case{with("127.0.0.1:0", "everywhere"), "listen"}, Case{with("127.0.0.1:1\"", "x\""), "discovery"},
        Case{with("\"seed\":\"2a\"", "\"seed\":\"zz\""), "seed"},
        Case{with("\"sockets\":1024", "\"sockets\":1"), "limits.sockets"},
        Case{with("\"memory_mb\":192", "\"memory_mb\":1"), "limits.memory_mb"},
        Case{with("\"aim\":2000", "\"aim\":\"soon\""), "settings.classes.0.aim"},
        Case{with("\"servers\":[]", "\"servers\":7"), "known"}}) {
    GatewayProcess program(config);
    EXPECT_EQ(program.wait_exit(), 1) << key;
    EXPECT_NE(program.output().find(key), std::string::npos) << program.output();
    EXPECT_EQ(std::count(program.output().begin(), program.output().end(), '\n'), 1) << program.output();
  }
}

}  // namespace
}  // namespace cedarring::test
