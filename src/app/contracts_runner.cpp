#include "app/contracts_runner.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "app/calendar.h"

namespace cedarring::app {
namespace {

constexpr double tick_seconds = 0.1;
// Closure windows are computed for this many days ahead, and computed again at this interval.
constexpr int closure_days_ahead = 8;
constexpr Duration closure_refresh_interval{6LL * 3600 * 1'000'000};  // 6 h

/// The contracts with the closure windows around `now`.
contracts::Config with_closures(ContractsConfig config, Time now) {
  config.contracts.closures = closures_around(config.calendar, now, closure_days_ahead);
  return std::move(config.contracts);
}

const char* mode_name(contracts::Mode mode) {
  return mode == contracts::Mode::enforce ? "enforce" : mode == contracts::Mode::count ? "count" : "off";
}

}  // namespace

telemetry::Record record_of(const contracts::Breach& breach, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service) {
  telemetry::Record record;
  record.at = breach.to;
  record.kind = "breach";
  record.subject =
      front + " " + config.teams[breach.team].name + " " + service.classes[breach.class_index].name;
  if (breach.side == contracts::Side::team) {
    record.rule = "the team asked beyond its contract";
    record.readings = {{"promised_per_s", breach.promised}, {"asked_per_s", breach.measured}};
  } else {
    record.rule = "the gateway missed its promise";
    record.readings = {{"promised_share", breach.promised}, {"share", breach.measured}};
  }
  record.readings.emplace_back("requests", static_cast<double>(breach.request_count));
  record.readings.emplace_back("from_ms", static_cast<double>(breach.from.count() / 1000));
  if (breach.closure) record.note = "around a closure";
  return record;
}

telemetry::Record record_of(const contracts::ClosedWindow& window, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service) {
  telemetry::Record record;
  record.at = window.to;
  record.kind = "ledger";
  record.subject =
      front + " " + config.teams[window.team].name + " " + service.classes[window.class_index].name;
  const auto& entry = window.entry;
  const auto add_count = [&](const char* name, std::uint64_t count) {
    record.readings.emplace_back(name, static_cast<double>(count));
  };
  record.readings.emplace_back("from_ms", static_cast<double>(window.from.count() / 1000));
  add_count("asked", entry.asked);
  add_count("within", entry.within);
  add_count("beyond", entry.beyond);
  add_count("in_time", entry.in_time);
  add_count("late", entry.late);
  add_count("failed", entry.failed);
  add_count("left", entry.abandoned);
  add_count("refused_contract", entry.refused_contract);
  add_count("refused_contention", entry.refused_contention);
  add_count("refused_levels", entry.refused_levels);
  add_count("refused_router", entry.refused_router);
  add_count("promised", entry.within_ended);
  add_count("kept", entry.within_in_time);
  record.readings.emplace_back("cost_ms", entry.cost);
  return record;
}

ContractsRunner::ContractsRunner(ev::loop_ref loop, std::string front, ContractsConfig config,
                                 contracts::ServiceInfo service, broker::Broker& broker,
                                 broker::Broker::Clock clock, telemetry::Log& log)
    : front_(std::move(front)),
      service_(service),
      calendar_(config.calendar),
      contracts_(with_closures(std::move(config), clock()), std::move(service)),
      broker_(broker),
      clock_(std::move(clock)),
      log_(log),
      timer_(loop),
      closures_computed_at_(clock_()) {
  timer_.set<ContractsRunner, &ContractsRunner::tick>(this);
  timer_.start(tick_seconds, tick_seconds);
  broker_.add_gate(contracts_);
}

void ContractsRunner::tick(ev::timer&, int) {
  const Time now = clock_();
  if (now - closures_computed_at_ > closure_refresh_interval) {
    closures_computed_at_ = now;
    contracts_.set_closures(closures_around(calendar_, now, closure_days_ahead));
  }
  views_.clear();
  broker_.group_views(views_);
  std::vector<contracts::Breach> breaches;
  std::vector<contracts::ClosedWindow> closed_windows;
  contracts_.step(now, contracts::resource_loads(views_), breaches, &closed_windows);
  for (const auto& window : closed_windows)
    log_.record(record_of(window, front_, contracts_.config(), service_));
  for (const auto& breach : breaches) log_.record(record_of(breach, front_, contracts_.config(), service_));
}

void ContractsRunner::reload(ContractsConfig config) {
  calendar_ = config.calendar;
  closures_computed_at_ = clock_();
  contracts_.reload(with_closures(std::move(config), clock_()), clock_());
}

std::string ContractsRunner::status() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto add_string = [&](const char* key, const char* value) {
    writer.Key(key);
    writer.String(value);
  };
  const auto add_number = [&](const char* key, double value) {
    writer.Key(key);
    writer.Double(value);
  };
  const auto add_count = [&](const char* key, std::uint64_t count) {
    writer.Key(key);
    writer.Uint64(count);
  };
  const auto& config = contracts_.config();
  writer.StartObject();
  add_string("front", front_.c_str());
  add_string("mode", mode_name(config.mode));
  writer.Key("closure");
  writer.Bool(contracts_.in_closure(clock_()));
  writer.Key("teams");
  writer.StartArray();
  for (std::size_t t = 0; t < config.teams.size(); ++t)
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      const auto entry = contracts_.total(t, c);
      if (entry.asked == 0) continue;
      writer.StartObject();
      add_string("team", config.teams[t].name.c_str());
      add_string("class", service_.classes[c].name.c_str());
      add_count("asked", entry.asked);
      add_count("within", entry.within);
      add_count("beyond", entry.beyond);
      add_count("in_time", entry.in_time);
      add_count("late", entry.late);
      add_count("refused_contract", entry.refused_contract);
      add_count("refused_contention", entry.refused_contention);
      add_count("refused_levels", entry.refused_levels);
      add_count("refused_router", entry.refused_router);
      add_count("failed", entry.failed);
      add_number("p50_ms", contracts_.answer_times(t, c).quantile(0.5));
      add_number("p99_ms", contracts_.answer_times(t, c).quantile(0.99));
      add_number("cost_ms", entry.cost);
      add_number("part", contracts_.gateway_share(t));
      writer.EndObject();
    }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cedarring::app
