// The structured log: one JSON object a line on standard error (plain text on a terminal), bounded for each
// cause, and the records of decisions, which go through the same sink and into a file of their own.
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

enum class Level { debug, info, warning, error };

struct LogConfig {
  Level least = Level::info;
  enum class Form { automatic, json, plain } form = Form::automatic;  // automatic: plain on a terminal
  std::uint32_t per_cause = 20;                                       // lines of one cause in ten seconds
  std::string records_file;                                           // JSON lines; empty: none
  std::size_t records_bytes = 16U << 20U;                             // of one file, before it is turned over
  std::size_t records_files = 4;                                      // kept beside the present one
  std::size_t records_kept = 256;                                     // in memory, for those who ask
  friend bool operator==(const LogConfig& a, const LogConfig& b) {
    return a.least == b.least && a.form == b.form && a.per_cause == b.per_cause &&
           a.records_file == b.records_file && a.records_bytes == b.records_bytes &&
           a.records_files == b.records_files && a.records_kept == b.records_kept;
  }
};

class Log {
 public:
  using Field = std::pair<std::string_view, std::string>;
  using Clock = std::function<std::chrono::microseconds()>;  // Unix time
  /// Throws std::runtime_error where the file of records cannot be opened.
  Log(std::string instance, const LogConfig& config, Clock clock);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// One line. `cause` is a constant that names what brings it about; beyond `per_cause` lines of it in ten
  /// seconds the next line that gets through tells how many were left out.
  void write(Level level, std::string_view cause, const std::string& message,
             std::initializer_list<Field> fields = {});
  /// Keeps the record, logs it, and appends it to the file. A file that can no longer be written is one line,
  /// and changes nothing else.
  void record(Record record);
  /// Other bounds from now on. Throws as the constructor does, and then nothing has changed.
  void reload(const LogConfig& config);
  [[nodiscard]] const std::deque<Record>& records() const { return records_; }
  [[nodiscard]] const LogConfig& config() const { return config_; }
  [[nodiscard]] const std::string& instance() const { return instance_; }

 private:
  struct Cause {
    std::chrono::microseconds since{};
    std::uint32_t lines = 0, left_out = 0;
  };
  void open(const LogConfig& config);
  bool let_through(std::string_view cause, std::uint32_t& left_out);
  std::string instance_;
  LogConfig config_;
  Clock clock_;
  bool plain_;
  std::shared_ptr<spdlog::logger> out_, file_;
  std::map<std::string, Cause, std::less<>> causes_;  // constants of the program: few
  std::deque<Record> records_;
};

}  // namespace cedarring::telemetry
