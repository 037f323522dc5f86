// The log and the records: bounds by cause, forms, the file of records.
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <limits>
#include <sstream>

#include "telemetry/log.h"
#include "tools/report/requests.h"

namespace cedarring::test {
namespace {

using namespace telemetry;
using namespace std::chrono_literals;

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> all;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) all.push_back(line);
  return all;
}

struct Logged {
  std::chrono::microseconds now{1'700'000'000s};
  LogConfig config;
  Logged() { config.form = LogConfig::Form::json, config.per_cause = 3; }
  std::unique_ptr<Log> open() {
    return std::make_unique<Log>(
        "n1", config, [this] { return now; });
  }
};

TEST(Telemetry, LinesOfOneCauseAreBoundedAndWhatIsLeftOutIsTold) {
  Logged l;
  testing::internal::CaptureStderr();
  auto log = l.open();
  for (int i = 0; i < 10; ++i)
    log->write(Level::info, "storm", "again \"and\" again\n", {{"n", std::to_string(i)}});
  log->write(Level::error, "other", "something else");
  log->write(Level::debug, "quiet", "below the least level");
  l.now += 11s;
  log->write(Level::info, "storm", "later");
  const auto lines = lines_of(testing::internal::GetCapturedStderr());
  ASSERT_EQ(lines.size(), 5U);
  for (const auto& line : lines) {
    rapidjson::Document d;
    d.Parse(line.c_str());
    ASSERT_TRUE(d.IsObject()) << line;
    for (const auto* key : {"at_ms", "instance", "level", "cause", "message"})
      EXPECT_TRUE(d.HasMember(key)) << line;
  }
  EXPECT_NE(lines[4].find("\"left_out\":7"), std::string::npos);
}

TEST(Telemetry, ARecordIsOneLineOfJsonWhateverIsInIt) {
  Record r;
  r.at = 1'700'000'000'123'456us;
  r.kind = "level", r.subject = "pressure", r.from = "a\"b", r.to = "c\nd";
  r.readings = {{"x", std::numeric_limits<double>::quiet_NaN()}, {"y", 0.5}};
  const auto text = to_json(r, "n1");
  EXPECT_EQ(text.find('\n'), std::string::npos);
  rapidjson::Document d;
  d.Parse(text.c_str());
  ASSERT_TRUE(d.IsObject()) << text;
  EXPECT_EQ(d["at_ms"].GetInt64(), 1'700'000'000'123);
  EXPECT_TRUE(d["readings"]["x"].IsNull());
  EXPECT_STREQ(d["from"].GetString(), "a\"b");
}

TEST(Telemetry, RecordsAreKeptToABoundAndTheirFileIsTurnedOver) {
  char dir[] = "/tmp/cedarring-XXXXXX";
  ASSERT_TRUE(mkdtemp(dir));
  Logged l;
  l.config.records_file = std::string(dir) + "/r.jsonl";
  l.config.records_bytes = 4096, l.config.records_files = 2, l.config.records_kept = 10;
  testing::internal::CaptureStderr();
  {
    auto log = l.open();
    for (int i = 0; i < 300; ++i)
      log->record({{}, "level", "pressure", "a", "b", "rule " + std::to_string(i), {}, ""});
    EXPECT_EQ(log->records().size(), 10U);
    EXPECT_EQ(log->records().back().rule, "rule 299");
    // A file that cannot be opened changes nothing.
    auto other = l.config;
    other.records_file = "/proc/none/r.jsonl";
    EXPECT_THROW(log->reload(other), std::runtime_error);
    log->record({{}, "level", "pressure", "a", "b", "after", {}, ""});
  }
  testing::internal::GetCapturedStderr();
  std::size_t files = 0, last = 0;
  for (const auto* name : {"/r.jsonl", "/r.1.jsonl", "/r.2.jsonl", "/r.3.jsonl"}) {
    struct stat s {};
    const auto path = std::string(dir) + name;
    if (::stat(path.c_str(), &s) != 0) continue;
    ++files;
    EXPECT_LE(s.st_size, 4096);
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);)
      last += line.find("\"after\"") != std::string::npos ? 1 : 0;
    ::unlink(path.c_str());
  }
  EXPECT_EQ(files, 3U);  // the present one and two before
  EXPECT_EQ(last, 1U);
  ::rmdir(dir);
}

TEST(Report, SumsWhatBecameOfRequestsOverLogs) {
  std::istringstream log(
      R"(0.5 {"at_ms":1000,"cause":"request","id":"a","class":"bid","group":"1","end":"served","ms":"20.0","course":"h1@0.0+20.0=ok"}
{"at_ms":1200,"cause":"request","id":"b","class":"bid","group":"2","end":"served","ms":"40.0","course":"h1@0.0+5.0=reset h2@5.0+35.0=ok"}
{"at_ms":2000,"cause":"request","id":"c","class":"view","group":"2","end":"refused","ms":"1.0","course":""}
{"at_ms":2100,"cause":"list","message":"of another kind"}
not JSON {"at_ms"
)");
  report::Requests r;
  report::merge(log, r);
  EXPECT_EQ(r.lines, 5U);
  EXPECT_EQ(r.others, 2U);
  EXPECT_EQ(r.all.requests, 3U);
  EXPECT_EQ(r.all.unsent, 1U);
  EXPECT_EQ(r.all.ms, 60);
  EXPECT_EQ(r.by_second.size(), 2U);
  EXPECT_EQ(r.by_class["bid"].by_end["served"], 2U);
  EXPECT_EQ(r.by_host["h1"]["reset"], 1U);
  EXPECT_EQ(r.patterns["bid served: reset ok"], 1U);
  EXPECT_EQ(r.patterns["view refused: never sent"], 1U);
  EXPECT_NE(report::print(r, 5).find("h1  1 of 2: ok 1 reset 1"), std::string::npos);
}

}  // namespace
}  // namespace cedarring::test
