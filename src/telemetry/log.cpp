#include "telemetry/log.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <stdexcept>

namespace cedarring::telemetry {
namespace {

constexpr std::size_t max_causes = 64;  // tracked at a time
constexpr std::chrono::seconds rate_limit_window(10);
constexpr std::int64_t microseconds_per_millisecond = 1000;

const char* level_name(Level level) {
  switch (level) {
    case Level::debug:
      return "debug";
    case Level::info:
      return "info";
    case Level::warning:
      return "warning";
    case Level::error:
      return "error";
  }
  return "info";
}

}  // namespace

Log::Log(std::string instance, const LogConfig& config, Clock clock)
    : instance_(std::move(instance)), clock_(std::move(clock)) {
  open(config);
}

void Log::reload(const LogConfig& config) {
  if (!(config == config_)) open(config);
}

/// Opens the outputs of `config` and puts it in force. Throws before anything has changed.
void Log::open(const LogConfig& config) {
  const auto make_logger = [this](const char* name, spdlog::sink_ptr sink) {
    auto logger = std::make_shared<spdlog::logger>(name, std::move(sink));
    logger->set_pattern("%v");  // lines are formatted by this class
    logger->set_level(spdlog::level::trace);
    logger->flush_on(spdlog::level::trace);
    // Rate-limited: a full disk or a closed descriptor must not cause an error message per line.
    logger->set_error_handler([this](const std::string& error) {
      std::uint32_t suppressed = 0;
      if (within_rate_limit("log", suppressed)) std::fprintf(stderr, "cedarring: log: %s\n", error.c_str());
    });
    return logger;
  };
  std::shared_ptr<spdlog::logger> records_logger;
  try {
    if (!config.records_file.empty())
      records_logger = make_logger(
          "records", std::make_shared<spdlog::sinks::rotating_file_sink_st>(
                         config.records_file, config.max_records_file_bytes, config.rotated_records_files));
  } catch (const spdlog::spdlog_ex& e) {
    throw std::runtime_error(std::string("records.file: ") + e.what());
  }
  if (!stderr_logger_) stderr_logger_ = make_logger("log", std::make_shared<spdlog::sinks::stderr_sink_st>());
  records_logger_ = std::move(records_logger);
  config_ = config;
  plain_ = config_.format == LogConfig::Format::plain ||
           (config_.format == LogConfig::Format::automatic && ::isatty(STDERR_FILENO) == 1);
}

Log::~Log() = default;

/// Counts a line of `cause`; false if the line has to be suppressed. When a new window starts, `suppressed`
/// is set to the number of lines suppressed in the previous one.
bool Log::within_rate_limit(std::string_view cause, std::uint32_t& suppressed) {
  auto it = causes_.find(cause);
  if (it == causes_.end()) {
    // Causes are constants of the program, so there are few; the bound holds even if a caller passes others.
    if (causes_.size() >= max_causes) causes_.clear();
    it = causes_.emplace(std::string(cause), CauseWindow{}).first;
  }
  auto& window = it->second;
  const auto now = clock_();
  if (now - window.since >= rate_limit_window || now < window.since) {
    suppressed = window.suppressed;
    window = {now, 0, 0};
  }
  if (++window.lines <= config_.max_lines_per_cause) return true;
  ++window.suppressed;
  return false;
}

void Log::write(Level level, std::string_view cause, const std::string& message,
                std::initializer_list<Field> fields) {
  std::uint32_t suppressed = 0;
  if (level < config_.min_level || !within_rate_limit(cause, suppressed)) return;
  if (plain_) {
    auto line = std::string(level_name(level)) + ": " + message;
    for (const auto& [key, value] : fields) line += " " + std::string(key) + "=" + value;
    if (suppressed > 0) line += " (" + std::to_string(suppressed) + " such lines suppressed)";
    stderr_logger_->info(line);
    return;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto write_text = [&](std::string_view key, std::string_view value) {
    writer.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("at_ms");
  writer.Int64(clock_().count() / microseconds_per_millisecond);
  write_text("instance", instance_);
  write_text("level", level_name(level));
  write_text("cause", cause);
  write_text("message", message);
  for (const auto& [key, value] : fields) write_text(key, value);
  if (suppressed > 0) {
    writer.Key("left_out");
    writer.Uint(suppressed);
  }
  writer.EndObject();
  stderr_logger_->info(std::string_view(buffer.GetString(), buffer.GetSize()));
}

void Log::record(Record record) {
  if (record.at == std::chrono::microseconds{}) record.at = clock_();
  const auto line = to_json(record, instance_);
  std::uint32_t suppressed = 0;
  if (Level::info >= config_.min_level && within_rate_limit("record", suppressed))
    stderr_logger_->info(plain_ ? to_text(record) : line);
  if (records_logger_) records_logger_->info(line);
  records_.push_back(std::move(record));
  if (records_.size() > config_.records_in_memory) records_.pop_front();
}

}  // namespace cedarring::telemetry
