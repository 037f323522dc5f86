#include "app/levels_runner.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace cedarring::app {
namespace {

constexpr Duration max_pin_length{24LL * 3600 * 1'000'000};  // 24 h

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

/// The name of a condition's reading, with its class in parentheses.
std::string reading_label(const levels::Condition& condition, const levels::ServiceInfo& service) {
  std::string text = levels::reading_info(condition.reading).name;
  if (condition.class_index >= 0 && static_cast<std::size_t>(condition.class_index) < service.classes.size())
    text += "(" + service.classes[static_cast<std::size_t>(condition.class_index)].name + ")";
  return text;
}

}  // namespace

telemetry::Record record_of(const levels::AxisChange& axis_change, const std::string& front,
                            const levels::ServiceInfo& service) {
  const auto& change = axis_change.change;
  telemetry::Record record;
  record.at = change.at;
  record.kind = "level";
  record.subject =
      front + (axis_change.group ? " group " + std::to_string(axis_change.group->value) : " pressure");
  record.from = change.from;
  record.to = change.to;
  record.rule = levels::name_of(change.cause);
  for (const auto& observation : change.observations) {
    const auto& condition = observation.condition;
    const auto label = reading_label(condition, service);
    record.readings.emplace_back(label, observation.value);
    const bool holds = observation.usability == levels::Usability::usable &&
                       (observation.value > condition.bound) == condition.above;
    if (holds && change.cause != levels::Cause::held)
      record.rule += (record.rule.find(':') == std::string::npos ? ": " : ", ") + label +
                     (condition.above ? " above " : " not above ") + format_number(condition.bound) +
                     " for " + std::to_string(condition.hold_time.count() / 1000) + " ms";
    if (observation.usability != levels::Usability::usable)
      record.note +=
          (record.note.empty() ? "" : ", ") + label + " is " + levels::name_of(observation.usability);
  }
  if (change.pinned_until)
    record.note = "until " + std::to_string(change.pinned_until->count() / 1000);
  else if (change.cause == levels::Cause::entered || change.cause == levels::Cause::left)
    record.note += (record.note.empty() ? "" : "; ") +
                   ("stays " + std::to_string(change.min_dwell.count() / 1000) + " ms at the least");
  return record;
}

LevelsRunner::LevelsRunner(ev::loop_ref loop, std::string front, levels::Config config,
                           levels::ServiceInfo service, broker::Broker& broker, broker::Broker::Clock clock,
                           Hooks hooks, telemetry::Log& log)
    : front_(std::move(front)),
      service_(service),
      levels_(std::move(config), std::move(service)),
      broker_(broker),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)),
      log_(log),
      timer_(loop) {
  timer_.set<LevelsRunner, &LevelsRunner::on_timer>(this);
  const double interval_seconds = static_cast<double>(levels_.config().evaluation_interval.count()) / 1e6;
  next_evaluation_ = clock_() + levels_.config().evaluation_interval;
  timer_.start(interval_seconds, interval_seconds);
  broker_.add_gate(levels_);
}

void LevelsRunner::on_timer(ev::timer&, int) {
  const Time now = clock_();
  state_.values.clear();
  state_.groups.clear();
  views_.clear();
  broker_.group_views(views_);
  levels::add_group_views(views_, now, state_);
  const auto inputs = hooks_.read_inputs();
  const auto add_value = [&](levels::Reading reading, double value) {
    state_.values.push_back({reading, value, now});
  };
  add_value(levels::Reading::descriptors, std::min(1.0, inputs.descriptors));
  add_value(levels::Reading::memory, inputs.memory);
  add_value(levels::Reading::loop_lag,
            std::max(0.0, static_cast<double>((now - next_evaluation_).count()) / 1e6));
  if (inputs.discovery_silence) add_value(levels::Reading::discovery_silence, *inputs.discovery_silence);
  next_evaluation_ = now + levels_.config().evaluation_interval;
  std::vector<levels::AxisChange> changes;
  levels_.step(now, state_, changes);
  publish(changes);
}

void LevelsRunner::publish(std::vector<levels::AxisChange>& changes) {
  if (changes.empty()) return;
  for (const auto& change : changes) log_.record(record_of(change, front_, service_));
  apply_adjustments();
}

void LevelsRunner::apply_adjustments() {
  const auto adjustments = levels_.adjustments();
  broker_.set_tuning({adjustments.probe_rate, adjustments.retry_budget, adjustments.read_spillover});
  hooks_.scale_pool_size(adjustments.pool_size);
}

void LevelsRunner::reload(levels::Config config) {
  std::vector<levels::AxisChange> changes;
  levels_.reload(std::move(config), clock_(), changes);
  publish(changes);
  // Also without a level change: the mode, or the adjustments of a level of the same name, may have changed.
  apply_adjustments();
}

bool LevelsRunner::pin(std::optional<GroupId> group, const std::string& level, Duration length,
                       std::string& error) {
  if (length <= Duration::zero() || length > max_pin_length) {
    error = "a pin lasts up to 24 h";
    return false;
  }
  const auto now = clock_();
  if (levels_.pin(group, level, now + length, now)) return true;
  error = "no such level or group";
  return false;
}

bool LevelsRunner::unpin(std::optional<GroupId> group) { return levels_.unpin(group); }

std::string LevelsRunner::status() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto write_milliseconds = [&](const char* key, Duration duration) {
    writer.Key(key);
    writer.Int64(duration.count() / 1000);
  };
  const auto write_ladder = [&](const levels::Ladder& ladder) {
    writer.Key("level");
    writer.String(ladder.current_level().name.c_str());
    write_milliseconds("since_ms", ladder.entered_at());
    write_milliseconds("least_stay_ms", std::max(ladder.min_dwell(), ladder.config().min_change_interval));
    writer.Key("held");
    writer.Bool(ladder.is_held());
    if (const auto pinned_level = ladder.pinned_level()) {
      writer.Key("pinned_to");
      writer.String(pinned_level->c_str());
      write_milliseconds("pinned_until_ms", *ladder.pinned_until());
    }
  };
  writer.StartObject();
  writer.Key("front");
  writer.String(front_.c_str());
  writer.Key("mode");
  const auto mode = levels_.config().mode;
  writer.String(mode == levels::Mode::on ? "on" : mode == levels::Mode::watch ? "watch" : "off");
  writer.Key("pressure");
  writer.StartObject();
  write_ladder(levels_.pressure());
  writer.EndObject();
  writer.Key("groups");
  writer.StartArray();
  for (const auto& [id, group] : levels_.groups()) {
    writer.StartObject();
    writer.Key("group");
    writer.Int64(id.value);
    write_ladder(group.faults);
    writer.Key("primary");
    writer.Bool(group.has_primary);
    if (!group.has_primary) write_milliseconds("lost_ms", clock_() - group.primary_lost_at);
    write_milliseconds("takeover_estimate_ms", group.takeover.estimate());
    writer.Key("takeovers_seen");
    writer.Int(group.takeover.count());
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("classes");
  writer.StartArray();
  for (std::size_t i = 0; i < service_.classes.size(); ++i) {
    const auto& counters = levels_.counters()[i];
    writer.StartObject();
    writer.Key("class");
    writer.String(service_.classes[i].name.c_str());
    writer.Key("asked");
    writer.Uint64(counters.requests);
    writer.Key("shed");
    writer.Uint64(counters.shed);
    writer.Key("refused_without_primary");
    writer.Uint64(counters.refused_without_primary);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cedarring::app
