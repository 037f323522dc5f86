// Tests of the log (rate limit per cause, formats), the decision records and their file, and the request
// report.
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

std::vector<std::string> split_lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

/// Opens logs with a clock that the test sets.
struct LogFixture {
  std::chrono::microseconds now{1'700'000'000s};  // Unix time
  LogConfig config;
  LogFixture() {
    config.format = LogConfig::Format::json;
    config.max_lines_per_cause = 3;
  }
  std::unique_ptr<Log> open() {
    return std::make_unique<Log>(
        "n1", config, [this] { return now; });
  }
};

TEST(Telemetry, LinesPerCauseAreLimitedAndSuppressedOnesCounted) {
  LogFixture fixture;
  testing::internal::CaptureStderr();
  auto log = fixture.open();
  for (int i = 0; i < 10; ++i)
    log->write(Level::info, "storm", "again \"and\" again\n", {{"n", std::to_string(i)}});
  log->write(Level::error, "other", "something else");
  log->write(Level::debug, "quiet", "below the least level");
  fixture.now += 11s;
  log->write(Level::info, "storm", "later");
  const auto lines = split_lines(testing::internal::GetCapturedStderr());
  // Three of the first cause, one of the second, none below the minimum level, and one after the window.
  ASSERT_EQ(lines.size(), 5U);
  for (const auto& line : lines) {
    rapidjson::Document document;
    document.Parse(line.c_str());
    ASSERT_TRUE(document.IsObject()) << line;
    for (const auto* key : {"at_ms", "instance", "level", "cause", "message"})
      EXPECT_TRUE(document.HasMember(key)) << line;
  }
  EXPECT_NE(lines[4].find("\"left_out\":7"), std::string::npos);
}

TEST(Telemetry, RecordWithSpecialCharactersIsOneLineOfJson) {
  Record record;
  record.at = 1'700'000'000'123'456us;
  record.kind = "level";
  record.subject = "pressure";
  record.from = "a\"b";
  record.to = "c\nd";
  record.readings = {{"x", std::numeric_limits<double>::quiet_NaN()}, {"y", 0.5}};
  const auto text = to_json(record, "n1");
  EXPECT_EQ(text.find('\n'), std::string::npos);
  rapidjson::Document document;
  document.Parse(text.c_str());
  ASSERT_TRUE(document.IsObject()) << text;
  EXPECT_EQ(document["at_ms"].GetInt64(), 1'700'000'000'123);
  EXPECT_TRUE(document["readings"]["x"].IsNull());
  EXPECT_STREQ(document["from"].GetString(), "a\"b");
}

TEST(Telemetry, RecordsAreBoundedInMemoryAndTheirFileIsRotated) {
  char directory[] = "/tmp/cedarring-XXXXXX";
  ASSERT_TRUE(mkdtemp(directory));
  LogFixture fixture;
  fixture.config.records_file = std::string(directory) + "/r.jsonl";
  fixture.config.max_records_file_bytes = 4096;
  fixture.config.rotated_records_files = 2;
  fixture.config.records_in_memory = 10;
  testing::internal::CaptureStderr();
  {
    auto log = fixture.open();
    for (int i = 0; i < 300; ++i)
      log->record({{}, "level", "pressure", "a", "b", "rule " + std::to_string(i), {}, ""});
    EXPECT_EQ(log->records().size(), 10U);
    EXPECT_EQ(log->records().back().rule, "rule 299");
    // If the new file cannot be opened, the log stays as it was.
    auto unusable = fixture.config;
    unusable.records_file = "/proc/none/r.jsonl";
    EXPECT_THROW(log->reload(unusable), std::runtime_error);
    log->record({{}, "level", "pressure", "a", "b", "after", {}, ""});
  }
  testing::internal::GetCapturedStderr();
  std::size_t files = 0;
  std::size_t last_record_count = 0;
  for (const auto* name : {"/r.jsonl", "/r.1.jsonl", "/r.2.jsonl", "/r.3.jsonl"}) {
    struct stat status {};
    const auto path = std::string(directory) + name;
    if (::stat(path.c_str(), &status) != 0) continue;
    ++files;
    EXPECT_LE(status.st_size, 4096);
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);)
      last_record_count += line.find("\"after\"") != std::string::npos ? 1 : 0;
    ::unlink(path.c_str());
  }
  EXPECT_EQ(files, 3U);  // the current one and two rotated ones
  EXPECT_EQ(last_record_count, 1U);
  ::rmdir(directory);
}

TEST(RequestReport, SumsEndsAndOutcomesOverLogLines) {
  std::istringstream log(
      R"(0.5 {"at_ms":1000,"cause":"request","id":"a","class":"bid","group":"1","end":"served","ms":"20.0","course":"h1@0.0+20.0=ok"}
{"at_ms":1200,"cause":"request","id":"b","class":"bid","group":"2","end":"served","ms":"40.0","course":"h1@0.0+5.0=reset h2@5.0+35.0=ok"}
{"at_ms":2000,"cause":"request","id":"c","class":"view","group":"2","end":"refused","ms":"1.0","course":""}
{"at_ms":2100,"cause":"list","message":"of another kind"}
not JSON {"at_ms"
)");
  report::RequestReport report;
  merge(log, report);
  EXPECT_EQ(report.lines, 5U);
  EXPECT_EQ(report.skipped, 2U);
  EXPECT_EQ(report.all.requests, 3U);
  EXPECT_EQ(report.all.unsent, 1U);
  EXPECT_EQ(report.all.served_ms, 60);
  EXPECT_EQ(report.by_second.size(), 2U);
  EXPECT_EQ(report.by_class["bid"].by_end["served"], 2U);
  EXPECT_EQ(report.by_host["h1"]["reset"], 1U);
  EXPECT_EQ(report.patterns["bid served: reset ok"], 1U);
  EXPECT_EQ(report.patterns["view refused: never sent"], 1U);
  EXPECT_NE(print(report, 5).find("h1  1 of 2: ok 1 reset 1"), std::string::npos);
}

}  // namespace
}  // namespace cedarring::test
