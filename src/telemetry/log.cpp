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

constexpr std::size_t causes_most = 64;

const char* word(Level level) {
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

void Log::open(const LogConfig& config) {
  const auto make = [this](const char* name, spdlog::sink_ptr sink) {
    auto logger = std::make_shared<spdlog::logger>(name, std::move(sink));
    logger->set_pattern("%v");  // lines are made whole here
    logger->set_level(spdlog::level::trace);
    logger->flush_on(spdlog::level::trace);
    // A full disk or a closed descriptor must not become a line for each line.
    logger->set_error_handler([this](const std::string& what) {
      std::uint32_t left_out = 0;
      if (let_through("log", left_out)) std::fprintf(stderr, "cedarring: log: %s\n", what.c_str());
    });
    return logger;
  };
  std::shared_ptr<spdlog::logger> file;
  try {
    if (!config.records_file.empty())
      file = make("records", std::make_shared<spdlog::sinks::rotating_file_sink_st>(
                                 config.records_file, config.records_bytes, config.records_files));
  } catch (const spdlog::spdlog_ex& e) {
    throw std::runtime_error(std::string("records.file: ") + e.what());
  }
  if (!out_) out_ = make("log", std::make_shared<spdlog::sinks::stderr_sink_st>());
  file_ = std::move(file);
  config_ = config;
  plain_ = config_.form == LogConfig::Form::plain ||
           (config_.form == LogConfig::Form::automatic && ::isatty(STDERR_FILENO) == 1);
}

Log::~Log() = default;

bool Log::let_through(std::string_view cause, std::uint32_t& left_out) {
  auto it = causes_.find(cause);
  if (it == causes_.end()) {
    // Causes are constants; should that ever not be so, memory is bounded all the same.
    if (causes_.size() >= causes_most) causes_.clear();
    it = causes_.emplace(std::string(cause), Cause{}).first;
  }
  auto& c = it->second;
  const auto now = clock_();
  if (now - c.since >= std::chrono::seconds(10) || now < c.since) {
    left_out = c.left_out;
    c = {now, 0, 0};
  }
  if (++c.lines <= config_.per_cause) return true;
  ++c.left_out;
  return false;
}

void Log::write(Level level, std::string_view cause, const std::string& message,
                std::initializer_list<Field> fields) {
  std::uint32_t left_out = 0;
  if (level < config_.least || !let_through(cause, left_out)) return;
  if (plain_) {
    auto line = std::string(word(level)) + ": " + message;
    for (const auto& [key, value] : fields) line += " " + std::string(key) + "=" + value;
    if (left_out > 0) line += " (" + std::to_string(left_out) + " such lines left out)";
    out_->info(line);
    return;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&](std::string_view key, std::string_view value) {
    w.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  w.StartObject();
  w.Key("at_ms");
  w.Int64(clock_().count() / 1000);
  text("instance", instance_);
  text("level", word(level));
  text("cause", cause);
  text("message", message);
  for (const auto& [key, value] : fields) text(key, value);
  if (left_out > 0) w.Key("left_out"), w.Uint(left_out);
  w.EndObject();
  out_->info(std::string_view(buffer.GetString(), buffer.GetSize()));
}

void Log::record(Record record) {
  if (record.at == std::chrono::microseconds{}) record.at = clock_();
  const auto line = to_json(record, instance_);
  std::uint32_t left_out = 0;
  if (Level::info >= config_.least && let_through("record", left_out))
    out_->info(plain_ ? to_text(record) : line);
  if (file_) file_->info(line);
  records_.push_back(std::move(record));
  if (records_.size() > config_.records_kept) records_.pop_front();
}

}  // namespace cedarring::telemetry
