// End-to-end tests over real sockets against a started gateway: levels of reduced service, contracts, the
// admin socket and the records file.
//
// Request classes of the configuration: "view" reads within a staleness bound, "history" reads anything,
// "gate" reads the newest state, "bid" is a write with an idempotency key, "pay" a write that must not run
// twice. Answers are compared by the types of their messages: TDCZ is a row, CZ a statement without rows, IZ
// the answer to an empty query, EZ an error. Errors have an SQLSTATE: 53300 is a refusal, after which the
// client may try again.
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <fstream>
#include <sstream>

#include "support/stand_in.h"
#include "wire/admin.h"

namespace cedarring::test {
namespace {

using Clock = std::chrono::steady_clock;

/// A gateway file that switches the levels on.
constexpr const char* gateway_with_levels =
    R"({"admin":{"socket":"@DIR@/admin.sock"},"records":{"file":"@DIR@/records.jsonl"},)"
    R"("log":{"form":"json"},"levels":{"mode":"on"}})";

/// A gateway in front of one group: a primary and two replicas.
struct GatewayFixture {
  PgStandIn primary;
  PgStandIn left;
  PgStandIn right;
  std::unique_ptr<Discovery> discovery;
  std::unique_ptr<GatewayProcess> program;
  /// `gateway`: the content of the gateway file.
  explicit GatewayFixture(const std::string& gateway = gateway_with_levels) {
    primary.primary = true;
    const auto list = list_of(1, {member("p", primary.address(), true), member("l", left.address(), false),
                                  member("r", right.address(), false)});
    discovery = std::make_unique<Discovery>(list);
    program = std::make_unique<GatewayProcess>(config_json(discovery->address(), list), "", gateway);
  }
  /// Waits until the output of `ctl --json levels` contains the text; false after the response timeout.
  bool wait_levels(const std::string& text) {
    for (const auto end = Clock::now() + response_timeout; Clock::now() < end;) {
      if (program->ctl("--json levels").find(text) != std::string::npos) return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }
  /// Content of the records file.
  std::string records() const {
    std::ifstream file(program->dir() + "/records.jsonl");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }
};

TEST(ReducedService, WriteWithoutAPrimaryIsRefusedAtOnceAndReadsAreStillServed) {
  GatewayFixture gateway;
  PgClient client(gateway.program->pg());
  EXPECT_EQ(client.query(statement("a0", "bid")).types, "TDCZ");
  // The primary drains, and no replica has taken over.
  ASSERT_TRUE(gateway.discovery->wait_watches(1));
  gateway.discovery->send_list(
      list_of(2, {member("p", gateway.primary.address(), false, "DRAINING")}, false));
  ASSERT_TRUE(gateway.wait_levels("no-writes"));
  const auto start = Clock::now();
  const auto refused = client.query(statement("a1", "bid", 4000));
  EXPECT_LT(Clock::now() - start, 1500ms);  // the router alone would hold the write for 1.8 s
  EXPECT_EQ(refused.code, "53300");
  EXPECT_GT(std::atoi(refused.detail.c_str()), 0);
  EXPECT_LE(std::atoi(refused.detail.c_str()), 500);
  EXPECT_EQ(client.query(statement("a2", "history")).types, "TDCZ");
  // With a new primary, writes are served at once, although the level lasts for its minimum dwell time.
  gateway.left.primary = true;
  gateway.discovery->send_list(list_of(3, {member("l", gateway.left.address(), true)}, false));
  std::string types;
  for (int i = 0; i < 200 && types != "TDCZ"; ++i) {
    types = client.query(statement("b" + std::to_string(i), "bid")).types;
    if (types != "TDCZ") std::this_thread::sleep_for(20ms);
  }
  EXPECT_EQ(types, "TDCZ");
  const auto records = gateway.records();
  EXPECT_NE(records.find(R"("subject":"postgresql group 1","from":"normal","to":"no-writes")"),
            std::string::npos)
      << records;
  EXPECT_NE(records.find("primary_lost"), std::string::npos);
  std::istringstream lines(records);
  for (std::string line; std::getline(lines, line);) {
    rapidjson::Document record;
    record.Parse(line.c_str());
    EXPECT_FALSE(record.HasParseError()) << line;
  }
}

TEST(ReducedService, PinByAnOperatorShedsUntilItsEndAndIsRecorded) {
  GatewayFixture gateway(
      R"({"admin":{"socket":"@DIR@/admin.sock"},"levels":{"mode":"on","apart_ms":1000,"pressure":[)"
      R"({"name":"normal"},{"name":"no-history","shed":[{"classes":["history"]}],)"
      R"("enter":{"any":[{"reading":"refused","class":"gate","above":0.5}]},)"
      R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.1}]}}]}})");
  PgClient client(gateway.program->pg());
  EXPECT_EQ(client.query(statement("a0", "history")).types, "TDCZ");
  EXPECT_EQ(gateway.program->ctl("set-level postgresql pressure nowhere 30").substr(0, 5), "error");
  EXPECT_NE(gateway.program->ctl("set-level mysql pressure survive 30").find("no front"), std::string::npos);
  EXPECT_NE(gateway.program->ctl("set-level postgresql pressure no-history 2").find("exit 0"),
            std::string::npos);
  ASSERT_TRUE(gateway.wait_levels(R"("pressure":{"level":"no-history")"));
  const auto refused = client.query(statement("a1", "history"));
  EXPECT_EQ(refused.code, "53300");
  EXPECT_GT(std::atoi(refused.detail.c_str()), 0);
  EXPECT_EQ(client.query(statement("a2", "gate")).types, "TDCZ");
  // The level ends after the pin and the minimum time between changes.
  ASSERT_TRUE(gateway.wait_levels(R"("pressure":{"level":"normal")"));
  EXPECT_EQ(client.query(statement("a3", "history")).types, "TDCZ");
  const auto records = gateway.program->ctl("records");
  for (const auto* cause : {"pinned", "pin ended", "left"})
    EXPECT_NE(records.find(cause), std::string::npos) << records;
}

TEST(ReducedService, OscillatingLoadKeepsTheMinimumChangeIntervalAndEachChangeIsRecordedWithItsReasons) {
  GatewayFixture gateway(
      R"({"admin":{"socket":"@DIR@/admin.sock"},"records":{"file":"@DIR@/records.jsonl"},"levels":{"mode":"watch",)"
      R"("apart_ms":1000,"damping":1,"memory_ms":100,"pressure":[{"name":"normal"},{"name":"less",)"
      R"("enter":{"any":[{"reading":"retries","above":0.7}]},)"
      R"("exit":{"all":[{"reading":"retries","below":0.3}]}}]}})");
  PgClient client(gateway.program->pg());
  // The times of the recorded changes of level. Each record must have its rule, readings and time.
  const auto change_times_ms = [&] {
    std::vector<std::int64_t> times;
    std::istringstream lines(gateway.records());
    for (std::string line; std::getline(lines, line);) {
      rapidjson::Document record;
      record.Parse(line.c_str());
      EXPECT_TRUE(record.IsObject() && record.HasMember("rule") && record.HasMember("readings") &&
                  record.HasMember("at_ms"))
          << line;
      if (record.IsObject() && std::string(record["from"].GetString()) != record["to"].GetString())
        times.push_back(record["at_ms"].GetInt64());
    }
    return times;
  };
  int request_count = 0;
  // Alternates every 400 ms between retries only and no retries, until five changes have been recorded.
  for (const auto end = Clock::now() + response_timeout; Clock::now() < end && change_times_ms().size() < 5;)
    for (const auto* fields : {",r=1", ""})
      for (const auto phase_end = Clock::now() + 400ms; Clock::now() < phase_end;)
        client.query(statement("s" + std::to_string(++request_count), "history", 2000, fields));
  const auto times = change_times_ms();
  ASSERT_GE(times.size(), 5U);
  // 999 ms, since recorded times are truncated to milliseconds.
  for (std::size_t i = 1; i < times.size(); ++i) EXPECT_GE(times[i] - times[i - 1], 999);
}

TEST(ReducedService, ReloadAppliesNewLevelsAndAnInvalidFileChangesNothing) {
  GatewayFixture gateway;
  PgClient client(gateway.program->pg());
  gateway.program->configure_gateway(
      R"({"admin":{"socket":"@DIR@/admin.sock"},"levels":{"mode":"sometimes"}})");
  gateway.program->signal(SIGHUP);
  ASSERT_TRUE(gateway.program->wait_output("configuration not reloaded: ", 1));
  EXPECT_NE(gateway.program->output().find("/levels/mode"), std::string::npos);
  ASSERT_TRUE(gateway.wait_levels(R"("mode":"on")"));
  gateway.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"},"levels":{"mode":"watch"}})");
  gateway.program->signal(SIGHUP);
  ASSERT_TRUE(gateway.program->wait_output("configuration reloaded, discovery", 1));
  ASSERT_TRUE(gateway.wait_levels(R"("mode":"watch")"));
  gateway.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"}})");
  gateway.program->signal(SIGHUP);
  ASSERT_TRUE(gateway.wait_levels(R"("mode":"off")"));
  EXPECT_EQ(client.query(statement("a1", "history")).types, "TDCZ");
}

TEST(ContractsOverSockets, RequestBeyondTheContractIsRefusedAndCounted) {
  GatewayFixture gateway(
      R"({"admin":{"socket":"@DIR@/admin.sock"},"records":{"file":"@DIR@/records.jsonl"},"contracts":{)"
      R"("mode":"enforce","window_ms":1000,"teams":[{"name":"desks","tenants":["acme"],)"
      R"("classes":{"history":{"rate":0.001,"burst":3,"beyond":"refuse"}}}]}})");
  PgClient client(gateway.program->pg());
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(client.query(statement("a" + std::to_string(i), "history")).types, "TDCZ");
  const auto refused = client.query(statement("b", "history"));
  EXPECT_EQ(refused.code, "53300");
  EXPECT_GT(std::atoi(refused.detail.c_str()), 0);
  EXPECT_EQ(client.query(statement("c", "gate")).types, "TDCZ");  // a class without a contract
  const auto status = gateway.program->ctl("--json contracts");
  EXPECT_NE(status.find(R"("team":"desks","class":"history","asked":4,"within":3,"beyond":1,"in_time":3)"),
            std::string::npos)
      << status;
  for (const auto end = Clock::now() + response_timeout; Clock::now() < end && gateway.records().empty();)
    std::this_thread::sleep_for(20ms);
  EXPECT_NE(gateway.records().find("the team asked beyond its contract"), std::string::npos)
      << gateway.records();
  EXPECT_EQ(gateway.records().find("the gateway missed"), std::string::npos);
  // The report on the same records twice, as if from two gateways, with a truncated last line.
  const auto copy = gateway.program->dir() + "/next.json";
  std::ofstream(copy) << gateway.records() << "{\"record\":\"led";
  FILE* pipe = ::popen((std::string(CEDARRING_GATEWAY) + " report contracts --csv " + copy + " " +
                        gateway.program->dir() + "/records.jsonl 2>&1")
                           .c_str(),
                       "r");
  std::string report;
  char bytes[512];
  for (std::size_t n = 0; (n = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) report.append(bytes, n);
  EXPECT_EQ(::pclose(pipe), 0);
  // Columns: asked, within, beyond, in time, late, failed, left, refused by contract, contention, levels and
  // router, promised, kept.
  EXPECT_NE(report.find("postgresql desks history,8,6,2,6,0,0,0,2,0,0,0,6,6,"), std::string::npos) << report;
  EXPECT_NE(report.find("1 of "), std::string::npos) << report;  // unreadable: the truncated line
  // After a reload without contracts, the request that was refused before is served.
  gateway.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"}})");
  gateway.program->signal(SIGHUP);
  ASSERT_TRUE(gateway.program->wait_output("configuration reloaded, discovery", 1));
  EXPECT_EQ(client.query(statement("d", "history")).types, "TDCZ");
}

TEST(ContractsOverSockets, FiveHundredPipeliningConnectionsOfOneTeamDoNotAffectAnotherTeam) {
  GatewayFixture gateway;  // provides the hosts and the discovery source
  const auto list =
      list_of(1, {member("p", gateway.primary.address(), true), member("l", gateway.left.address(), false),
                  member("r", gateway.right.address(), false)});
  auto config = config_json(gateway.discovery->address(), list);
  const std::string realm = R"({"name":"acme","quota_per_s":100})";
  config.insert(config.find(realm) + realm.size(), R"(,{"name":"batch","quota_per_s":100})");
  GatewayProcess program(config, "",
                         R"({"contracts":{"mode":"enforce","teams":[{"name":"desks","tenants":["acme"]},)"
                         R"({"name":"settlement","tenants":["batch"],)"
                         R"("classes":{"history":{"rate":0.01,"burst":20,"beyond":"refuse"}}}]}})");
  PgClient desk(program.pg());
  int request_count = 0;
  int refused = 0;
  int served = 0;
  // The next four queries of the tenant "batch", in one pipeline.
  const auto pipelined_queries = [&] {
    std::string bytes;
    for (int i = 0; i < 4; ++i) {
      auto query = statement("batch" + std::to_string(++request_count), "history");
      query.replace(query.find("t=acme"), 6, "t=batch");
      bytes += pg_query(query);
    }
    return bytes;
  };
  std::vector<std::unique_ptr<PgClient>> batch;
  for (int i = 0; i < 500; ++i) {
    batch.push_back(std::make_unique<PgClient>(program.pg()));
    batch.back()->socket.send(pipelined_queries());
    if (i % 50 != 0) continue;
    EXPECT_EQ(desk.query(statement("desk" + std::to_string(i), "history")).types, "TDCZ") << i;
  }
  // Each client repeats its queries at once on its own connection, unless the connection has been closed.
  // The other team keeps querying: a client that stays idle may be closed after 150 ms while clients hold
  // this many connections.
  int repeats = 0;
  for (int round = 0; round < 2; ++round)
    for (auto& client : batch) {
      if (++repeats % 50 == 0) {
        EXPECT_EQ(desk.query(statement("repeat" + std::to_string(repeats), "history")).types, "TDCZ")
            << repeats;
      }
      bool connected = true;
      for (int i = 0; i < 4 && connected; ++i) {
        const auto answer = client->read_answer();
        connected = !answer.types.empty();
        refused += answer.code == "53300" ? 1 : 0;
        served += answer.types == "TDCZ" ? 1 : 0;
      }
      if (connected && round == 0) client->socket.send(pipelined_queries());
    }
  EXPECT_EQ(desk.query(statement("last", "gate")).types, "TDCZ");
  EXPECT_LE(served, 21);  // the burst of the contract, and the tokens earned since at its rate
  EXPECT_GE(served, 20);
  EXPECT_GE(refused, 1980);  // all other requests of the first round
}

TEST(Admin, StalledAdminClientsDoNotBlockRequestsAndAreClosedAfterTheTimeout) {
  GatewayFixture gateway;
  const auto path = gateway.program->dir() + "/admin.sock";
  const auto connect_admin = [&] {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::copy(path.begin(), path.end(), address.sun_path);
    wire::Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    return fd;
  };
  struct stat status {};
  ASSERT_EQ(::stat(path.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0077U, 0U);  // accessible to the owner only
  std::vector<wire::Fd> stalled;
  for (std::size_t i = 0; i < wire::AdminSocket::max_clients; ++i) {
    stalled.push_back(connect_admin());
    ASSERT_GT(::send(stalled.back().get(), "lev", 3, MSG_NOSIGNAL), 0);  // an incomplete line
  }
  PgClient client(gateway.program->pg());
  EXPECT_EQ(client.query(statement("a1", "history")).types, "TDCZ");            // requests are unaffected
  EXPECT_NE(gateway.program->ctl("levels").find("exit 1"), std::string::npos);  // all connections are taken
  char byte = 0;
  for (auto& fd : stalled) EXPECT_EQ(::recv(fd.get(), &byte, 1, 0), 0);  // closed after the timeout
  EXPECT_NE(gateway.program->ctl("levels").find("exit 0"), std::string::npos);
}

TEST(Admin, InvalidCommandIsAnsweredWithASpecificError) {
  GatewayFixture gateway;
  const auto path = gateway.program->dir() + "/admin.sock";
  const auto send_command = [&](const std::string& line) {
    std::string answer;
    std::string error;
    EXPECT_TRUE(wire::send_admin_command(path, line, answer, error)) << error;
    return answer;
  };
  EXPECT_NE(send_command("frobnicate").find("unknown command"), std::string::npos);
  EXPECT_NE(send_command("help").find("set-level"), std::string::npos);
  EXPECT_NE(send_command("").find("commands"), std::string::npos);
  EXPECT_NE(send_command("set-level postgresql").find("error"), std::string::npos);
  EXPECT_NE(send_command("set-level postgresql x normal 5").find("number of a group"), std::string::npos);
  EXPECT_NE(send_command("set-level postgresql pressure normal 100000").find("86400"), std::string::npos);
  EXPECT_NE(send_command(std::string(2000, 'x')).find("too long"), std::string::npos);
  EXPECT_NE(send_command("hosts").find("\"group\":1"), std::string::npos);
  std::string answer;
  std::string error;
  EXPECT_FALSE(wire::send_admin_command(path + "x", "levels", answer, error));
  EXPECT_FALSE(error.empty());
}

TEST(Admin, ExistingFileAtTheSocketPathIsKeptAndTheStartFails) {
  char directory[] = "/tmp/cedarring-XXXXXX";
  ASSERT_TRUE(mkdtemp(directory));
  const auto path = std::string(directory) + "/existing";
  std::ofstream(path) << "kept";
  GatewayProcess program(config_json("127.0.0.1:1", list_of(1, {})), "",
                         R"({"admin":{"socket":")" + path + "\"}}");
  EXPECT_EQ(program.wait_exit(), 1);
  EXPECT_NE(program.output().find(path), std::string::npos);
  std::string content;
  std::ifstream(path) >> content;
  EXPECT_EQ(content, "kept");
  ::unlink(path.c_str());
  ::rmdir(directory);
}

}  // namespace
}  // namespace cedarring::test
