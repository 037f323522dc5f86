// The structured log: one JSON object per line on standard error (plain text on a terminal), rate-limited
// per cause. Decision records go to the same log and to a file of their own. A decision record states one
// automatic or operator decision, such as a level change: the state before and after, the rule that applied
// and the readings behind it (record.h).
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "telemetry/record.h"

namespace spdlog {
class logger;
}

namespace cedarring::telemetry {

/// Severity of a log line.
enum class Level { debug, info, warning, error };

/// Settings of the log and of the decision records.
struct LogConfig {
  Level min_level = Level::info;
  /// Form of the lines on standard error.
  enum class Format { automatic, json, plain };
  Format format = Format::automatic;                // automatic: plain on a terminal, else JSON
  std::uint32_t max_lines_per_cause = 20;           // lines per cause in ten seconds
  std::string records_file;                         // JSON lines; empty: no file
  std::size_t max_records_file_bytes = 16U << 20U;  // size in bytes at which the file is rotated
  std::size_t rotated_records_files = 4;            // rotated files kept beside the current one
  std::size_t records_in_memory = 256;              // records kept in memory for queries
  friend bool operator==(const LogConfig& a, const LogConfig& b) {
    return a.min_level == b.min_level && a.format == b.format &&
           a.max_lines_per_cause == b.max_lines_per_cause && a.records_file == b.records_file &&
           a.max_records_file_bytes == b.max_records_file_bytes &&
           a.rotated_records_files == b.rotated_records_files && a.records_in_memory == b.records_in_memory;
  }
};

/// Writes log lines and decision records. Not thread-safe.
class Log {
 public:
  using Field = std::pair<std::string_view, std::string>;    // key and value
  using Clock = std::function<std::chrono::microseconds()>;  // Unix time
  /// Throws std::runtime_error if the records file cannot be opened.
  Log(std::string instance, const LogConfig& config, Clock clock);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Writes one line. `cause` is a constant that names what caused the line. Beyond `max_lines_per_cause`
  /// lines of a cause in ten seconds, lines are suppressed; the next line of the cause that is written tells
  /// how many.
  void write(Level level, std::string_view cause, const std::string& message,
             std::initializer_list<Field> fields = {});
  /// Keeps the record in memory, logs it, and appends it to the records file. A file that can no longer be
  /// written leads to one log line and has no other effect.
  void record(Record record);
  /// Applies other settings. Throws as the constructor does, in which case nothing has changed.
  void reload(const LogConfig& config);
  /// The latest records, oldest first.
  [[nodiscard]] const std::deque<Record>& records() const { return records_; }
  [[nodiscard]] const LogConfig& config() const { return config_; }
  [[nodiscard]] const std::string& instance() const { return instance_; }

 private:
  /// The lines of one cause in the present period of ten seconds.
  struct CauseWindow {
    std::chrono::microseconds since{};
    std::uint32_t lines = 0;       // written or suppressed
    std::uint32_t suppressed = 0;  // of these
  };
  void open(const LogConfig& config);
  bool within_rate_limit(std::string_view cause, std::uint32_t& suppressed);
  std::string instance_;
  LogConfig config_;
  Clock clock_;
  bool plain_;  // lines on standard error are plain text, else JSON
  std::shared_ptr<spdlog::logger> stderr_logger_;
  std::shared_ptr<spdlog::logger> records_logger_;  // null without a records file
  std::map<std::string, CauseWindow, std::less<>> causes_;
  std::deque<Record> records_;
};

}  // namespace cedarring::telemetry
