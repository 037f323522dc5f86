// Parsing of deploy/gateway.json, the calendar of contracts and the command line. Errors in the file have to
// name the file, the JSON pointer, the expected value and the value found.
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

constexpr unsigned every_day = 0x7f;  // DailyClosure::days

/// A service with four classes and one tenant.
levels::ServiceInfo service() {
  levels::ServiceInfo info;
  for (const auto& [name, freshness] : {std::pair{"view", Freshness::bounded},
                                        {"history", Freshness::any},
                                        {"gate", Freshness::fresh},
                                        {"bid", Freshness::write}}) {
    RequestClass request_class;
    request_class.name = name;
    request_class.latency_target = std::chrono::milliseconds(300);
    request_class.deadline = std::chrono::seconds(1);
    request_class.freshness = freshness;
    info.classes.push_back(request_class);
  }
  info.tenants = 1;
  return info;
}

/// The error message for a gateway file with this text; empty if it is valid.
std::string config_error_in(const std::string& text) {
  try {
    const auto file = parse_gateway_file(text, "g.json");
    parse_levels(file, "postgresql", service(), {"acme"});
    return "";
  } catch (const ConfigError& error) {
    return error.what();
  }
}

TEST(GatewayFile, InvalidFileIsRejectedWithPointerExpectedAndFoundValue) {
  const std::string rules = R"("enter":{"any":[{"reading":"refused","class":"gate","above":0.2}]},)"
                            R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.1}]})";
  const auto ladder = [](const std::string& levels) {
    return R"({"levels":{"mode":"on","pressure":[{"name":"normal"},)" + levels + "]}}";
  };
  struct Case {
    std::string text;
    std::string pointer;
    std::string expected;
    std::string found;
  };
  const std::vector<Case> cases = {
      {"{", "/", "a JSON object", "Line 1"},
      {"[]", "/", "a JSON object", "[]"},
      {R"({"level":{}})", "/level", "a key that the schema defines", "'level'"},
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
      {ladder(R"({"name":"a",)" + rules + R"(,"shed":[{"classes":["tea"]}]})"),
       "/levels/pressure/1/shed/0/classes/0", "a class of the settings", "'tea'"},
      {ladder(R"({"name":"a",)" + rules + R"(,"shed":[{"needs":["session"]}]})"),
       "/levels/pressure/1/shed/0/needs", "at least one class of the settings that matches the rule", "none"},
      {ladder(R"({"name":"a",)" + rules + R"(,"shed":[{"tenant":"nobody"}]})"),
       "/levels/pressure/1/shed/0/tenant", "a tenant of the settings", "nobody"},
      {ladder(R"({"name":"a",)" + rules + R"(,"shed":[{"share":2}]})"), "/levels/pressure/1/shed/0/share",
       "maximum 1", "2"},
      {ladder(R"({"name":"a",)" + rules + R"(,"shed":[{"only_hopeless":true}]})"),
       "/levels/pressure/1/shed/0/only_hopeless", "without_primary", "none"},
      {ladder(R"({"name":"a","after":"b",)" + rules + R"(},{"name":"b","after":"a",)" + rules + "}"),
       "/levels/pressure/1/after", "a chain of levels that begins with the first one", "a cycle"},
      {ladder(R"({"name":"a",)" + rules + R"(},{"name":"b","after":"normal",)" + rules + "}"),
       "/levels/pressure/2/after", "no other level follows", "'normal'"},
      {ladder(R"({"name":"a","after":"c",)" + rules + "}"), "/levels/pressure/1/after", "the name of a level",
       "'c'"},
      {ladder(R"({"name":"normal",)" + rules + "}"), "/levels/pressure/1/name", "a unique name",
       "'normal' twice"},
      // Errors found by levels::find_config_issue have the pointer of the file, also if its order differs.
      {ladder(R"({"name":"b","after":"a"},{"name":"a","after":"normal",)" + rules + "}"),
       "/levels/pressure/1/enter", "unreachable", ""},
      {ladder(R"({"name":"a","enter":{"any":[{"reading":"refused","class":"gate","above":0.2}]},)"
              R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.3}]}})"),
       "/levels/pressure/1/exit", "overlaps", ""},
      {ladder(R"({"name":"a",)" + rules + R"(,"shed":[{"classes":["bid"],"share":0.1}]})"),
       "/levels/pressure/1/shed", "writes within their budget", ""},
  };
  for (const auto& test_case : cases) {
    const auto error = config_error_in(test_case.text);
    EXPECT_EQ(error.rfind("g.json: " + test_case.pointer + ": ", 0), 0U) << test_case.text << "\n" << error;
    EXPECT_NE(error.find(test_case.expected), std::string::npos) << test_case.text << "\n" << error;
    EXPECT_NE(error.find(test_case.found), std::string::npos) << test_case.text << "\n" << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
  }
}

/// The error message for a section `contracts`; empty if it is valid.
std::string contracts_error_in(const std::string& section) {
  contracts::ServiceInfo info;
  info.classes = service().classes;
  info.tenants = 2;
  try {
    parse_contracts(parse_gateway_file("{\"contracts\":" + section + "}", "g.json"), "postgresql", info,
                    {"acme", "batch"});
    return "";
  } catch (const ConfigError& error) {
    return error.what();
  }
}

TEST(GatewayFile, InvalidContractsAreRejectedWithPointerAndExpectedValue) {
  const auto teams = [](const std::string& list) { return R"({"mode":"count","teams":[)" + list + "]}"; };
  const auto calendar = [](const std::string& json) {
    return R"({"mode":"count","teams":[],"calendar":)" + json + "}";
  };
  struct Case {
    std::string text;
    std::string pointer;
    std::string expected;
  };
  for (
      const auto& test_case : std::vector<Case>{
          {"{}", "/contracts", "required"},
          {R"({"mode":"maybe","teams":[]})", "/contracts/mode", "enforce"},
          {teams(R"({"name":"a"})"), "/contracts/teams/0", "tenants"},
          {teams(R"({"name":"a","tenants":["nobody"]})"), "/contracts/teams/0/tenants/0",
           "a tenant of the settings"},
          {teams(R"({"name":"a","tenants":["acme"]},{"name":"b","tenants":["acme"]})"),
           "/contracts/teams/1/tenants", "a tenant belongs to two teams"},
          {teams(R"({"name":"a","tenants":[]},{"name":"a","tenants":[]})"), "/contracts/teams/1/name",
           "the name is used by another team"},
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
           "a time of day from 00:00 to 23:59"}}) {
    const auto error = contracts_error_in(test_case.text);
    EXPECT_EQ(error.rfind("g.json: " + test_case.pointer + ": ", 0), 0U) << test_case.text << "\n" << error;
    EXPECT_NE(error.find(test_case.expected), std::string::npos) << test_case.text << "\n" << error;
  }
  EXPECT_EQ(contracts_error_in(teams(
                R"({"name":"a","tenants":["acme"],"classes":{"bid":{"rate":5,"closure":{"rate":9}}}})")),
            "");
}

/// The starts of the closure windows around `base`, in seconds after `base`.
std::vector<std::int64_t> window_starts(const Calendar& calendar, std::int64_t base, int days) {
  std::vector<std::int64_t> result;
  for (const auto& window : closures_around(calendar, std::chrono::seconds(base), days))
    result.push_back(std::chrono::duration_cast<std::chrono::seconds>(window.from).count() - base);
  return result;
}

TEST(Calendar, ClosureOnADayOfDaylightSavingChangeOccursOnce) {
  Calendar calendar;
  calendar.zone = "Europe/Berlin";
  calendar.closures = {{2, 30, every_day, {}, std::chrono::seconds(60)}};
  // 24 October 2026, 12:00 UTC; on the 25th the clocks are set back and 02:30 occurs twice.
  const std::int64_t autumn = 1792843200;
  const auto autumn_starts = window_starts(calendar, autumn, 2);
  ASSERT_EQ(autumn_starts.size(), 4U);  // one a day from the 23rd to the 26th: the repeated hour counts once
  EXPECT_EQ(autumn_starts[1] - autumn_starts[0], 24 * 3600);
  EXPECT_EQ(autumn_starts[3] - autumn_starts[2],
            24 * 3600 + (autumn_starts[2] - autumn_starts[1] == 24 * 3600 ? 3600 : 0));
  EXPECT_EQ(autumn_starts[3] - autumn_starts[1], 49 * 3600);
  // 28 March 2026, 12:00 UTC; on the 29th there is no 02:30.
  const std::int64_t spring = 1774699200;
  const auto spring_starts = window_starts(calendar, spring, 2);
  ASSERT_EQ(spring_starts.size(), 4U);
  EXPECT_EQ(spring_starts[3] - spring_starts[1], 47 * 3600);
}

TEST(Calendar, ClosuresWithWeekdaysLeadTimeMidnightAndOverlapHaveTheExpectedWindows) {
  Calendar calendar;
  calendar.zone = "Asia/Tokyo";
  // Tuesday, 1 December 2026, 12:00 UTC is 21:00 in Tokyo.
  const std::int64_t base = 1796126400;
  calendar.closures = {
      {0, 5, every_day, std::chrono::seconds(600), std::chrono::seconds(600)}};  // across midnight
  const auto windows = closures_around(calendar, std::chrono::seconds(base), 1);
  ASSERT_EQ(windows.size(), 3U);
  EXPECT_EQ(windows[2].from, std::chrono::seconds(base + 3 * 3600 + 300 - 600));
  EXPECT_EQ(windows[2].to - windows[2].from, std::chrono::seconds(1200));
  calendar.closures = {{9, 0, 1U << 3U, {}, std::chrono::seconds(60)}};  // on Wednesdays only
  EXPECT_EQ(window_starts(calendar, base, 8), (std::vector<std::int64_t>{12 * 3600, (7 * 24 + 12) * 3600}));
  calendar.closures = {{9, 0, every_day, std::chrono::seconds(600), {}},
                       {9, 5, every_day, std::chrono::seconds(600), {}}};
  EXPECT_EQ(closures_around(calendar, std::chrono::seconds(base), 0).size(),
            2U);  // overlapping closures merge into one a day
  EXPECT_FALSE(has_zone_data("Asia/Nowhere"));
  EXPECT_FALSE(has_zone_data("/etc/localtime"));
  EXPECT_TRUE(has_zone_data("Asia/Tokyo"));
}

TEST(GatewayFile, AbsentSectionsAreOff) {
  for (const auto* text :
       {"{}", R"({"levels":{"mode":"off"}})", R"({"levels":{"mode":"on","fronts":["mysql"]}})"}) {
    const auto file = parse_gateway_file(text, "g.json");
    EXPECT_TRUE(file.admin_socket.empty());
    EXPECT_TRUE(file.log.records_file.empty());
    EXPECT_FALSE(parse_levels(file, "postgresql", service(), {"acme"}));
  }
}

TEST(GatewayFile, LevelsAreOrderedByTheLevelThatEachFollows) {
  const std::string rules = R"("enter":{"any":[{"reading":"refused","class":"gate","above":0.2}]},)"
                            R"("exit":{"all":[{"reading":"refused","class":"gate","below":0.1}]})";
  const auto file =
      parse_gateway_file(R"({"levels":{"mode":"watch","apart_ms":20000,"pressure":[{"name":"normal"},)"
                         R"({"name":"third","after":"second",)" +
                             rules + R"(},{"name":"second","after":"normal",)" + rules + "}]}}",
                         "g.json");
  const auto config = parse_levels(file, "postgresql", service(), {"acme"});
  ASSERT_TRUE(config);
  ASSERT_EQ(config->pressure.levels.size(), 3U);
  EXPECT_EQ(config->pressure.levels[1].name, "second");
  EXPECT_EQ(config->pressure.levels[2].name, "third");
  EXPECT_EQ(config->mode, levels::Mode::watch);
  EXPECT_EQ(config->pressure.min_change_interval, std::chrono::seconds(20));
}

TEST(GatewayFile, EffectiveLevelsWrittenAsJsonAreParsedToTheSameLevels) {
  auto config = levels::default_config(service());
  config.mode = levels::Mode::on;
  config.pressure.levels[1].shed_rules.push_back({{}, 0, false, false, false, 0.25});
  const auto text = levels_to_json(config, service(), {"acme"});
  const auto file = parse_gateway_file("{\"levels\":" + text + "}", "g.json");
  const auto parsed = parse_levels(file, "postgresql", service(), {"acme"});
  ASSERT_TRUE(parsed);
  EXPECT_EQ(levels_to_json(*parsed, service(), {"acme"}), text);
}

/// Output and exit code of the gateway program. `prefix` precedes the command, to set its environment.
std::pair<std::string, int> run_program(const std::string& arguments, const std::string& prefix = "") {
  FILE* pipe = ::popen((prefix + std::string(CEDARRING_GATEWAY) + " " + arguments + " 2>&1").c_str(), "r");
  std::string text;
  char bytes[512];
  for (std::size_t n = 0; (n = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) text.append(bytes, n);
  return {text, WEXITSTATUS(::pclose(pipe))};
}

TEST(CommandLine, CheckAndVersionSucceedAndInvalidArgumentsFail) {
  char directory[] = "/tmp/cedarring-XXXXXX";
  ASSERT_TRUE(mkdtemp(directory));
  const std::string valid = std::string(directory) + "/valid.json";
  const std::string invalid = std::string(directory) + "/invalid.json";
  const std::string platform = std::string(directory) + "/config.json";
  std::ofstream(valid) << R"({"levels":{"mode":"on"}})";
  std::ofstream(invalid) << R"({"levels":{"mode":"often"}})";
  std::ofstream(platform) << config_json("127.0.0.1:1", list_of(1, {}));
  EXPECT_EQ(run_program("version"), (std::pair{std::string("cedarring 0.1.0\n"), 0}));
  const auto without_platform = run_program("check " + valid, "env -u ROUTER_CONFIG ");
  EXPECT_EQ(without_platform.second, 0) << without_platform.first;
  const auto with_platform = run_program("check " + valid, "ROUTER_CONFIG=" + platform + " ");
  EXPECT_EQ(with_platform.second, 0) << with_platform.first;
  EXPECT_NE(with_platform.first.find("shed-history"), std::string::npos)
      << with_platform.first;  // the effective ladder
  const auto check_invalid = run_program("check " + invalid);
  EXPECT_EQ(check_invalid.second, 1);
  EXPECT_NE(check_invalid.first.find(invalid + ": /levels/mode: expected"), std::string::npos)
      << check_invalid.first;
  const auto check_missing = run_program("check " + std::string(directory) + "/none.json");
  EXPECT_EQ(check_missing.second, 1);
  const auto unknown_command = run_program("no-such-tool");
  EXPECT_EQ(unknown_command.second, 2);
  EXPECT_NE(unknown_command.first.find("no command 'no-such-tool'"), std::string::npos);
  EXPECT_NE(run_program("--nonsense").second, 0);
  const auto serve_invalid = run_program("serve --config " + invalid, "ROUTER_CONFIG=" + platform + " ");
  EXPECT_EQ(serve_invalid.second, 1);
  EXPECT_NE(serve_invalid.first.find("/levels/mode"), std::string::npos) << serve_invalid.first;
  for (const auto& path : {valid, invalid, platform}) ::unlink(path.c_str());
  ::rmdir(directory);
}

TEST(GatewayFile, MysqlSectionIsServedAndTheFormerSeparateFileIsStillReadWithAWarning) {
  MysqlStandIn host;
  host.primary = true;
  const auto known_hosts = list_of(1, {member("a", host.address(), true)});
  const auto platform = config_json("127.0.0.1:1", list_of(1, {}));
  GatewayProcess current(platform, "", R"({"mysql":)" + mysql_json(known_hosts) + "}");
  ASSERT_TRUE(current.wait_output("listening mysql", 1));
  EXPECT_EQ(current.output().find("own file is read"), std::string::npos);
  GatewayProcess former(platform, mysql_json(known_hosts), "{}");
  former.signal(SIGTERM);
  former.wait_exit();
  EXPECT_NE(former.output().find("own file is read"), std::string::npos);
}

}  // namespace
}  // namespace cedarring::test
