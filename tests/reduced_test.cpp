// Levels of reduced service, the operators' socket and records over real sockets against the started program.
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

constexpr const char* levels_on =
    R"({"admin":{"socket":"@DIR@/admin.sock"},"records":{"file":"@DIR@/records.jsonl"},)"
    R"("log":{"form":"json"},"levels":{"mode":"on"}})";

struct Reduced {
  PgStandIn primary, left, right;
  std::unique_ptr<Discovery> discovery;
  std::unique_ptr<Program> program;
  explicit Reduced(const std::string& gateway = levels_on) {
    primary.primary = true;
    const auto list = list_of(1, {member("p", primary.address(), true), member("l", left.address(), false),
                                  member("r", right.address(), false)});
    discovery = std::make_unique<Discovery>(list);
    program = std::make_unique<Program>(config_json(discovery->address(), list), "", gateway);
  }
  /// Waits until `ctl levels` says so.
  bool wait_levels(const std::string& text) {
    for (const auto end = Clock::now() + patience; Clock::now() < end;) {
      if (program->ctl("--json levels").find(text) != std::string::npos) return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }
  std::string records() const {
    std::ifstream in(program->dir() + "/records.jsonl");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
};

TEST(Reduced, AWriteWithoutAPrimaryIsRefusedAtOnceWithWhoAndWhyAndReadsGoOn) {
  Reduced r;
  PgClient c(r.program->pg());
  EXPECT_EQ(c.query(statement("a0", "bid")).types, "TDCZ");
  // The primary is no more: it drains, and nobody has taken over.
  ASSERT_TRUE(r.discovery->wait_watches(1));
  r.discovery->tell(list_of(2, {member("p", r.primary.address(), false, "DRAINING")}, false));
  ASSERT_TRUE(r.wait_levels("no-writes"));
  const auto start = Clock::now();
  const auto refused = c.query(statement("a1", "bid", 4000));
  EXPECT_LT(Clock::now() - start, 1500ms);  // at once: the router would hold it for 1.8 s
  EXPECT_EQ(refused.code, "53300");
  EXPECT_GT(std::atoi(refused.detail.c_str()), 0);
  EXPECT_LE(std::atoi(refused.detail.c_str()), 500);
  EXPECT_EQ(c.query(statement("a2", "history")).types, "TDCZ");
  // Its return lets writes through at once, though the level is kept for its least stay.
  r.left.primary = true;
  r.discovery->tell(list_of(3, {member("l", r.left.address(), true)}, false));
  std::string types;
  for (int i = 0; i < 200 && types != "TDCZ"; ++i) {
    types = c.query(statement("b" + std::to_string(i), "bid")).types;
    if (types != "TDCZ") std::this_thread::sleep_for(20ms);
  }
  EXPECT_EQ(types, "TDCZ");
  const auto said = r.records();
  EXPECT_NE(said.find(R"("subject":"postgresql group 1","from":"normal","to":"no-writes")"),
            std::string::npos)
      << said;
  EXPECT_NE(said.find("primary_lost"), std::string::npos);
  std::istringstream lines(said);
  for (std::string line; std::getline(lines, line);) {
    rapidjson::Document d;
    d.Parse(line.c_str());
    EXPECT_FALSE(d.HasParseError()) << line;
  }
}

TEST(Reduced, AnOperatorsPinShedsAndEndsAndIsRecorded) {
  Reduced r(R"({"admin":{"socket":"@DIR@/admin.sock"},"levels":{"mode":"on","apart_ms":1000,"pressure":[)"
            R"({"name":"normal"},{"name":"no-history","shed":[{"classes":["history"]}],)"
            R"("enter":{"any":[{"reading":"refused","class":"gate","above":0.5}]},)"
            R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.1}]}}]}})");
  PgClient c(r.program->pg());
  EXPECT_EQ(c.query(statement("a0", "history")).types, "TDCZ");
  EXPECT_EQ(r.program->ctl("set-level postgresql pressure nowhere 30").substr(0, 5), "error");
  EXPECT_NE(r.program->ctl("set-level mysql pressure survive 30").find("no front"), std::string::npos);
  EXPECT_NE(r.program->ctl("set-level postgresql pressure no-history 2").find("exit 0"), std::string::npos);
  ASSERT_TRUE(r.wait_levels(R"("pressure":{"level":"no-history")"));
  const auto refused = c.query(statement("a1", "history"));
  EXPECT_EQ(refused.code, "53300");
  EXPECT_GT(std::atoi(refused.detail.c_str()), 0);
  EXPECT_EQ(c.query(statement("a2", "gate")).types, "TDCZ");
  ASSERT_TRUE(r.wait_levels(
      R"("pressure":{"level":"normal")"));  // past its end, and past the least time between changes
  EXPECT_EQ(c.query(statement("a3", "history")).types, "TDCZ");
  const auto said = r.program->ctl("records");
  for (const auto* word : {"pinned", "pin ended", "left"})
    EXPECT_NE(said.find(word), std::string::npos) << said;
}

TEST(Reduced, ALoadThatSwingsChangesNoMoreOftenThanTheBoundAndEachChangeIsExplained) {
  Reduced r(
      R"({"admin":{"socket":"@DIR@/admin.sock"},"records":{"file":"@DIR@/records.jsonl"},"levels":{"mode":"watch",)"
      R"("apart_ms":1000,"damping":1,"memory_ms":100,"pressure":[{"name":"normal"},{"name":"less",)"
      R"("enter":{"any":[{"reading":"retries","above":0.7}]},)"
      R"("exit":{"all":[{"reading":"retries","below":0.3}]}}]}})");
  PgClient c(r.program->pg());
  const auto changes = [&] {
    std::vector<std::int64_t> at;
    std::istringstream lines(r.records());
    for (std::string line; std::getline(lines, line);) {
      rapidjson::Document d;
      d.Parse(line.c_str());
      EXPECT_TRUE(d.IsObject() && d.HasMember("rule") && d.HasMember("readings") && d.HasMember("at_ms"))
          << line;
      if (d.IsObject() && std::string(d["from"].GetString()) != d["to"].GetString())
        at.push_back(d["at_ms"].GetInt64());
    }
    return at;
  };
  int asked = 0;
  // All requests are retries, then none, by turns of 400 ms, until five changes have been seen.
  for (const auto end = Clock::now() + patience; Clock::now() < end && changes().size() < 5;)
    for (const auto* more : {",r=1", ""})
      for (const auto swing = Clock::now() + 400ms; Clock::now() < swing;)
        c.query(statement("s" + std::to_string(++asked), "history", 2000, more));
  const auto at = changes();
  ASSERT_GE(at.size(), 5U);
  for (std::size_t i = 1; i < at.size(); ++i) EXPECT_GE(at[i] - at[i - 1], 999);  // each is cut to whole ms
}

TEST(Reduced, AReloadTakesOtherLevelsAndAWrongFileChangesNothing) {
  Reduced r;
  PgClient c(r.program->pg());
  r.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"},"levels":{"mode":"sometimes"}})");
  r.program->signal(SIGHUP);
  ASSERT_TRUE(r.program->wait_output("not reloaded: ", 1));
  EXPECT_NE(r.program->output().find("/levels/mode"), std::string::npos);
  ASSERT_TRUE(r.wait_levels(R"("mode":"on")"));
  r.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"},"levels":{"mode":"watch"}})");
  r.program->signal(SIGHUP);
  ASSERT_TRUE(r.program->wait_output("reloaded, discovery", 1));
  ASSERT_TRUE(r.wait_levels(R"("mode":"watch")"));
  r.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"}})");
  r.program->signal(SIGHUP);
  ASSERT_TRUE(r.wait_levels(R"("mode":"off")"));
  EXPECT_EQ(c.query(statement("a1", "history")).types, "TDCZ");
}

TEST(ContractsOverSockets, BeyondTheContractIsRefusedWithWhoAndWhyAndBooked) {
  Reduced r(R"({"admin":{"socket":"@DIR@/admin.sock"},"records":{"file":"@DIR@/records.jsonl"},"contracts":{)"
            R"("mode":"enforce","window_ms":1000,"teams":[{"name":"desks","tenants":["acme"],)"
            R"("classes":{"history":{"rate":0.001,"burst":3,"beyond":"refuse"}}}]}})");
  PgClient c(r.program->pg());
  for (int i = 0; i < 3; ++i) EXPECT_EQ(c.query(statement("a" + std::to_string(i), "history")).types, "TDCZ");
  const auto refused = c.query(statement("b", "history"));
  EXPECT_EQ(refused.code, "53300");
  EXPECT_GT(std::atoi(refused.detail.c_str()), 0);
  EXPECT_EQ(c.query(statement("c", "gate")).types, "TDCZ");  // without a contract: nobody's matter
  const auto status = r.program->ctl("--json contracts");
  EXPECT_NE(status.find(R"("team":"desks","class":"history","asked":4,"within":3,"beyond":1,"in_time":3)"),
            std::string::npos)
      << status;
  for (const auto end = Clock::now() + patience; Clock::now() < end && r.records().empty();)
    std::this_thread::sleep_for(20ms);
  EXPECT_NE(r.records().find("the team asked beyond its contract"), std::string::npos) << r.records();
  EXPECT_EQ(r.records().find("the gateway missed"), std::string::npos);
  // The report of the same records twice, as of two gateways, with a torn line at their end.
  const auto copy = r.program->dir() + "/next.json";
  std::ofstream(copy) << r.records() << "{\"record\":\"led";
  FILE* pipe = ::popen((std::string(CEDARRING_GATEWAY) + " report contracts --csv " + copy + " " +
                        r.program->dir() + "/records.jsonl 2>&1")
                           .c_str(),
                       "r");
  std::string report;
  char bytes[512];
  for (std::size_t n = 0; (n = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) report.append(bytes, n);
  EXPECT_EQ(::pclose(pipe), 0);
  EXPECT_NE(report.find("postgresql desks history,8,6,2,6,0,0,0,2,0,0,0,6,6,"), std::string::npos) << report;
  EXPECT_NE(report.find("1 of "), std::string::npos) << report;
  // Another file takes the contract away; what was refused before is served now.
  r.program->configure_gateway(R"({"admin":{"socket":"@DIR@/admin.sock"}})");
  r.program->signal(SIGHUP);
  ASSERT_TRUE(r.program->wait_output("reloaded, discovery", 1));
  EXPECT_EQ(c.query(statement("d", "history")).types, "TDCZ");
}

TEST(ContractsOverSockets, ABatchOf500ConnectionsThatPipelinesAndComesBackAtOnceLeavesTheDesksAlone) {
  Reduced r;  // only for its hosts and discovery
  const auto list = list_of(1, {member("p", r.primary.address(), true), member("l", r.left.address(), false),
                                member("r", r.right.address(), false)});
  auto config = config_json(r.discovery->address(), list);
  const std::string realm = R"({"name":"acme","quota_per_s":100})";
  config.insert(config.find(realm) + realm.size(), R"(,{"name":"batch","quota_per_s":100})");
  Program program(config, "",
                  R"({"contracts":{"mode":"enforce","teams":[{"name":"desks","tenants":["acme"]},)"
                  R"({"name":"settlement","tenants":["batch"],)"
                  R"("classes":{"history":{"rate":0.01,"burst":20,"beyond":"refuse"}}}]}})");
  PgClient desk(program.pg());
  int asked = 0, refused = 0, served = 0;
  const auto pipelined = [&] {
    std::string all;
    for (int i = 0; i < 4; ++i) {
      auto one = statement("batch" + std::to_string(++asked), "history");
      one.replace(one.find("t=acme"), 6, "t=batch");
      all += pg_query(one);
    }
    return all;
  };
  std::vector<std::unique_ptr<PgClient>> batch;
  for (int i = 0; i < 500; ++i) {
    batch.push_back(std::make_unique<PgClient>(program.pg()));
    batch.back()->socket.send(pipelined());
    if (i % 50 != 0) continue;
    EXPECT_EQ(desk.query(statement("desk" + std::to_string(i), "history")).types, "TDCZ") << i;
  }
  // Each comes back at once with as many, on its own connection; one that has been closed meanwhile stays
  // away.
  for (int round = 0; round < 2; ++round)
    for (auto& c : batch) {
      bool there = true;
      for (int i = 0; i < 4 && there; ++i) {
        const auto answer = c->read_answer();
        there = !answer.types.empty();
        refused += answer.code == "53300" ? 1 : 0, served += answer.types == "TDCZ" ? 1 : 0;
      }
      if (there && round == 0) c->socket.send(pipelined());
    }
  EXPECT_EQ(desk.query(statement("last", "gate")).types, "TDCZ");
  EXPECT_LE(served, 21);  // its burst, and what the rate has earned since
  EXPECT_GE(served, 20);
  EXPECT_GE(refused, 1980);  // all else, at once
}

TEST(Admin, AStuckClientHoldsNothingUpAndItsPlaceComesBack) {
  Reduced r;
  const auto path = r.program->dir() + "/admin.sock";
  const auto local = [&] {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::copy(path.begin(), path.end(), at.sun_path);
    wire::Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    return fd;
  };
  struct stat there {};
  ASSERT_EQ(::stat(path.c_str(), &there), 0);
  EXPECT_EQ(there.st_mode & 0077U, 0U);  // nobody else's business
  std::vector<wire::Fd> stuck;
  for (std::size_t i = 0; i < wire::AdminSocket::max_clients; ++i) {
    stuck.push_back(local());
    ASSERT_GT(::send(stuck.back().get(), "lev", 3, MSG_NOSIGNAL), 0);  // half a line, and nothing more
  }
  PgClient c(r.program->pg());
  EXPECT_EQ(c.query(statement("a1", "history")).types, "TDCZ");           // requests do not notice
  EXPECT_NE(r.program->ctl("levels").find("exit 1"), std::string::npos);  // the places are taken
  char byte = 0;
  for (auto& fd : stuck) EXPECT_EQ(::recv(fd.get(), &byte, 1, 0), 0);  // closed after their time
  EXPECT_NE(r.program->ctl("levels").find("exit 0"), std::string::npos);
}

TEST(Admin, ClearErrorsForWhatIsNotACommand) {
  Reduced r;
  const auto path = r.program->dir() + "/admin.sock";
  const auto ask = [&](const std::string& line) {
    std::string answer, error;
    EXPECT_TRUE(wire::send_admin_command(path, line, answer, error)) << error;
    return answer;
  };
  EXPECT_NE(ask("frobnicate").find("unknown command"), std::string::npos);
  EXPECT_NE(ask("help").find("set-level"), std::string::npos);
  EXPECT_NE(ask("").find("commands"), std::string::npos);
  EXPECT_NE(ask("set-level postgresql").find("error"), std::string::npos);
  EXPECT_NE(ask("set-level postgresql x normal 5").find("number of a group"), std::string::npos);
  EXPECT_NE(ask("set-level postgresql pressure normal 100000").find("86400"), std::string::npos);
  EXPECT_NE(ask(std::string(2000, 'x')).find("too long"), std::string::npos);
  EXPECT_NE(ask("hosts").find("\"group\":1"), std::string::npos);
  std::string answer, error;
  EXPECT_FALSE(wire::send_admin_command(path + "x", "levels", answer, error));
  EXPECT_FALSE(error.empty());
}

TEST(Admin, AFileInItsPlaceIsNotTakenAway) {
  char dir[] = "/tmp/cedarring-XXXXXX";
  ASSERT_TRUE(mkdtemp(dir));
  const auto path = std::string(dir) + "/precious";
  std::ofstream(path) << "kept";
  Program p(config_json("127.0.0.1:1", list_of(1, {})), "", R"({"admin":{"socket":")" + path + "\"}}");
  EXPECT_EQ(p.wait_exit(), 1);
  EXPECT_NE(p.output().find(path), std::string::npos);
  std::string word;
  std::ifstream(path) >> word;
  EXPECT_EQ(word, "kept");
  ::unlink(path.c_str());
  ::rmdir(dir);
}

}  // namespace
}  // namespace cedarring::test
