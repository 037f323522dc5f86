// deploy/gateway.json: what is wrong with it is told with file, pointer, what was expected and what was
// found.
#include "app/gateway_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "app/calendar.h"
#include "app/config.h"
#include "app/contracts_config.h"
#include "support/stand_in.h"

namespace cedarring::test {
namespace {

using namespace app;

levels::ServiceInfo service() {
  levels::ServiceInfo s;
  for (const auto& [name, need] : {std::pair{"view", Freshness::bounded},
                                   {"history", Freshness::any},
                                   {"gate", Freshness::fresh},
                                   {"bid", Freshness::write}}) {
    RequestClass c;
    c.name = name, c.latency_target = std::chrono::milliseconds(300), c.deadline = std::chrono::seconds(1),
    c.freshness = need;
    s.classes.push_back(c);
  }
  s.tenants = 1;
  return s;
}

std::string flaw_in(const std::string& text) {
  try {
    const auto file = parse_gateway_file(text, "g.json");
    levels_of(file, "postgresql", service(), {"acme"});
    return "";
  } catch (const ConfigError& e) {
    return e.what();
  }
}

TEST(GatewayFile, WhatIsWrongIsToldWithItsPlace) {
  const std::string up = R"("enter":{"any":[{"reading":"refused","class":"gate","above":0.2}]},)"
                         R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.1}]})";
  const auto ladder = [](const std::string& levels) {
    return R"({"levels":{"mode":"on","pressure":[{"name":"normal"},)" + levels + "]}}";
  };
  struct Case {
    std::string text, where, expected, found;
  };
  const std::vector<Case> cases = {
      {"{", "/", "a JSON object", "Line 1"},
      {"[]", "/", "a JSON object", "[]"},
      {R"({"level":{}})", "/level", "no such key", "'level'"},
      {R"({"log":{"level":"loud"}})", "/log/level", "\"debug\",\"info\"", "\"loud\""},
      {R"({"log":{"per_cause":0}})", "/log/per_cause", "minimum 1", "0"},
      {R"({"log":{"per_cause":"many"}})", "/log/per_cause", "integer", "\"many\""},
      {R"({"records":{"file":""}})", "/records/file", "minLength 1", "\"\""},
      {R"({"admin":{}})", "/admin", "socket", "{}"},
      {R"({"mysql":{"listen":"127.0.0.1:0"}})", "/mysql", "enabled", "listen"},
      {R"({"levels":{}})", "/levels", "mode", "{}"},
      {R"({"levels":{"mode":"on","apart_ms":10}})", "/levels/apart_ms", "minimum 1000", "10"},
      {R"({"levels":{"mode":"on","pressure":[]}})", "/levels/pressure", "minItems 1", "[]"},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"mood","above":1}]}})"),
       "/levels/pressure/1/enter/any/0/reading", "latency", "\"mood\""},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"refused","above":1}]}})"),
       "/levels/pressure/1/enter/any/0", "a class", "none"},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"memory","class":"gate","above":1}]}})"),
       "/levels/pressure/1/enter/any/0/class", "no class", "\"gate\""},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"refused","class":"tea","above":1}]}})"),
       "/levels/pressure/1/enter/any/0/class", "a class of the settings", "'tea'"},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"memory"}]}})"), "/levels/pressure/1/enter/any/0",
       "either above or below", "neither"},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"memory","above":1,"below":2}]}})"),
       "/levels/pressure/1/enter/any/0", "either above or below", "both"},
      {ladder(R"({"name":"a",)" + up + R"(,"shed":[{"classes":["tea"]}]})"),
       "/levels/pressure/1/shed/0/classes/0", "a class of the settings", "'tea'"},
      {ladder(R"({"name":"a",)" + up + R"(,"shed":[{"needs":["session"]}]})"),
       "/levels/pressure/1/shed/0/needs", "needs that some class has", "none"},
      {ladder(R"({"name":"a",)" + up + R"(,"shed":[{"tenant":"nobody"}]})"),
       "/levels/pressure/1/shed/0/tenant", "a tenant of the settings", "nobody"},
      {ladder(R"({"name":"a",)" + up + R"(,"shed":[{"share":2}]})"), "/levels/pressure/1/shed/0/share",
       "maximum 1", "2"},
      {ladder(R"({"name":"a",)" + up + R"(,"shed":[{"only_hopeless":true}]})"),
       "/levels/pressure/1/shed/0/only_hopeless", "without_primary", "none"},
      {ladder(R"({"name":"a","after":"b",)" + up + R"(},{"name":"b","after":"a",)" + up + "}"),
       "/levels/pressure/1/after", "a way up from the first level", "a cycle"},
      {ladder(R"({"name":"a",)" + up + R"(},{"name":"b","after":"normal",)" + up + "}"),
       "/levels/pressure/2/after", "no other one follows", "'normal'"},
      {ladder(R"({"name":"a","after":"c",)" + up + "}"), "/levels/pressure/1/after", "the name of a level",
       "'c'"},
      {ladder(R"({"name":"normal",)" + up + "}"), "/levels/pressure/1/name", "a name of its own",
       "'normal' twice"},
      // what only the decisions' own check sees, at the place of the file, whatever the order there
      {ladder(R"({"name":"b","after":"a"},{"name":"a","after":"normal",)" + up + "}"),
       "/levels/pressure/1/enter", "unreachable", ""},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"refused","class":"gate","above":0.2}]},)"
              R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.3}]}})"),
       "/levels/pressure/1/exit", "overlaps", ""},
      {ladder(R"({"name":"a",)" + up + R"(,"shed":[{"classes":["bid"],"share":0.1}]})"),
       "/levels/pressure/1/shed", "writes within their budget", ""},
  };
  for (const auto& c : cases) {
    const auto flaw = flaw_in(c.text);
    EXPECT_EQ(flaw.rfind("g.json: " + c.where + ": ", 0), 0U) << c.text << "\n" << flaw;
    EXPECT_NE(flaw.find(c.expected), std::string::npos) << c.text << "\n" << flaw;
    EXPECT_NE(flaw.find(c.found), std::string::npos) << c.text << "\n" << flaw;
    EXPECT_EQ(flaw.find('\n'), std::string::npos) << flaw;
  }
}

std::string contracts_flaw(const std::string& section) {
  contracts::ServiceInfo s;
  s.classes = service().classes;
  s.tenants = 2;
  try {
    parse_contracts(parse_gateway_file("{\"contracts\":" + section + "}", "g.json"), "postgresql", s,
                    {"acme", "batch"});
    return "";
  } catch (const ConfigError& e) {
    return e.what();
  }
}

TEST(GatewayFile, WhatIsWrongWithContractsIsToldWithItsPlace) {
  const auto teams = [](const std::string& list) { return R"({"mode":"count","teams":[)" + list + "]}"; };
  const auto calendar = [](const std::string& c) {
    return R"({"mode":"count","teams":[],"calendar":)" + c + "}";
  };
  struct Case {
    std::string text, where, expected;
  };
  for (
      const auto& c : std::vector<Case>{
          {"{}", "/contracts", "required"},
          {R"({"mode":"maybe","teams":[]})", "/contracts/mode", "enforce"},
          {teams(R"({"name":"a"})"), "/contracts/teams/0", "tenants"},
          {teams(R"({"name":"a","tenants":["nobody"]})"), "/contracts/teams/0/tenants/0",
           "a tenant of the settings"},
          {teams(R"({"name":"a","tenants":["acme"]},{"name":"b","tenants":["acme"]})"),
           "/contracts/teams/1/tenants", "a tenant of two teams"},
          {teams(R"({"name":"a","tenants":[]},{"name":"a","tenants":[]})"), "/contracts/teams/1/name",
           "taken"},
          {teams(R"({"name":"a","tenants":[],"classes":{"tea":{"rate":1}}})"),
           "/contracts/teams/0/classes/tea", "a class of the settings"},
          {teams(R"({"name":"a","tenants":[],"classes":{"bid":{"rate":-1}}})"),
           "/contracts/teams/0/classes/bid/rate", "minimum 0"},
          {teams(
               R"({"name":"a","tenants":[],"classes":{"bid":{"rate":1,"closure":{"rate":1,"beyond":"beg"}}}})"),
           "/contracts/teams/0/classes/bid/closure/beyond", "borrow"},
          {calendar(R"({"zone":"Asia/Nowhere","closures":[]})"), "/contracts/calendar/zone", "IANA"},
          {calendar(R"({"zone":"../../etc/passwd","closures":[]})"), "/contracts/calendar/zone", "pattern"},
          {calendar(R"({"zone":"UTC","closures":[{"at":"9"}]})"), "/contracts/calendar/closures/0/at",
           "pattern"},
          {calendar(R"({"zone":"UTC","closures":[{"at":"25:00"}]})"), "/contracts/calendar/closures/0/at",
           "a time of day"}}) {
    const auto flaw = contracts_flaw(c.text);
    EXPECT_EQ(flaw.rfind("g.json: " + c.where + ": ", 0), 0U) << c.text << "\n" << flaw;
    EXPECT_NE(flaw.find(c.expected), std::string::npos) << c.text << "\n" << flaw;
  }
  EXPECT_EQ(contracts_flaw(teams(
                R"({"name":"a","tenants":["acme"],"classes":{"bid":{"rate":5,"closure":{"rate":9}}}})")),
            "");
}

/// The windows of one closure, as seconds of their starts after `base`.
std::vector<std::int64_t> starts(const Calendar& c, std::int64_t base, int days) {
  std::vector<std::int64_t> all;
  for (const auto& w : closures_around(c, std::chrono::seconds(base), days))
    all.push_back(std::chrono::duration_cast<std::chrono::seconds>(w.from).count() - base);
  return all;
}

TEST(Calendar, LocalTimesThroughTheChangesOfTheClocks) {
  Calendar c;
  c.zone = "Europe/Berlin";
  c.closures = {{2, 30, 0x7f, {}, std::chrono::seconds(60)}};
  // 24 October 2026, 12:00 UTC; in the night to the 25th the clocks go back and 02:30 occurs twice.
  const std::int64_t autumn = 1792843200;
  const auto a = starts(c, autumn, 2);
  ASSERT_EQ(a.size(), 4U);  // one a day, 23 to 26: the double hour counts once
  EXPECT_EQ(a[1] - a[0], 24 * 3600);
  EXPECT_EQ(a[3] - a[2], 24 * 3600 + (a[2] - a[1] == 24 * 3600 ? 3600 : 0));
  EXPECT_EQ(a[3] - a[1], 49 * 3600);
  // 28 March 2026, 12:00 UTC; in the night to the 29th there is no 02:30.
  const std::int64_t spring = 1774699200;
  const auto s = starts(c, spring, 2);
  ASSERT_EQ(s.size(), 4U);
  EXPECT_EQ(s[3] - s[1], 47 * 3600);
}

TEST(Calendar, DaysLeadsMidnightAndNeighbours) {
  Calendar c;
  c.zone = "Asia/Tokyo";
  // Tuesday, 1 December 2026, 12:00 UTC is 21:00 there.
  const std::int64_t base = 1796126400;
  c.closures = {{0, 5, 0x7f, std::chrono::seconds(600), std::chrono::seconds(600)}};  // over midnight
  const auto w = closures_around(c, std::chrono::seconds(base), 1);
  ASSERT_EQ(w.size(), 3U);
  EXPECT_EQ(w[2].from, std::chrono::seconds(base + 3 * 3600 + 300 - 600));
  EXPECT_EQ(w[2].to - w[2].from, std::chrono::seconds(1200));
  c.closures = {{9, 0, 1U << 3U, {}, std::chrono::seconds(60)}};  // Wednesdays only
  EXPECT_EQ(starts(c, base, 8), (std::vector<std::int64_t>{12 * 3600, (7 * 24 + 12) * 3600}));
  c.closures = {{9, 0, 0x7f, std::chrono::seconds(600), {}}, {9, 5, 0x7f, std::chrono::seconds(600), {}}};
  EXPECT_EQ(closures_around(c, std::chrono::seconds(base), 0).size(), 2U);  // that overlap: one a day
  EXPECT_FALSE(has_zone_data("Asia/Nowhere"));
  EXPECT_FALSE(has_zone_data("/etc/localtime"));
  EXPECT_TRUE(has_zone_data("Asia/Tokyo"));
}

TEST(GatewayFile, SectionsThatAreAbsentAreOff) {
  for (const auto* text :
       {"{}", R"({"levels":{"mode":"off"}})", R"({"levels":{"mode":"on","fronts":["mysql"]}})"}) {
    const auto f = parse_gateway_file(text, "g.json");
    EXPECT_TRUE(f.admin_socket.empty());
    EXPECT_TRUE(f.log.records_file.empty());
    EXPECT_FALSE(levels_of(f, "postgresql", service(), {"acme"}));
  }
}

TEST(GatewayFile, LevelsAreOrderedByWhatTheyFollow) {
  const std::string up = R"("enter":{"any":[{"reading":"refused","class":"gate","above":0.2}]},)"
                         R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.1}]})";
  const auto f =
      parse_gateway_file(R"({"levels":{"mode":"watch","apart_ms":20000,"pressure":[{"name":"normal"},)"
                         R"({"name":"third","after":"second",)" +
                             up + R"(},{"name":"second","after":"normal",)" + up + "}]}}",
                         "g.json");
  const auto c = levels_of(f, "postgresql", service(), {"acme"});
  ASSERT_TRUE(c);
  ASSERT_EQ(c->pressure.levels.size(), 3U);
  EXPECT_EQ(c->pressure.levels[1].name, "second");
  EXPECT_EQ(c->pressure.levels[2].name, "third");
  EXPECT_EQ(c->mode, levels::Mode::watch);
  EXPECT_EQ(c->pressure.apart, std::chrono::seconds(20));
}

TEST(GatewayFile, WhatIsPrintedAsEffectiveCanBeReadAgain) {
  auto c = levels::default_config(service());
  c.mode = levels::Mode::on;
  c.pressure.levels[1].sheds.push_back({{}, 0, false, false, false, 0.25});
  const auto text = levels_json(c, service(), {"acme"});
  const auto f = parse_gateway_file("{\"levels\":" + text + "}", "g.json");
  const auto again = levels_of(f, "postgresql", service(), {"acme"});
  ASSERT_TRUE(again);
  EXPECT_EQ(levels_json(*again, service(), {"acme"}), text);
}

/// The program's words and exit code for some arguments.
std::pair<std::string, int> command(const std::string& words, const std::string& before = "") {
  FILE* pipe = ::popen((before + std::string(CEDARRING_GATEWAY) + " " + words + " 2>&1").c_str(), "r");
  std::string text;
  char bytes[512];
  for (std::size_t n = 0; (n = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) text.append(bytes, n);
  return {text, WEXITSTATUS(::pclose(pipe))};
}

TEST(CommandLine, CheckVersionAndWordsThatAreNone) {
  char dir[] = "/tmp/cedarring-XXXXXX";
  ASSERT_TRUE(mkdtemp(dir));
  const std::string good = std::string(dir) + "/good.json", bad = std::string(dir) + "/bad.json",
                    platform = std::string(dir) + "/config.json";
  std::ofstream(good) << R"({"levels":{"mode":"on"}})";
  std::ofstream(bad) << R"({"levels":{"mode":"often"}})";
  std::ofstream(platform) << config_json("127.0.0.1:1", list_of(1, {}));
  EXPECT_EQ(command("version"), (std::pair{std::string("cedarring 0.1.0\n"), 0}));
  const auto form = command("check " + good, "env -u ROUTER_CONFIG ");
  EXPECT_EQ(form.second, 0) << form.first;
  const auto whole = command("check " + good, "ROUTER_CONFIG=" + platform + " ");
  EXPECT_EQ(whole.second, 0) << whole.first;
  EXPECT_NE(whole.first.find("shed-history"), std::string::npos) << whole.first;  // the effective ladder
  const auto wrong = command("check " + bad);
  EXPECT_EQ(wrong.second, 1);
  EXPECT_NE(wrong.first.find(bad + ": /levels/mode: expected"), std::string::npos) << wrong.first;
  const auto missing = command("check " + std::string(dir) + "/none.json");
  EXPECT_EQ(missing.second, 1);
  const auto tool = command("no-such-tool");
  EXPECT_EQ(tool.second, 2);
  EXPECT_NE(tool.first.find("no command 'no-such-tool'"), std::string::npos);
  EXPECT_NE(command("--nonsense").second, 0);
  const auto serve = command("serve --config " + bad, "ROUTER_CONFIG=" + platform + " ");
  EXPECT_EQ(serve.second, 1);
  EXPECT_NE(serve.first.find("/levels/mode"), std::string::npos) << serve.first;
  for (const auto& f : {good, bad, platform}) ::unlink(f.c_str());
  ::rmdir(dir);
}

TEST(GatewayFile, TheMysqlSectionServesAndTheOldFileIsStillReadWithALine) {
  MysqlStandIn host;
  host.primary = true;
  const auto known = list_of(1, {member("a", host.address(), true)});
  const auto platform = config_json("127.0.0.1:1", list_of(1, {}));
  Program now(platform, "", R"({"mysql":)" + mysql_json(known) + "}");
  ASSERT_TRUE(now.wait_output("listening mysql", 1));
  EXPECT_EQ(now.output().find("own file is read"), std::string::npos);
  Program before(platform, mysql_json(known), "{}");
  before.signal(SIGTERM);
  before.wait_exit();
  EXPECT_NE(before.output().find("own file is read"), std::string::npos);
}

}  // namespace
}  // namespace cedarring::test
