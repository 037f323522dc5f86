#include "app/levels_runner.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace cedarring::app {
namespace {

constexpr Duration longest_pin{24LL * 3600 * 1'000'000};

std::string number(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", v);
  return text;
}

std::string subject_of(const levels::Condition& c, const levels::ServiceInfo& service) {
  std::string text = levels::info(c.reading).name;
  if (c.cls >= 0 && static_cast<std::size_t>(c.cls) < service.classes.size())
    text += "(" + service.classes[static_cast<std::size_t>(c.cls)].name + ")";
  return text;
}

}  // namespace

telemetry::Record record_of(const levels::AxisChange& event, const std::string& front,
                            const levels::ServiceInfo& service) {
  const auto& c = event.change;
  telemetry::Record r;
  r.at = c.at;
  r.kind = "level";
  r.subject = front + (event.group ? " group " + std::to_string(event.group->value) : " pressure");
  r.from = c.from;
  r.to = c.to;
  r.rule = levels::name_of(c.cause);
  for (const auto& read : c.reads) {
    const auto subject = subject_of(read.condition, service);
    r.readings.emplace_back(subject, read.value);
    const bool holds =
        read.use == levels::Use::usable && (read.value > read.condition.bound) == read.condition.above;
    if (holds && c.cause != levels::Cause::held)
      r.rule += (r.rule.find(':') == std::string::npos ? ": " : ", ") + subject +
                (read.condition.above ? " above " : " not above ") + number(read.condition.bound) + " for " +
                std::to_string(read.condition.hold.count() / 1000) + " ms";
    if (read.use != levels::Use::usable)
      r.note += (r.note.empty() ? "" : ", ") + subject + " is " + levels::name_of(read.use);
  }
  if (c.until)
    r.note = "until " + std::to_string(c.until->count() / 1000);
  else if (c.cause == levels::Cause::entered || c.cause == levels::Cause::left)
    r.note += (r.note.empty() ? "" : "; ") +
              ("stays " + std::to_string(c.stay.count() / 1000) + " ms at the least");
  return r;
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
  timer_.set<LevelsRunner, &LevelsRunner::beat>(this);
  const double beat = static_cast<double>(levels_.config().beat.count()) / 1e6;
  due_ = clock_() + levels_.config().beat;
  timer_.start(beat, beat);
  broker_.add_gate(levels_);
}

void LevelsRunner::beat(ev::timer&, int) {
  const Time now = clock_();
  state_.values.clear();
  state_.groups.clear();
  views_.clear();
  broker_.group_views(views_);
  levels::tell_views(views_, now, state_);
  const auto inputs = hooks_.inputs();
  const auto tell = [&](levels::Reading r, double value) { state_.values.push_back({r, value, now}); };
  tell(levels::Reading::descriptors, std::min(1.0, inputs.descriptors));
  tell(levels::Reading::memory, inputs.memory);
  tell(levels::Reading::loop_lag, std::max(0.0, static_cast<double>((now - due_).count()) / 1e6));
  if (inputs.discovery_silence) tell(levels::Reading::discovery_silence, *inputs.discovery_silence);
  due_ = now + levels_.config().beat;
  std::vector<levels::AxisChange> events;
  levels_.step(now, state_, events);
  publish(events);
}

void LevelsRunner::publish(std::vector<levels::AxisChange>& events) {
  if (events.empty()) return;
  for (const auto& e : events) log_.record(record_of(e, front_, service_));
  carry_out();
}

/// Puts in force what the present levels change besides what they shed.
void LevelsRunner::carry_out() {
  const auto changes = levels_.changes();
  broker_.set_tuning({changes.probe_rate, changes.retry_budget, changes.spill});
  hooks_.pool_size(changes.pool_size);
}

void LevelsRunner::reload(levels::Config config) {
  std::vector<levels::AxisChange> events;
  levels_.reload(std::move(config), clock_(), events);
  publish(events);
  carry_out();  // the mode, or what a level of the same name changes, may be another
}

bool LevelsRunner::pin(std::optional<GroupId> group, const std::string& level, Duration length,
                       std::string& error) {
  if (length <= Duration::zero() || length > longest_pin) {
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
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto ms = [&](const char* key, Duration d) {
    w.Key(key);
    w.Int64(d.count() / 1000);
  };
  const auto ladder = [&](const levels::Ladder& l) {
    w.Key("level");
    w.String(l.present().name.c_str());
    ms("since_ms", l.since());
    ms("least_stay_ms", std::max(l.least_stay(), l.config().apart));
    w.Key("held");
    w.Bool(l.held());
    if (const auto to = l.pinned_to()) {
      w.Key("pinned_to");
      w.String(to->c_str());
      ms("pinned_until_ms", *l.pinned_until());
    }
  };
  w.StartObject();
  w.Key("front");
  w.String(front_.c_str());
  w.Key("mode");
  const auto mode = levels_.config().mode;
  w.String(mode == levels::Mode::on ? "on" : mode == levels::Mode::watch ? "watch" : "off");
  w.Key("pressure");
  w.StartObject();
  ladder(levels_.pressure());
  w.EndObject();
  w.Key("groups");
  w.StartArray();
  for (const auto& [id, g] : levels_.groups()) {
    w.StartObject();
    w.Key("group");
    w.Int64(id.value);
    ladder(g.faults);
    w.Key("primary");
    w.Bool(g.primary);
    if (!g.primary) ms("lost_ms", clock_() - g.lost);
    ms("takeover_estimate_ms", g.takeover.estimate());
    w.Key("takeovers_seen");
    w.Int(g.takeover.count());
    w.EndObject();
  }
  w.EndArray();
  w.Key("classes");
  w.StartArray();
  for (std::size_t i = 0; i < service_.classes.size(); ++i) {
    const auto& c = levels_.counters()[i];
    w.StartObject();
    w.Key("class");
    w.String(service_.classes[i].name.c_str());
    w.Key("asked"), w.Uint64(c.asked);
    w.Key("shed"), w.Uint64(c.shed);
    w.Key("refused_without_primary"), w.Uint64(c.refused_without_primary);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cedarring::app
