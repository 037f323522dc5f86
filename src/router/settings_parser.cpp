// Implementation of the parsers of settings and load reports.
#include "router/settings_parser.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "router/fields.h"

namespace cedarring {
namespace {

using namespace text;  // NOLINT(google-build-using-namespace): field parsers

constexpr Keyword<Idempotency> idempotency_keywords[] = {{"read_like", Idempotency::safe},
                                                         {"idempotency_key", Idempotency::keyed},
                                                         {"non_idempotent", Idempotency::unsafe}};
// In settings a cell is a replica group, as in discovery's lists.
constexpr Keyword<DedupScope> dedup_scope_keywords[] = {
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::group}};
constexpr Keyword<Freshness> freshness_keywords[] = {{"mutate", Freshness::write},
                                                     {"strong", Freshness::fresh},
                                                     {"causal", Freshness::session},
                                                     {"lag_bound", Freshness::bounded},
                                                     {"eventual", Freshness::any}};
constexpr Keyword<StaleReadPolicy> stale_read_keywords[] = {
    {"none", StaleReadPolicy::none}, {"bounce", StaleReadPolicy::refuse}, {"await", StaleReadPolicy::wait}};
constexpr Keyword<ListedRole> listed_role_keywords[] = {
    {"none", ListedRole::none}, {"trailing", ListedRole::late}, {"static", ListedRole::start}};
constexpr Keyword<TokenMode> token_mode_keywords[] = {{"kept", TokenMode::remembered},
                                                      {"brought", TokenMode::carried}};
constexpr Keyword<DiscoveryMode> discovery_keywords[] = {{"automatic", DiscoveryMode::push},
                                                         {"subscribe", DiscoveryMode::poll}};

// Largest accepted values.
constexpr std::uint32_t max_count = 1'000'000;  // of any whole number
constexpr std::uint32_t max_classes = 10'000;   // of the number of request classes

// Values of settings that are absent from the text.
constexpr double default_latency_target_ms = 1000;
constexpr double default_deadline_ms = 1000;
constexpr double default_poll_interval_ms = 10000;
constexpr double default_drain_grace_ms = 1000;
constexpr double default_overload_multiple = 3;
constexpr double default_overload_window_ms = 1000;
constexpr double default_quantum_ms = 5;
constexpr double default_connect_timeout_ms = 250;
constexpr double default_idle_timeout_ms = 15000;

// Names of the values in a load report.
constexpr std::string_view position_name = "x0";  // seconds after a base time
constexpr std::string_view role_name = "x1";      // 1: primary, 0: replica; 0.5 and more counts as 1
constexpr std::string_view queue_length_name = "pending";
constexpr std::string_view utilization_name = "cpu_share";

constexpr double microseconds_per_second = 1e6;

/// The settings of a text by name. Each getter returns `fallback` for an absent setting and throws
/// std::invalid_argument, whose text is the setting's name, for an invalid value. The text must outlive the
/// object.
class SettingsText {
 public:
  explicit SettingsText(std::string_view text) {
    for (const auto& field : split_fields(text)) values_[std::string(field.name)] = field.value;
  }
  [[nodiscard]] std::string_view text(const std::string& key, std::string_view fallback = "") const {
    const auto it = values_.find(key);
    return it == values_.end() ? fallback : it->second;
  }
  [[nodiscard]] double number(const std::string& key, double fallback) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return fallback;
    const auto value = to_number(it->second);
    if (!value || std::fabs(*value) > max_ms) throw std::invalid_argument(key);
    return *value;
  }
  [[nodiscard]] Duration milliseconds(const std::string& key, double fallback) const {
    return from_ms(number(key, fallback));
  }
  [[nodiscard]] bool flag(const std::string& key, bool fallback) const {
    const auto value = text(key);
    if (value.empty()) return fallback;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw std::invalid_argument(key);
  }
  template <class Enum, std::size_t N>
  [[nodiscard]] Enum keyword(const std::string& key, const Keyword<Enum> (&keywords)[N],
                             Enum fallback) const {
    const auto value = text(key);
    if (value.empty()) return fallback;
    const auto found = lookup(keywords, value);
    if (!found) throw std::invalid_argument(key);
    return *found;
  }
  [[nodiscard]] std::uint32_t count(const std::string& key, std::uint32_t fallback) const {
    const double value = number(key, fallback);
    if (value < 0 || value > max_count || value != std::floor(value)) throw std::invalid_argument(key);
    return static_cast<std::uint32_t>(value);
  }

 private:
  std::map<std::string, std::string_view> values_;
};

}  // namespace

ZoneId find_or_add_zone(std::string_view name, std::vector<std::string>& zones) {
  for (std::size_t i = 0; i < zones.size(); ++i)
    if (zones[i] == name) return ZoneId{static_cast<std::int32_t>(i)};
  zones.emplace_back(name);
  return ZoneId{static_cast<std::int32_t>(zones.size() - 1)};
}

LoadReport parse_report(std::optional<std::string_view> report_text, Time base, char separator) {
  constexpr double max_position_s = max_ms / 1e3;
  LoadReport report;
  if (!report_text) return report;
  for (const auto part : split_commas(*report_text)) {
    const auto separator_at = part.find(separator);
    if (separator_at == std::string_view::npos) continue;
    const auto value = to_number(part.substr(separator_at + 1));
    if (!value) continue;
    const auto name = part.substr(0, separator_at);
    if (name == position_name && std::fabs(*value) < max_position_s) {
      // Rounded down: an estimate above the host's real position would allow stale reads.
      report.position = base + Time(static_cast<std::int64_t>(std::floor(*value * microseconds_per_second)));
    } else if (name == role_name) {
      report.role = *value >= 0.5 ? Role::primary : Role::replica;
    } else if (name == queue_length_name && *value >= 0) {
      report.queue_length = *value;
    } else if (name == utilization_name && *value >= 0) {
      report.utilization = std::min(1.0, *value);
    }
  }
  return report;
}

LoadReport parse_strict_report(std::string_view report_text) {
  std::set<std::string_view> names;
  for (const auto part : split_commas(report_text)) {
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) return {};
    const auto name = part.substr(0, equals);
    if (!names.insert(name).second) return {};
    const auto value = to_number(part.substr(equals + 1));
    if (!value || *value < 0 || (name == role_name && *value != 0 && *value != 1)) return {};
  }
  return parse_report(report_text, Time::zero(), '=');
}

Settings parse_settings(std::string_view text, std::uint64_t seed, std::string_view zone,
                        std::vector<std::string>& zones, Time& base_time) {
  const SettingsText values(text);
  Settings settings;
  settings.seed = seed;
  for (const auto name : split_commas(values.text("zones"))) find_or_add_zone(name, zones);
  settings.zone = find_or_add_zone(zone.empty() ? values.text("az") : zone, zones);
  settings.instance_index = values.count("position", 0);
  settings.instance_count = values.count("balancers", 1);
  base_time = values.milliseconds("specifics.base_time", 0);
  const auto freshness_by_class = split_commas(values.text("specifics.needs_by_class"));
  const auto staleness_bounds = split_commas(values.text("specifics.class_bound"));
  const auto class_count = values.count("classes.count", 0);
  if (class_count > max_classes) throw std::invalid_argument("classes.count");
  for (std::uint32_t i = 0; i < class_count; ++i) {
    const std::string prefix = "classes." + std::to_string(i) + ".";
    RequestClass request_class;
    request_class.name = values.text(prefix + "name");
    request_class.latency_target = values.milliseconds(prefix + "aim", default_latency_target_ms);
    request_class.deadline = values.milliseconds(prefix + "deadline", default_deadline_ms);
    request_class.value = values.number(prefix + "importance", 1);
    request_class.late_value = values.number(prefix + "late_worth", 0);
    request_class.idempotency = values.keyword(prefix + "effect", idempotency_keywords, Idempotency::safe);
    request_class.dedup_scope = values.keyword(prefix + "group", dedup_scope_keywords, DedupScope::all);
    request_class.dedup_window = values.milliseconds(prefix + "window", 0);
    if (i < freshness_by_class.size()) {
      const auto freshness = lookup(freshness_keywords, freshness_by_class[i]);
      if (!freshness) throw std::invalid_argument("specifics.needs_by_class");
      request_class.freshness = *freshness;
    }
    if (i < staleness_bounds.size()) {
      const auto bound = to_number(staleness_bounds[i]);
      if (!bound) throw std::invalid_argument("specifics.class_bound");
      request_class.staleness_bound = from_ms(*bound);
    }
    settings.classes.push_back(request_class);
  }
  settings.stale_read_policy = values.keyword("specifics.checks", stale_read_keywords, StaleReadPolicy::none);
  settings.listed_role = values.keyword("specifics.list_role", listed_role_keywords, ListedRole::none);
  settings.token_mode = values.keyword("specifics.token_mode", token_mode_keywords, TokenMode::remembered);
  settings.discovery_mode = values.keyword("registry_mode", discovery_keywords, DiscoveryMode::push);
  settings.answers_carry_position = values.flag("specifics.stamps", false);
  settings.probes_allowed = values.flag("limits.may_probe", false);
  settings.cancel_allowed = values.flag("limits.cancel", false);
  settings.hedging_allowed = values.flag("limits.second_copies", false);
  settings.retry_after_allowed = values.flag("limits.retry_after", false);
  settings.removed_hosts_stay_usable = values.flag("guarantees.dropped_stay_open", false);
  settings.max_attempts = values.count("limits.send_cap", 1);
  settings.max_retry_after = values.milliseconds("limits.max_retry_after", 0);
  settings.max_poll_interval = values.milliseconds("guarantees.ask_within", default_poll_interval_ms);
  settings.drain_grace = values.milliseconds("guarantees.stop_sending_within", default_drain_grace_ms);
  settings.warm_up_duration = values.milliseconds("guarantees.cold", 0);
  settings.cold_capacity_share = values.number("guarantees.cold_from", 1);
  settings.overload_multiple = values.number("guarantees.tip_multiple", default_overload_multiple);
  settings.overload_window = values.milliseconds("guarantees.tip_after", default_overload_window_ms);
  settings.quantum = values.milliseconds("quantum", default_quantum_ms);
  settings.connect_timeout = values.milliseconds("limits.connect_timeout", default_connect_timeout_ms);
  settings.idle_timeout = values.milliseconds("limits.idle_close", default_idle_timeout_ms);
  settings.probe_cost = values.number("prices.probe", 0);
  return settings;
}

}  // namespace cedarring
