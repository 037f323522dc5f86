#include "app/contracts_runner.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "app/calendar.h"

namespace cedarring::app {
namespace {

constexpr double beat_seconds = 0.1;
constexpr int days_ahead = 8;
constexpr Duration refill{6LL * 3600 * 1'000'000};  // well within the days that are filled in ahead

contracts::Config with_closures(ContractsConfig config, Time now) {
  config.terms.closures = closures_around(config.calendar, now, days_ahead);
  return std::move(config.terms);
}

}  // namespace

telemetry::Record record_of(const contracts::Breach& b, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service) {
  telemetry::Record r;
  r.at = b.to;
  r.kind = "breach";
  r.subject = front + " " + config.teams[b.team].name + " " + service.classes[b.cls].name;
  if (b.side == contracts::Side::team) {
    r.rule = "the team asked beyond its contract";
    r.readings = {{"promised_per_s", b.promised}, {"asked_per_s", b.got}};
  } else {
    r.rule = "the gateway missed its promise";
    r.readings = {{"promised_share", b.promised}, {"share", b.got}};
  }
  r.readings.emplace_back("requests", static_cast<double>(b.counted));
  r.readings.emplace_back("from_ms", static_cast<double>(b.from.count() / 1000));
  if (b.closure) r.note = "around a closure";
  return r;
}

/// `cedarring report contracts` reads these: the names of readings are its columns.
telemetry::Record record_of(const contracts::Closed& c, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service) {
  telemetry::Record r;
  r.at = c.to;
  r.kind = "ledger";
  r.subject = front + " " + config.teams[c.team].name + " " + service.classes[c.cls].name;
  const auto& e = c.entry;
  const auto count = [&](const char* name, std::uint64_t n) {
    r.readings.emplace_back(name, static_cast<double>(n));
  };
  r.readings.emplace_back("from_ms", static_cast<double>(c.from.count() / 1000));
  count("asked", e.asked), count("within", e.within), count("beyond", e.beyond);
  count("in_time", e.in_time), count("late", e.late), count("failed", e.failed), count("left", e.left);
  count("refused_contract", e.refused_contract), count("refused_contention", e.refused_contention);
  count("refused_levels", e.refused_levels), count("refused_router", e.refused_router);
  count("promised", e.within_ended), count("kept", e.within_in_time);
  r.readings.emplace_back("cost_ms", e.cost);
  return r;
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
      filled_(clock_()) {
  timer_.set<ContractsRunner, &ContractsRunner::beat>(this);
  timer_.start(beat_seconds, beat_seconds);
  broker_.add_gate(contracts_);
}

void ContractsRunner::beat(ev::timer&, int) {
  const Time now = clock_();
  if (now - filled_ > refill) {
    filled_ = now;
    contracts_.set_closures(closures_around(calendar_, now, days_ahead));
  }
  views_.clear();
  broker_.group_views(views_);
  std::vector<contracts::Breach> breaches;
  std::vector<contracts::Closed> closed;
  contracts_.step(now, contracts::scarcity(views_), breaches, &closed);
  for (const auto& c : closed) log_.record(record_of(c, front_, contracts_.config(), service_));
  for (const auto& b : breaches) log_.record(record_of(b, front_, contracts_.config(), service_));
}

void ContractsRunner::reload(ContractsConfig config) {
  calendar_ = config.calendar;
  filled_ = clock_();
  contracts_.reload(with_closures(std::move(config), clock_()), clock_());
}

std::string ContractsRunner::status() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto& config = contracts_.config();
  w.StartObject();
  w.Key("front"), w.String(front_.c_str());
  w.Key("mode");
  w.String(config.mode == contracts::Mode::enforce ? "enforce"
           : config.mode == contracts::Mode::count ? "count"
                                                   : "off");
  w.Key("closure"), w.Bool(contracts_.closure(clock_()));
  w.Key("teams");
  w.StartArray();
  for (std::size_t t = 0; t < config.teams.size(); ++t)
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      const auto e = contracts_.total(t, c);
      if (e.asked == 0) continue;
      const auto count = [&](const char* key, std::uint64_t n) { w.Key(key), w.Uint64(n); };
      w.StartObject();
      w.Key("team"), w.String(config.teams[t].name.c_str());
      w.Key("class"), w.String(service_.classes[c].name.c_str());
      count("asked", e.asked);
      count("within", e.within);
      count("beyond", e.beyond);
      count("in_time", e.in_time);
      count("late", e.late);
      count("refused_contract", e.refused_contract);
      count("refused_contention", e.refused_contention);
      count("refused_levels", e.refused_levels);
      count("refused_router", e.refused_router);
      count("failed", e.failed);
      w.Key("p50_ms"), w.Double(contracts_.times(t, c).quantile(0.5));
      w.Key("p99_ms"), w.Double(contracts_.times(t, c).quantile(0.99));
      w.Key("cost_ms"), w.Double(e.cost);
      w.Key("part"), w.Double(contracts_.part(t));
      w.EndObject();
    }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cedarring::app
