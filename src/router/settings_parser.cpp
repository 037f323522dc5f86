#include "router/settings_parser.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "router/fields.h"

namespace cedarring {
namespace {

using namespace text;  // NOLINT(google-build-using-namespace): the fields that settings are made of

constexpr Word<Idempotency> effect_words[] = {{"read_like", Idempotency::safe},
                                              {"idempotency_key", Idempotency::keyed},
                                              {"non_idempotent", Idempotency::unsafe}};
constexpr Word<DedupScope> scope_words[] = {
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::group}};
constexpr Word<Freshness> need_words[] = {{"mutate", Freshness::write},
                                          {"strong", Freshness::fresh},
                                          {"causal", Freshness::session},
                                          {"lag_bound", Freshness::bounded},
                                          {"eventual", Freshness::any}};
constexpr Word<StaleReadPolicy> check_words[] = {
    {"none", StaleReadPolicy::none}, {"bounce", StaleReadPolicy::refuse}, {"await", StaleReadPolicy::wait}};
constexpr Word<ListedRole> role_words[] = {
    {"none", ListedRole::none}, {"trailing", ListedRole::late}, {"static", ListedRole::start}};
constexpr Word<TokenMode> token_words[] = {{"kept", TokenMode::remembered}, {"brought", TokenMode::carried}};
constexpr Word<DiscoveryMode> mode_words[] = {{"automatic", DiscoveryMode::push},
                                              {"subscribe", DiscoveryMode::poll}};

/// Settings by path, each read with a default; a value of the wrong shape is named in the exception.
class Facts {
 public:
  explicit Facts(std::string_view text) {
    for (const auto& f : split_fields(text)) values_[std::string(f.name)] = f.value;
  }
  [[nodiscard]] std::string_view text(const std::string& key, std::string_view fallback = "") const {
    const auto it = values_.find(key);
    return it == values_.end() ? fallback : it->second;
  }
  [[nodiscard]] double number(const std::string& key, double fallback) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return fallback;
    const auto value = to_number(it->second);
    if (!value || std::fabs(*value) > largest_ms) throw std::invalid_argument(key);
    return *value;
  }
  [[nodiscard]] Duration ms(const std::string& key, double fallback) const {
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
  [[nodiscard]] Enum word(const std::string& key, const Word<Enum> (&words)[N], Enum fallback) const {
    const auto value = text(key);
    if (value.empty()) return fallback;
    const auto found = lookup(words, value);
    if (!found) throw std::invalid_argument(key);
    return *found;
  }
  [[nodiscard]] std::uint32_t count(const std::string& key, std::uint32_t fallback) const {
    const double value = number(key, fallback);
    if (value < 0 || value > 1e6 || value != std::floor(value)) throw std::invalid_argument(key);
    return static_cast<std::uint32_t>(value);
  }

 private:
  std::map<std::string, std::string_view> values_;
};

}  // namespace

ZoneId zone_id(std::string_view name, std::vector<std::string>& zones) {
  for (std::size_t i = 0; i < zones.size(); ++i)
    if (zones[i] == name) return ZoneId{static_cast<std::int32_t>(i)};
  zones.emplace_back(name);
  return ZoneId{static_cast<std::int32_t>(zones.size() - 1)};
}

LoadReport parse_report(std::optional<std::string_view> stats, Time base, char separator) {
  LoadReport report;
  if (!stats) return report;
  for (const auto part : split_commas(*stats)) {
    const auto mark = part.find(separator);
    if (mark == std::string_view::npos) continue;
    const auto value = to_number(part.substr(mark + 1));
    if (!value) continue;
    const auto name = part.substr(0, mark);
    if (name == "x0" && std::fabs(*value) < largest_ms / 1e3) {
      // Rounded down: a position must never be believed above what the host holds.
      report.position = base + Time(static_cast<std::int64_t>(std::floor(*value * 1e6)));
    } else if (name == "x1") {
      report.role = *value >= 0.5 ? Role::primary : Role::replica;
    } else if (name == "pending" && *value >= 0) {
      report.queue_length = *value;
    } else if (name == "cpu_share" && *value >= 0) {
      report.utilization = std::min(1.0, *value);
    }
  }
  return report;
}

LoadReport parse_whole_report(std::string_view stats) {
  std::set<std::string_view> names;
  for (const auto part : split_commas(stats)) {
    const auto mark = part.find('=');
    if (mark == std::string_view::npos || mark == 0 || !names.insert(part.substr(0, mark)).second) return {};
    const auto value = to_number(part.substr(mark + 1));
    if (!value || *value < 0 || (part.substr(0, mark) == "x1" && *value != 0 && *value != 1)) return {};
  }
  return parse_report(stats, Time::zero(), '=');
}

Settings parse_settings(std::string_view text, std::uint64_t seed, std::string_view zone,
                        std::vector<std::string>& zones, Time& base_time) {
  const Facts facts(text);
  Settings s;
  s.seed = seed;
  for (const auto name : split_commas(facts.text("zones"))) zone_id(name, zones);
  s.zone = zone_id(zone.empty() ? facts.text("az") : zone, zones);
  s.instance_index = facts.count("position", 0);
  s.instance_count = facts.count("balancers", 1);
  base_time = facts.ms("specifics.base_time", 0);
  const auto needs = split_commas(facts.text("specifics.needs_by_class"));
  const auto bounds = split_commas(facts.text("specifics.class_bound"));
  const auto classes = facts.count("classes.count", 0);
  if (classes > 10000) throw std::invalid_argument("classes.count");
  for (std::uint32_t i = 0; i < classes; ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    RequestClass c;
    c.name = facts.text(at + "name");
    c.latency_target = facts.ms(at + "aim", 1000);
    c.deadline = facts.ms(at + "deadline", 1000);
    c.value = facts.number(at + "importance", 1);
    c.late_value = facts.number(at + "late_worth", 0);
    c.idempotency = facts.word(at + "effect", effect_words, Idempotency::safe);
    c.dedup_scope = facts.word(at + "group", scope_words, DedupScope::all);
    c.dedup_window = facts.ms(at + "window", 0);
    if (i < needs.size()) {
      const auto need = lookup(need_words, needs[i]);
      if (!need) throw std::invalid_argument("specifics.needs_by_class");
      c.freshness = *need;
    }
    if (i < bounds.size()) {
      const auto bound = to_number(bounds[i]);
      if (!bound) throw std::invalid_argument("specifics.class_bound");
      c.staleness_bound = from_ms(*bound);
    }
    s.classes.push_back(c);
  }
  s.stale_read_policy = facts.word("specifics.checks", check_words, StaleReadPolicy::none);
  s.listed_role = facts.word("specifics.list_role", role_words, ListedRole::none);
  s.token_mode = facts.word("specifics.token_mode", token_words, TokenMode::remembered);
  s.discovery_mode = facts.word("registry_mode", mode_words, DiscoveryMode::push);
  s.answers_carry_position = facts.flag("specifics.stamps", false);
  s.probes_allowed = facts.flag("limits.may_probe", false);
  s.cancel_allowed = facts.flag("limits.cancel", false);
  s.hedging_allowed = facts.flag("limits.second_copies", false);
  s.retry_after_allowed = facts.flag("limits.retry_after", false);
  s.removed_hosts_stay_usable = facts.flag("guarantees.dropped_stay_open", false);
  s.max_attempts = facts.count("limits.send_cap", 1);
  s.max_retry_after = facts.ms("limits.max_retry_after", 0);
  s.max_poll_interval = facts.ms("guarantees.ask_within", 10000);
  s.drain_grace = facts.ms("guarantees.stop_sending_within", 1000);
  s.warm_up_duration = facts.ms("guarantees.cold", 0);
  s.cold_capacity_share = facts.number("guarantees.cold_from", 1);
  s.overload_multiple = facts.number("guarantees.tip_multiple", 3);
  s.overload_window = facts.ms("guarantees.tip_after", 1000);
  s.quantum = facts.ms("quantum", 5);
  s.connect_timeout = facts.ms("limits.connect_timeout", 250);
  s.idle_timeout = facts.ms("limits.idle_close", 15000);
  s.probe_cost = facts.number("prices.probe", 0);
  return s;
}

}  // namespace cedarring
